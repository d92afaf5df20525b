//! What a change replaces, so that the control log carries what changed and
//! not all declarations.
//!
//! A patch belongs to the version that it was made from. The log refuses a
//! change whose base is not the version in force, so a patch always meets the
//! declarations that it was made from.

use std::collections::BTreeMap;

use base::name::Name;
use serde::{Deserialize, Serialize};

use crate::check::Violation;
use crate::model::{Declarations, Group, Selector, Service};

/// Declarations to set and to remove.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// New groups, or those with a new content.
    #[serde(default, skip_serializing_if = "Delta::is_empty")]
    pub groups: Delta<Group>,
    /// New services, or those with a new content.
    #[serde(default, skip_serializing_if = "Delta::is_empty")]
    pub services: Delta<Service>,
    /// New selectors, or those with a new content.
    #[serde(default, skip_serializing_if = "Delta::is_empty")]
    pub selectors: Delta<Selector>,
}

/// Declarations of one table to set and to remove.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta<T> {
    /// Declarations to set, whole, by name.
    #[serde(default = "BTreeMap::new", skip_serializing_if = "BTreeMap::is_empty")]
    pub set: BTreeMap<Name, T>,
    /// Names to remove.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub remove: Vec<Name>,
}

impl<T> Default for Delta<T> {
    fn default() -> Self {
        Self { set: BTreeMap::new(), remove: Vec::new() }
    }
}

impl<T> Delta<T> {
    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.remove.is_empty()
    }
}

impl<T: Clone + PartialEq> Delta<T> {
    fn between(from: &BTreeMap<Name, T>, to: &BTreeMap<Name, T>) -> Self {
        let changed = to.iter().filter(|(name, value)| from.get(*name) != Some(*value));
        let set = changed.map(|(name, value)| (name.clone(), value.clone())).collect();
        let remove = from.keys().filter(|name| !to.contains_key(*name)).cloned().collect();
        Self { set, remove }
    }

    fn apply(self, table: &mut BTreeMap<Name, T>) {
        table.extend(self.set);
        for name in &self.remove {
            table.remove(name);
        }
    }
}

impl Patch {
    /// What turns `from` into `to`.
    pub fn between(from: &Declarations, to: &Declarations) -> Self {
        Self {
            groups: Delta::between(&from.groups, &to.groups),
            services: Delta::between(&from.services, &to.services),
            selectors: Delta::between(&from.selectors, &to.selectors),
        }
    }

    /// Reads a patch's text.
    ///
    /// # Errors
    /// [`Violation::Syntax`].
    pub fn parse(text: &str) -> Result<Self, Violation> {
        serde_json::from_str(text).map_err(|error| Violation::Syntax { text: error.to_string() })
    }

    /// The text that the control log carries.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("a patch holds nothing that JSON can't")
    }

    /// The declarations that it makes of those it belongs to, checked.
    ///
    /// # Errors
    /// All that is wrong with the result.
    pub fn apply(self, declarations: &Declarations) -> Result<Declarations, Vec<Violation>> {
        let mut patched = declarations.clone();
        self.groups.apply(&mut patched.groups);
        self.services.apply(&mut patched.services);
        self.selectors.apply(&mut patched.selectors);
        let violations = patched.violations();
        if violations.is_empty() { Ok(patched) } else { Err(violations) }
    }
}

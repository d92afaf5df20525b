//! Patches: the declarations that a change sets and removes, so that the control
//! log doesn't have to carry all declarations.
//!
//! A patch is valid only for the version of the declarations that it was made
//! from. The log refuses a change whose base isn't the current version, so a patch
//! is always applied to the declarations that it was made from.

use std::collections::BTreeMap;

use base::name::Name;
use serde::{Deserialize, Serialize};

use crate::check::Violation;
use crate::model::{Declarations, Group, Selector, Service};

/// Groups, services and selectors to set and to remove. A patch never changes
/// databases or teams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Groups that are new, changed or removed.
    #[serde(default, skip_serializing_if = "Delta::is_empty")]
    pub groups: Delta<Group>,
    /// Services that are new, changed or removed.
    #[serde(default, skip_serializing_if = "Delta::is_empty")]
    pub services: Delta<Service>,
    /// Selectors that are new, changed or removed.
    #[serde(default, skip_serializing_if = "Delta::is_empty")]
    pub selectors: Delta<Selector>,
}

/// Declarations of one table to set and to remove.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta<T> {
    /// Complete declarations to set, by name.
    #[serde(default = "BTreeMap::new", skip_serializing_if = "BTreeMap::is_empty")]
    pub set: BTreeMap<Name, T>,
    /// Names of the declarations to remove.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub remove: Vec<Name>,
}

impl<T> Default for Delta<T> {
    fn default() -> Self {
        Self { set: BTreeMap::new(), remove: Vec::new() }
    }
}

impl<T> Delta<T> {
    /// Whether the table stays as it is.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.remove.is_empty()
    }
}

impl<T: Clone + PartialEq> Delta<T> {
    /// The changes that turn the table `from` into `to`.
    pub(crate) fn between(from: &BTreeMap<Name, T>, to: &BTreeMap<Name, T>) -> Self {
        let changed = to.iter().filter(|(name, value)| from.get(*name) != Some(*value));
        let set = changed.map(|(name, value)| (name.clone(), value.clone())).collect();
        let remove = from.keys().filter(|name| !to.contains_key(*name)).cloned().collect();
        Self { set, remove }
    }

    pub(crate) fn apply(self, table: &mut BTreeMap<Name, T>) {
        table.extend(self.set);
        for name in &self.remove {
            table.remove(name);
        }
    }
}

impl Patch {
    /// The patch that turns the groups, services and selectors of `from` into those of `to`.
    pub fn between(from: &Declarations, to: &Declarations) -> Self {
        Self {
            groups: Delta::between(&from.groups, &to.groups),
            services: Delta::between(&from.services, &to.services),
            selectors: Delta::between(&from.selectors, &to.selectors),
        }
    }

    /// Parses the text of a patch.
    ///
    /// # Errors
    /// [`Violation::Syntax`] if the text isn't a patch.
    pub fn parse(text: &str) -> Result<Self, Violation> {
        serde_json::from_str(text).map_err(|error| Violation::Syntax { text: error.to_string() })
    }

    /// The text of the patch, as the control log carries it.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("a patch can be represented as JSON")
    }

    /// Applies the patch to the declarations that it was made from, and validates the
    /// result.
    ///
    /// # Errors
    /// All rules that the result violates.
    pub fn apply(self, declarations: &Declarations) -> Result<Declarations, Vec<Violation>> {
        let mut patched = declarations.clone();
        self.groups.apply(&mut patched.groups);
        self.services.apply(&mut patched.services);
        self.selectors.apply(&mut patched.selectors);
        let violations = patched.violations();
        if violations.is_empty() { Ok(patched) } else { Err(violations) }
    }
}

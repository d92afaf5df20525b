//! Differences between the groups, services and selectors of two configurations.

use std::fmt;

use base::name::Name;
use serde::Serialize;
use serde_json::Value;

use crate::model::Declarations;

/// Table of the declarations that a change belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Table {
    /// Database groups.
    Groups,
    /// Services.
    Services,
    /// Selectors.
    Selectors,
}

/// Change of the value of a declaration or of one of its keys.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// The declaration or key is new, with this value.
    Added(Value),
    /// The declaration or key, which had this value, was removed.
    Removed(Value),
    /// The value changed.
    Changed {
        /// Value in the old configuration.
        from: Value,
        /// Value in the new configuration.
        to: Value,
    },
}

/// A difference between two configurations.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Table that holds the declaration.
    pub table: Table,
    /// Name of the declaration.
    pub name: Name,
    /// Path of the key within the declaration, outermost first; empty if the whole
    /// declaration was added or removed.
    pub key: Vec<String>,
    /// Change of the value.
    pub step: Step,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.step {
            Step::Added(_) => '+',
            Step::Removed(_) => '-',
            Step::Changed { .. } => '~',
        };
        write!(f, "{sign} {}.{}", self.table, self.name)?;
        for part in &self.key {
            write!(f, ".{part}")?;
        }
        match &self.step {
            Step::Added(value) | Step::Removed(value) => write!(f, " = {value}"),
            Step::Changed { from, to } => write!(f, " = {from} -> {to}"),
        }
    }
}

/// All differences between the groups, services and selectors, ordered by table and
/// name. Databases and teams are not compared.
pub fn diff(from: &Declarations, to: &Declarations) -> Vec<Change> {
    let mut changes = Vec::new();
    for table in [Table::Groups, Table::Services, Table::Selectors] {
        let (from, to) = (values(from, table), values(to, table));
        let mut names: Vec<&Name> = from.iter().chain(&to).map(|(name, _)| name).collect();
        names.sort();
        names.dedup();
        for name in names {
            let find = |all: &[(Name, Value)]| {
                all.iter().find(|(other, _)| other == name).map(|(_, value)| value.clone())
            };
            let location = Location { table, name, key: Vec::new() };
            compare(&location, find(&from), find(&to), &mut changes);
        }
    }
    changes
}

/// Path of a declaration or of one of its keys.
struct Location<'a> {
    table: Table,
    name: &'a Name,
    key: Vec<String>,
}

/// The declarations of a table as JSON values, ordered by name.
fn values(declarations: &Declarations, table: Table) -> Vec<(Name, Value)> {
    match table {
        Table::Groups => to_values(&declarations.groups),
        Table::Services => to_values(&declarations.services),
        Table::Selectors => to_values(&declarations.selectors),
    }
}

fn to_values<T: Serialize>(all: &std::collections::BTreeMap<Name, T>) -> Vec<(Name, Value)> {
    let value = |declaration| {
        serde_json::to_value(declaration).expect("declarations can be represented as JSON")
    };
    all.iter().map(|(name, declaration)| (name.clone(), value(declaration))).collect()
}

/// Adds the differences between two values, key by key where both are tables.
fn compare(location: &Location<'_>, from: Option<Value>, to: Option<Value>, out: &mut Vec<Change>) {
    let step = match (from, to) {
        (from, to) if from == to => return,
        (Some(Value::Object(from)), Some(Value::Object(to))) => {
            let mut keys: Vec<&String> = from.keys().chain(to.keys()).collect();
            keys.sort();
            keys.dedup();
            for key in keys {
                let mut path = location.key.clone();
                path.push(key.clone());
                let location = Location { key: path, ..*location };
                compare(&location, from.get(key).cloned(), to.get(key).cloned(), out);
            }
            return;
        }
        (None, Some(to)) => Step::Added(to),
        (Some(from), None) => Step::Removed(from),
        (Some(from), Some(to)) => Step::Changed { from, to },
        (None, None) => return,
    };
    out.push(Change {
        table: location.table,
        name: location.name.clone(),
        key: location.key.clone(),
        step,
    });
}

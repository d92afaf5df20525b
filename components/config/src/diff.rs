//! What differs between two configurations.

use std::fmt;

use base::name::Name;
use serde::Serialize;
use serde_json::Value;

use crate::model::Declarations;

/// A kind of declaration.
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

/// What happened to a declaration or one of its keys.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// It is new.
    Added(Value),
    /// It is gone.
    Removed(Value),
    /// It has another value.
    Changed {
        /// The value before.
        from: Value,
        /// The value after.
        to: Value,
    },
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Kind of the declaration.
    pub table: Table,
    /// Its name.
    pub name: Name,
    /// Key within it, outermost first; empty for the whole declaration.
    pub key: Vec<String>,
    /// What happened.
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

/// All differences, by table and name.
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
            let place = Place { table, name, key: Vec::new() };
            compare(&place, find(&from), find(&to), &mut changes);
        }
    }
    changes
}

struct Place<'a> {
    table: Table,
    name: &'a Name,
    key: Vec<String>,
}

fn values(declarations: &Declarations, table: Table) -> Vec<(Name, Value)> {
    match table {
        Table::Groups => each(&declarations.groups),
        Table::Services => each(&declarations.services),
        Table::Selectors => each(&declarations.selectors),
    }
}

fn each<T: Serialize>(all: &std::collections::BTreeMap<Name, T>) -> Vec<(Name, Value)> {
    let value = |one| serde_json::to_value(one).expect("declarations hold nothing that JSON can't");
    all.iter().map(|(name, one)| (name.clone(), value(one))).collect()
}

fn compare(place: &Place<'_>, from: Option<Value>, to: Option<Value>, out: &mut Vec<Change>) {
    let step = match (from, to) {
        (from, to) if from == to => return,
        (Some(Value::Object(from)), Some(Value::Object(to))) => {
            let mut keys: Vec<&String> = from.keys().chain(to.keys()).collect();
            keys.sort();
            keys.dedup();
            for key in keys {
                let mut path = place.key.clone();
                path.push(key.clone());
                let place = Place { key: path, ..*place };
                compare(&place, from.get(key).cloned(), to.get(key).cloned(), out);
            }
            return;
        }
        (None, Some(to)) => Step::Added(to),
        (Some(from), None) => Step::Removed(from),
        (Some(from), Some(to)) => Step::Changed { from, to },
        (None, None) => return,
    };
    out.push(Change { table: place.table, name: place.name.clone(), key: place.key.clone(), step });
}

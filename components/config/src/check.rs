//! Validation of declarations as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use base::name::Name;
use serde::{Deserialize, Serialize};

use crate::model::{Class, Declarations, Limits, Measure, Selector, Service, Team};

/// Largest number of servers that a group may declare.
pub const MAX_SERVERS: u32 = 15;

/// A rule that declarations violate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Violation {
    /// The text can't be parsed as declarations or as a patch.
    Syntax {
        /// Error message of the parser.
        text: String,
    },
    /// A value is not allowed.
    Value {
        /// Names of the tables and the key, outermost first.
        path: Vec<String>,
        /// Values that the key allows.
        allowed: Allowed,
    },
}

/// Values that a key allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Allowed {
    /// A whole number from 1 to [`MAX_SERVERS`].
    Servers,
    /// A whole number of at least 1.
    Positive,
    /// A number from 0 to 1.
    Share,
    /// The name of a declared group.
    DeclaredGroup,
    /// A limit of at least 1 for a measure that needs a limit, and none for a measure
    /// without one.
    Limit,
    /// Zero, except for the class [`Class::Read`].
    ReadOnly,
    /// A statement prefix that isn't blank.
    Statement,
    /// Keys that no other team holds.
    UniqueKeys,
    /// A finite number of at least 0.
    NotNegative,
}

impl fmt::Display for Allowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Servers => write!(f, "a whole number from 1 to {MAX_SERVERS} is allowed"),
            Self::Positive => f.write_str("a whole number of at least 1 is allowed"),
            Self::Share => f.write_str("a number from 0 to 1 is allowed"),
            Self::DeclaredGroup => f.write_str("only the names of declared groups are allowed"),
            Self::Limit => f.write_str(
                "a limit of at least 1 is needed by `latency`, `failover-gap` and `read-age`, \
                 and `answered` takes none",
            ),
            Self::ReadOnly => f.write_str("this is allowed for the class `read` only"),
            Self::Statement => f.write_str("the beginning of a statement is allowed, not empty"),
            Self::UniqueKeys => f.write_str("only keys that no other team holds are allowed"),
            Self::NotNegative => f.write_str("a finite number of at least 0 is allowed"),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { text } => f.write_str(text),
            Self::Value { path, allowed } => write!(f, "{}: {allowed}", path.join(".")),
        }
    }
}

impl std::error::Error for Violation {}

/// Violations found so far.
#[derive(Default)]
struct Violations(Vec<Violation>);

impl Violations {
    /// Adds a violation at `path` unless the value is valid.
    fn check(&mut self, valid: bool, path: &[&str], allowed: Allowed) {
        if !valid {
            let path = path.iter().map(|&part| part.to_owned()).collect();
            self.0.push(Violation::Value { path, allowed });
        }
    }
}

impl Declarations {
    /// All rules that the declarations violate; empty if they are valid.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Violations::default();
        for (name, group) in &self.groups {
            let valid = (1..=MAX_SERVERS).contains(&group.servers);
            violations.check(valid, &["groups", name.as_str(), "servers"], Allowed::Servers);
        }
        for (name, service) in &self.services {
            check_service(&mut violations, name, service);
        }
        for (name, selector) in &self.selectors {
            self.check_selector(&mut violations, name, selector);
        }
        for (name, database) in &self.databases {
            let path = ["databases", name.as_str(), "group"];
            violations.check(
                self.groups.contains_key(&database.group),
                &path,
                Allowed::DeclaredGroup,
            );
            check_limits(&mut violations, ["databases", name.as_str()], &database.limits);
        }
        if let Some(teams) = &self.teams {
            check_teams(&mut violations, teams);
        }
        violations.0
    }

    fn check_selector(&self, violations: &mut Violations, name: &Name, selector: &Selector) {
        for group in &selector.groups {
            let valid = self.groups.contains_key(group);
            violations.check(
                valid,
                &["selectors", name.as_str(), "groups"],
                Allowed::DeclaredGroup,
            );
        }
        for (kind_name, kind) in &selector.kinds {
            let path = |key| ["selectors", name.as_str(), "kinds", kind_name.as_str(), key];
            let read = kind.class == Class::Read;
            violations.check(read || kind.age_ms == 0, &path("age_ms"), Allowed::ReadOnly);
            violations.check(
                read || kind.patience_ms == 0,
                &path("patience_ms"),
                Allowed::ReadOnly,
            );
            let is_blank = |statement: &String| statement.trim().is_empty();
            let valid = !kind.statements.iter().any(is_blank);
            violations.check(valid, &path("statements"), Allowed::Statement);
        }
    }
}

fn check_teams(violations: &mut Violations, teams: &BTreeMap<Name, Team>) {
    let mut known = BTreeSet::new();
    for (name, team) in teams {
        let unique = team.keys.iter().filter(|key| !known.insert(**key)).count() == 0;
        violations.check(unique, &["teams", name.as_str(), "keys"], Allowed::UniqueKeys);
        let Some(quota) = team.quota else { continue };
        let path = |key| ["teams", name.as_str(), "quota", key];
        violations.check(
            is_not_negative(quota.rate_per_s),
            &path("rate_per_s"),
            Allowed::NotNegative,
        );
        violations.check(is_not_negative(quota.burst), &path("burst"), Allowed::NotNegative);
    }
}

fn check_service(violations: &mut Violations, name: &Name, service: &Service) {
    let name = name.as_str();
    violations.check(service.weight > 0, &["services", name, "weight"], Allowed::Positive);
    check_limits(violations, ["services", name], &service.limits);
    for (index, objective) in service.objectives.iter().enumerate() {
        let index = index.to_string();
        let path = |key| ["services", name, "objectives", index.as_str(), key];
        violations.check(is_share(objective.target), &path("target"), Allowed::Share);
        let needs_limit = objective.measure != Measure::Answered;
        let valid = needs_limit == (objective.within_ms > 0);
        violations.check(valid, &path("within_ms"), Allowed::Limit);
    }
}

fn check_limits(violations: &mut Violations, [table, name]: [&str; 2], limits: &Limits) {
    let limit = |key| [table, name, "limits", key];
    violations.check(limits.queue > 0, &limit("queue"), Allowed::Positive);
    violations.check(limits.deadline_ms > 0, &limit("deadline_ms"), Allowed::Positive);
    violations.check(
        limits.idle_transaction_ms > 0,
        &limit("idle_transaction_ms"),
        Allowed::Positive,
    );
    violations.check(is_share(limits.retry_share), &limit("retry_share"), Allowed::Share);
}

fn is_not_negative(value: f64) -> bool {
    value >= 0.0 && value.is_finite()
}

fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

//! Queries of the data path: access of services to groups and servers, limits, and
//! rules for requests.

use std::time::Duration;

use base::name::Name;

use crate::key::Digest;
use crate::model::{Class, Declarations, Kind, Labels, Limits, Selector, Service};

/// Weight of the service that a database implies; databases declare no weight.
const DATABASE_WEIGHT: u32 = 1;

/// Rule by which a request is run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Name of the kind that matched; `None` if no kind matched.
    pub kind: Option<Name>,
    /// Class of the request.
    pub class: Class,
    /// Greatest age of the data that a read may return; zero if the read must include
    /// every write acknowledged before it arrived.
    pub age: Duration,
    /// Time that a read may wait for a replica to become recent enough.
    pub patience: Duration,
}

impl Rule {
    /// Rule of a request that matches no declared kind: a write that runs at most once.
    pub const UNDECLARED: Self =
        Self { kind: None, class: Class::Write, age: Duration::ZERO, patience: Duration::ZERO };

    fn new(name: &Name, kind: &Kind) -> Self {
        Self {
            kind: Some(name.clone()),
            class: kind.class,
            age: Duration::from_millis(kind.age_ms),
            patience: Duration::from_millis(kind.patience_ms),
        }
    }
}

impl Declarations {
    /// Whether a service may access a group: a selector allows the access, or the group
    /// holds the database of the service.
    pub fn can_access_group(&self, service: &str, group: &str) -> bool {
        self.holds_database(service, group)
            || self.matching_selectors(service, group).next().is_some()
    }

    /// Whether a service may access a server with these labels in a group.
    pub fn can_access_server(&self, service: &str, group: &str, labels: &Labels) -> bool {
        let selected =
            || self.matching_selectors(service, group).any(|s| matches(&s.backends, labels));
        self.holds_database(service, group) || selected()
    }

    /// Whether the group holds the database that implies a service.
    fn holds_database(&self, service: &str, group: &str) -> bool {
        self.databases.get(service).is_some_and(|database| database.group.as_str() == group)
    }

    /// Name of the team that holds a key.
    pub fn team_of(&self, key: &Digest) -> Option<&Name> {
        let teams = self.teams.as_ref()?;
        teams.iter().find(|(_, team)| team.keys.contains(key)).map(|(name, _)| name)
    }

    /// Name, weight and limits of a service that is declared, or that a declared
    /// database implies.
    pub fn limits(&self, service: &str) -> Option<(&Name, u32, &Limits)> {
        if let Some((name, service)) = self.services.get_key_value(service) {
            return Some((name, service.weight, &service.limits));
        }
        let (name, database) = self.databases.get_key_value(service)?;
        Some((name, DATABASE_WEIGHT, &database.limits))
    }

    /// The rule for a request. The tag names the kind; without a tag, the first kind
    /// that declares a prefix of the statement is used. A tag that names no declared
    /// kind, or a statement without a matching prefix, gives [`Rule::UNDECLARED`].
    pub fn rule(&self, service: &str, group: &str, tag: Option<&str>, statement: &str) -> Rule {
        let kinds = || self.matching_selectors(service, group).flat_map(|selector| &selector.kinds);
        let found = if let Some(tag) = tag {
            kinds().find(|(name, _)| name.as_str() == tag)
        } else {
            let statement = normalize(statement);
            kinds().find(|(_, kind)| has_prefix(kind, &statement))
        };
        found.map_or(Rule::UNDECLARED, |(name, kind)| Rule::new(name, kind))
    }

    /// The selectors that allow a service to access a group; none if the group or the
    /// service isn't declared.
    fn matching_selectors<'a>(
        &'a self,
        service: &str,
        group: &'a str,
    ) -> impl Iterator<Item = &'a Selector> + use<'a> {
        let service = self.services.get(service);
        let is_declared = self.groups.contains_key(group);
        self.selectors.values().filter(move |selector| {
            is_declared && service.is_some_and(|service| allows_access(selector, service, group))
        })
    }
}

fn allows_access(selector: &Selector, service: &Service, group: &str) -> bool {
    let covers_group =
        selector.groups.is_empty() || selector.groups.iter().any(|n| n.as_str() == group);
    covers_group && matches(&selector.services, &service.labels)
}

fn matches(wanted: &Labels, labels: &Labels) -> bool {
    wanted.iter().all(|(key, value)| labels.get(key) == Some(value))
}

fn has_prefix(kind: &Kind, statement: &str) -> bool {
    kind.statements.iter().any(|prefix| statement.starts_with(&normalize(prefix)))
}

/// Converts a text to lower case, with single spaces between words.
fn normalize(text: &str) -> String {
    let mut words = text.split_whitespace();
    let mut normal = words.next().unwrap_or_default().to_lowercase();
    for word in words {
        normal.push(' ');
        normal.push_str(&word.to_lowercase());
    }
    normal
}

//! What the data path asks of the declarations.

use std::time::Duration;

use base::name::Name;

use crate::model::{Class, Declarations, Kind, Labels, Limits, Selector, Service};

/// Weight of the service of a database.
const DATABASE_WEIGHT: u32 = 1;

/// How one request is to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Kind that matched, if one did.
    pub kind: Option<Name>,
    /// How it may be run.
    pub class: Class,
    /// Age that a read accepts; zero for none.
    pub age: Duration,
    /// Time that a read may wait for a replica.
    pub patience: Duration,
}

impl Rule {
    /// The rule of a request that nothing declares: a write, at most once.
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
    /// Whether a group is open to a service: by a selector, or as the group of
    /// the service's database.
    pub fn can_access_group(&self, service: &str, group: &str) -> bool {
        self.holds(service, group) || self.selecting(service, group).next().is_some()
    }

    /// Whether a service may reach a server of a group that has these labels.
    pub fn can_access_server(&self, service: &str, group: &str, labels: &Labels) -> bool {
        let selected = || self.selecting(service, group).any(|s| matches(&s.backends, labels));
        self.holds(service, group) || selected()
    }

    /// Whether the service is that of a database in the group.
    fn holds(&self, service: &str, group: &str) -> bool {
        self.databases.get(service).is_some_and(|database| database.group.as_str() == group)
    }

    /// Name, weight and limits of a service, declared by itself or as a database.
    pub fn limits(&self, service: &str) -> Option<(&Name, u32, &Limits)> {
        if let Some((name, service)) = self.services.get_key_value(service) {
            return Some((name, service.weight, &service.limits));
        }
        let (name, database) = self.databases.get_key_value(service)?;
        Some((name, DATABASE_WEIGHT, &database.limits))
    }

    /// The rule for a request, by the kind that its tag names, else by how its
    /// statement begins. A tag that no selector knows gives
    /// [`Rule::UNDECLARED`], as does a statement that none matches.
    pub fn rule(&self, service: &str, group: &str, tag: Option<&str>, statement: &str) -> Rule {
        let kinds = || self.selecting(service, group).flat_map(|selector| &selector.kinds);
        let found = if let Some(tag) = tag {
            kinds().find(|(name, _)| name.as_str() == tag)
        } else {
            let statement = normalize(statement);
            kinds().find(|(_, kind)| begins(kind, &statement))
        };
        found.map_or(Rule::UNDECLARED, |(name, kind)| Rule::new(name, kind))
    }

    fn selecting<'a>(
        &'a self,
        service: &str,
        group: &'a str,
    ) -> impl Iterator<Item = &'a Selector> + use<'a> {
        let service = self.services.get(service);
        let known = self.groups.contains_key(group);
        self.selectors.values().filter(move |selector| {
            known && service.is_some_and(|service| selects(selector, service, group))
        })
    }
}

fn selects(selector: &Selector, service: &Service, group: &str) -> bool {
    let named = selector.groups.is_empty() || selector.groups.iter().any(|n| n.as_str() == group);
    named && matches(&selector.services, &service.labels)
}

fn matches(wanted: &Labels, labels: &Labels) -> bool {
    wanted.iter().all(|(key, value)| labels.get(key) == Some(value))
}

fn begins(kind: &Kind, statement: &str) -> bool {
    kind.statements.iter().any(|prefix| statement.starts_with(&normalize(prefix)))
}

fn normalize(text: &str) -> String {
    let mut words = text.split_whitespace();
    let mut normal = words.next().unwrap_or_default().to_lowercase();
    for word in words {
        normal.push(' ');
        normal.push_str(&word.to_lowercase());
    }
    normal
}

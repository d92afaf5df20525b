//! Workloads: sizes, names, declarations and traffic mix.

use std::collections::BTreeMap;

use base::prelude::*;
use config::{Class, Declarations, Group, Kind, Selector, Service};
use rand::{Rng, RngExt};

/// A workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Scenario {
    /// Registrations for shows: mostly writes, and reads that must be current.
    Lakeshore,
    /// Tour bookings: mostly reads of seat maps, which may be 5 seconds old.
    Egbolt,
}

/// Sizes of a workload's groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Largest number of statements that a server runs concurrently.
    pub slots: usize,
    /// Largest number of concurrent data connections that a server accepts.
    pub connections: usize,
    /// Replication lag of each group.
    pub lags: [Duration; GROUPS],
}

/// Number of groups.
pub const GROUPS: usize = 3;

/// Number of backend servers of a group.
pub const SERVERS_PER_GROUP: usize = 3;

/// Kind of reads that must see the session's own writes.
pub const OWN_READ_KIND: &str = "own-status";

/// Kind of idempotent writes.
pub const IDEMPOTENT_KIND: &str = "counter-set";

/// A request that a caller can send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Request {
    /// An insert that must run at most once, such as a booking.
    Insert,
    /// A transaction of several statements that must run at most once.
    Payment,
    /// An idempotent update of the session's own counter.
    CounterSet,
    /// A read of the session's own counter.
    OwnStatus,
    /// A read of data that all sessions share, such as a ring list or a seat map.
    SharedRead,
}

impl Scenario {
    /// Sizes of the workload's groups.
    pub fn sizes(self) -> Sizes {
        let lags = [20, 80, 200].map(Duration::from_millis);
        match self {
            Self::Lakeshore => Sizes { slots: 2, connections: 16, lags },
            Self::Egbolt => Sizes { slots: 3, connections: 40, lags },
        }
    }

    /// Names of the availability zones.
    pub fn zones(self) -> &'static [&'static str] {
        match self {
            Self::Lakeshore => &["lansing", "toledo", "green-bay"],
            Self::Egbolt => &["hu-central-a", "hu-central-b", "hu-central-c", "hu-central-d"],
        }
    }

    /// Name of the group at `index`.
    pub fn group(self, index: usize) -> String {
        match self {
            Self::Lakeshore => format!("entries-{}", index + 1),
            Self::Egbolt => format!("tours-{}", index + 1),
        }
    }

    /// Names of the services that callers connect as.
    pub fn services(self) -> [&'static str; 3] {
        match self {
            Self::Lakeshore => ["entry-desk", "payments", "ring-lists"],
            Self::Egbolt => ["booking", "seat-map", "dispatch"],
        }
    }

    /// Kind of the reads of shared data.
    pub fn shared_kind(self) -> &'static str {
        match self {
            Self::Lakeshore => "ring-list",
            Self::Egbolt => "seat-map",
        }
    }

    /// Greatest age of the data that reads of shared data accept.
    pub fn shared_age(self) -> Duration {
        match self {
            Self::Lakeshore => Duration::ZERO,
            Self::Egbolt => Duration::from_secs(5),
        }
    }

    /// Draws the next request from the workload's mix.
    pub fn draw(self, rng: &mut impl Rng) -> Request {
        let percent = rng.random_range(0..100);
        let (insert, payment, counter, own) = match self {
            Self::Lakeshore => (35, 50, 60, 75),
            Self::Egbolt => (8, 14, 20, 30),
        };
        match percent {
            _ if percent < insert => Request::Insert,
            _ if percent < payment => Request::Payment,
            _ if percent < counter => Request::CounterSet,
            _ if percent < own => Request::OwnStatus,
            _ => Request::SharedRead,
        }
    }

    /// Declarations of the groups, services and kinds that the traffic uses.
    pub fn declarations(self) -> Declarations {
        let group = || Group { servers: SERVERS_PER_GROUP as u32, ..Group::default() };
        let groups = (0..GROUPS).map(|index| (name(&self.group(index)), group())).collect();
        let service = || Service {
            labels: BTreeMap::new(),
            weight: 1,
            limits: config::Limits::default(),
            objectives: Vec::new(),
        };
        let services = self.services().map(name);
        let services = services.into_iter().map(|name| (name, service())).collect();
        let selector = Selector {
            services: BTreeMap::new(),
            groups: Vec::new(),
            backends: BTreeMap::new(),
            kinds: self.kinds(),
        };
        let selectors = BTreeMap::from([(name("all"), selector)]);
        Declarations { groups, services, selectors, ..Declarations::default() }
    }

    fn kinds(self) -> BTreeMap<Name, Kind> {
        let read = |age: Duration| Kind {
            class: Class::Read,
            age_ms: age.as_millis() as u64,
            patience_ms: if age.is_zero() { PATIENCE_CURRENT_MS } else { PATIENCE_AGED_MS },
            statements: Vec::new(),
        };
        let idempotent = Kind { class: Class::Idempotent, ..Kind::default() };
        BTreeMap::from([
            (name(self.shared_kind()), read(self.shared_age())),
            (name(OWN_READ_KIND), read(Duration::ZERO)),
            (name(IDEMPOTENT_KIND), idempotent),
        ])
    }
}

/// Time that a read of current data may wait for a replica to become recent enough,
/// in milliseconds.
const PATIENCE_CURRENT_MS: u64 = 250;

/// Time that a read of data of some age may wait for a replica to become recent
/// enough, in milliseconds.
const PATIENCE_AGED_MS: u64 = 50;

fn name(text: &str) -> Name {
    Name::new(text).expect("names of the scenarios are valid")
}

//! The declarations as types.
//!
//! Operators write declarations as TOML. The control log carries them as their
//! canonical text, which is JSON (see [`crate::text`]).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::name::Name;
use serde::{Deserialize, Serialize};

use crate::key::Digest;

/// Labels of a service or a backend server.
pub type Labels = BTreeMap<Name, Name>;

/// All declarations of one configuration version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declarations {
    /// Database groups, by name.
    #[serde(default)]
    pub groups: BTreeMap<Name, Group>,
    /// Services, by name. A service logs in under its name.
    #[serde(default)]
    pub services: BTreeMap<Name, Service>,
    /// Selectors, by name.
    #[serde(default)]
    pub selectors: BTreeMap<Name, Selector>,
    /// Databases, by name. Callers that use another protocol than that of PostgreSQL
    /// connect to a database.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub databases: BTreeMap<Name, Database>,
    /// Teams, by name; `None` if callers of databases aren't identified.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub teams: Option<BTreeMap<Name, Team>>,
}

/// A team, whose callers are identified by one of its keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Digests of the keys that identify callers of the team.
    #[serde(default)]
    pub keys: BTreeSet<Digest>,
    /// Priority of the team among teams whose requests have the same priority; zero is the
    /// highest.
    #[serde(default)]
    pub priority: u32,
    /// Limit on the operations of the team over all entries; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}

/// Rate limit of a team. An operation is a single statement or a whole transaction.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Operations per second that are allowed in the long run.
    pub rate_per_s: f64,
    /// Operations that are allowed at once after a rest.
    pub burst: f64,
}

/// A database group. The servers of a group aren't declared: they announce
/// themselves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Number of servers in the group, from which the size of a majority is
    /// computed.
    pub servers: u32,
    /// Whether the group elects its own primary. The system then promotes no
    /// server of the group.
    #[serde(default)]
    pub elects: bool,
    /// Whether the servers answer a commit only after a replica has received
    /// the commit, so that the keeper doesn't have to ask a majority.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub acknowledges: bool,
    /// Total number of connections that each server accepts; zero if the
    /// servers announce their limit themselves.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub connections: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// A database that callers connect to by name if they use another protocol than
/// that of PostgreSQL. The callers belong to a service of the same name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Group that holds the database.
    pub group: Name,
    /// Greatest age of the data that a read may return, in milliseconds; zero if
    /// reads must include every write acknowledged before they arrived.
    #[serde(default)]
    pub age_ms: u64,
    /// Declared priority under contention; zero is the highest. Keepers of unfenced groups
    /// serve waiting requests of a higher priority first.
    #[serde(default)]
    pub priority: u32,
    /// Time within which an operation should end, in milliseconds; zero for no
    /// objective.
    #[serde(default)]
    pub objective_ms: u64,
    /// Limits on the requests and transactions of the database's callers.
    #[serde(default)]
    pub limits: Limits,
    /// Whether callers need no key of a team.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// A service, whose callers share a login, limits and objectives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Share of the capacity under contention, relative to other services.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limits on the requests and transactions of the service.
    #[serde(default)]
    pub limits: Limits,
    /// Service-level objectives of the service.
    #[serde(default)]
    pub objectives: Vec<Objective>,
}

fn default_weight() -> u32 {
    1
}

/// Limits of a service. Each keeper applies them separately.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest number of requests that may be open, waiting or running, at a keeper.
    /// Further requests are refused unless they belong to an open transaction.
    pub queue: u32,
    /// Total time that a request may take, in milliseconds.
    pub deadline_ms: u64,
    /// Share of the requests that may be retried, from 0 to 1.
    pub retry_share: f64,
    /// Time that a transaction may be idle, in milliseconds.
    pub idle_transaction_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { queue: 1_024, deadline_ms: 15_000, retry_share: 0.1, idle_transaction_ms: 60_000 }
    }
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Measure by which a request counts as good or bad.
    pub measure: Measure,
    /// Share of requests that must be good, from 0 to 1.
    pub target: f64,
    /// Limit up to which a request is good, in milliseconds; zero for a measure
    /// without a limit.
    #[serde(default)]
    pub within_ms: u64,
}

/// Measure of an objective, which decides whether a request is good.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Measure {
    /// Good requests are done within the limit.
    Latency,
    /// Good requests are done, however long they take.
    Answered,
    /// Good writes are done within the limit, so that a failover pauses writes no
    /// longer than the limit.
    FailoverGap,
    /// Good reads return data no older than the limit.
    ReadAge,
}

/// A rule that allows services to access backend servers, and that declares the
/// kinds of their requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// Labels that a service must have; empty to match every service.
    #[serde(default)]
    pub services: Labels,
    /// Groups that the services may access; empty for all groups.
    #[serde(default)]
    pub groups: Vec<Name>,
    /// Labels that a backend server must have; empty to match every server.
    #[serde(default)]
    pub backends: Labels,
    /// Kinds of request, by name.
    #[serde(default)]
    pub kinds: BTreeMap<Name, Kind>,
}

/// Class of a kind of request: whether the request may write, and whether it may
/// be retried.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// The request may write and runs at most once.
    #[default]
    Write,
    /// The request may write, and may be retried once the previous attempt is known
    /// to have ended.
    Idempotent,
    /// The request only reads.
    Read,
}

/// A kind of request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Class of the requests of this kind.
    pub class: Class,
    /// Greatest age of the data that a read may return, in milliseconds; zero if
    /// the read must include every write acknowledged before it arrived.
    #[serde(default)]
    pub age_ms: u64,
    /// Time that a read may wait for a replica to become recent enough, in
    /// milliseconds.
    #[serde(default)]
    pub patience_ms: u64,
    /// Prefixes of the statements that belong to this kind, in addition to the
    /// statements tagged with its name. Case and the amount of white space are
    /// ignored.
    #[serde(default)]
    pub statements: Vec<String>,
}

impl Service {
    /// Total time that a request of the service may take.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.limits.deadline_ms)
    }
}

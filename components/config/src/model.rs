//! The declarations as types.
//!
//! Serialised as JSON with sorted keys they are the canonical text that the
//! control log carries; operators write them as TOML.

use std::collections::BTreeMap;
use std::time::Duration;

use base::name::Name;
use serde::{Deserialize, Serialize};

/// Labels of a service or a backend server.
pub type Labels = BTreeMap<Name, Name>;

/// All declarations of one configuration version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declarations {
    /// Database groups, by name.
    #[serde(default)]
    pub groups: BTreeMap<Name, Group>,
    /// Services, by name; a service logs in under its name.
    #[serde(default)]
    pub services: BTreeMap<Name, Service>,
    /// Selectors, by name.
    #[serde(default)]
    pub selectors: BTreeMap<Name, Selector>,
    /// Databases that callers of plain statements connect to, by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub databases: BTreeMap<Name, Database>,
}

/// A database group. Which servers it has, they announce themselves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Number of servers; a majority is counted against it.
    pub servers: u32,
    /// Whether the group elects its own primary; the system then orders none.
    #[serde(default)]
    pub elects: bool,
    /// Whether its servers answer a commit only once a replica has received
    /// it, so that the keeper need not ask a majority.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub acknowledges: bool,
    /// Connections that each server accepts in all; zero where the servers
    /// announce it themselves.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub connections: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// A database as callers of plain statements know it. Its callers belong to a
/// service of the same name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Group that holds it.
    pub group: Name,
    /// Age that reads accept, in milliseconds; zero for none.
    #[serde(default)]
    pub age_ms: u64,
    /// Rank under contention; zero goes first.
    #[serde(default)]
    pub priority: u32,
    /// Time in which an operation is to be over, in milliseconds; zero for none.
    #[serde(default)]
    pub objective_ms: u64,
    /// Limits of its callers.
    #[serde(default)]
    pub limits: Limits,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Share under contention, relative to other services.
    #[serde(default = "one")]
    pub weight: u32,
    /// Limits of the service.
    #[serde(default)]
    pub limits: Limits,
    /// What its callers are promised.
    #[serde(default)]
    pub objectives: Vec<Objective>,
}

fn one() -> u32 {
    1
}

/// Limits of a service, at each keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests that may wait.
    pub queue: u32,
    /// Time a request may take in all, in milliseconds.
    pub deadline_ms: u64,
    /// Share of its requests that may be tried again.
    pub retry_share: f64,
    /// Time that a transaction may stand idle, in milliseconds.
    pub idle_transaction_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { queue: 1_024, deadline_ms: 15_000, retry_share: 0.1, idle_transaction_ms: 60_000 }
    }
}

/// An objective of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// What is counted.
    pub measure: Measure,
    /// Share of requests that must be good, from 0 to 1.
    pub target: f64,
    /// Limit of a good request in milliseconds, for measures with one.
    #[serde(default)]
    pub within_ms: u64,
}

/// What an objective counts.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Measure {
    /// Answered within the limit.
    Latency,
    /// Answered at all, done.
    Answered,
    /// Writes paused no longer than the limit.
    FailoverGap,
    /// Reads no older than the limit.
    ReadAge,
}

/// Which services may reach which backend servers, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// Labels that a service must have; none match each service.
    #[serde(default)]
    pub services: Labels,
    /// Groups that it opens; empty for all.
    #[serde(default)]
    pub groups: Vec<Name>,
    /// Labels that a backend server must have; none match each server.
    #[serde(default)]
    pub backends: Labels,
    /// Kinds of request, by name.
    #[serde(default)]
    pub kinds: BTreeMap<Name, Kind>,
}

/// How requests of a kind may be run.
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
    /// May write; at most once.
    #[default]
    Write,
    /// May write; may be run again once the first try is over.
    Idempotent,
    /// Reads only.
    Read,
}

/// A kind of request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// How it may be run.
    pub class: Class,
    /// Age that a read accepts, in milliseconds; zero for none.
    #[serde(default)]
    pub age_ms: u64,
    /// Time that a read may wait for a replica, in milliseconds.
    #[serde(default)]
    pub patience_ms: u64,
    /// Beginnings of the statements that are of this kind, besides those
    /// tagged with its name; case and runs of white space don't count.
    #[serde(default)]
    pub statements: Vec<String>,
}

impl Service {
    /// The deadline of its requests.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.limits.deadline_ms)
    }
}

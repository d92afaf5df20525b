//! Systems under load, and the faults that a run injects into them.

use std::net::SocketAddr;

use base::prelude::*;
use slog::Logger;
use standin::Group;
use standin::counters::Counts;

use crate::failure::Failure;
use crate::scenario::{GROUPS, SERVERS_PER_GROUP, Scenario};

/// A fault that is injected repeatedly during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    None,
    /// The process of a group's primary crashes.
    PrimaryCrash,
    /// A group's primary is partitioned from its replicas.
    PrimaryPartition,
    /// The replication lag of a group rises to [`FAULT_LAG`].
    ReplicaLag,
    /// An entry crashes.
    EntryCrash,
    /// A control member is isolated from the network.
    ControlIsolated,
    /// Entries are shut down gracefully and restarted one after another.
    RollingRestart,
    /// A primary and an entry crash together; soon after, another group's
    /// primary is partitioned.
    Double,
}

impl Fault {
    /// Whether the fault takes the primary away, so that acknowledged writes of
    /// the group pause until a replica is promoted.
    pub fn causes_failover(self) -> bool {
        matches!(self, Self::PrimaryCrash | Self::PrimaryPartition | Self::Double)
    }
}

/// The state of a group at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Status that each server reports.
    pub statuses: Vec<Status>,
    /// Counters of each server.
    pub counts: Vec<Counts>,
    /// Address of the running primary of the highest term.
    pub primary: Option<SocketAddr>,
}

impl Snapshot {
    /// Takes a snapshot of a group.
    pub fn of(group: &Group) -> Self {
        let primary = group.primary().map(|index| group.servers()[index]);
        Self { statuses: group.statuses(), counts: group.counts(), primary }
    }
}

/// A system under load: groups, and the addresses at which callers reach them.
pub trait Bench: Send + Sync {
    /// Addresses that callers of each group can connect to, by group.
    fn addresses(&self) -> impl Future<Output = Vec<Vec<SocketAddr>>> + Send;

    /// Takes a snapshot of a group's servers.
    fn snapshot(&self, group: usize) -> impl Future<Output = Snapshot> + Send;

    /// Injects a fault into a group. `round` is the number of faults injected
    /// before and selects the entry or control member to hit.
    fn inject(
        &mut self,
        fault: Fault,
        group: usize,
        round: usize,
    ) -> impl Future<Output = Result<(), Report<Failure>>> + Send;

    /// Removes all faults.
    fn heal(&mut self) -> impl Future<Output = Result<(), Report<Failure>>> + Send;

    /// Shuts the system down.
    fn stop(self) -> impl Future<Output = ()> + Send;
}

/// Groups without a proxy: callers connect to the primaries directly.
#[derive(Debug)]
pub struct Direct {
    groups: Vec<Group>,
}

impl Direct {
    /// Starts the groups of a workload, each with a primary.
    ///
    /// # Errors
    /// [`Failure::Start`] when a group does not start.
    pub async fn start(
        scenario: Scenario,
        seed: u64,
        log: &Logger,
    ) -> Result<Self, Report<Failure>> {
        let mut groups = Vec::new();
        for index in 0..GROUPS {
            let settings = settings(scenario, index, seed, log);
            let settings = standin::Settings { settled: true, ..settings };
            groups.push(Group::start(settings).await.change_context(Failure::Start)?);
        }
        Ok(Self { groups })
    }

    /// The groups in the order of the scenario.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }
}

/// Settings of the group at `index` of a workload.
pub fn settings(scenario: Scenario, index: usize, seed: u64, log: &Logger) -> standin::Settings {
    let sizes = scenario.sizes();
    let name = |text: &str| Name::new(text).expect("names of the scenarios are valid");
    standin::Settings {
        zones: scenario.zones().iter().map(|zone| name(zone)).collect(),
        servers: SERVERS_PER_GROUP,
        slots: sizes.slots,
        connections: sizes.connections,
        lag: sizes.lags[index],
        seed,
        log: log.clone(),
        ..standin::Settings::new(name(&scenario.group(index)))
    }
}

impl Bench for Direct {
    async fn addresses(&self) -> Vec<Vec<SocketAddr>> {
        let primary = |group: &Group| group.servers()[group.primary().unwrap_or_default()];
        self.groups.iter().map(|group| vec![primary(group)]).collect()
    }

    async fn snapshot(&self, group: usize) -> Snapshot {
        Snapshot::of(&self.groups[group])
    }

    async fn inject(
        &mut self,
        fault: Fault,
        group: usize,
        _round: usize,
    ) -> Result<(), Report<Failure>> {
        let fault = match fault {
            Fault::ReplicaLag => standin::Fault::ReplicaLag(FAULT_LAG),
            Fault::PrimaryPartition => standin::Fault::PrimaryPartition,
            // the other faults need entries or control members; without control members,
            // no replica is promoted after a crash
            _ => return Err(Report::new(Failure::Fault)),
        };
        self.groups[group].inject(fault).await.change_context(Failure::Fault)
    }

    async fn heal(&mut self) -> Result<(), Report<Failure>> {
        for group in &self.groups {
            group.inject(standin::Fault::Heal).await.change_context(Failure::Fault)?;
        }
        Ok(())
    }

    async fn stop(self) {
        for group in self.groups {
            group.stop().await;
        }
    }
}

/// Replication lag that [`Fault::ReplicaLag`] sets.
pub const FAULT_LAG: Duration = Duration::from_secs(5);

//! What the load runs against, and the faults it can suffer.

use std::net::SocketAddr;

use base::prelude::*;
use slog::Logger;
use standin::Group;
use standin::counters::Counts;

use crate::failure::Failure;
use crate::scenario::{GROUPS, SERVERS_PER_GROUP, Scenario};

/// A fault, put on the bench again and again during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// None.
    None,
    /// A primary's process ends.
    PrimaryCrash,
    /// A primary loses its replicas.
    PrimaryPartition,
    /// Replicas fall far behind.
    ReplicaLag,
    /// An entry's process ends.
    EntryCrash,
    /// A control member is cut off.
    ControlIsolated,
    /// Entries are stopped as planned and started again, one by one.
    RollingRestart,
    /// A primary and an entry end at once, and another primary soon after.
    Double,
}

impl Fault {
    /// Whether writes of the group are to be watched for a pause.
    pub fn causes_failover(self) -> bool {
        matches!(self, Self::PrimaryCrash | Self::PrimaryPartition | Self::Double)
    }
}

/// A group as it stands.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// What each server says of itself.
    pub statuses: Vec<Status>,
    /// What each server has counted.
    pub counts: Vec<Counts>,
    /// Address of the running primary of the highest term.
    pub primary: Option<SocketAddr>,
}

impl Snapshot {
    /// Looks at a group.
    pub fn of(group: &Group) -> Self {
        let primary = group.primary().map(|index| group.servers()[index]);
        Self { statuses: group.statuses(), counts: group.counts(), primary }
    }
}

/// What the load runs against.
pub trait Bench: Send + Sync {
    /// Where callers of each group find entries.
    fn addresses(&self) -> impl Future<Output = Vec<Vec<SocketAddr>>> + Send;

    /// Looks at a group's servers.
    fn snapshot(&self, group: usize) -> impl Future<Output = Snapshot> + Send;

    /// Puts a fault on the bench, aimed at a group; `round` counts the faults.
    fn inject(
        &mut self,
        fault: Fault,
        group: usize,
        round: usize,
    ) -> impl Future<Output = Result<(), Report<Failure>>> + Send;

    /// Ends all faults.
    fn heal(&mut self) -> impl Future<Output = Result<(), Report<Failure>>> + Send;

    /// Ends the bench.
    fn stop(self) -> impl Future<Output = ()> + Send;
}

/// Groups that callers reach without a proxy, at their primaries.
#[derive(Debug)]
pub struct Direct {
    groups: Vec<Group>,
}

impl Direct {
    /// Starts the groups of a workload, each with a primary.
    ///
    /// # Errors
    /// [`Failure::Start`].
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

    /// The groups, in their order.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }
}

/// Settings of a workload's group, by the workload's sizes.
pub fn settings(scenario: Scenario, index: usize, seed: u64, log: &Logger) -> standin::Settings {
    let sizes = scenario.sizes();
    let name = |text: &str| Name::new(text).expect("the scenarios' names are valid");
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
            // without control nobody would promote another primary
            _ => return Err(Report::new(Failure::Fault)),
        };
        self.groups[group].fault(fault).await.change_context(Failure::Fault)
    }

    async fn heal(&mut self) -> Result<(), Report<Failure>> {
        for group in &self.groups {
            group.fault(standin::Fault::Heal).await.change_context(Failure::Fault)?;
        }
        Ok(())
    }

    async fn stop(self) {
        for group in self.groups {
            group.stop().await;
        }
    }
}

/// Lag of replicas that are far behind.
pub const FAULT_LAG: Duration = Duration::from_secs(5);

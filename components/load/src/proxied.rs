//! Entries, control members and groups in this process, as a system under load.

use std::net::SocketAddr;

use base::prelude::*;
use local::{Cluster, admin};
use slog::{Logger, warn};

use crate::bench::{Bench, FAULT_LAG, Fault, Snapshot};
use crate::failure::Failure;
use crate::scenario::{GROUPS, Scenario};

const ENTRIES: usize = 9;
const CONTROLS: usize = 3;
const START_ATTEMPTS: usize = 50;
const DECLARE_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(100);
const SECOND_FAULT_DELAY: Duration = Duration::from_millis(700);
// entries that one rolling restart stops one after another
const RESTARTS_PER_FAULT: usize = 3;

/// Entries, control members and groups on the loopback interface. Callers connect
/// to the entries.
#[derive(Debug)]
pub struct Proxied {
    cluster: Cluster,
    scenario: Scenario,
    killed: Vec<usize>,
    isolated: Vec<usize>,
    log: Logger,
}

impl Proxied {
    /// Starts all components and applies the declarations of the workload.
    ///
    /// # Errors
    /// [`Failure::Start`] when a component does not start or the declarations are
    /// not applied in time.
    pub async fn start(
        scenario: Scenario,
        seed: u64,
        log: &Logger,
    ) -> Result<Self, Report<Failure>> {
        let example = match scenario {
            Scenario::Lakeshore => local::Scenario::Lakeshore,
            Scenario::Egbolt => local::Scenario::Egbolt,
        };
        let settings = local::Settings {
            entries: ENTRIES,
            controls: CONTROLS,
            seed,
            ..local::Settings::new(example, log.clone())
        };
        let cluster = Cluster::start(settings).await.change_context(Failure::Start)?;
        let (killed, isolated) = (Vec::new(), Vec::new());
        let mut proxied = Self { cluster, scenario, killed, isolated, log: log.clone() };
        proxied.declare().await?;
        proxied.heal().await?;
        Ok(proxied)
    }

    // version 1 holds the declarations of the example, which the cluster applies
    async fn declare(&self) -> Result<(), Report<Failure>> {
        let content = self.scenario.declarations().canonical();
        let change = admin::Change { id: "load", base: 1, content: &content };
        let (client, admins) = (reqwest::Client::new(), self.cluster.admins());
        let status = admin::submit(&client, &admins, change, RETRY_DELAY, DECLARE_TIMEOUT).await;
        let is_applied = status.is_some_and(|status| status.is_success());
        if is_applied { Ok(()) } else { Err(Report::new(Failure::Start)) }
    }

    // A group that has no primary yet after an earlier fault is skipped.
    async fn inject_group(&self, group: usize, fault: standin::Fault) {
        let name = self.scenario.group(group);
        if let Err(report) = self.cluster.groups().inject(&name, fault).await {
            warn!(self.log, "could not inject a fault"; "group" => name, "error" => ?report);
        }
    }

    // While an entry is down, the kernel may give its port to a caller's outgoing
    // connection, so that the start has to be retried.
    async fn start_entry(&self, entry: usize) -> Result<(), Report<Failure>> {
        for _ in 0..START_ATTEMPTS {
            match self.cluster.start_entry(entry).await {
                Ok(()) => return Ok(()),
                Err(report) => {
                    warn!(self.log, "entry failed to start"; "entry" => entry, "error" => ?report);
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(Report::new(Failure::Fault))
    }

    async fn kill_entry(&mut self, round: usize) {
        let entry = round % ENTRIES;
        self.cluster.kill_entry(entry).await;
        self.killed.push(entry);
    }

    async fn inject_double(&mut self, group: usize, round: usize) {
        self.inject_group(group, standin::Fault::PrimaryCrash).await;
        self.kill_entry(round).await;
        tokio::time::sleep(SECOND_FAULT_DELAY).await;
        let other = (group + 1) % GROUPS;
        self.inject_group(other, standin::Fault::PrimaryPartition).await;
    }
}

impl Bench for Proxied {
    async fn addresses(&self) -> Vec<Vec<SocketAddr>> {
        let entries = self.cluster.entries().await;
        vec![entries; GROUPS]
    }

    async fn snapshot(&self, group: usize) -> Snapshot {
        let name = self.scenario.group(group);
        let snapshot = self.cluster.groups().inspect(&name, Snapshot::of).await;
        snapshot.expect("the cluster has the scenario's groups")
    }

    async fn inject(
        &mut self,
        fault: Fault,
        group: usize,
        round: usize,
    ) -> Result<(), Report<Failure>> {
        match fault {
            Fault::None => {}
            Fault::PrimaryCrash => self.inject_group(group, standin::Fault::PrimaryCrash).await,
            Fault::PrimaryPartition => {
                self.inject_group(group, standin::Fault::PrimaryPartition).await;
            }
            Fault::ReplicaLag => {
                self.inject_group(group, standin::Fault::ReplicaLag(FAULT_LAG)).await;
            }
            Fault::EntryCrash => self.kill_entry(round).await,
            Fault::ControlIsolated => {
                let control = round % CONTROLS;
                self.cluster.isolate_control(control, true).await;
                self.isolated.push(control);
            }
            Fault::RollingRestart => {
                for step in 0..RESTARTS_PER_FAULT {
                    let entry = (round * RESTARTS_PER_FAULT + step) % ENTRIES;
                    self.cluster.stop_entry(entry).await;
                    self.start_entry(entry).await?;
                }
            }
            Fault::Double => self.inject_double(group, round).await,
        }
        Ok(())
    }

    async fn heal(&mut self) -> Result<(), Report<Failure>> {
        let lags = self.scenario.sizes().lags;
        for (group, lag) in lags.into_iter().enumerate() {
            self.inject_group(group, standin::Fault::Heal).await;
            self.inject_group(group, standin::Fault::ReplicaLag(lag)).await;
        }
        for control in std::mem::take(&mut self.isolated) {
            self.cluster.isolate_control(control, false).await;
        }
        for entry in std::mem::take(&mut self.killed) {
            self.start_entry(entry).await?;
        }
        Ok(())
    }

    async fn stop(self) {
        self.cluster.stop().await;
    }
}

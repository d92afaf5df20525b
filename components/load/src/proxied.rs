//! The whole path in this process, as a bench.

use std::net::SocketAddr;

use base::prelude::*;
use local::{Cluster, admin};
use slog::{Logger, warn};

use crate::bench::{Bench, FAULT_LAG, Fault, Snapshot};
use crate::failure::Failure;
use crate::scenario::{GROUPS, Scenario};

const ENTRIES: usize = 9;
const CONTROLS: usize = 3;
const ATTEMPTS: usize = 50;
const DECLARE_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY: Duration = Duration::from_millis(100);
const SECOND_CRASH: Duration = Duration::from_millis(700);
// entries that one rolling restart stops in turn
const RESTARTED: usize = 3;

/// Entries, control members and groups on loopback.
#[derive(Debug)]
pub struct Proxied {
    cluster: Cluster,
    scenario: Scenario,
    killed: Vec<usize>,
    isolated: Vec<usize>,
    log: Logger,
}

impl Proxied {
    /// Starts all parts and puts the load's declarations in force.
    ///
    /// # Errors
    /// [`Failure::Start`].
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
        let mut whole = Self { cluster, scenario, killed, isolated, log: log.clone() };
        whole.declare().await?;
        whole.heal().await?;
        Ok(whole)
    }

    // the first change is that of the example
    async fn declare(&self) -> Result<(), Report<Failure>> {
        let content = self.scenario.declarations().canonical();
        let change = admin::Change { id: "load", base: 1, content: &content };
        let (client, admins) = (reqwest::Client::new(), self.cluster.admins());
        let told = admin::submit(&client, &admins, change, RETRY, DECLARE_TIMEOUT).await;
        let done = told.is_some_and(|status| status.is_success());
        if done { Ok(()) } else { Err(Report::new(Failure::Start)) }
    }

    // a group that has no primary yet after an earlier fault is passed over
    async fn fault(&self, group: usize, fault: standin::Fault) {
        let name = self.scenario.group(group);
        if let Err(report) = self.cluster.groups().inject(&name, fault).await {
            warn!(self.log, "a fault was passed over"; "group" => name, "error" => ?report);
        }
    }

    // while an entry is down, a caller's own socket may sit on its port
    async fn start_entry(&self, entry: usize) -> Result<(), Report<Failure>> {
        for _ in 0..ATTEMPTS {
            match self.cluster.start_entry(entry).await {
                Ok(()) => return Ok(()),
                Err(report) => {
                    warn!(self.log, "an entry did not start"; "entry" => entry, "error" => ?report);
                }
            }
            tokio::time::sleep(RETRY).await;
        }
        Err(Report::new(Failure::Fault))
    }

    async fn kill_entry(&mut self, round: usize) {
        let entry = round % ENTRIES;
        self.cluster.kill_entry(entry).await;
        self.killed.push(entry);
    }

    async fn double(&mut self, group: usize, round: usize) {
        self.fault(group, standin::Fault::PrimaryCrash).await;
        self.kill_entry(round).await;
        tokio::time::sleep(SECOND_CRASH).await;
        let other = (group + 1) % GROUPS;
        self.fault(other, standin::Fault::PrimaryPartition).await;
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
            Fault::PrimaryCrash => self.fault(group, standin::Fault::PrimaryCrash).await,
            Fault::PrimaryPartition => {
                self.fault(group, standin::Fault::PrimaryPartition).await;
            }
            Fault::ReplicaLag => {
                self.fault(group, standin::Fault::ReplicaLag(FAULT_LAG)).await;
            }
            Fault::EntryCrash => self.kill_entry(round).await,
            Fault::ControlIsolated => {
                let control = round % CONTROLS;
                self.cluster.isolate_control(control, true).await;
                self.isolated.push(control);
            }
            Fault::RollingRestart => {
                for step in 0..RESTARTED {
                    let entry = (round * RESTARTED + step) % ENTRIES;
                    self.cluster.stop_entry(entry).await;
                    self.start_entry(entry).await?;
                }
            }
            Fault::Double => self.double(group, round).await,
        }
        Ok(())
    }

    async fn heal(&mut self) -> Result<(), Report<Failure>> {
        let lags = self.scenario.sizes().lags;
        for (group, lag) in lags.into_iter().enumerate() {
            self.fault(group, standin::Fault::Heal).await;
            self.fault(group, standin::Fault::ReplicaLag(lag)).await;
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

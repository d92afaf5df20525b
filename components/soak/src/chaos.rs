//! Injects concurrent faults into a system and removes each one when its duration
//! ends.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;
use serde::Deserialize;
use tokio::sync::Mutex;
use tokio::task::{AbortHandle, JoinSet};

use crate::bench::System;
use crate::plan::{Fault, Plan, Step, Target};
use crate::process::Process;
use crate::proxy::{Mode, Proxy};

/// Longest wait for a control member's answer to a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of reads of the version at the end of a soak, after which an acknowledged
/// change counts as lost.
const VERSION_READS: usize = 100;

/// Time between two reads of the version.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The faults of a soak, and the versions of the declarations.
#[derive(Debug, Default)]
pub struct Summary {
    /// Descriptions of the injected faults, in order.
    pub faults: Vec<String>,
    /// Highest acknowledged version of the declarations.
    pub acknowledged: u64,
    /// Version of the declarations at the end of the soak.
    pub version: u64,
}

impl Summary {
    /// Whether an acknowledged change of the declarations was lost.
    pub fn is_reverted(&self) -> bool {
        self.version < self.acknowledged
    }
}

#[derive(Debug, Deserialize)]
struct Current {
    version: u64,
    content: String,
}

#[derive(Debug, Deserialize)]
struct Accepted {
    version: u64,
}

/// The fault injection of a soak, with the faults of one seed.
#[derive(Debug)]
pub struct Chaos {
    shared: Arc<Shared>,
    plan: Option<Plan>,
    task: Option<AbortHandle>,
}

#[derive(Debug)]
struct Shared {
    system: Arc<System>,
    faults: Mutex<Vec<String>>,
    acknowledged: AtomicU64,
    /// Tasks of the active faults; each removes its fault at the end.
    active: Mutex<JoinSet<()>>,
}

impl Chaos {
    /// Prepares the faults of a seed; [`Chaos::start`] starts to inject them.
    pub fn new(system: Arc<System>, seed: u64) -> Self {
        let plan = Some(Plan::new(seed, system.sizes()));
        let shared = Shared {
            system,
            faults: Mutex::default(),
            acknowledged: AtomicU64::new(1),
            active: Mutex::default(),
        };
        Self { shared: Arc::new(shared), plan, task: None }
    }

    /// Starts to inject the faults of the plan.
    pub fn start(&mut self) {
        if let Some(plan) = self.plan.take() {
            self.task = Some(tokio::spawn(run_plan(Arc::clone(&self.shared), plan)).abort_handle());
        }
    }

    /// Injects no further faults, and waits until each active fault is removed.
    pub async fn stop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        let mut active = self.shared.active.lock().await;
        while active.join_next().await.is_some() {}
    }

    /// Reports the injected faults and the version of the declarations. Reads the
    /// version from the first control member up to 100 times, every 100 ms, until it is
    /// not older than the acknowledged one. This takes up to about 10 seconds, or longer
    /// if that member does not answer.
    pub async fn report(&self) -> Summary {
        let acknowledged = self.shared.acknowledged.load(Ordering::Relaxed);
        let mut version = 0;
        for _ in 0..VERSION_READS {
            version = self.shared.current(0).await.map_or(version, |current| current.version);
            if version >= acknowledged {
                break;
            }
            tokio::time::sleep(VERSION_POLL_INTERVAL).await;
        }
        Summary { faults: self.shared.faults.lock().await.clone(), acknowledged, version }
    }
}

async fn run_plan(shared: Arc<Shared>, plan: Plan) {
    for step in plan {
        tokio::time::sleep(step.pause).await;
        shared.faults.lock().await.push(format!("{:?} for {:?}", step.fault, step.length));
        let task = apply(Arc::clone(&shared), step);
        shared.active.lock().await.spawn(task);
    }
}

async fn apply(shared: Arc<Shared>, step: Step) {
    let system = &shared.system;
    match step.fault {
        Fault::Signal(target, signal) => {
            let processes = system.processes(target);
            for process in processes {
                process.lock().await.signal(signal);
            }
            tokio::time::sleep(step.length).await;
            for process in processes {
                // a process that cannot be started fails the check that all components are
                // ready
                drop(process.lock().await.resume());
            }
        }
        Fault::Connections(target, mode) => {
            let proxies = system.proxies(target);
            set_mode(proxies, mode);
            tokio::time::sleep(step.length).await;
            set_mode(proxies, Mode::Pass);
        }
        Fault::Group(group, fault) => {
            // a group that has no primary yet after an earlier fault is skipped
            drop(system.groups[group].inject(fault).await);
            tokio::time::sleep(step.length).await;
            drop(system.groups[group].inject(standin::Fault::Heal).await);
        }
        Fault::Change => shared.change(step.length).await,
    }
}

fn set_mode(proxies: &[Proxy], mode: Mode) {
    for proxy in proxies {
        proxy.set(mode);
    }
}

impl System {
    fn processes(&self, target: Target) -> &[Mutex<Process>] {
        match target {
            Target::Control(index) => &self.controls[index..=index],
            Target::Controls => &self.controls,
            Target::Entry(index) => &self.entries[index..=index],
        }
    }

    fn proxies(&self, target: Target) -> &[Proxy] {
        match target {
            Target::Control(index) => &self.links[index..=index],
            Target::Controls => &self.links,
            Target::Entry(index) => &self.callers[index..=index],
        }
    }
}

impl Shared {
    /// Reads the declarations from a control member; `None` if the member does not
    /// answer.
    async fn current(&self, member: usize) -> Option<Current> {
        let admin = self.system.admins[member % self.system.admins.len()];
        let url = format!("http://{admin}/v1/config");
        let answer = self.system.client.get(url).timeout(REQUEST_TIMEOUT).send().await.ok()?;
        answer.json().await.ok()
    }

    /// Submits the current declarations, unchanged, as a new version. A conflict with a
    /// concurrent change and an unreachable member are not errors. The milliseconds of
    /// `spread` select the members to read from and to submit to.
    async fn change(&self, spread: Duration) {
        let member = spread.as_millis() as usize;
        let Some(current) = self.current(member).await else { return };
        let admin = self.system.admins[(member + 1) % self.system.admins.len()];
        let id = format!("change-{}-{member}", current.version);
        let change = serde_json::json!(
            { "change": id, "base": current.version, "content": current.content }
        );
        let url = format!("http://{admin}/v1/changes");
        let sent = self.system.client.post(url).timeout(REQUEST_TIMEOUT).json(&change).send().await;
        let Ok(answer) = sent else { return };
        if let Ok(Accepted { version }) = answer.json().await {
            self.acknowledged.fetch_max(version, Ordering::Relaxed);
        }
    }
}

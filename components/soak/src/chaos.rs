//! Puts faults on the parts, several at a time, and takes each back.

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

/// Longest wait for a member's answer to a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Questions for the version at the end before it is taken for lost.
const ATTEMPTS: usize = 100;

/// Time between two of them.
const POLL: Duration = Duration::from_millis(100);

/// What the faults were and what they showed.
#[derive(Debug, Default)]
pub struct Summary {
    /// Faults that were put on, in order.
    pub faults: Vec<String>,
    /// Highest version of the declarations that was acknowledged.
    pub acknowledged: u64,
    /// Version in force at the end.
    pub version: u64,
}

impl Summary {
    /// Whether a change that was acknowledged is gone.
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

/// Faults of one seed on the parts of one soak.
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
    /// Faults that are to be taken back.
    open: Mutex<JoinSet<()>>,
}

impl Chaos {
    /// Nothing happens before [`Chaos::start`].
    pub fn new(system: Arc<System>, seed: u64) -> Self {
        let plan = Some(Plan::new(seed, system.sizes()));
        let shared = Shared {
            system,
            faults: Mutex::default(),
            acknowledged: AtomicU64::new(1),
            open: Mutex::default(),
        };
        Self { shared: Arc::new(shared), plan, task: None }
    }

    /// Begins with the plan.
    pub fn start(&mut self) {
        if let Some(plan) = self.plan.take() {
            self.task = Some(tokio::spawn(follow(Arc::clone(&self.shared), plan)).abort_handle());
        }
    }

    /// Ends the plan and waits until each fault is taken back.
    pub async fn stop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        let mut open = self.shared.open.lock().await;
        while open.join_next().await.is_some() {}
    }

    /// What the faults were, and what became of the declarations.
    pub async fn report(&self) -> Summary {
        let acknowledged = self.shared.acknowledged.load(Ordering::Relaxed);
        let mut version = 0;
        for _ in 0..ATTEMPTS {
            version = self.shared.current(0).await.map_or(version, |current| current.version);
            if version >= acknowledged {
                break;
            }
            tokio::time::sleep(POLL).await;
        }
        Summary { faults: self.shared.faults.lock().await.clone(), acknowledged, version }
    }
}

async fn follow(shared: Arc<Shared>, plan: Plan) {
    for step in plan {
        tokio::time::sleep(step.pause).await;
        shared.faults.lock().await.push(format!("{:?} for {:?}", step.fault, step.length));
        let task = put(Arc::clone(&shared), step);
        shared.open.lock().await.spawn(task);
    }
}

async fn put(shared: Arc<Shared>, step: Step) {
    let system = &shared.system;
    match step.fault {
        Fault::Signal(target, signal) => {
            let processes = system.processes(target);
            for process in processes {
                process.lock().await.signal(signal);
            }
            tokio::time::sleep(step.length).await;
            for process in processes {
                // one that can't be started is found when all must be of use
                drop(process.lock().await.resume());
            }
        }
        Fault::Connections(target, mode) => {
            let proxies = system.proxies(target);
            set(proxies, mode);
            tokio::time::sleep(step.length).await;
            set(proxies, Mode::Pass);
        }
        Fault::Group(group, fault) => {
            // a group that has no primary yet after an earlier fault is passed over
            drop(system.groups[group].fault(fault).await);
            tokio::time::sleep(step.length).await;
            drop(system.groups[group].fault(standin::Fault::Heal).await);
        }
        Fault::Change => shared.change(step.length).await,
    }
}

fn set(proxies: &[Proxy], mode: Mode) {
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
    /// The declarations as a member confirms them.
    async fn current(&self, member: usize) -> Option<Current> {
        let admin = self.system.admins[member % self.system.admins.len()];
        let url = format!("http://{admin}/v1/config");
        let asked = self.system.client.get(url).timeout(CHANGE_TIMEOUT).send().await.ok()?;
        asked.json().await.ok()
    }

    /// Puts the declarations in force once more, as an operator who changes a
    /// detail; a change that came in between is no fault.
    async fn change(&self, spread: Duration) {
        let member = spread.as_millis() as usize;
        let Some(current) = self.current(member).await else { return };
        let admin = self.system.admins[(member + 1) % self.system.admins.len()];
        let id = format!("change-{}-{member}", current.version);
        let change = serde_json::json!(
            { "change": id, "base": current.version, "content": current.content }
        );
        let url = format!("http://{admin}/v1/changes");
        let sent = self.system.client.post(url).timeout(CHANGE_TIMEOUT).json(&change).send().await;
        let Ok(answer) = sent else { return };
        if let Ok(Accepted { version }) = answer.json().await {
            self.acknowledged.fetch_max(version, Ordering::Relaxed);
        }
    }
}

//! Reports of a server: one task asks for each change, another asks at once
//! when a sample is wanted.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};

use backend::Probe as _;
use backend::probe::Failure;
use backend::sql::Probe;
use base::prelude::*;
use keeper::{Event, Outage};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::shard::Shard;

/// Longest time that a report waits for a change.
const WAIT: Duration = Duration::from_millis(100);

/// Time for a connection, and for an answer beyond its wait.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(20);

/// The questions asked of one server.
#[derive(Debug)]
pub(super) struct Prober {
    pub(super) address: SocketAddr,
    wanted: Arc<Notify>,
    tasks: [AbortHandle; 2],
}

impl Drop for Prober {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Prober {
    pub(super) fn start(shard: &Arc<Shard>, server: &Name, address: SocketAddr) -> Self {
        let wanted = Arc::new(Notify::new());
        let target = || Target { shard: Arc::downgrade(shard), server: server.clone(), address };
        let follow = tokio::spawn(follow(target())).abort_handle();
        let sample = tokio::spawn(sample(target(), Arc::clone(&wanted))).abort_handle();
        Self { address, wanted, tasks: [follow, sample] }
    }

    /// Asks for a report at once.
    pub(super) fn sample(&self) {
        self.wanted.notify_one();
    }
}

struct Target {
    shard: Weak<Shard>,
    server: Name,
    address: SocketAddr,
}

/// What came of a question.
enum Answer {
    /// A report of this version.
    Reported(u64),
    /// None.
    Failed,
    /// Nobody waits for one: the group is gone. Its last holder may have been
    /// the task that asked, which nothing else would end then.
    Over,
}

impl Target {
    /// Asks once and feeds what comes.
    async fn ask(&self, probe: &mut Option<Probe>, after: u64, wait: Duration) -> Answer {
        let asked = self.status(probe, after, wait).await;
        let Some(shard) = self.shard.upgrade() else {
            return Answer::Over;
        };
        match asked {
            Ok((status, sent)) if status.server == self.server => {
                let version = status.version;
                shard.feed(Event::Status { status, sent });
                Answer::Reported(version)
            }
            Ok(_) => {
                *probe = None;
                Answer::Failed
            }
            Err(report) => {
                *probe = None;
                if let Some(trouble) = trouble(*report.current_context()) {
                    shard.feed(Event::Unreachable { server: self.server.clone(), outage: trouble });
                }
                Answer::Failed
            }
        }
    }

    async fn status(
        &self,
        probe: &mut Option<Probe>,
        after: u64,
        wait: Duration,
    ) -> Result<(Status, Instant), Report<Failure>> {
        let probe = match probe {
            Some(probe) => probe,
            None => probe.insert(Probe::connect(self.address, TIMEOUT).await?),
        };
        let clock = self.shard.upgrade().ok_or(Failure::Broken)?.clock();
        let sent = clock.now();
        Ok((probe.status(after, wait).await?, sent))
    }
}

fn trouble(failure: Failure) -> Option<Outage> {
    match failure {
        Failure::Refused => Some(Outage::Refused),
        Failure::Timeout => Some(Outage::Silent),
        Failure::Broken | Failure::Rejected | Failure::Malformed => None,
    }
}

async fn follow(target: Target) {
    let mut probe = None;
    let mut after = 0;
    loop {
        let stood = probe.is_some();
        after = match target.ask(&mut probe, after, WAIT).await {
            Answer::Reported(version) => version,
            Answer::Failed => 0,
            Answer::Over => return,
        };
        // a connection that broke is tried again at once: it may be refused now
        if after == 0 && !stood {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

async fn sample(target: Target, wanted: Arc<Notify>) {
    let mut probe = None;
    loop {
        wanted.notified().await;
        let fresh = probe.is_none();
        let mut asked = target.ask(&mut probe, 0, Duration::ZERO).await;
        // an old connection may have broken unnoticed
        if matches!(asked, Answer::Failed) && !fresh {
            asked = target.ask(&mut probe, 0, Duration::ZERO).await;
        }
        if matches!(asked, Answer::Over) {
            return;
        }
    }
}

//! Status reports of a backend server: one task polls for each change, another
//! asks immediately when the group requests a sample.

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

/// Longest time for which a server may delay its report until a change.
const CHANGE_WAIT: Duration = Duration::from_millis(100);

/// Timeout for connecting, and for an answer in addition to the requested wait.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause after a failed attempt on a new connection.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Tasks that probe one server; dropping the prober stops them.
#[derive(Debug)]
pub(super) struct Prober {
    pub(super) address: SocketAddr,
    sample_requests: Arc<Notify>,
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
        let sample_requests = Arc::new(Notify::new());
        let target = || Target { shard: Arc::downgrade(shard), server: server.clone(), address };
        let follow = tokio::spawn(follow(target())).abort_handle();
        let sample = tokio::spawn(sample(target(), Arc::clone(&sample_requests))).abort_handle();
        Self { address, sample_requests, tasks: [follow, sample] }
    }

    /// Requests a report from the server immediately.
    pub(super) fn sample(&self) {
        self.sample_requests.notify_one();
    }
}

/// Server to probe, and the shard that receives the reports.
struct Target {
    shard: Weak<Shard>,
    server: Name,
    address: SocketAddr,
}

/// Result of one attempt to get a report.
enum Attempt {
    /// The server sent a report with this version.
    Reported(u64),
    /// The server sent no report.
    Failed,
    /// The shard was dropped, so the probing task must end. The task itself may have
    /// held the last reference to the shard; nothing else would end the task then.
    ShardDropped,
}

impl Target {
    /// Asks once for a report and passes the result to the shard as an event.
    async fn ask(&self, probe: &mut Option<Probe>, after: u64, wait: Duration) -> Attempt {
        let result = self.request_status(probe, after, wait).await;
        let Some(shard) = self.shard.upgrade() else {
            return Attempt::ShardDropped;
        };
        match result {
            Ok((status, sent)) if status.server == self.server => {
                let version = status.version;
                shard.feed(Event::Status { status, sent });
                Attempt::Reported(version)
            }
            Ok(_) => {
                *probe = None;
                Attempt::Failed
            }
            Err(report) => {
                *probe = None;
                if let Some(outage) = outage(*report.current_context()) {
                    shard.feed(Event::Unreachable { server: self.server.clone(), outage });
                }
                Attempt::Failed
            }
        }
    }

    async fn request_status(
        &self,
        probe: &mut Option<Probe>,
        after: u64,
        wait: Duration,
    ) -> Result<(Status, Instant), Report<Failure>> {
        let probe = match probe {
            Some(probe) => probe,
            None => probe.insert(Probe::connect(self.address, PROBE_TIMEOUT).await?),
        };
        let clock = self.shard.upgrade().ok_or(Failure::Broken)?.clock();
        let sent = clock.now();
        Ok((probe.status(after, wait).await?, sent))
    }
}

fn outage(failure: Failure) -> Option<Outage> {
    match failure {
        Failure::Refused => Some(Outage::Refused),
        Failure::Timeout => Some(Outage::Silent),
        Failure::Broken | Failure::Rejected | Failure::Malformed => None,
    }
}

/// Polls the server for each change of its status.
async fn follow(target: Target) {
    let mut probe = None;
    let mut after = 0;
    loop {
        let was_connected = probe.is_some();
        after = match target.ask(&mut probe, after, CHANGE_WAIT).await {
            Attempt::Reported(version) => version,
            Attempt::Failed => 0,
            Attempt::ShardDropped => return,
        };
        // after an open connection failed, reconnect without a pause: if the server has
        // crashed, the new connection is refused, which shows the crash at once
        if after == 0 && !was_connected {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Asks the server for a report each time one is requested.
async fn sample(target: Target, requests: Arc<Notify>) {
    let mut probe = None;
    loop {
        requests.notified().await;
        let is_new = probe.is_none();
        let mut attempt = target.ask(&mut probe, 0, Duration::ZERO).await;
        // an existing connection may have failed unnoticed since its last use
        if matches!(attempt, Attempt::Failed) && !is_new {
            attempt = target.ask(&mut probe, 0, Duration::ZERO).await;
        }
        if matches!(attempt, Attempt::ShardDropped) {
            return;
        }
    }
}

//! Input and output for the keeper: links from fronts on one side, connections
//! to backend servers on the other, and one [`keeper::Group`] state machine for
//! each group in between.
//!
//! - `shard`: a group behind its lock, and the execution of its effects.
//! - `front`: links from fronts, which carry requests and answers.
//! - `conn`: a PostgreSQL connection to a backend server.
//! - `answer`: splits the bytes from a backend server into pieces.
//! - `plain`: a backend connection that carries plain statements.
//! - `probe`: polls backend servers for status reports.
//! - `follow`: passes changes of the control state to the shards.
//! - `quota`: counts operations against the limits of teams.
//! - `metrics`: counters of the keeper.

mod answer;
mod conn;
mod follow;
mod front;
mod metrics;
mod plain;
mod probe;
mod quota;
mod shard;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ::plain::Dialect;
use base::clock::Clock;
use base::mechanism::Without;
use base::prelude::*;
use keeper::Event;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::front::keepers::Keepers;
use crate::view::View;
use front::Fronts;
use metrics::Metrics;
use quota::Quotas;
use shard::Shard;

/// Time between checks for whether all shards are drained.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Settings of a keeper.
#[derive(Debug)]
pub struct Settings {
    /// Name of the entry.
    pub name: Name,
    /// Availability zone of the entry.
    pub zone: Name,
    /// Incarnation of the entry; each start of the entry raises it.
    pub incarnation: u64,
    /// Listener that accepts links from fronts.
    pub listener: TcpListener,
    /// Key that authenticates links.
    pub key: link::Key,
    /// Control state and lease of the entry.
    pub view: View,
    /// Clock of the process; the lease in `view` is measured by the same clock.
    pub clock: Clock,
    /// Protocol of the servers of unfenced groups, which acknowledge commits by
    /// themselves.
    pub dialect: Option<Arc<dyn Dialect>>,
    /// How far the limits of teams may be exceeded.
    pub quota: ::quota::Bounds,
    /// Links to the keepers of other entries, on which tokens are borrowed.
    pub links: Arc<Keepers>,
    /// Mechanisms that are turned off.
    pub without: Without,
    /// Registry for the metrics of the keeper.
    pub metrics: telemetry::web::Metrics,
    /// Logger for events.
    pub log: Logger,
}

/// State that all tasks of a keeper share.
#[derive(Debug)]
struct Host {
    name: Name,
    zone: Name,
    incarnation: u64,
    key: link::Key,
    view: View,
    clock: Clock,
    dialect: Option<Arc<dyn Dialect>>,
    without: Without,
    metrics: Metrics,
    log: Logger,
    fronts: Fronts,
    quotas: Quotas,
    shards: Mutex<BTreeMap<Name, Arc<Shard>>>,
}

/// A running keeper.
#[derive(Debug)]
pub struct Handle {
    host: Arc<Host>,
    tasks: JoinSet<()>,
}

/// Starts a keeper.
pub fn start(settings: Settings) -> Handle {
    let now = settings.clock.now();
    let name = settings.name.clone();
    let quotas = Quotas::new(now, name, settings.quota, settings.incarnation);
    let host = Arc::new(Host {
        name: settings.name,
        zone: settings.zone,
        incarnation: settings.incarnation,
        key: settings.key,
        view: settings.view,
        clock: settings.clock,
        dialect: settings.dialect,
        without: settings.without,
        metrics: Metrics::register(&settings.metrics),
        log: settings.log,
        fronts: Fronts::default(),
        quotas,
        shards: Mutex::default(),
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(front::accept(Arc::clone(&host), settings.listener));
    tasks.spawn(follow::run(Arc::clone(&host)));
    tasks.spawn(quota::run(Arc::clone(&host), settings.links));
    Handle { host, tasks }
}

impl Handle {
    /// Shuts down gracefully: notifies the fronts, accepts no new requests,
    /// finishes running requests and transactions, and closes all connections.
    pub async fn close(self) {
        info!(self.host.log, "keeper is shutting down");
        self.host.fronts.close();
        for shard in self.host.shards() {
            shard.feed(Event::Close);
        }
        while self.host.shards().iter().any(|shard| !shard.is_drained()) {
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
        self.host.fronts.finish().await;
    }

    /// Drops all links and connections at once, without finishing requests.
    pub fn kill(self) {
        drop(self);
    }

    fn abort(&mut self) {
        self.tasks.abort_all();
        self.host.fronts.clear();
        let shards = std::mem::take(&mut *lock(&self.host.shards));
        for shard in shards.values() {
            shard.stop();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.abort();
    }
}

impl Host {
    fn shard(&self, group: &str) -> Option<Arc<Shard>> {
        lock(&self.shards).get(group).map(Arc::clone)
    }

    fn shards(&self) -> Vec<Arc<Shard>> {
        lock(&self.shards).values().map(Arc::clone).collect()
    }
}

/// Locks a mutex even if a panic has poisoned it: each critical section on these
/// locks leaves the data consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! The keeper's host: links of fronts on one side, connections to backend
//! servers on the other, and one [`keeper::Group`] for each group in between.
//!
//! - `shard`: one group under its lock, and its effects.
//! - `front`: links that ask.
//! - `conn`: a connection to a backend server; `answer` cuts what it reads.
//! - `plain`: a connection that carries plain statements.
//! - `probe`: reports of servers.
//! - `follow`: changes of the control state.
//! - `metrics`: what is counted.

mod answer;
mod conn;
mod follow;
mod front;
mod metrics;
mod plain;
mod probe;
mod shard;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ::plain::Dialect;
use base::clock::Clock;
use base::prelude::*;
use keeper::Event;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::view::View;
use front::Fronts;
use metrics::Metrics;
use shard::Shard;

/// Time between looks at whether all is finished.
const CLOSE_STEP: Duration = Duration::from_millis(10);

/// What a keeper needs.
#[derive(Debug)]
pub struct Settings {
    /// Name of the entry.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Raised by each start of the entry.
    pub incarnation: u64,
    /// Takes links of fronts.
    pub listener: TcpListener,
    /// Key of the links.
    pub key: link::Key,
    /// The control state and the lease.
    pub view: View,
    /// Source of the present time; the view's lease counts on the same.
    pub clock: Clock,
    /// Protocol of servers that acknowledge by themselves.
    pub dialect: Option<Arc<dyn Dialect>>,
    /// Where metrics are registered.
    pub metrics: telemetry::web::Metrics,
    /// Where events are logged.
    pub log: Logger,
}

/// What all parts of a keeper share.
#[derive(Debug)]
struct Host {
    name: Name,
    zone: Name,
    incarnation: u64,
    key: link::Key,
    view: View,
    clock: Clock,
    dialect: Option<Arc<dyn Dialect>>,
    metrics: Metrics,
    log: Logger,
    fronts: Fronts,
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
    let host = Arc::new(Host {
        name: settings.name,
        zone: settings.zone,
        incarnation: settings.incarnation,
        key: settings.key,
        view: settings.view,
        clock: settings.clock,
        dialect: settings.dialect,
        metrics: Metrics::register(&settings.metrics),
        log: settings.log,
        fronts: Fronts::default(),
        shards: Mutex::default(),
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(front::accept(Arc::clone(&host), settings.listener));
    tasks.spawn(follow::run(Arc::clone(&host)));
    Handle { host, tasks }
}

impl Handle {
    /// Stops as planned: fronts are told, nothing new is taken, what runs is
    /// finished, all connections are closed.
    pub async fn close(self) {
        info!(self.host.log, "keeper closes");
        self.host.fronts.close();
        for shard in self.host.shards() {
            shard.feed(Event::Close);
        }
        while self.host.shards().iter().any(|shard| !shard.is_drained()) {
            tokio::time::sleep(CLOSE_STEP).await;
        }
        self.host.fronts.finish().await;
    }

    /// Drops all links and connections at once.
    pub fn kill(self) {
        drop(self);
    }

    fn end(&mut self) {
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
        self.end();
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

/// Locks, also when a panic poisoned the lock: each change under these locks is whole.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Cancel requests, which name a session by its process number and secret key.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pg::startup::CancelKey;
use rand::RngExt as _;

use super::link::Link;

/// Number of shards of the registry, each under its own lock.
const SHARDS: usize = 16;

/// The request that a session is running: its link, and its number there.
type Running = Arc<Mutex<Option<(Arc<Link>, u64)>>>;

/// Registry of sessions that can be cancelled, by process number.
#[derive(Debug)]
pub struct Cancels {
    shards: [Mutex<HashMap<i32, (i32, Running)>>; SHARDS],
}

impl Default for Cancels {
    fn default() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::default()) }
    }
}

impl Cancels {
    /// Adds a session under a random process number and secret.
    pub fn add(self: &Arc<Self>) -> Session {
        let running = Running::default();
        loop {
            let target = CancelKey { process: rand::rng().random(), secret: rand::rng().random() };
            if let Entry::Vacant(free) = self.shard(target.process).entry(target.process) {
                free.insert((target.secret, Arc::clone(&running)));
                return Session { target, running, cancels: Arc::clone(self) };
            }
        }
    }

    /// Cancels the request that a session is running. An unknown target or a wrong
    /// secret has no effect.
    pub async fn cancel(&self, target: CancelKey) {
        let running = {
            let shard = self.shard(target.process);
            shard.get(&target.process).and_then(|(secret, running)| {
                if *secret != target.secret {
                    return None;
                }
                running.lock().unwrap_or_else(PoisonError::into_inner).clone()
            })
        };
        if let Some((link, request)) = running {
            link.cancel(request).await;
        }
    }

    fn shard(&self, process: i32) -> MutexGuard<'_, HashMap<i32, (i32, Running)>> {
        let shard = process.unsigned_abs() as usize % SHARDS;
        self.shards[shard].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registration of a session that can be cancelled; removed when dropped.
#[derive(Debug)]
pub struct Session {
    /// Process number and secret of the session.
    pub target: CancelKey,
    running: Running,
    cancels: Arc<Cancels>,
}

impl Session {
    /// Sets the request that the session is running, and returns the previous one.
    pub fn set_running(&self, running: Option<(Arc<Link>, u64)>) -> Option<(Arc<Link>, u64)> {
        let mut current = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut current, running)
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.cancels.shard(self.target.process).remove(&self.target.process);
    }
}

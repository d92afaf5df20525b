//! What a front counts against the objectives of services.

use std::sync::{Mutex, MutexGuard, PoisonError};

use base::prelude::*;
use burn::{Event, Ledger, Page};
use config::{Declarations, Objective};

/// Ledgers that share the counting.
const SHARDS: usize = 8;

/// Ledgers, each under its own lock.
#[derive(Debug, Default)]
pub(super) struct Counts {
    shards: [Mutex<Ledger>; SHARDS],
}

impl Counts {
    /// Counts a request of the caller with that number.
    pub(super) fn record(
        &self,
        now: Instant,
        caller: u64,
        service: &Name,
        objectives: &[Objective],
        event: Event,
    ) {
        let shard = &self.shards[(caller % SHARDS as u64) as usize];
        lock(shard).record(now, service, objectives, event);
    }

    /// All that was counted.
    pub(super) fn page(&self, now: Instant, entry: &Name, incarnation: u64) -> Page {
        let mut total = Ledger::new();
        for shard in &self.shards {
            // copied, so that no caller waits for the merge
            let copy = lock(shard).clone();
            total.merge(&copy);
        }
        total.page(now, entry, incarnation)
    }

    /// Forgets counts for objectives that are declared no more.
    pub(super) fn retain(&self, declarations: &Declarations) {
        for shard in &self.shards {
            lock(shard).retain(declarations);
        }
    }
}

fn lock(shard: &Mutex<Ledger>) -> MutexGuard<'_, Ledger> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

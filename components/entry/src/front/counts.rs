//! Counts of requests against the objectives of services.

use std::sync::{Mutex, MutexGuard, PoisonError};

use base::prelude::*;
use burn::{Event, Ledger, Page};
use config::{Declarations, Objective};

/// Number of ledgers over which callers are spread, to avoid contention.
const SHARDS: usize = 8;

/// Counts of a front, in ledgers that each have their own lock.
#[derive(Debug, Default)]
pub(super) struct Counts {
    shards: [Mutex<Ledger>; SHARDS],
}

impl Counts {
    /// Counts a request. `caller` is the number of the session that sent it, which
    /// only selects the ledger.
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

    /// The sum of all ledgers, as a page of this entry.
    pub(super) fn page(&self, now: Instant, entry: &Name, incarnation: u64) -> Page {
        let mut total = Ledger::new();
        for shard in &self.shards {
            // copied, so that no caller waits for the lock during the merge
            let copy = lock(shard).clone();
            total.merge(&copy);
        }
        total.page(now, entry, incarnation)
    }

    /// Drops the counts of objectives that are no longer declared.
    pub(super) fn retain(&self, declarations: &Declarations) {
        for shard in &self.shards {
            lock(shard).retain(declarations);
        }
    }
}

fn lock(shard: &Mutex<Ledger>) -> MutexGuard<'_, Ledger> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

//! What a server counts, for the check of a bench.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of one server, over all its starts.
#[derive(Debug, Default)]
pub struct Counters {
    connections: Gauge,
    statements: Gauge,
    refused: AtomicU64,
    queued: AtomicU64,
    reads_primary: AtomicU64,
    reads_replica: AtomicU64,
    commits: AtomicU64,
}

/// Counters as they stood at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Most data connections at once.
    pub peak_connections: u64,
    /// Most statements at once, running or queued in the server.
    pub peak_statements: u64,
    /// Connections refused for want of a free one.
    pub refused: u64,
    /// Statements that found all slots taken.
    pub queued: u64,
    /// Statements outside of the system's own that read, as primary.
    pub reads_primary: u64,
    /// Statements outside of the system's own that read, as replica.
    pub reads_replica: u64,
    /// Transactions that committed a write.
    pub commits: u64,
}

#[derive(Debug, Default)]
struct Gauge {
    now: AtomicU64,
    peak: AtomicU64,
}

/// One of what a gauge counts, until it is dropped.
#[derive(Debug)]
pub struct Guard<'a>(&'a AtomicU64);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Gauge {
    fn hold(&self) -> Guard<'_> {
        let now = self.now.fetch_add(1, Ordering::AcqRel) + 1;
        self.peak.fetch_max(now, Ordering::AcqRel);
        Guard(&self.now)
    }

    fn hold_below(&self, limit: u64) -> Option<Guard<'_>> {
        let raised = self.now.fetch_update(Ordering::AcqRel, Ordering::Acquire, |now| {
            (now < limit).then_some(now + 1)
        });
        let now = raised.ok()? + 1;
        self.peak.fetch_max(now, Ordering::AcqRel);
        Some(Guard(&self.now))
    }
}

impl Counters {
    /// Takes one of `limit` connections.
    pub fn acquire_connection(&self, limit: usize) -> Option<Guard<'_>> {
        let held = self.connections.hold_below(limit as u64);
        if held.is_none() {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        held
    }

    /// Counts a statement that runs or waits; `queued` where no slot was free.
    pub fn start_statement(&self, queued: bool) -> Guard<'_> {
        self.queued.fetch_add(u64::from(queued), Ordering::Relaxed);
        self.statements.hold()
    }

    /// Counts a read.
    pub fn record_read(&self, primary: bool) {
        let counter = if primary { &self.reads_primary } else { &self.reads_replica };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a commit.
    pub fn record_commit(&self) {
        self.commits.fetch_add(1, Ordering::Relaxed);
    }

    /// All counters.
    pub fn counts(&self) -> Counts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Acquire);
        Counts {
            peak_connections: load(&self.connections.peak),
            peak_statements: load(&self.statements.peak),
            refused: load(&self.refused),
            queued: load(&self.queued),
            reads_primary: load(&self.reads_primary),
            reads_replica: load(&self.reads_replica),
            commits: load(&self.commits),
        }
    }
}

//! Counters of a server, from which a benchmark checks limits and routing.
//!
//! Data connections are those of database clients. Probe sessions, through which the
//! system monitors and operates the server, use connections that are not counted.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of one server, which are kept over its restarts.
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

/// Values of a server's counters at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Highest number of concurrent data connections.
    pub peak_connections: u64,
    /// Highest number of concurrent statements, running or queued in the server.
    pub peak_statements: u64,
    /// Data connections refused because the connection limit was reached.
    pub refused: u64,
    /// Statements that had to wait because all slots were taken.
    pub queued: u64,
    /// Reads outside of transactions that the server ran as primary, without those
    /// of probe sessions.
    pub reads_primary: u64,
    /// Reads outside of transactions that the server ran as replica, without those
    /// of probe sessions.
    pub reads_replica: u64,
    /// Committed transactions with at least one write; savepoint commands count as
    /// writes.
    pub commits: u64,
}

#[derive(Debug, Default)]
struct Gauge {
    current: AtomicU64,
    peak: AtomicU64,
}

/// Guard that decrements its gauge when dropped.
#[derive(Debug)]
pub struct Guard<'a>(&'a AtomicU64);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Gauge {
    fn increment(&self) -> Guard<'_> {
        let now = self.current.fetch_add(1, Ordering::AcqRel) + 1;
        self.peak.fetch_max(now, Ordering::AcqRel);
        Guard(&self.current)
    }

    fn increment_below(&self, limit: u64) -> Option<Guard<'_>> {
        let raised = self.current.fetch_update(Ordering::AcqRel, Ordering::Acquire, |now| {
            (now < limit).then_some(now + 1)
        });
        let now = raised.ok()? + 1;
        self.peak.fetch_max(now, Ordering::AcqRel);
        Some(Guard(&self.current))
    }
}

impl Counters {
    /// Counts a data connection as open until the guard is dropped. If `limit` are open
    /// already, counts a refusal and returns `None`.
    pub fn acquire_connection(&self, limit: usize) -> Option<Guard<'_>> {
        let guard = self.connections.increment_below(limit as u64);
        if guard.is_none() {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        guard
    }

    /// Counts a statement as running or waiting until the guard is dropped; `queued`
    /// says that no slot was free.
    pub fn start_statement(&self, queued: bool) -> Guard<'_> {
        self.queued.fetch_add(u64::from(queued), Ordering::Relaxed);
        self.statements.increment()
    }

    /// Counts a read, by whether the server is the primary.
    pub fn record_read(&self, primary: bool) {
        let counter = if primary { &self.reads_primary } else { &self.reads_replica };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a committed transaction with at least one write.
    pub fn record_commit(&self) {
        self.commits.fetch_add(1, Ordering::Relaxed);
    }

    /// Present values of all counters.
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

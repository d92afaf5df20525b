//! Metrics of a member.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use quorum::Replica;
use telemetry::web::Metrics;

/// Metrics of a member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    pub(crate) elections: Counter,
    pub(crate) applied: Counter,
    pub(crate) heartbeats_confirmed: Counter,
    pub(crate) followers_dropped: Counter,
    term: Gauge<u64, AtomicU64>,
    commit: Gauge<u64, AtomicU64>,
    leads: Gauge<u64, AtomicU64>,
    followers: Gauge<u64, AtomicU64>,
    queued_bytes: Gauge<u64, AtomicU64>,
}

impl Meter {
    /// Creates the metrics and the registry that exports them.
    pub(crate) fn new() -> (Self, Metrics) {
        let meter = Self::default();
        let mut registry = Registry::with_prefix("trefoil_control");
        let mut counter = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        counter("elections", "Elections that this member won", &meter.elections);
        counter("applied", "Entries of the log that were applied", &meter.applied);
        counter(
            "beats_confirmed",
            "Beats of entries that were confirmed",
            &meter.heartbeats_confirmed,
        );
        counter(
            "followers_dropped",
            "Entries dropped because they were slow",
            &meter.followers_dropped,
        );
        let mut gauge = |name: &str, help: &str, gauge: &Gauge<u64, AtomicU64>| {
            registry.register(name, help, gauge.clone());
        };
        gauge("term", "Term of the quorum", &meter.term);
        gauge("commit", "Last committed index", &meter.commit);
        gauge("leads", "Whether this member leads", &meter.leads);
        gauge("followers", "Entries that follow through this member", &meter.followers);
        gauge(
            "follower_queued_bytes",
            "Bytes that wait to be sent to entries; a shared image counts for each",
            &meter.queued_bytes,
        );
        (meter, Arc::new(Mutex::new(registry)))
    }

    /// Updates the gauges.
    pub(crate) fn set(&self, replica: &Replica, followers: usize, queued_bytes: usize) {
        let leadership = replica.leadership();
        self.term.set(leadership.term);
        self.commit.set(replica.commit());
        self.leads.set(u64::from(leadership.leads));
        self.followers.set(followers as u64);
        self.queued_bytes.set(queued_bytes as u64);
    }
}

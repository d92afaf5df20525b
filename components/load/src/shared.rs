//! What all callers of a run share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock};

use base::clock::Clock;
use base::prelude::*;

use crate::scenario::Scenario;

/// What all callers of a run share.
#[derive(Debug)]
pub struct Shared {
    /// The workload.
    pub scenario: Scenario,
    /// Whether reads carry the tag of their kind.
    pub tags_reads: bool,
    /// Time of the run.
    pub clock: Clock,
    /// Number of requests that were answered.
    pub answered: AtomicU64,
    addresses: RwLock<Vec<Vec<SocketAddr>>>,
    stopped: AtomicBool,
    groups: Vec<Mutex<Timeline>>,
}

/// Acknowledged writes of one group, by time.
#[derive(Debug, Default)]
pub struct Timeline {
    /// When any write was acknowledged.
    pub acks: Vec<Instant>,
    /// When each value of the pulse was acknowledged.
    pub values: Vec<(Instant, u64)>,
}

impl Shared {
    /// Makes it for so many groups; the addresses come later.
    pub fn new(scenario: Scenario, tags_reads: bool, groups: usize) -> Self {
        Self {
            scenario,
            tags_reads,
            clock: Clock::start(),
            answered: AtomicU64::new(0),
            addresses: RwLock::default(),
            stopped: AtomicBool::new(false),
            groups: (0..groups).map(|_| Mutex::default()).collect(),
        }
    }

    /// Sets where callers connect, by group and entry.
    pub fn set_addresses(&self, addresses: Vec<Vec<SocketAddr>>) {
        *self.addresses.write().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Where callers of a group find an entry; entries are counted round.
    pub fn address(&self, group: usize, entry: usize) -> SocketAddr {
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        let entries = &addresses[group];
        entries[entry % entries.len()]
    }

    /// Tells callers to end after their request.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// Whether callers are to end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// The trace of a group.
    pub fn timeline(&self, group: usize) -> MutexGuard<'_, Timeline> {
        self.groups[group].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a write was acknowledged.
    pub fn record_ack(&self, group: usize) {
        let mut timeline = self.timeline(group);
        // under the lock, so that times only rise
        timeline.acks.push(self.clock.now());
    }

    /// Notes that a value of the pulse was acknowledged.
    pub fn record_value(&self, group: usize, value: u64) {
        let mut timeline = self.timeline(group);
        let now = self.clock.now();
        timeline.acks.push(now);
        timeline.values.push((now, value));
    }

    /// Value of the pulse that a read must show which begins at `now` and
    /// accepts `age`.
    pub fn required_value(&self, group: usize, now: Instant, age: Duration) -> u64 {
        let timeline = self.timeline(group);
        let before = timeline.values.partition_point(|(acked, _)| *acked + age < now);
        before.checked_sub(1).map_or(0, |last| timeline.values[last].1)
    }
}

impl Timeline {
    /// Longest pause between two acknowledged writes that touches a time.
    pub fn longest_pause(&self, from: Instant, until: Instant) -> Duration {
        let first = self.acks.partition_point(|ack| *ack <= from).saturating_sub(1);
        let last = self.acks.partition_point(|ack| *ack < until);
        let window = &self.acks[first..last];
        let open = window.last().map_or(until.since(from), |last| until.since(*last));
        let pauses = window.windows(2).map(|pair| pair[1].since(pair[0]));
        pauses.max().unwrap_or_default().max(open)
    }
}

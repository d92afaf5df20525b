//! State that all callers of a run share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock};

use base::clock::Clock;
use base::prelude::*;

use crate::scenario::Scenario;

/// State that all callers of a run share.
#[derive(Debug)]
pub struct Shared {
    /// The workload.
    pub scenario: Scenario,
    /// Whether reads carry a comment with their declared kind.
    pub tags_reads: bool,
    /// Clock of the run.
    pub clock: Clock,
    /// Number of requests that succeeded.
    pub answered: AtomicU64,
    addresses: RwLock<Vec<Vec<SocketAddr>>>,
    stopped: AtomicBool,
    groups: Vec<Mutex<Timeline>>,
}

/// Acknowledged writes of one group, in the order of time.
#[derive(Debug, Default)]
pub struct Timeline {
    /// Times at which writes were acknowledged.
    pub acks: Vec<Instant>,
    /// Values of the group's steady writer with the times of their acknowledgement.
    pub values: Vec<(Instant, u64)>,
}

impl Shared {
    /// Creates the state for a number of groups; the addresses must be set before
    /// callers connect.
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

    /// Sets the addresses that callers connect to, by group and entry.
    pub fn set_addresses(&self, addresses: Vec<Vec<SocketAddr>>) {
        *self.addresses.write().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Address of an entry for callers of a group; `entry` wraps around the number of
    /// entries.
    pub fn address(&self, group: usize, entry: usize) -> SocketAddr {
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        let entries = &addresses[group];
        entries[entry % entries.len()]
    }

    /// Makes callers stop after their current request.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// Whether callers must stop.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Locks and returns the timeline of a group.
    pub fn timeline(&self, group: usize) -> MutexGuard<'_, Timeline> {
        self.groups[group].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a write was acknowledged now.
    pub fn record_ack(&self, group: usize) {
        let mut timeline = self.timeline(group);
        // the clock is read under the lock, so that times are in order
        timeline.acks.push(self.clock.now());
    }

    /// Records that a value of the group's steady writer was acknowledged now.
    pub fn record_value(&self, group: usize, value: u64) {
        let mut timeline = self.timeline(group);
        let now = self.clock.now();
        timeline.acks.push(now);
        timeline.values.push((now, value));
    }

    /// Least value of the steady writer that a read must return if the read begins
    /// at `now` and accepts data of `age`.
    pub fn required_value(&self, group: usize, now: Instant, age: Duration) -> u64 {
        let timeline = self.timeline(group);
        let before = timeline.values.partition_point(|(acked, _)| *acked + age < now);
        before.checked_sub(1).map_or(0, |last| timeline.values[last].1)
    }
}

impl Timeline {
    /// Longest pause between acknowledged writes that overlaps the time from `from`
    /// to `until`. The time since the last write counts as a pause too.
    pub fn longest_pause(&self, from: Instant, until: Instant) -> Duration {
        let first = self.acks.partition_point(|ack| *ack <= from).saturating_sub(1);
        let last = self.acks.partition_point(|ack| *ack < until);
        let window = &self.acks[first..last];
        let since_last = window.last().map_or(until.since(from), |last| until.since(*last));
        let pauses = window.windows(2).map(|pair| pair[1].since(pair[0]));
        pauses.max().unwrap_or_default().max(since_last)
    }
}

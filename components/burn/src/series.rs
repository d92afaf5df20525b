//! Good and bad requests over time, in buckets of a minute and of an hour.

use std::collections::VecDeque;
use std::time::Duration;

use base::clock::Instant;
use serde::{Deserialize, Serialize};

/// Length of a fine bucket.
pub const MINUTE: Duration = Duration::from_mins(1);

/// Length of a coarse bucket.
pub const HOUR: Duration = Duration::from_hours(1);

/// Fine buckets kept: six hours.
pub const MINUTE_BUCKETS: usize = 360;

/// Coarse buckets kept: thirty days.
pub const HOUR_BUCKETS: usize = 720;

/// Requests counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Requests within the objective.
    pub good: u64,
    /// Requests outside of it.
    pub bad: u64,
}

impl Count {
    /// All requests.
    pub const fn total(self) -> u64 {
        self.good + self.bad
    }

    /// Share of bad requests; zero when there were none at all.
    pub fn bad_share(self) -> f64 {
        if self.total() == 0 { 0.0 } else { self.bad as f64 / self.total() as f64 }
    }

    /// Adds another count.
    pub const fn add(&mut self, other: Self) {
        self.good += other.good;
        self.bad += other.bad;
    }

    const fn record(&mut self, good: bool) {
        if good {
            self.good += 1;
        } else {
            self.bad += 1;
        }
    }
}

/// A bucket that saw requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Bucket {
    /// Number of the bucket since the start of the process.
    number: u64,
    count: Count,
}

/// Counts by minute and by hour. Empty buckets take no room.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    minutes: VecDeque<Bucket>,
    hours: VecDeque<Bucket>,
}

impl Series {
    /// Counts one request.
    pub fn record(&mut self, now: Instant, good: bool) {
        record(&mut self.minutes, now, MINUTE, MINUTE_BUCKETS, good);
        record(&mut self.hours, now, HOUR, HOUR_BUCKETS, good);
    }

    /// Adds the counts of another series that began with the same process.
    pub fn merge(&mut self, other: &Self) {
        merge(&mut self.minutes, &other.minutes, MINUTE_BUCKETS);
        merge(&mut self.hours, &other.hours, HOUR_BUCKETS);
    }

    /// The requests of the last `window`, rounded up to whole buckets.
    pub fn within(&self, now: Instant, window: Duration) -> Count {
        if window <= MINUTE * MINUTE_BUCKETS as u32 {
            sum(&self.minutes, now, MINUTE, window)
        } else {
            sum(&self.hours, now, HOUR, window)
        }
    }
}

fn number(at: Instant, length: Duration) -> u64 {
    at.as_micros() / length.as_micros() as u64
}

fn record(buckets: &mut VecDeque<Bucket>, now: Instant, length: Duration, kept: usize, good: bool) {
    let number = number(now, length);
    if buckets.back().is_none_or(|last| last.number < number) {
        buckets.push_back(Bucket { number, count: Count::default() });
    }
    while buckets.front().is_some_and(|first| first.number + kept as u64 <= number) {
        buckets.pop_front();
    }
    if let Some(last) = buckets.back_mut() {
        last.count.record(good);
    }
}

fn merge(buckets: &mut VecDeque<Bucket>, others: &VecDeque<Bucket>, kept: usize) {
    for other in others {
        match buckets.binary_search_by_key(&other.number, |bucket| bucket.number) {
            Ok(place) => buckets[place].count.add(other.count),
            Err(place) => buckets.insert(place, *other),
        }
    }
    let newest = buckets.back().map_or(0, |last| last.number);
    while buckets.front().is_some_and(|first| first.number + kept as u64 <= newest) {
        buckets.pop_front();
    }
}

fn sum(buckets: &VecDeque<Bucket>, now: Instant, length: Duration, window: Duration) -> Count {
    let span = window.as_micros().div_ceil(length.as_micros()) as u64;
    let newest = number(now, length);
    let mut total = Count::default();
    for bucket in buckets.iter().rev().take_while(|bucket| bucket.number + span > newest) {
        total.add(bucket.count);
    }
    total
}

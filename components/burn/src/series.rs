//! Good and bad requests over time, counted in buckets of a minute and of an hour.

use std::collections::VecDeque;
use std::time::Duration;

use base::clock::Instant;
use serde::{Deserialize, Serialize};

/// Length of a minute bucket.
pub const MINUTE: Duration = Duration::from_mins(1);

/// Length of an hour bucket.
pub const HOUR: Duration = Duration::from_hours(1);

/// Number of minute buckets that are kept: six hours.
pub const MINUTE_BUCKETS: usize = 360;

/// Number of hour buckets that are kept: thirty days.
pub const HOUR_BUCKETS: usize = 720;

/// Number of good and bad requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Number of requests that met the objective.
    pub good: u64,
    /// Number of requests that missed the objective.
    pub bad: u64,
}

impl Count {
    /// Number of all requests.
    pub const fn total(self) -> u64 {
        self.good + self.bad
    }

    /// Share of bad requests; zero without any requests.
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

/// Counts of one bucket. Buckets exist only if requests fell into them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Bucket {
    /// Index of the bucket, counted from the start of the process.
    number: u64,
    count: Count,
}

/// Counts by minute and by hour. Empty buckets take no memory.
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

    /// Adds the counts of another series of the same process. Bucket numbers of
    /// different processes aren't comparable.
    pub fn merge(&mut self, other: &Self) {
        merge(&mut self.minutes, &other.minutes, MINUTE_BUCKETS);
        merge(&mut self.hours, &other.hours, HOUR_BUCKETS);
    }

    /// Counts of the last `window`, rounded up to whole buckets.
    pub fn within(&self, now: Instant, window: Duration) -> Count {
        if window <= MINUTE * MINUTE_BUCKETS as u32 {
            sum(&self.minutes, now, MINUTE, window)
        } else {
            sum(&self.hours, now, HOUR, window)
        }
    }
}

/// Number of the bucket that holds an instant.
fn bucket_number(at: Instant, length: Duration) -> u64 {
    at.as_micros() / length.as_micros() as u64
}

fn record(buckets: &mut VecDeque<Bucket>, now: Instant, length: Duration, kept: usize, good: bool) {
    let number = bucket_number(now, length);
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
            Ok(index) => buckets[index].count.add(other.count),
            Err(index) => buckets.insert(index, *other),
        }
    }
    let newest = buckets.back().map_or(0, |last| last.number);
    while buckets.front().is_some_and(|first| first.number + kept as u64 <= newest) {
        buckets.pop_front();
    }
}

fn sum(buckets: &VecDeque<Bucket>, now: Instant, length: Duration, window: Duration) -> Count {
    let span = window.as_micros().div_ceil(length.as_micros()) as u64;
    let newest = bucket_number(now, length);
    let mut total = Count::default();
    for bucket in buckets.iter().rev().take_while(|bucket| bucket.number + span > newest) {
        total.add(bucket.count);
    }
    total
}

//! Estimates of run times for each kind of request, by which waiting requests are ordered
//! and refused.

use base::prelude::*;
use hdrhistogram::Histogram;
use strum::EnumCount;

/// Time after which run times are moved to the previous window, if it holds enough of
/// them. An estimate covers two windows, so it follows a change within a second.
const WINDOW: Duration = Duration::from_millis(500);

/// Number of run times that complete a window of the length [`WINDOW`]. A run time far
/// above the others shows little in the mean of so many.
const WINDOW_SAMPLES: u64 = 16;

/// Time after which a window is complete however few run times it holds.
const WINDOW_LIMIT: Duration = Duration::from_secs(2);

/// Number of run times after which the estimate of a filled window is computed again.
const UPDATE_STEP: u64 = 8;

/// Longest run time that is distinguished, in microseconds.
const MAX_RUN_MICROS: u64 = 60_000_000;

/// Significant decimal digits of a recorded run time.
const DIGITS: u8 = 1;

/// Share of the run times that an estimate of the longest usual run time covers. The rest
/// may be a tail several times as long, for which no request is refused.
const USUAL_SHARE: f64 = 0.9;

/// Kind of a request of one service, by which run times are estimated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount)]
pub(crate) enum Kind {
    PrimaryRead,
    PrimaryWrite,
    ReplicaRead,
}

impl Kind {
    pub(crate) fn new(reads: bool, primary: bool) -> Self {
        match (reads, primary) {
            (true, false) => Self::ReplicaRead,
            (true, true) => Self::PrimaryRead,
            (false, _) => Self::PrimaryWrite,
        }
    }
}

/// Estimate of the run time of one kind of request.
#[derive(Debug)]
pub(crate) struct Estimate {
    current: Histogram<u16>,
    previous: Histogram<u16>,
    /// Start of the current window.
    since: Instant,
    mean: Duration,
    usual: Duration,
}

impl Estimate {
    fn new(now: Instant) -> Self {
        Self {
            current: histogram(),
            previous: histogram(),
            since: now,
            mean: Duration::ZERO,
            usual: Duration::ZERO,
        }
    }

    fn record(&mut self, now: Instant, run: Duration) {
        let age = now.since(self.since);
        if (age >= WINDOW && self.current.len() >= WINDOW_SAMPLES) || age >= WINDOW_LIMIT {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            if age >= WINDOW_LIMIT * 2 {
                self.previous.reset();
            }
            self.since = now;
        }
        let micros = u64::try_from(run.as_micros()).unwrap_or(u64::MAX);
        self.current.saturating_record(micros.max(1));
        if self.current.len() > WINDOW_SAMPLES && !self.current.len().is_multiple_of(UPDATE_STEP) {
            return;
        }
        let mut both = self.current.clone();
        if both.add(&self.previous).is_err() {
            // both histograms have the same bounds, so all values fit
            return;
        }
        self.mean = Duration::from_micros(both.mean() as u64);
        self.usual = Duration::from_micros(both.value_at_quantile(USUAL_SHARE));
    }
}

fn histogram() -> Histogram<u16> {
    Histogram::new_with_bounds(1, MAX_RUN_MICROS, DIGITS).expect("the bounds are valid")
}

/// Expected run time of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Expected {
    /// Mean, from which the time for many requests is estimated.
    pub(crate) mean: Duration,
    /// Run time that most requests don't exceed.
    pub(crate) usual: Duration,
}

/// Estimates for the kinds of request of one service.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    kinds: [Option<Box<Estimate>>; Kind::COUNT],
    /// When the last run time was recorded, or the last probe was admitted.
    tried_at: [Instant; Kind::COUNT],
}

impl Estimates {
    /// Records the run time of a request.
    pub(crate) fn record(&mut self, now: Instant, kind: Kind, run: Duration) {
        self.tried_at[kind as usize] = now;
        let estimate = &mut self.kinds[kind as usize];
        estimate.get_or_insert_with(|| Box::new(Estimate::new(now))).record(now, run);
    }

    /// Expected run time of a request; `None` before the first one ran. A read counts
    /// like a read at servers of the other role until one ran at a server of this role.
    pub(crate) fn expected(&self, kind: Kind) -> Option<Expected> {
        let other = match kind {
            Kind::PrimaryRead => Kind::ReplicaRead,
            Kind::ReplicaRead => Kind::PrimaryRead,
            Kind::PrimaryWrite => Kind::PrimaryWrite,
        };
        let known = |kind: Kind| self.kinds[kind as usize].as_ref();
        let estimate = known(kind).or_else(|| known(other))?;
        Some(Expected { mean: estimate.mean, usual: estimate.usual })
    }

    /// Whether a request that would be refused may run as a probe of its estimate: one at a
    /// time, if none of its kind ran within `interval`.
    pub(crate) fn admits_probe(&mut self, now: Instant, kind: Kind, interval: Duration) -> bool {
        let tried_at = &mut self.tried_at[kind as usize];
        let due = now.since(*tried_at) > interval;
        if due {
            *tried_at = now;
        }
        due
    }
}

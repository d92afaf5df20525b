//! Moving average of the run time that is spent per second.

use base::prelude::*;

/// Time constant of the average: long enough to hold some tens of requests of a busy
/// group, and shorter than the bursts that admission must follow.
const WINDOW: Duration = Duration::from_millis(500);

/// Run time spent per second, with exponentially decreasing weight of the past.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    /// Sum of the run times, in seconds, as of `at`.
    sum: f64,
    at: Instant,
}

impl Rate {
    pub(crate) fn add(&mut self, now: Instant, work: Duration) {
        self.sum = self.sum_at(now) + work.as_secs_f64();
        self.at = now;
    }

    /// Seconds of run time per second.
    pub(crate) fn per_second(&self, now: Instant) -> f64 {
        self.sum_at(now) / WINDOW.as_secs_f64()
    }

    fn sum_at(&self, now: Instant) -> f64 {
        let windows = now.since(self.at).as_secs_f64() / WINDOW.as_secs_f64();
        self.sum * (-windows).exp()
    }
}

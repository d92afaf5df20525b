//! Estimate of the rate of events.

use base::prelude::*;

/// Time constant over which the rate is averaged.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Exponentially weighted rate of events per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    rate: f64,
    at: Instant,
}

impl Demand {
    pub(crate) fn record(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / AVERAGING_TIME.as_secs_f64();
        self.at = now;
    }

    pub(crate) fn rate(&self, now: Instant) -> f64 {
        self.rate * (-now.since(self.at).div_duration_f64(AVERAGING_TIME)).exp()
    }
}

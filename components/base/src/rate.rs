//! Moving average of an amount per second.

use std::time::Duration;

use crate::clock::Instant;

/// Amount per second, with exponentially decreasing weight of the past.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Time constant of the average.
    window: Duration,
    /// Sum of the amounts, weighted by their age as of `at`.
    sum: f64,
    at: Instant,
}

impl Rate {
    /// Creates a rate of zero that is averaged over `window`.
    pub fn new(window: Duration) -> Self {
        Self { window, sum: 0.0, at: Instant::ZERO }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Instant, amount: f64) {
        self.sum = self.sum_at(now) + amount;
        self.at = now;
    }

    /// Amount per second.
    pub fn per_second(&self, now: Instant) -> f64 {
        self.sum_at(now) / self.window.as_secs_f64()
    }

    fn sum_at(&self, now: Instant) -> f64 {
        let windows = now.since(self.at).as_secs_f64() / self.window.as_secs_f64();
        self.sum * (-windows).exp()
    }
}

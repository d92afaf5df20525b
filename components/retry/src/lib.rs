//! Limits on the number and the pace of retries.
//!
//! A [`Budget`] allows a service to retry only a share of its requests, so that
//! retries can't multiply the load during a failure. [`Backoff`] spreads retries
//! over time.

use base::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of tokens in a full budget. A new budget is full.
pub const MAX_TOKENS: f64 = 10.0;

/// Retry budget of one service, as a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    share: f64,
}

impl Budget {
    /// Creates a full budget that allows retries for the given share of requests.
    pub fn new(share: f64) -> Self {
        Self { tokens: MAX_TOKENS, share }
    }

    /// Changes the share of requests that may be retried; the tokens stay.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Adds `share` tokens, for the first attempt of a request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Removes one token for a retry. Returns false if less than one token is left.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Exponential backoff with jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff whose delays start at `base` and double up to `cap`.
    pub fn new(base: Duration, cap: Duration, seed: u64) -> Self {
        Self { base, cap, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Delay before a retry: at least half of a bound, and at most the bound. The bound
    /// doubles with each earlier attempt.
    pub fn delay(&mut self, attempt: u32) -> Duration {
        let bound = self.base.saturating_mul(1 << attempt.min(16)).min(self.cap);
        self.jitter(bound)
    }

    /// A random duration between half of `bound` and `bound`.
    pub fn jitter(&mut self, bound: Duration) -> Duration {
        bound.mul_f64(self.rng.random_range(0.5..=1.0))
    }
}

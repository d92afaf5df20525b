//! How often and how soon a request may be tried again.
//!
//! A [`Budget`] lets a service repeat only a share of what it asks, so repeats
//! can't multiply the load of a failure. [`Backoff`] spreads repeats over time.

use base::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Tokens that a budget starts with and holds at most.
pub const MAX_TOKENS: f64 = 10.0;

/// Tokens of one service.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    share: f64,
}

impl Budget {
    /// Makes a full budget; `share` of all requests may be tried again.
    pub fn new(share: f64) -> Self {
        Self { tokens: MAX_TOKENS, share }
    }

    /// Changes the share and keeps the tokens.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes a token for a repeat, if one is left.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Growing waits with jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// Makes waits that start at `base` and double up to `cap`.
    pub fn new(base: Duration, cap: Duration, seed: u64) -> Self {
        Self { base, cap, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// The wait before try number `tries`: between half and the whole of its bound.
    pub fn delay(&mut self, tries: u32) -> Duration {
        let bound = self.base.saturating_mul(1 << tries.min(16)).min(self.cap);
        self.jitter(bound)
    }

    /// A time between half of `bound` and `bound`.
    pub fn jitter(&mut self, bound: Duration) -> Duration {
        bound.mul_f64(self.rng.random_range(0.5..=1.0))
    }
}

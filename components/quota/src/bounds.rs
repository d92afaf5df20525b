//! What a limit means, and the parameters that follow from it.

use base::prelude::*;
use config::Quota;

/// Share of the slack that the buckets may hold in addition to the burst.
const POOLED_SLACK: f64 = 0.75;

/// Lifetime of a borrowed token, as a share of the overage of the window: its operation may
/// run that much later than its place in the bucket was refilled.
const LOAN_OVERAGE: f64 = 0.6;

/// Longest lifetime of a borrowed token.
const LOAN_LIFE_MAX: Duration = Duration::from_millis(300);

/// Tokens of burst and slack that each holder of a team has at least.
const TOKENS_PER_HOLDER: f64 = 2.0;

/// How far the operations of a team may exceed its limit: in no window of length
/// `window` may more than (rate x window + burst) x (1 + `overage`) + `slack` run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of the sliding windows over which operations are counted.
    pub window: Duration,
    /// Allowed excess, as a share of the limit.
    pub overage: f64,
    /// Allowed excess, in operations.
    pub slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 }
    }
}

impl Bounds {
    /// Largest number of operations of a team that may run in one window.
    pub fn allowed(&self, quota: Quota) -> f64 {
        let limit = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        limit * (1.0 + self.overage) + self.slack
    }

    /// Time for which a borrowed token may be used, counted from the request for it.
    pub fn loan_life(&self) -> Duration {
        self.window.mul_f64(self.overage * LOAN_OVERAGE).min(LOAN_LIFE_MAX)
    }

    /// Tokens that the buckets of all holders may hold together.
    pub(crate) fn pool(&self, quota: Quota) -> f64 {
        let pool = quota.burst + self.slack * POOLED_SLACK;
        let span = (self.window + self.loan_life()).as_secs_f64();
        // a bucket of less than one token could never serve an operation
        let serves = quota.rate_per_s * span + 1.0 <= self.allowed(quota);
        if serves && quota.rate_per_s > 0.0 { pool.max(1.0) } else { pool }
    }

    /// Number of hosts that hold a share of a limit, out of `hosts` that keep groups.
    pub(crate) fn holders(&self, quota: Quota, hosts: usize) -> usize {
        let most = (self.pool(quota) / TOKENS_PER_HOLDER) as usize;
        most.max(1).min(hosts)
    }
}

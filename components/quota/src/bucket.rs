//! The bucket of a team at one holder.

use base::prelude::*;

use crate::flaw::Flaw;
use crate::holders::Recent;

/// A token bucket whose rate and capacity are a share of a limit.
///
/// The share in use is the least of the newest one and of the earlier ones that another
/// host may still count on. An earlier one is dropped once all other hosts have confirmed
/// its replacement, or after the time `span`. A share therefore shrinks at once, and grows
/// only when no other host still uses a part of it.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    level: f64,
    /// Tokens taken in this epoch by operations that are not known to have run.
    outstanding: f64,
    /// Number of times that the bucket would have been full without the outstanding
    /// tokens. Tokens of an earlier epoch are not returned: their place has been refilled,
    /// so a burst that waits and is then not run would allow a second burst.
    epoch: u64,
    /// Time up to which the bucket has been refilled.
    at: Instant,
    shares: Recent<f64>,
    /// Time after which every host has applied a change or runs nothing.
    span: Duration,
    /// Tokens per second of all holders together.
    rate: f64,
    /// Capacity of the buckets of all holders together.
    pool: f64,
    flaw: Flaw,
}

impl Bucket {
    pub(crate) fn new(now: Instant, shares: Recent<f64>, span: Duration, flaw: Flaw) -> Self {
        let span = if flaw == Flaw::GrowEarly { Duration::ZERO } else { span };
        Self {
            level: 0.0,
            outstanding: 0.0,
            epoch: 0,
            at: now,
            shares,
            span,
            rate: 0.0,
            pool: 0.0,
            flaw,
        }
    }

    /// Changes the limit and the share of this host, at an index of the control log. The
    /// balance never grows by this. Returns whether the share changed.
    pub(crate) fn set(
        &mut self,
        (now, index): (Instant, u64),
        limit: (f64, f64),
        share: f64,
    ) -> bool {
        self.advance(now);
        (self.rate, self.pool) = limit;
        let last = *self.shares.last();
        let is_changed = last.to_bits() != share.to_bits();
        if is_changed {
            self.shares.push((now, index), share);
        }
        if self.flaw != Flaw::KeepBalance {
            self.clip();
        }
        is_changed
    }

    /// Notes that all other hosts have applied the control log up to an index.
    pub(crate) fn confirm(&mut self, now: Instant, index: u64) {
        self.advance(now);
        self.drop_replaced(|shares, _| shares.confirm(index));
    }

    fn drop_replaced(&mut self, drop: impl FnOnce(&mut Recent<f64>, Duration)) {
        let held = self.capacity();
        drop(&mut self.shares, self.span);
        if self.flaw == Flaw::StartFull && held == 0.0 {
            self.level = self.capacity();
        }
    }

    /// Refills the bucket up to the time `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        self.shares.trim(self.at, self.span);
        while let Some(expiry) = self.shares.expiry(self.span).filter(|&expiry| expiry <= now) {
            self.refill(expiry);
            self.drop_replaced(|shares, span| shares.trim(expiry, span));
        }
        self.refill(now);
    }

    fn refill(&mut self, until: Instant) {
        let gain = self.rate() * until.since(self.at).as_secs_f64();
        if self.flaw == Flaw::KeepBalance && self.level > self.capacity() {
            self.at = self.at.max(until);
            return;
        }
        self.level += gain;
        self.clip();
        self.at = self.at.max(until);
    }

    fn clip(&mut self) {
        self.level = self.level.min(self.capacity());
        if self.level + self.outstanding > self.capacity() && self.outstanding > 0.0 {
            self.outstanding = 0.0;
            self.epoch += 1;
        }
    }

    /// Tokens per second that this host receives.
    pub(crate) fn rate(&self) -> f64 {
        self.rate * self.shares.min()
    }

    /// Tokens that the bucket holds at most.
    pub(crate) fn capacity(&self) -> f64 {
        self.pool * self.shares.min()
    }

    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Takes a token for an operation; returns its epoch.
    pub(crate) fn take(&mut self) -> Option<u64> {
        if self.level < 1.0 {
            return None;
        }
        self.level -= 1.0;
        self.outstanding += 1.0;
        Some(self.epoch)
    }

    /// Takes tokens for a loan, which are never returned.
    pub(crate) fn lend(&mut self, tokens: f64) {
        if self.flaw != Flaw::LendFree {
            self.level -= tokens;
        }
    }

    /// Notes that an operation ran, so that its token is not returned.
    pub(crate) fn settle(&mut self, epoch: u64) {
        if epoch == self.epoch {
            self.outstanding = (self.outstanding - 1.0).max(0.0);
        }
    }

    /// Returns the token of an operation that did not run.
    pub(crate) fn refund(&mut self, epoch: u64) {
        if self.flaw == Flaw::RefundAlways {
            self.level = (self.level + 1.0).min(self.capacity());
        } else if epoch == self.epoch && self.outstanding >= 1.0 {
            self.outstanding -= 1.0;
            self.level += 1.0;
        }
    }
}

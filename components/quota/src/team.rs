//! The state of one team at one host.

use base::prelude::*;
use config::Quota;
use smallvec::SmallVec;

use crate::bounds::Bounds;
use crate::bucket::Bucket;
use crate::demand::Demand;
use crate::flaw::Flaw;
use crate::lender::Lender;

/// Time ahead for which a busy team borrows.
const LEAD: Duration = Duration::from_millis(150);

/// Stock, as time of demand, below which a busy team borrows.
const LOW: Duration = Duration::from_millis(60);

/// Time of own demand for which a lender keeps tokens.
const KEPT: Duration = Duration::from_millis(200);

/// Wait in which the refill of the own bucket counts for a waiting request.
const REFILL_WAIT: Duration = Duration::from_millis(20);

/// Longest retry-after time, in windows.
const RETRY_WINDOWS: f64 = 0.4;

/// Shortest retry-after time.
const RETRY_MIN: Duration = Duration::from_millis(20);

/// Tokens that a holder lends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Loan {
    /// Number of tokens.
    pub tokens: u32,
    /// Tokens that the lender could still lend after this loan.
    pub left: u32,
}

/// Borrowed tokens.
#[derive(Clone, Copy, Debug)]
struct Stock {
    tokens: f64,
    expires: Instant,
}

#[derive(Clone, Debug)]
pub(crate) struct Team {
    pub(crate) quota: Option<Quota>,
    pub(crate) bucket: Bucket,
    pub(crate) lenders: Vec<Lender>,
    stock: SmallVec<[Stock; 4]>,
    demand: Demand,
    /// Requests that wait for a loan.
    pub(crate) waiting: usize,
    /// Refused requests that come back later, as tokens that they will need.
    debt: f64,
    debt_at: Instant,
}

impl Team {
    pub(crate) fn new(now: Instant, bucket: Bucket) -> Self {
        Self {
            quota: None,
            bucket,
            lenders: Vec::new(),
            stock: SmallVec::new(),
            demand: Demand::default(),
            waiting: 0,
            debt: 0.0,
            debt_at: now,
        }
    }

    /// Notes a request.
    pub(crate) fn record(&mut self, now: Instant) {
        self.demand.record(now);
    }

    /// Sets the other holders, and keeps what is known of those that stay.
    pub(crate) fn set_lenders(&mut self, now: Instant, names: Vec<Name>) {
        let mut known = std::mem::take(&mut self.lenders);
        let lender = |name: Name| {
            let at = known.iter().position(|lender| lender.name == name);
            at.map_or_else(|| Lender::new(name, now), |at| known.swap_remove(at))
        };
        self.lenders = names.into_iter().map(lender).collect();
    }

    /// Takes a borrowed token; returns the time at which it expires.
    pub(crate) fn take_borrowed(&mut self, now: Instant, flaw: Flaw) -> Option<Instant> {
        if flaw != Flaw::KeepLoans {
            self.stock.retain(|stock| now < stock.expires);
        }
        let stock = self.stock.iter_mut().filter(|stock| stock.tokens >= 1.0);
        let first = stock.min_by_key(|stock| stock.expires)?;
        first.tokens -= 1.0;
        let expires = first.expires;
        self.stock.retain(|stock| stock.tokens >= 1.0);
        Some(expires)
    }

    /// Adds borrowed tokens.
    pub(crate) fn add_borrowed(&mut self, tokens: f64, expires: Instant) {
        self.stock.push(Stock { tokens, expires });
    }

    /// Tokens that can be used now.
    fn usable(&self, now: Instant) -> f64 {
        let borrowed = self.stock.iter().filter(|stock| now < stock.expires);
        borrowed.map(|stock| stock.tokens).sum::<f64>() + self.bucket.level()
    }

    /// Whether the waiting requests will get tokens in a short time.
    pub(crate) fn covers_waiting(&self, now: Instant, life: Duration) -> bool {
        let expected: f64 = self.lenders.iter().map(|lender| lender.expected(now, life)).sum();
        let own = self.usable(now) + self.bucket.rate() * REFILL_WAIT.as_secs_f64();
        expected + own >= self.waiting as f64
    }

    /// Chooses lenders, and the tokens to ask each for.
    pub(crate) fn borrow(
        &mut self,
        now: Instant,
        bounds: &Bounds,
        mut ask: impl FnMut(&Name, u32),
    ) {
        let Some(quota) = self.quota else { return };
        if self.lenders.is_empty() {
            return;
        }
        let life = bounds.loan_life();
        let demand = self.demand.rate(now).min(quota.rate_per_s);
        let expected: f64 = self.lenders.iter().map(|lender| lender.expected(now, life)).sum();
        let stock = self.usable(now) + expected - self.waiting as f64;
        // what the own bucket receives needs no loan
        let uncovered = (demand - self.bucket.rate()).max(0.0);
        let lead = (uncovered * LEAD.as_secs_f64()).floor();
        let is_low = stock < uncovered * LOW.as_secs_f64();
        let mut need = if lead >= 2.0 && is_low { lead - stock } else { -stock };
        if need <= 0.0 {
            return;
        }
        let holders = bounds.holders(quota, self.lenders.len() + 1) as f64;
        let (rate, capacity) = (quota.rate_per_s / holders, bounds.pool(quota) / holders);
        let worth = lead.min(capacity / 2.0).max(1.0);
        let mut order: SmallVec<[(f64, usize); 8]> = SmallVec::new();
        for (at, lender) in self.lenders.iter_mut().enumerate() {
            let estimate = lender.estimate(now, rate, capacity);
            if estimate >= worth && lender.is_free(now, life) {
                order.push((estimate, at));
            }
        }
        order.sort_by(|one, other| other.0.total_cmp(&one.0));
        for (estimate, at) in order {
            if need <= 0.0 {
                return;
            }
            let tokens = need.min(estimate).floor().max(1.0);
            need -= tokens;
            self.lenders[at].ask(now, tokens);
            ask(&self.lenders[at].name, tokens as u32);
        }
    }

    /// Takes tokens out of the bucket for another host, except those that callers of
    /// this host need soon.
    pub(crate) fn lend(&mut self, now: Instant, asked: u32) -> Loan {
        self.bucket.advance(now);
        let demand = self.demand.rate(now).min(self.bucket.rate());
        let kept = demand * KEPT.as_secs_f64() + self.waiting as f64;
        let free = (self.bucket.level() - kept).max(0.0).floor();
        let lent = free.min(f64::from(asked));
        self.bucket.lend(lent);
        Loan { tokens: lent as u32, left: (free - lent) as u32 }
    }

    /// Time after which a refused request may get a token: each earlier refused request
    /// comes back before it.
    pub(crate) fn retry_after(&mut self, now: Instant, bounds: &Bounds) -> Duration {
        let rate = self.quota.map_or(0.0, |quota| quota.rate_per_s).max(self.bucket.rate());
        let longest = bounds.window.mul_f64(RETRY_WINDOWS).max(RETRY_MIN);
        let passed = now.since(self.debt_at).as_secs_f64();
        self.debt_at = now;
        self.debt = (self.debt - rate * passed).max(0.0) + 1.0;
        let most = rate * longest.as_secs_f64();
        self.debt = self.debt.min(most.max(1.0));
        if rate * longest.as_secs_f64() < 1.0 {
            return longest;
        }
        Duration::from_secs_f64(self.debt / rate).clamp(RETRY_MIN, longest)
    }
}

//! The state of one team at one host.

use base::prelude::*;
use base::rate::Rate;
use config::Quota;
use smallvec::SmallVec;

use crate::bounds::Bounds;
use crate::bucket::Bucket;
use crate::flaw::Flaw;
use crate::lender::Lender;

/// Time constant over which the demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// Time ahead for which a busy team borrows, as a share of the lifetime of a loan.
const AHEAD_SHARE: f64 = 0.6;

/// A busy team borrows when its tokens cover less than this time of its demand: the time
/// that an answer may take.
const LOW_STOCK: Duration = Duration::from_millis(30);

/// Share of its capacity that a lender is expected to hold before a busy team asks it.
const MIN_BALANCE_SHARE: f64 = 0.5;

/// Time of its own demand for which a lender keeps tokens.
const KEPT_TIME: Duration = Duration::from_millis(100);

/// Largest share of its bucket, beyond two tokens, that a lender keeps: small buckets
/// serve the demand of all hosts only together.
const KEPT_SHARE: f64 = 0.25;

/// Share of its capacity that a lender is left with when it is asked for more tokens than
/// are needed at once.
const LEFT_SHARE: f64 = 0.3;

/// Time ahead over which the refill of the own bucket counts for waiting requests.
const REFILL_WAIT: Duration = Duration::from_millis(30);

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
    pub left: f64,
}

/// Borrowed tokens.
#[derive(Clone, Copy, Debug)]
struct Stock {
    tokens: f64,
    expires: Instant,
}

/// Parameters by which lenders are chosen.
#[derive(Clone, Copy, Debug)]
struct Terms {
    /// Time for which borrowed tokens can be used.
    life: Duration,
    /// Tokens per second and capacity of the bucket of each holder.
    rate: f64,
    capacity: f64,
    /// Demand per second, as far as the limit allows.
    demand: f64,
    /// Demand per second beyond what the own bucket receives.
    uncovered: f64,
    /// Tokens that a busy team borrows ahead.
    ahead: f64,
    /// Expected balance from which on a holder is asked.
    min_balance: f64,
}

/// The limit of one team, its bucket at this host, and what it borrowed.
#[derive(Clone, Debug)]
pub(crate) struct Team {
    pub(crate) quota: Option<Quota>,
    pub(crate) bucket: Bucket,
    pub(crate) lenders: Vec<Lender>,
    stock: SmallVec<[Stock; 4]>,
    /// Requests for tokens.
    demand: Rate,
    /// Requests that wait for a loan.
    pub(crate) waiting: usize,
    /// Number of refused requests that will be tried again, one token each, at `debt_at`.
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
            demand: Rate::new(DEMAND_WINDOW),
            waiting: 0,
            debt: 0.0,
            debt_at: now,
        }
    }

    /// Counts a request in the demand.
    pub(crate) fn record(&mut self, now: Instant) {
        self.demand.add(now, 1.0);
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

    /// Whether the waiting requests will probably get tokens in a short time.
    pub(crate) fn covers_waiting(&mut self, now: Instant, bounds: &Bounds) -> bool {
        let Some(terms) = self.terms(now, bounds) else { return false };
        let soon = now + REFILL_WAIT;
        let own = self.usable(now) + self.bucket.rate() * REFILL_WAIT.as_secs_f64();
        let lent = |lender: &mut Lender| {
            let expected = lender.expected(now, terms.life);
            let has = lender.is_free(now, terms.life)
                && lender.estimate(soon, terms.rate, terms.capacity) >= terms.min_balance;
            if has { 1.0 } else { expected }
        };
        own + self.lenders.iter_mut().map(lent).sum::<f64>() >= self.waiting as f64
    }

    fn terms(&self, now: Instant, bounds: &Bounds) -> Option<Terms> {
        let quota = self.quota?;
        let life = bounds.loan_life();
        let holders = bounds.holders(quota, self.lenders.len() + 1) as f64;
        let capacity = bounds.pool(quota) / holders;
        let demand = self.demand.per_second(now).min(quota.rate_per_s);
        // what the own bucket receives needs no loan
        let uncovered = (demand - self.bucket.rate()).max(0.0);
        let ahead = (uncovered * life.as_secs_f64() * AHEAD_SHARE).floor();
        let min_balance = ahead.min(capacity * MIN_BALANCE_SHARE).max(1.0);
        Some(Terms {
            life,
            rate: quota.rate_per_s / holders,
            capacity,
            demand,
            uncovered,
            ahead,
            min_balance,
        })
    }

    /// Chooses lenders, and the tokens to ask each for.
    pub(crate) fn borrow(
        &mut self,
        now: Instant,
        bounds: &Bounds,
        mut ask: impl FnMut(&Name, u32),
    ) {
        let Some(terms) = self.terms(now, bounds).filter(|_| !self.lenders.is_empty()) else {
            return;
        };
        let life = terms.life;
        let expected: f64 = self.lenders.iter().map(|lender| lender.expected(now, life)).sum();
        let stock = self.usable(now) + expected - self.waiting as f64;
        let is_low = terms.ahead >= 2.0 && stock < terms.uncovered * LOW_STOCK.as_secs_f64();
        let mut need = if is_low { terms.ahead - stock } else { -stock };
        if need <= 0.0 {
            return;
        }
        // tokens of a full bucket would be lost, so more are borrowed with one message;
        // they are used before those of the own bucket
        let extra = (terms.demand * life.as_secs_f64()).ceil();
        let mut order: SmallVec<[(f64, usize); 8]> = SmallVec::new();
        for (at, lender) in self.lenders.iter_mut().enumerate() {
            let estimate = lender.estimate(now, terms.rate, terms.capacity);
            if estimate >= terms.min_balance && lender.is_free(now, life) {
                order.push((estimate, at));
            }
        }
        order.sort_by(|one, other| other.0.total_cmp(&one.0));
        for (estimate, at) in order {
            if need <= 0.0 {
                return;
            }
            let spare = estimate - terms.capacity * LEFT_SHARE;
            let tokens = need.max(spare.min(extra)).min(estimate).floor().max(1.0);
            need -= tokens;
            self.lenders[at].ask(now, tokens);
            ask(&self.lenders[at].name, tokens as u32);
        }
    }

    /// Takes tokens out of the bucket for another host, except those that callers of
    /// this host need soon.
    pub(crate) fn lend(&mut self, now: Instant, asked: u32) -> Loan {
        self.bucket.advance(now);
        let demand = self.demand.per_second(now).min(self.bucket.rate());
        let kept = demand * KEPT_TIME.as_secs_f64();
        let most = (self.bucket.capacity() - 2.0).max(0.0) * KEPT_SHARE;
        let kept = kept.min(most) + self.waiting as f64;
        let free = (self.bucket.level() - kept).max(0.0);
        let lent = free.floor().min(f64::from(asked));
        self.bucket.lend(lent);
        Loan { tokens: lent as u32, left: free - lent }
    }

    /// Time after which a refused request may get a token, if each request that was refused
    /// earlier is tried again before it.
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

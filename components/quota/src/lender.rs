//! What a borrower knows of another holder of the limit.

use base::prelude::*;

/// Shortest pause after a holder lent less than half of what it was asked for; the
/// pause doubles with each such answer in a row.
const PAUSE_MIN: Duration = Duration::from_millis(50);

/// Longest pause, and time after which a holder counts as unknown again.
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// Another holder, with an estimate of its balance.
#[derive(Clone, Debug)]
pub(crate) struct Lender {
    pub(crate) name: Name,
    /// Balance at the time `at`.
    balance: f64,
    at: Instant,
    /// Tokens that were asked for, and when, while the answer is outstanding.
    asked: Option<(f64, Instant)>,
    /// Time from which on the holder may be asked again.
    not_before: Instant,
    /// Number of answers in a row that brought less than half, or that were lost.
    misses: u32,
}

impl Lender {
    /// A holder that is taken to have a full bucket.
    pub(crate) fn new(name: Name, now: Instant) -> Self {
        Self { name, balance: f64::MAX, at: now, asked: None, not_before: now, misses: 0 }
    }

    /// Estimate of the balance, if each holder receives `rate` up to `capacity`.
    pub(crate) fn estimate(&self, now: Instant, rate: f64, capacity: f64) -> f64 {
        (self.balance + rate * now.since(self.at).as_secs_f64()).min(capacity)
    }

    /// Whether the holder may be asked. An answer that has not come within `life` is
    /// lost, or its tokens have expired.
    pub(crate) fn is_free(&mut self, now: Instant, life: Duration) -> bool {
        if let Some((_, sent)) = self.asked.filter(|(_, sent)| now.since(*sent) >= life) {
            self.asked = None;
            (self.balance, self.at) = (0.0, now);
            self.miss(sent + life);
        }
        self.asked.is_none() && now >= self.not_before
    }

    /// Tokens that an answer may still bring.
    pub(crate) fn expected(&self, now: Instant, life: Duration) -> f64 {
        let open = self.asked.filter(|(_, sent)| now.since(*sent) < life);
        open.map_or(0.0, |(tokens, _)| tokens)
    }

    pub(crate) fn ask(&mut self, now: Instant, tokens: f64) {
        self.asked = Some((tokens, now));
    }

    /// Notes the answer to the request of the time `sent`: the tokens lent, and those that
    /// the holder could still lend.
    pub(crate) fn answer(&mut self, now: Instant, sent: Instant, (lent, balance): (f64, f64)) {
        let Some((tokens, _)) = self.asked.filter(|(_, asked)| *asked == sent) else {
            return;
        };
        self.asked = None;
        (self.balance, self.at) = (balance, now);
        if lent * 2.0 < tokens {
            self.miss(now);
        } else {
            self.misses = 0;
        }
    }

    fn miss(&mut self, now: Instant) {
        // after a long rest, one answer says nothing about the next
        if now.since(self.not_before) > PAUSE_MAX {
            self.misses = 0;
        }
        let pause = PAUSE_MIN.saturating_mul(1 << self.misses.min(7)).min(PAUSE_MAX);
        self.misses += 1;
        self.not_before = now + pause;
    }
}

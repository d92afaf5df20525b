//! Window of concurrent statements of a server in slow start.

use base::prelude::*;

use crate::recent::Recent;

/// Multiple of the peers' run times above which a cold server is limited to one
/// statement, since the peers can do its work.
const SLOW_FACTOR: f64 = 2.0;

/// Multiple of the idle run time up to which the window grows.
const GROWTH_FACTOR: f64 = 1.5;

/// Multiple of the idle run time above which the window shrinks.
const CONTENTION_FACTOR: f64 = 2.0;

/// Growth of the window by an answer while the window was not filled, where a filled
/// window grows by one.
const UNFILLED_GROWTH: f64 = 0.25;

/// Part of the difference by which an answer raises the idle run time while the window is
/// one statement, so that a few fast answers do not hold the window back for good.
const REMEASURE: f64 = 0.25;

/// Answers without growth after which the window shrinks, so that the idle run time is
/// measured again.
const HELD_ANSWERS: u32 = 16;

/// Weight of a new run time in the moving average.
const WEIGHT: f64 = 0.3;

/// Rounds of good answers in a row at the full window that end slow start.
const FINAL_ROUNDS: u32 = 2;

/// Answers after an error during which the window does not grow.
const HOLD_ANSWERS: u32 = 2;

/// End of a statement or of the opening of a connection, as the window judges it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// When the statement was sent or the opening begun.
    pub sent: Instant,
    /// Run time as a multiple of the usual one; `None` if it says nothing, as for the
    /// opening of a connection.
    pub slowness: Option<f64>,
    /// Slowness of the fastest peer; `None` if no peer can do the work of the server.
    pub peers: Option<f64>,
    /// Whether the server failed or refused the work.
    pub error: bool,
    /// Number of statements that the server gets without slow start.
    pub full: u32,
}

/// Limit of the concurrent statements on one server. Without slow start there is none.
#[derive(Clone, Debug, Default)]
pub struct Window {
    ramp: Option<Ramp>,
}

#[derive(Clone, Debug)]
struct Ramp {
    limit: f64,
    recent: Recent,
    /// Moving average of the medians.
    average: Option<f64>,
    /// Lowest slowness since the start: that of an idle server.
    idle: f64,
    /// Whether the window was filled since it last changed.
    filled: bool,
    /// Number of answers without growth that are left after an error.
    hold: u32,
    /// Good answers at the full window, as far as it was filled.
    good: f64,
    /// Number of answers in a row that neither widened nor shrank the window.
    held: u32,
    /// When slow start began or the window last shrank. What was sent before says nothing
    /// about the present window.
    shrunk_at: Instant,
}

impl Window {
    /// Begins slow start: the server has started, recovered or been promoted.
    pub fn on_started(&mut self, now: Instant) {
        self.ramp = Some(Ramp {
            limit: 1.0,
            recent: Recent::default(),
            average: None,
            idle: f64::INFINITY,
            filled: false,
            hold: 0,
            good: 0.0,
            shrunk_at: now,
            held: 0,
        });
    }

    /// Ends slow start, whatever the answers.
    pub fn end(&mut self) {
        self.ramp = None;
    }

    /// Whether the server is in slow start.
    pub fn is_ramping(&self) -> bool {
        self.ramp.is_some()
    }

    /// Number of statements and openings that may be under way: at least one, so that
    /// the last usable server is never shut out, and unlimited without slow start.
    pub fn limit(&self) -> u32 {
        self.ramp.as_ref().map_or(u32::MAX, |ramp| ramp.limit as u32)
    }

    /// Records that a statement was sent or an opening begun; `open` includes it.
    pub fn on_sent(&mut self, open: u32) {
        if let Some(ramp) = &mut self.ramp {
            ramp.filled |= open >= ramp.limit as u32;
        }
    }

    /// Records the end of a statement or of an opening.
    pub fn on_answered(&mut self, now: Instant, answer: &Answer) {
        let Some(ramp) = self.ramp.as_mut().filter(|ramp| answer.sent >= ramp.shrunk_at) else {
            return;
        };
        if answer.error {
            ramp.shrink_to(now, ramp.limit / 2.0);
            ramp.hold = HOLD_ANSWERS;
            return;
        }
        let Some(slowness) = answer.slowness else {
            return;
        };
        if ramp.judge(now, slowness, answer) {
            self.ramp = None;
        }
    }
}

impl Ramp {
    /// Adjusts the window to a run time. Returns whether slow start has ended.
    fn judge(&mut self, now: Instant, slowness: f64, answer: &Answer) -> bool {
        self.recent.push(slowness);
        let median = self.recent.median().unwrap_or(slowness);
        let average = self.average.get_or_insert(median);
        *average += (median - *average) * WEIGHT;
        // the window follows a rise at once, and a fall once it lasts
        let current = median.max(*average);
        self.idle = self.idle.min(current);
        let peers = answer.peers.map(|peers| peers.max(1.0));
        if self.limit < 2.0 {
            self.idle += (current - self.idle) * REMEASURE;
        }
        if peers.is_some_and(|peers| current > peers * SLOW_FACTOR) {
            self.shrink_to(now, 1.0);
            return false;
        }
        // a run time that peers have as well is not caused by this server's window
        let contention = current / self.idle.max(peers.unwrap_or(1.0));
        if contention > CONTENTION_FACTOR {
            self.shrink_to(now, self.limit / 2.0);
            return false;
        }
        if contention > GROWTH_FACTOR {
            self.good = 0.0;
            self.held += 1;
            if self.held >= HELD_ANSWERS {
                self.shrink_to(now, self.limit / 2.0);
            }
            return false;
        }
        self.held = 0;
        self.grow(answer.full)
    }

    fn grow(&mut self, full: u32) -> bool {
        if self.hold > 0 {
            self.hold -= 1;
            return false;
        }
        let growth = if self.filled { 1.0 } else { UNFILLED_GROWTH };
        if self.limit >= f64::from(full) {
            self.filled = false;
            self.good += growth;
            return self.good >= f64::from(full * FINAL_ROUNDS);
        }
        let before = self.limit as u32;
        self.limit += growth;
        if self.limit as u32 > before {
            self.filled = false;
        }
        false
    }

    fn shrink_to(&mut self, now: Instant, limit: f64) {
        let limit = limit.max(1.0).min(self.limit);
        if limit as u32 == self.limit as u32 {
            self.limit = limit;
            return;
        }
        self.shrunk_at = now;
        self.limit = limit;
        (self.recent, self.average) = (Recent::default(), None);
        self.good = 0.0;
        self.held = 0;
        self.filled = false;
    }
}

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

/// Growth of the window by an answer while the window was not filled.
const UNFILLED_GROWTH: f64 = 0.25;

/// Good answers at the full window that end slow start, at least.
const FINAL_ANSWERS: u32 = 4;

/// Answers after an error during which the window does not grow.
const HOLD_ANSWERS: u32 = 2;

/// End of a statement or of the opening of a connection, as the window judges it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
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
    /// Lowest slowness since the start: that of an idle server.
    idle: f64,
    /// Whether the window was filled since it last changed.
    filled: bool,
    /// Number of answers without growth that are left after an error.
    hold: u32,
    /// Number of good answers at the full window.
    good: u32,
    /// Number of answers since the window last shrank.
    since_shrink: u32,
}

impl Window {
    /// Begins slow start: the server has started, recovered or been promoted.
    pub fn on_started(&mut self, _now: Instant) {
        self.ramp = Some(Ramp {
            limit: 1.0,
            recent: Recent::default(),
            idle: f64::INFINITY,
            filled: false,
            hold: 0,
            good: 0,
            since_shrink: 0,
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
    pub fn limit(&self, _now: Instant) -> u32 {
        self.ramp.as_ref().map_or(u32::MAX, |ramp| ramp.limit as u32)
    }

    /// Records that a statement was sent or an opening begun; `open` includes it.
    pub fn on_sent(&mut self, _now: Instant, open: u32) {
        if let Some(ramp) = &mut self.ramp {
            ramp.filled |= open >= ramp.limit as u32;
        }
    }

    /// Records the end of a statement or of an opening.
    pub fn on_answered(&mut self, _now: Instant, answer: &Answer) {
        let Some(ramp) = &mut self.ramp else {
            return;
        };
        ramp.since_shrink = ramp.since_shrink.saturating_add(1);
        if answer.error {
            ramp.shrink_to(ramp.limit / 2.0);
            ramp.hold = HOLD_ANSWERS;
            return;
        }
        let Some(slowness) = answer.slowness else {
            return;
        };
        if ramp.judge(slowness, answer) {
            self.ramp = None;
        }
    }
}

impl Ramp {
    /// Adjusts the window to a run time. Returns whether slow start has ended.
    fn judge(&mut self, slowness: f64, answer: &Answer) -> bool {
        self.recent.push(slowness);
        let current = self.recent.median().unwrap_or(slowness);
        self.idle = self.idle.min(current);
        let peers = answer.peers.map(|peers| peers.max(1.0));
        if peers.is_some_and(|peers| current > peers * SLOW_FACTOR) {
            self.shrink_to(1.0);
            return false;
        }
        // a run time that peers have as well is not caused by this server's window
        let contention = current / self.idle.max(peers.unwrap_or(0.0));
        if contention > CONTENTION_FACTOR {
            // the answers to statements that were sent before count only once
            if f64::from(self.since_shrink) >= self.limit {
                self.shrink_to(self.limit / 2.0);
            }
            return false;
        }
        if contention > GROWTH_FACTOR {
            return false;
        }
        self.grow(answer.full)
    }

    fn grow(&mut self, full: u32) -> bool {
        if self.hold > 0 {
            self.hold -= 1;
            return false;
        }
        if self.limit >= f64::from(full) {
            self.good += 1;
            return self.good >= FINAL_ANSWERS.max(full);
        }
        let before = self.limit as u32;
        self.limit += if self.filled { 1.0 } else { UNFILLED_GROWTH };
        if self.limit as u32 > before {
            self.filled = false;
        }
        false
    }

    fn shrink_to(&mut self, limit: f64) {
        self.limit = limit.max(1.0).min(self.limit);
        self.good = 0;
        self.since_shrink = 0;
        self.filled = false;
    }
}

//! Suspensions of the process, as a group notices them.
//!
//! The clock counts the time of a suspension. A statement that was open meanwhile says
//! nothing about its server: neither that it ran for long, nor that it was left
//! unanswered, since its answer may wait to be read.

use base::prelude::*;

/// Gap between two events above which the process counts as suspended. Several times
/// the interval of the timer, so that a busy process does not.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(500);

/// Time after a suspension in which answers that arrived during it are read, and no
/// request is given up.
const READING_TIME: Duration = Duration::from_millis(50);

/// Time of the last event, and of the end of the last suspension.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Uptime {
    last_event: Option<Instant>,
    resumed_at: Instant,
}

impl Uptime {
    /// Records an event.
    pub(crate) fn record(&mut self, now: Instant) {
        let suspended = self.last_event.is_some_and(|last| now.since(last) > SUSPENSION_THRESHOLD);
        if suspended {
            self.resumed_at = now;
        }
        self.last_event = Some(now);
    }

    /// Time of the last event.
    pub(crate) fn last_event(&self) -> Instant {
        self.last_event.unwrap_or_default()
    }

    /// Whether the process was suspended after the given time.
    pub(crate) fn was_suspended_since(&self, at: Instant) -> bool {
        self.resumed_at > at
    }

    /// Time without interruption by a suspension, since the given time at the earliest.
    pub(crate) fn awake_since(&self, now: Instant, at: Instant) -> Duration {
        now.since(at.max(self.resumed_at))
    }

    /// Whether answers that arrived during a suspension may still wait to be read.
    pub(crate) fn has_just_resumed(&self, now: Instant) -> bool {
        self.resumed_at > Instant::ZERO && now.since(self.resumed_at) < READING_TIME
    }
}

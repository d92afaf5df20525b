//! Whether the server that was chosen as the primary of an unfenced group leads it.
//!
//! The role that a server reports is no proof: an old primary that was never stepped down
//! still reports the role of the primary, and goes on to commit. A server leads once it
//! reports that role in a term above the one that it had before it was designated
//! (`Candidate::above`).
//!
//! There is one exception. A designation of the present primary changes nothing, so its term
//! stays. A server whose term has not risen [`EFFECT_TIMEOUT`] after a designation was accepted
//! is the present primary, provided that no earlier designation of another server can take
//! effect any more ([`CONTEST_TIMEOUT`]).

use base::prelude::*;

use super::successor::Progress;
use crate::context::Context;

/// Time between two designations of a server.
const DESIGNATE_INTERVAL: Duration = Duration::from_millis(400);

/// Time after a choice within which a designation of a server that was chosen before may
/// still take effect.
const CONTEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after an accepted designation within which it takes effect, if it does.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Designations of the chosen server.
#[derive(Debug, Default)]
pub(super) struct Promotion {
    /// Term of the choice, and since when the leader waits for the server to lead.
    chosen: Option<(Term, Instant)>,
    /// When the last designation was sent.
    called: Option<Instant>,
    /// When the first designation was sent that was accepted, and after which no earlier one
    /// of another server can take effect.
    accepted: Option<Instant>,
}

impl Promotion {
    /// Starts to follow the choice of a term. Returns whether it is a new one.
    pub(super) fn follow(&mut self, now: Instant, term: Term) -> bool {
        let is_new = self.chosen.is_none_or(|(known, _)| known != term);
        if is_new {
            *self = Self { chosen: Some((term, now)), ..Self::default() };
        }
        is_new
    }

    /// Time since which the leader waits for the chosen server to lead.
    pub(super) fn since(&self) -> Instant {
        self.chosen.map_or(Instant::ZERO, |(_, since)| since)
    }

    /// Whether the next designation may be sent.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.called.is_none_or(|called| now.since(called) >= DESIGNATE_INTERVAL)
    }

    /// Records that a designation is sent.
    pub(super) fn record_call(&mut self, now: Instant) {
        self.called = Some(now);
    }

    /// Records the answer to the last designation.
    pub(super) fn record_answer(&mut self, accepted: bool) {
        let is_alone = |called: &Instant| called.since(self.since()) >= CONTEST_TIMEOUT;
        if accepted && self.accepted.is_none() {
            self.accepted = self.called.filter(is_alone);
        }
    }

    /// Whether a report of the chosen server shows that it leads.
    pub(super) fn has_taken_effect(&self, context: &Context<'_>, progress: &Progress) -> bool {
        let candidate = context.group.candidate.as_ref();
        let has_risen = candidate
            .is_some_and(|candidate| candidate.above.is_none_or(|above| progress.term > above));
        let is_unchanged =
            || self.accepted.is_some_and(|at| progress.sent.since(at) >= EFFECT_TIMEOUT);
        progress.role == Role::Primary && (has_risen || is_unchanged())
    }
}

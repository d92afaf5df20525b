//! Automatic changes of the membership: new hosts are added, silent members are
//! removed.
//!
//! The leader makes one change at a time, and none while an earlier one is
//! pending. A new member starts as a learner. The quorum promotes a learner to
//! voter once it has caught up and there are fewer voters than intended; until
//! then it remains a learner, which can replace a silent voter.

use std::collections::BTreeMap;

use base::prelude::*;
use quorum::Change;
use slog::info;
use tokio::sync::oneshot;
use wire::quorum::{Member, Members};

use crate::core::Core;
use crate::input::Completion;

/// Silence after which a voter is removed, provided enough other voters or a live
/// learner remain.
pub const VOTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Silence after which a learner is removed.
pub const LEARNER_TIMEOUT: Duration = Duration::from_secs(6);

/// Time for which a request to join remains valid.
const REQUEST_TTL: Duration = Duration::from_secs(2);

/// Time without a leader after which a member asks to join.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Largest number of voters for a membership that tolerates the simultaneous loss of
/// `tolerance` members. The number is odd: one more voter would not tolerate more
/// losses, and with an even number a partition into halves leaves neither half a
/// quorum.
pub const fn voters(tolerance: usize) -> usize {
    2 * tolerance + 1
}

/// Policy for membership changes, with the pending requests to join.
#[derive(Debug, Default)]
pub struct Roster {
    /// Whether hosts are added and removed automatically; otherwise operators change
    /// the membership.
    automatic: bool,
    /// Number of members that may be lost at once. At least `voters(tolerance)` voters
    /// are kept, even if some of them are silent, unless a live learner can replace
    /// them.
    tolerance: usize,
    /// Hosts that asked to join, with the time of the last request, by member id.
    newcomers: BTreeMap<u64, (Member, Instant)>,
    /// Result of the change that is under way.
    pending: Option<oneshot::Receiver<Completion>>,
}

impl Roster {
    /// Creates a roster for a number of members that may be lost at once; `None` if
    /// operators change the membership.
    pub fn new(tolerance: Option<usize>) -> Self {
        let automatic = tolerance.is_some();
        Self { automatic, tolerance: tolerance.unwrap_or_default(), ..Self::default() }
    }

    /// The next membership change, if one is due. `silences` is the time since the
    /// leader last received a message from each other member, by member id.
    pub fn next(
        &mut self,
        now: Instant,
        members: &Members,
        silences: &[(u64, Duration)],
    ) -> Option<Change> {
        self.newcomers.retain(|_, (_, at)| now.since(*at) <= REQUEST_TTL);
        let silence = |id| {
            let found = silences.iter().find(|(known, _)| *known == id);
            found.map_or(Duration::ZERO, |(_, silence)| *silence)
        };
        let voters = members.members.iter().filter(|member| member.voter).count();
        let is_live_learner = |member: &Member| !member.voter && silence(member.id) < VOTER_TIMEOUT;
        let has_replacement = members.members.iter().any(is_live_learner);
        let silent = members.members.iter().find(|member| {
            let removable = voters > self::voters(self.tolerance) || has_replacement;
            let limit = if member.voter { VOTER_TIMEOUT } else { LEARNER_TIMEOUT };
            silence(member.id) >= limit && (removable || !member.voter)
        });
        if let Some(silent) = silent {
            return Some(Change::Remove(silent.id));
        }
        let known = |id: &u64| members.members.iter().any(|member| member.id == *id);
        let newcomer = self.newcomers.iter().find(|(id, _)| !known(id));
        newcomer.map(|(_, (member, _))| Change::Add(member.clone()))
    }

    /// Records a host's request to join.
    pub fn record_request(&mut self, now: Instant, member: Member) {
        self.newcomers.insert(member.id, (member, now));
    }

    fn has_pending_change(&mut self) -> bool {
        let pending = self.pending.as_mut().is_some_and(|reply| {
            matches!(reply.try_recv(), Err(oneshot::error::TryRecvError::Empty))
        });
        if !pending {
            self.pending = None;
        }
        pending
    }
}

impl Core {
    /// Handles a host's request to join.
    pub(crate) fn on_join_request(&mut self, member: Member) {
        let now = self.now();
        if self.leadership.leads {
            self.roster.record_request(now, member);
        }
    }

    /// Proposes the next membership change if this member leads, and sets whether
    /// this member asks to join because it has had no leader for too long.
    pub(crate) fn update_membership(&mut self) {
        let now = self.now();
        self.wants_to_join.store(
            self.leaderless_for() >= LEADERLESS_TIMEOUT,
            std::sync::atomic::Ordering::Release,
        );
        let may_change =
            self.leader.is_some() && self.stopping_since.is_none() && self.roster.automatic;
        if !may_change || self.roster.has_pending_change() {
            return;
        }
        let silences = self.replica.silences(now);
        let Some(change) = self.roster.next(now, self.replica.members(), &silences) else {
            return;
        };
        info!(self.log, "proposing a membership change"; "change" => ?change);
        let (reply, answer) = oneshot::channel();
        self.roster.pending = Some(answer);
        self.change(change, reply);
    }

    /// Proposes the removal of a backend server that is permanently gone.
    pub(crate) fn retire(&mut self, server: &Name, reply: oneshot::Sender<Completion>) {
        let Some(known) = self.state.servers.get(server) else {
            let (index, outcome) = (self.state.index, control::Outcome::Unchanged);
            drop(reply.send(Completion::Applied { index, outcome }));
            return;
        };
        let incarnation = known.incarnation;
        let expire = wire::log::Expire { server: server.to_string(), incarnation, left: true };
        let body = Some(wire::log::command::Body::Expire(expire));
        self.propose(&wire::log::Command { body }, reply);
    }
}

//! Who is a member: newcomers are added, those that are gone are removed.
//!
//! The leader makes one change at a time, and none while an earlier one is
//! open. A newcomer first learns. It votes once it has caught up and fewer vote
//! than should, which the quorum sees to by itself; until then it stands by for
//! a voter that is gone.

use std::collections::BTreeMap;

use base::prelude::*;
use quorum::Change;
use slog::info;
use tokio::sync::oneshot;
use wire::quorum::{Member, Members};

use crate::core::Core;
use crate::input::Completion;

/// Silence after which a member is removed, where enough others vote.
pub const VOTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Silence after which a member that does not vote is removed.
pub const LEARNER_TIMEOUT: Duration = Duration::from_secs(6);

/// Time for which a newcomer's request stands.
const REQUEST_TTL: Duration = Duration::from_secs(2);

/// Time without a leader after which a member asks to be added.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Most members that vote where `tolerance` of them may be lost at once. The
/// number is odd: one more would bear no more losses, and with an even number a
/// cut into halves leaves neither half a quorum.
pub const fn voters(tolerance: usize) -> usize {
    2 * tolerance + 1
}

/// What the leader knows of those that ask.
#[derive(Debug, Default)]
pub struct Roster {
    /// Whether the membership follows those that come and go; else operators
    /// change it.
    automatic: bool,
    /// Members that may be lost at once. More than twice as many voters are kept
    /// even if some are silent.
    tolerance: usize,
    newcomers: BTreeMap<u64, (Member, Instant)>,
    pending: Option<oneshot::Receiver<Completion>>,
}

impl Roster {
    /// A roster that bears the loss of some members at once; `None` where
    /// operators change the membership.
    pub fn new(tolerance: Option<usize>) -> Self {
        let automatic = tolerance.is_some();
        Self { automatic, tolerance: tolerance.unwrap_or_default(), ..Self::default() }
    }

    /// The next change of a membership, if one is due. `silences` says how long
    /// the leader has heard nothing of each other member.
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

    /// Notes a host that asks to be a member.
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
    /// A host asks to be a member.
    pub(crate) fn on_join_request(&mut self, member: Member) {
        let now = self.now();
        if self.leadership.leads {
            self.roster.record_request(now, member);
        }
    }

    /// Makes the next change of the membership, if this member leads, and asks
    /// to be added if it has had no leader for long.
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
        info!(self.log, "changes the membership"; "change" => ?change);
        let (reply, answer) = oneshot::channel();
        self.roster.pending = Some(answer);
        self.change(change, reply);
    }

    /// A backend server is gone for good.
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

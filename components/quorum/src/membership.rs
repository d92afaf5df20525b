//! Membership changes: one at a time, each adding or removing at most one voter.
//!
//! A new member is a learner and becomes a voter only once it has caught up. If a
//! new member replaces a lost member of the same name, the lost member is removed
//! first, so that it counts towards the quorum no longer than necessary.

use base::prelude::*;
use wire::quorum::message::Body;
use wire::quorum::{Entry, Member, Members, Refusal, Refused, entry, propose};

use crate::barrier::Hard;
use crate::event::{Change, Effect};
use crate::replica::{Replica, Role};

/// Number of voters in a quorum.
pub fn quorum_size(voters: usize) -> usize {
    voters / 2 + 1
}

impl From<Change> for propose::Body {
    fn from(change: Change) -> Self {
        match change {
            Change::Add(member) => Self::Add(member),
            Change::Remove(id) => Self::Remove(id),
        }
    }
}

impl Replica {
    /// Appends the first membership to an empty log, and campaigns. This member must be a
    /// voter of that membership.
    pub(crate) fn bootstrap(&mut self, now: Instant, members: Members) {
        if !self.is_fresh() {
            return;
        }
        self.hard = Hard { term: self.hard.term.max(1), vote: self.hard.vote };
        self.barrier.set_hard(self.hard);
        let body = Some(entry::Body::Members(members));
        let entry = Entry { index: 1, term: 1, origin: 0, token: 0, body };
        self.barrier.push_entry(entry.clone());
        self.log.push(entry);
        self.campaign(now, false);
    }

    /// Carries out a membership change at the leader, or refuses it.
    pub(crate) fn change(&mut self, now: Instant, origin: u64, token: u64, change: Change) {
        match self.changed_members(now, change) {
            Ok(members) => self.append_members(origin, token, members),
            Err(refusal) if origin == self.settings.id => {
                self.proposals.remove(&token);
                self.out.push(Effect::Refused { token, refusal });
            }
            Err(refusal) => {
                let refused = Refused { token, refusal: refusal as i32 };
                self.send(origin, Body::Refused(refused));
            }
        }
    }

    pub(crate) fn on_refused(&mut self, refused: Refused) {
        if self.proposals.remove(&refused.token) {
            let (token, refusal) = (refused.token, refused.refusal());
            self.out.push(Effect::Refused { token, refusal });
        }
    }

    fn changed_members(&self, now: Instant, change: Change) -> Result<Members, Refusal> {
        self.check_change_allowed()?;
        let mut members = self.members().clone();
        let place = |id| self.members().members.iter().position(|member| member.id == id);
        match change {
            Change::Add(member) => {
                if place(member.id).is_some() {
                    return Err(Refusal::Known);
                }
                members.members.push(wire::quorum::Member { voter: false, ..member });
            }
            Change::Remove(id) => {
                members.members.remove(place(id).ok_or(Refusal::Unknown)?);
                if !members.members.iter().any(|member| member.voter) {
                    return Err(Refusal::Last);
                }
                if !self.is_quorum_active(now, &members) {
                    return Err(Refusal::Quorum);
                }
            }
        }
        Ok(members)
    }

    fn check_change_allowed(&self) -> Result<(), Refusal> {
        let Role::Leader(lead) = &self.role else { return Err(Refusal::Early) };
        if self.commit < lead.first_index {
            return Err(Refusal::Early);
        }
        if self.log.membership().0 > self.commit || lead.transfer.is_some() {
            return Err(Refusal::Busy);
        }
        Ok(())
    }

    fn append_members(&mut self, origin: u64, token: u64, members: Members) {
        let previous_peers = self.peers();
        self.append(origin, token, Some(entry::Body::Members(members)));
        // removed members get the entry too, so that they learn of their removal
        for id in previous_peers {
            self.replicate(id, false);
        }
        self.sync_peers();
        self.replicate_all();
    }

    /// Takes the next step that the membership itself requires: a removed leader resigns,
    /// and a learner that has caught up is promoted.
    pub(crate) fn advance_membership(&mut self, now: Instant) {
        if self.check_change_allowed().is_err() {
            return;
        }
        let own = self.settings.id;
        if !self.members().members.iter().any(|member| member.id == own) {
            self.resign(now);
            return;
        }
        if let Some(members) = self.next_members(now) {
            self.append_members(0, 0, members);
        }
    }

    /// Resigns as a removed leader. The voter with the longest matching log is asked to campaign
    /// at once, if its log is complete.
    fn resign(&mut self, now: Instant) {
        self.transfer(now);
        self.step_down(now, self.hard.term, None);
    }

    /// The next membership on the way to one in which all learners, or as many as the maximum
    /// number of voters allows, are voters.
    fn next_members(&self, now: Instant) -> Option<Members> {
        let members = self.members().members.iter().enumerate();
        let ready = |member: &Member| !member.voter && self.has_caught_up(now, member.id);
        let mut ready = members.filter(|(_, member)| ready(member));
        ready.find_map(|(place, _)| self.promote_learner(now, place))
    }

    /// The membership without the member that a learner replaces, or else the one with the
    /// learner as a voter, if the change is allowed and leaves an active quorum.
    fn promote_learner(&self, now: Instant, place: usize) -> Option<Members> {
        let members = self.members();
        let name = &members.members[place].name;
        let replaced = members.members[..place].iter().position(|member| member.name == *name);
        if let Some(replaced) = replaced {
            let mut fewer = members.clone();
            fewer.members.remove(replaced);
            if self.is_quorum_active(now, &fewer) {
                return Some(fewer);
            }
        }
        let voters = members.members.iter().filter(|member| member.voter).count();
        if voters >= self.settings.max_voters {
            return None;
        }
        let mut more = members.clone();
        more.members[place].voter = true;
        self.is_quorum_active(now, &more).then_some(more)
    }

    fn has_caught_up(&self, now: Instant, id: u64) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        lead.peers.get(&id).is_some_and(|peer| peer.matched >= self.commit)
            && self.is_active(now, id)
    }

    /// Whether this leader currently has contact from a quorum of a membership.
    fn is_quorum_active(&self, now: Instant, members: &Members) -> bool {
        let voters = || members.members.iter().filter(|member| member.voter);
        let heard = voters().filter(|member| self.is_active(now, member.id)).count();
        voters().count() > 0 && heard >= quorum_size(voters().count())
    }
}

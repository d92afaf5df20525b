//! Changes of membership: one at a time, each moving at most one voter.
//!
//! A new member learns first and votes only once it has caught up. One that
//! replaces a lost host of the same name waits until that host is removed, so
//! that the quorum never counts a host that is gone longer than it must.

use base::prelude::*;
use wire::quorum::message::Body;
use wire::quorum::{Entry, Member, Members, Refusal, Refused, entry, propose};

use crate::event::{Change, Effect};
use crate::hold::Hard;
use crate::replica::{Replica, Role};

/// Number of voters that make a quorum.
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
    /// Gives an empty log its first membership, which this member must be a
    /// voter of, and campaigns.
    pub(crate) fn bootstrap(&mut self, now: Instant, members: Members) {
        if !self.is_fresh() {
            return;
        }
        self.hard = Hard { term: self.hard.term.max(1), vote: self.hard.vote };
        self.hold.hard(self.hard);
        let body = Some(entry::Body::Members(members));
        let entry = Entry { index: 1, term: 1, origin: 0, token: 0, body };
        self.hold.entry(entry.clone());
        self.log.push(entry);
        self.campaign(now, false);
    }

    /// Carries out a change at the leader, or refuses it.
    pub(crate) fn change(&mut self, now: Instant, origin: u64, token: u64, change: Change) {
        match self.changed(now, change) {
            Ok(members) => self.write_members(origin, token, members),
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

    fn changed(&self, now: Instant, change: Change) -> Result<Members, Refusal> {
        self.may_change()?;
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
                if !self.would_work(now, &members) {
                    return Err(Refusal::Quorum);
                }
            }
        }
        Ok(members)
    }

    fn may_change(&self) -> Result<(), Refusal> {
        let Role::Leader(lead) = &self.role else { return Err(Refusal::Early) };
        if self.commit < lead.start {
            return Err(Refusal::Early);
        }
        if self.log.membership().0 > self.commit || lead.transfer.is_some() {
            return Err(Refusal::Busy);
        }
        Ok(())
    }

    fn write_members(&mut self, origin: u64, token: u64, members: Members) {
        let dropped = self.peers();
        self.write(origin, token, Some(entry::Body::Members(members)));
        // those that leave are sent the entry too, so that they know
        for id in dropped {
            self.feed(id, false);
        }
        self.sync_peers();
        self.feed_all();
    }

    /// Takes the next step that the membership itself calls for: a removed
    /// leader ends, and a learner that has caught up gets its vote.
    pub(crate) fn plan_membership(&mut self, now: Instant) {
        if self.may_change().is_err() {
            return;
        }
        let own = self.settings.id;
        if !self.members().members.iter().any(|member| member.id == own) {
            self.resign(now);
            return;
        }
        if let Some(members) = self.next_members(now) {
            self.write_members(0, 0, members);
        }
    }

    /// A removed leader: the best of the others campaigns at once.
    fn resign(&mut self, now: Instant) {
        self.transfer(now);
        self.step_down(now, self.hard.term, None);
    }

    /// The next membership towards one in which each learner votes, or as many
    /// members as may.
    fn next_members(&self, now: Instant) -> Option<Members> {
        let members = self.members().members.iter().enumerate();
        let ready = |member: &Member| !member.voter && self.has_caught_up(now, member.id);
        let mut ready = members.filter(|(_, member)| ready(member));
        ready.find_map(|(place, _)| self.give_vote(now, place))
    }

    /// The membership in which a learner takes the place of a member of its name,
    /// or else votes, if that is due and would work.
    fn give_vote(&self, now: Instant, place: usize) -> Option<Members> {
        let members = self.members();
        let name = &members.members[place].name;
        let replaced = members.members[..place].iter().position(|member| member.name == *name);
        if let Some(replaced) = replaced {
            let mut fewer = members.clone();
            fewer.members.remove(replaced);
            if self.would_work(now, &fewer) {
                return Some(fewer);
            }
        }
        let voters = members.members.iter().filter(|member| member.voter).count();
        if voters >= self.settings.max_voters {
            return None;
        }
        let mut more = members.clone();
        more.members[place].voter = true;
        self.would_work(now, &more).then_some(more)
    }

    fn has_caught_up(&self, now: Instant, id: u64) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        lead.peers.get(&id).is_some_and(|peer| peer.matched >= self.commit) && self.hears(now, id)
    }

    /// Whether a quorum of a membership is heard at present.
    fn would_work(&self, now: Instant, members: &Members) -> bool {
        let voters = || members.members.iter().filter(|member| member.voter);
        let heard = voters().filter(|member| self.hears(now, member.id)).count();
        voters().count() > 0 && heard >= quorum_size(voters().count())
    }
}

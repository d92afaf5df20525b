//! Elections: pre-votes, votes, and who may stand.
//!
//! A pre-vote raises no term anywhere, so a member that was cut off for long
//! disturbs nobody when it returns. A member that hears a leader gives neither
//! a pre-vote nor a vote, unless that leader hands over.

use std::collections::BTreeSet;

use base::prelude::*;
use rand::RngExt;
use wire::quorum::message::Body;
use wire::quorum::{Member, Members, Vote, Voted};

use crate::event::Flaw;
use crate::hold::{Hard, Item};
use crate::lead::Lead;
use crate::replica::{Replica, Role};
use crate::{ELECTION_RETRY_MAX, ELECTION_RETRY_MIN, ELECTION_TIMEOUT_MIN, HEARTBEAT_INTERVAL};

impl Replica {
    /// Starts an election, with a pre-vote.
    pub(crate) fn stand(&mut self, now: Instant) {
        self.reset_deadline(now);
        // also one that can't stand must know that it is led no more
        self.set_leader(None);
        if !self.may_stand() {
            return;
        }
        if self.settings.flaw == Some(Flaw::NoPreVote) {
            self.campaign(now, false);
            return;
        }
        self.role = Role::Asking { votes: BTreeSet::from([self.settings.id]) };
        self.asked = now;
        let term = self.hard.term + 1;
        let vote = self.own_log(false);
        for peer in self.peers() {
            let message = self.message(peer, term, Body::PreVote(vote));
            self.out.push(crate::Effect::Send(message));
        }
        self.count_pre_votes(now);
    }

    /// Asks for votes in a new term.
    pub(crate) fn campaign(&mut self, now: Instant, transfer: bool) {
        if !self.may_stand() || matches!(self.role, Role::Leader(_)) {
            return;
        }
        self.hard = Hard { term: self.hard.term + 1, vote: self.settings.id };
        self.hold.hard(self.hard);
        self.incoming = None;
        self.set_leader(None);
        self.reset_deadline(now);
        self.role = Role::Candidate { votes: BTreeSet::new(), transfer };
        self.hold.after(Item::Vote(self.hard.term));
        self.asked = now;
        let vote = self.own_log(transfer);
        for peer in self.peers() {
            self.send_durable(peer, Body::Vote(vote));
        }
    }

    /// Asks those again that have not given their vote.
    pub(crate) fn ask_votes_again(&mut self, now: Instant) {
        let (term, votes, transfer) = match &self.role {
            Role::Candidate { votes, transfer } => (self.hard.term, votes, Some(*transfer)),
            Role::Asking { votes } => (self.hard.term + 1, votes, None),
            Role::Follower | Role::Leader(_) => return,
        };
        if now.since(self.asked) < HEARTBEAT_INTERVAL {
            return;
        }
        let missing = self.peers().into_iter().filter(|id| !votes.contains(id));
        let vote = self.own_log(transfer == Some(true));
        let body = |vote| transfer.map_or(Body::PreVote(vote), |_| Body::Vote(vote));
        let messages: Vec<_> = missing.map(|id| self.message(id, term, body(vote))).collect();
        self.asked = now;
        for message in messages {
            self.hold.after(Item::Send(message));
        }
    }

    /// The member's vote for itself is durable.
    pub(crate) fn own_vote(&mut self, term: u64) {
        let id = self.settings.id;
        if term != self.hard.term {
            return;
        }
        if let Role::Candidate { votes, .. } = &mut self.role {
            votes.insert(id);
        }
    }

    pub(crate) fn on_pre_vote(&mut self, now: Instant, from: u64, term: u64, vote: Vote) {
        let free = term > self.hard.term && !self.hears_leader(now);
        let granted = free && self.is_current(vote);
        let term = if granted { term } else { self.hard.term };
        let message = self.message(from, term, Body::PreVoted(Voted { granted }));
        self.out.push(crate::Effect::Send(message));
    }

    pub(crate) fn on_pre_voted(&mut self, now: Instant, from: u64, term: u64, voted: Voted) {
        if !voted.granted {
            if term > self.hard.term {
                self.step_down(now, term, None);
            } else if matches!(self.role, Role::Asking { .. }) {
                self.hasten(now);
            }
            return;
        }
        if term != self.hard.term + 1 {
            return;
        }
        if let Role::Asking { votes } = &mut self.role {
            votes.insert(from);
            self.count_pre_votes(now);
        }
    }

    pub(crate) fn on_vote(&mut self, now: Instant, from: u64, vote: Vote) {
        let free = self.hard.vote == 0 || self.hard.vote == from;
        let follower = matches!(self.role, Role::Follower | Role::Asking { .. });
        let granted = free && follower && self.leader.is_none() && self.is_current(vote);
        if granted && self.hard.vote == 0 {
            self.hard.vote = from;
            self.hold.hard(self.hard);
        }
        if granted {
            self.role = Role::Follower;
            self.reset_deadline(now);
        }
        self.send_durable(from, Body::Voted(Voted { granted }));
    }

    pub(crate) fn on_voted(&mut self, now: Instant, from: u64, voted: Voted) {
        if !voted.granted {
            if matches!(self.role, Role::Candidate { .. }) {
                self.hasten(now);
            }
            return;
        }
        if let Role::Candidate { votes, .. } = &mut self.role {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    /// After a refusal, stands again soon: a split vote must not cost a whole
    /// timeout, and a pre-vote that comes too early costs nothing.
    fn hasten(&mut self, now: Instant) {
        let (min, max) =
            (ELECTION_RETRY_MIN.as_micros() as u64, ELECTION_RETRY_MAX.as_micros() as u64);
        let soon = now + Duration::from_micros(self.rng.random_range(min..=max));
        self.deadline = self.deadline.min(soon);
    }

    pub(crate) fn count_votes(&mut self, now: Instant) {
        let Role::Candidate { votes, .. } = &self.role else { return };
        if votes.contains(&self.settings.id) && self.is_quorum(|id| votes.contains(&id)) {
            self.role = Role::Leader(Box::new(Lead::new(now, self.log.last_index() + 1)));
            self.take_lead(now);
        }
    }

    fn count_pre_votes(&mut self, now: Instant) {
        let Role::Asking { votes } = &self.role else { return };
        if self.is_quorum(|id| votes.contains(&id)) {
            self.campaign(now, false);
        }
    }

    /// Whether this member leads or has heard a leader just now.
    pub(crate) fn hears_leader(&self, now: Instant) -> bool {
        let leads = matches!(self.role, Role::Leader(_));
        leads || (self.leader.is_some() && now.since(self.heard) < ELECTION_TIMEOUT_MIN)
    }

    /// Whether a candidate's log is at least as new as this one.
    fn is_current(&self, vote: Vote) -> bool {
        (vote.last_term, vote.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn own_log(&self, transfer: bool) -> Vote {
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        Vote { last_index, last_term, transfer }
    }

    /// All other members.
    pub(crate) fn peers(&self) -> Vec<u64> {
        let own = self.settings.id;
        self.members().members.iter().map(|member| member.id).filter(|id| *id != own).collect()
    }

    /// Whether this member votes, or still did before a change that may not be
    /// committed: the others may need it to commit that change.
    fn may_stand(&self) -> bool {
        let votes = |members: &Members| {
            members.members.iter().any(|member| member.voter && member.id == self.settings.id)
        };
        let (index, members) = self.log.membership();
        let open = index > self.commit;
        votes(members) || (open && self.log.previous_membership().is_some_and(votes))
    }

    /// Whether the voters that pass a test are a quorum.
    pub(crate) fn is_quorum(&self, test: impl Fn(u64) -> bool) -> bool {
        self.counted().filter(|member| test(member.id)).count() >= self.quorum()
    }

    /// Number of voters that make a quorum.
    pub(crate) fn quorum(&self) -> usize {
        crate::quorum_size(self.voters().count())
    }

    pub(crate) fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members().members.iter().filter(|member| member.voter)
    }

    /// Members whose copies and votes count.
    pub(crate) fn counted(&self) -> impl Iterator<Item = &Member> {
        let all = self.settings.flaw == Some(Flaw::Learner);
        self.members().members.iter().filter(move |member| member.voter || all)
    }
}

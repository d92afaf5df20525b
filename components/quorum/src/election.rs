//! Leader election with pre-votes.
//!
//! A pre-vote doesn't raise the term of any member, so a member that returns
//! after a long partition doesn't disrupt the others. A member with an active
//! leader grants neither pre-votes nor votes, except for a transfer of the
//! leadership.
//!
//! Where a sync takes longer than the election timeout, an election must not be
//! overtaken by the next one before its votes are durable. A member whose term or vote
//! is not durable therefore neither starts an election nor grants pre-votes, and a
//! candidate still counts votes in its term while it requests pre-votes for the next.

use std::collections::BTreeSet;

use base::prelude::*;
use rand::RngExt;
use wire::quorum::message::Body;
use wire::quorum::{Member, Members, Vote, Voted};

use crate::barrier::{Action, Hard};
use crate::event::{Effect, Flaw};
use crate::leader::Leader;
use crate::replica::{Replica, Role};
use crate::{ELECTION_RETRY_MAX, ELECTION_RETRY_MIN, ELECTION_TIMEOUT_MIN, HEARTBEAT_INTERVAL};

impl Replica {
    /// Starts an election, with a pre-vote.
    pub(crate) fn start_election(&mut self, now: Instant) {
        self.reset_deadline(now);
        // a member that may not campaign must also learn that it has no leader
        self.set_leader(None);
        if !self.may_campaign() {
            return;
        }
        if self.settings.flaw == Some(Flaw::NoPreVote) {
            self.campaign(now, false);
            return;
        }
        let own = BTreeSet::from([self.settings.id]);
        match &mut self.role {
            Role::Candidate { pre_votes, .. } => *pre_votes = own,
            role => *role = Role::PreCandidate { pre_votes: own },
        }
        self.votes_requested_at = now;
        let term = self.hard.term + 1;
        let vote = self.vote_request(false);
        for peer in self.peers() {
            let message = self.message(peer, term, Body::PreVote(vote));
            self.out.push(Effect::Send(message));
        }
        self.count_pre_votes(now);
    }

    /// Requests votes in a new term.
    pub(crate) fn campaign(&mut self, now: Instant, transfer: bool) {
        if !self.may_campaign() || matches!(self.role, Role::Leader(_)) {
            return;
        }
        self.hard = Hard { term: self.hard.term + 1, vote: self.settings.id };
        self.barrier.set_hard(self.hard);
        self.incoming = None;
        self.set_leader(None);
        self.reset_deadline(now);
        self.role =
            Role::Candidate { votes: BTreeSet::new(), pre_votes: BTreeSet::new(), transfer };
        self.barrier.defer(Action::Vote(self.hard.term));
        self.votes_requested_at = now;
        let vote = self.vote_request(transfer);
        for peer in self.peers() {
            self.send_durable(peer, Body::Vote(vote));
        }
    }

    /// Repeats the request to members that have not granted their vote or pre-vote.
    pub(crate) fn resend_vote_requests(&mut self, now: Instant) {
        // requests in a term that is not durable yet wait for it already
        if now.since(self.votes_requested_at) < HEARTBEAT_INTERVAL
            || !self.barrier.is_hard_durable()
        {
            return;
        }
        let (votes, pre_votes, transfer) = match &self.role {
            Role::Follower | Role::Leader(_) => return,
            Role::PreCandidate { pre_votes } => (None, Some(pre_votes), false),
            Role::Candidate { votes, pre_votes, transfer } => {
                (Some(votes), Some(pre_votes).filter(|votes| !votes.is_empty()), *transfer)
            }
        };
        let lacks = |votes: Option<&BTreeSet<u64>>, id| votes.is_some_and(|v| !v.contains(&id));
        let term = self.hard.term;
        let mut messages = Vec::new();
        for id in self.peers() {
            if lacks(votes, id) {
                messages.push(self.message(id, term, Body::Vote(self.vote_request(transfer))));
            }
            if lacks(pre_votes, id) {
                messages.push(self.message(id, term + 1, Body::PreVote(self.vote_request(false))));
            }
        }
        self.votes_requested_at = now;
        self.out.extend(messages.into_iter().map(Effect::Send));
    }

    /// Counts the member's vote for itself, once it is durable.
    pub(crate) fn count_own_vote(&mut self, term: u64) {
        let id = self.settings.id;
        if term != self.hard.term {
            return;
        }
        if let Role::Candidate { votes, .. } = &mut self.role {
            votes.insert(id);
        }
    }

    pub(crate) fn on_pre_vote(&mut self, now: Instant, from: u64, term: u64, vote: Vote) {
        let settled = self.barrier.is_hard_durable() && !self.has_active_leader(now);
        let eligible = term > self.hard.term && settled;
        let granted = eligible && self.is_current(vote);
        let term = if granted { term } else { self.hard.term };
        let message = self.message(from, term, Body::PreVoted(Voted { granted }));
        self.out.push(Effect::Send(message));
    }

    pub(crate) fn on_pre_voted(&mut self, now: Instant, from: u64, term: u64, voted: Voted) {
        if !voted.granted {
            if term > self.hard.term {
                self.step_down(now, term, None);
            } else if matches!(self.role, Role::PreCandidate { .. }) {
                self.retry_soon(now);
            }
            return;
        }
        if term != self.hard.term + 1 {
            return;
        }
        match &mut self.role {
            Role::PreCandidate { pre_votes } => pre_votes.insert(from),
            Role::Candidate { pre_votes, .. } if !pre_votes.is_empty() => pre_votes.insert(from),
            _ => return,
        };
        self.count_pre_votes(now);
    }

    pub(crate) fn on_vote(&mut self, now: Instant, from: u64, vote: Vote) {
        let eligible = self.hard.vote == 0 || self.hard.vote == from;
        let follower = matches!(self.role, Role::Follower | Role::PreCandidate { .. });
        let granted = eligible && follower && self.leader.is_none() && self.is_current(vote);
        if granted && self.hard.vote == 0 {
            self.hard.vote = from;
            self.barrier.set_hard(self.hard);
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
                self.retry_soon(now);
            }
            return;
        }
        if let Role::Candidate { votes, .. } = &mut self.role {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    /// Shortens the wait for the next election, after a rejection or at the start: neither
    /// a split vote nor a restart of all members must delay the election by a whole
    /// timeout, and a premature pre-vote does no harm.
    pub(crate) fn retry_soon(&mut self, now: Instant) {
        let (min, max) =
            (ELECTION_RETRY_MIN.as_micros() as u64, ELECTION_RETRY_MAX.as_micros() as u64);
        let soon = now + Duration::from_micros(self.rng.random_range(min..=max));
        self.deadline = self.deadline.min(soon);
    }

    pub(crate) fn count_votes(&mut self, now: Instant) {
        let Role::Candidate { votes, .. } = &self.role else { return };
        if votes.contains(&self.settings.id) && self.is_quorum(|id| votes.contains(&id)) {
            self.role = Role::Leader(Box::new(Leader::new(now, self.log.last_index() + 1)));
            self.become_leader(now);
        }
    }

    fn count_pre_votes(&mut self, now: Instant) {
        let (Role::PreCandidate { pre_votes } | Role::Candidate { pre_votes, .. }) = &self.role
        else {
            return;
        };
        if self.is_quorum(|id| pre_votes.contains(&id)) {
            self.campaign(now, false);
        }
    }

    /// Whether this member leads, or has had contact from a leader within the minimum
    /// election timeout.
    pub(crate) fn has_active_leader(&self, now: Instant) -> bool {
        let leads = matches!(self.role, Role::Leader(_));
        leads || (self.leader.is_some() && now.since(self.leader_heard_at) < ELECTION_TIMEOUT_MIN)
    }

    /// Whether the log of a candidate is at least as up to date as the log of this member.
    fn is_current(&self, vote: Vote) -> bool {
        (vote.last_term, vote.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn vote_request(&self, transfer: bool) -> Vote {
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        Vote { last_index, last_term, transfer }
    }

    /// Ids of all other members.
    pub(crate) fn peers(&self) -> Vec<u64> {
        let own = self.settings.id;
        self.members().members.iter().map(|member| member.id).filter(|id| *id != own).collect()
    }

    /// Whether this member is a voter, or was a voter before an uncommitted membership
    /// change: the others may need its vote to commit that change.
    fn may_campaign(&self) -> bool {
        let votes = |members: &Members| {
            members.members.iter().any(|member| member.voter && member.id == self.settings.id)
        };
        let (index, members) = self.log.membership();
        let uncommitted = index > self.commit;
        votes(members) || (uncommitted && self.log.previous_membership().is_some_and(votes))
    }

    /// Whether the voters that meet a condition form a quorum.
    pub(crate) fn is_quorum(&self, condition: impl Fn(u64) -> bool) -> bool {
        self.counted_members().filter(|member| condition(member.id)).count() >= self.quorum_size()
    }

    /// Number of voters in a quorum of the newest membership.
    pub(crate) fn quorum_size(&self) -> usize {
        crate::quorum_size(self.voters().count())
    }

    pub(crate) fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members().members.iter().filter(|member| member.voter)
    }

    /// Members whose replicas and votes count towards a quorum.
    pub(crate) fn counted_members(&self) -> impl Iterator<Item = &Member> {
        let all = self.settings.flaw == Some(Flaw::Learner);
        self.members().members.iter().filter(move |member| member.voter || all)
    }
}

//! Replica: the state of one member, and the dispatch of its events.

use std::collections::{BTreeMap, BTreeSet};

use base::mechanism::Mechanism;
use base::prelude::*;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::quorum::message::Body;
use wire::quorum::{Entry, Members, Message, propose};

use crate::barrier::{Action, Barrier, Hard};
use crate::check::is_possible;
use crate::event::{Effect, Event, Flaw, Leadership, Settings, Stored};
use crate::leader::Leader;
use crate::log::Log;
use crate::read::PendingReads;
use crate::{ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, STALL_THRESHOLD};

/// Role of a member, with the votes that it has got as a candidate.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate {
        pre_votes: BTreeSet<u64>,
    },
    /// `pre_votes` are those for the next term, once the election takes long. Votes in the
    /// current term are counted meanwhile.
    Candidate {
        votes: BTreeSet<u64>,
        pre_votes: BTreeSet<u64>,
        transfer: bool,
    },
    Leader(Box<Leader>),
}

/// Replica of the log at one member.
#[derive(Debug)]
pub struct Replica {
    pub(crate) settings: Settings,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) hard: Hard,
    pub(crate) log: Log,
    pub(crate) barrier: Barrier,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<u64>,
    pub(crate) leader_heard_at: Instant,
    /// Time at which the member starts an election.
    pub(crate) deadline: Instant,
    /// Time of the last vote or pre-vote requests.
    pub(crate) votes_requested_at: Instant,
    pub(crate) ticked_at: Instant,
    /// Tokens of the member's own open proposals.
    pub(crate) proposals: BTreeSet<u64>,
    pub(crate) pending_reads: PendingReads,
    pub(crate) incoming: Option<crate::follower::Incoming>,
    /// Effects of the current event.
    pub(crate) out: Vec<Effect>,
    /// Membership of the last [`Effect::Members`].
    reported_members: Members,
    /// Leadership of the last [`Effect::Leadership`].
    reported_leadership: Leadership,
}

impl Replica {
    /// Creates a follower from the state that the disk held.
    pub fn new(now: Instant, settings: Settings, stored: Stored) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        // batches are counted up from a random number, so that a late answer to a batch from
        // before a restart matches none of them
        let start_batch = rng.random::<u64>() >> 1;
        let log = Log::new(stored.snapshot, stored.entries);
        let commit = log.snapshot().index;
        let mut replica = Self {
            settings,
            rng,
            hard: stored.hard,
            barrier: Barrier::new(log.last_index()),
            log,
            commit,
            applied: commit,
            role: Role::Follower,
            leader: None,
            leader_heard_at: now,
            deadline: now,
            votes_requested_at: now,
            ticked_at: now,
            proposals: BTreeSet::new(),
            pending_reads: PendingReads::new(start_batch),
            incoming: None,
            out: Vec::new(),
            reported_members: Members::default(),
            reported_leadership: Leadership::default(),
        };
        // a member that starts knows of no leader; the pre-vote tells whether there is one
        replica.reset_deadline(now);
        if !replica.settings.without.has(Mechanism::EarlyElection) {
            replica.retry_soon(now);
        }
        replica
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now),
            Event::Message(message) => self.receive(now, message),
            Event::Persisted(token) => self.persisted(now, token),
            Event::Propose { token, command } => {
                self.propose(now, token, propose::Body::Command(command));
            }
            Event::Change { token, change } => self.propose(now, token, change.into()),
            Event::Read { token, note } => self.read(now, token, note),
            Event::Compact { index, data } => self.compact(index, data),
            Event::Bootstrap(members) => self.bootstrap(now, members),
            Event::Transfer => self.transfer(now),
        }
        self.flush(out);
    }

    /// Id of the member.
    pub fn id(&self) -> u64 {
        self.settings.id
    }

    /// Current term and leader, as the member knows them.
    pub fn leadership(&self) -> Leadership {
        let leads = matches!(self.role, Role::Leader(_));
        Leadership { term: self.hard.term, leader: self.leader, leads }
    }

    /// The newest membership, committed or not.
    pub fn members(&self) -> &Members {
        self.log.membership().1
    }

    /// Whether the member has neither log entries nor a snapshot.
    pub fn is_fresh(&self) -> bool {
        self.log.last_index() == 0
    }

    /// Last index that the member knows to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Index of the last entry in the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Index of the newest snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot().index
    }

    /// Encoded length of the log entries after the newest snapshot, in bytes.
    pub fn bytes_after_snapshot(&self) -> usize {
        self.log.bytes_after_snapshot()
    }

    /// Committed entries after an index; none if the log has dropped some of them.
    pub fn entries_after(&self, index: u64) -> Option<impl Iterator<Item = &Entry>> {
        if index < self.log.base() {
            return None;
        }
        Some((index + 1..=self.commit).filter_map(|index| self.log.get(index)))
    }

    /// Last index known to match at each other member; empty unless this member leads.
    pub fn progress(&self) -> BTreeMap<u64, u64> {
        match &self.role {
            Role::Leader(lead) => lead.peers.iter().map(|(id, peer)| (*id, peer.matched)).collect(),
            _ => BTreeMap::new(),
        }
    }

    fn flush(&mut self, out: &mut Vec<Effect>) {
        let (write, actions) = self.barrier.flush(self.log.last_index());
        if let Some(write) = write {
            out.push(Effect::Persist(write));
        }
        self.run_actions(actions);
        let members = self.log.membership().1;
        if *members != self.reported_members {
            self.reported_members = members.clone();
            out.push(Effect::Members(members.clone()));
        }
        let leadership = self.leadership();
        if leadership != self.reported_leadership {
            self.reported_leadership = leadership;
            out.push(Effect::Leadership(leadership));
        }
        out.append(&mut self.out);
    }

    fn persisted(&mut self, now: Instant, token: u64) {
        let was_hard_durable = self.barrier.is_hard_durable();
        let actions = self.barrier.persisted(token);
        self.run_actions(actions);
        if !was_hard_durable && self.barrier.is_hard_durable() && self.leader.is_none() {
            // the others learn of the term or the vote only now
            self.reset_deadline(now);
        }
        if matches!(self.role, Role::Candidate { .. }) {
            self.count_votes(now);
        }
        if matches!(self.role, Role::Leader(_)) {
            self.advance_commit(now);
        }
    }

    fn run_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(message) => self.out.push(Effect::Send(message)),
                Action::Vote(term) => self.count_own_vote(term),
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        let stalled = now.since(self.ticked_at) > STALL_THRESHOLD;
        self.ticked_at = now;
        if let Role::Leader(_) = self.role {
            self.tick_leader(now, stalled);
            return;
        }
        self.resend_batch(now);
        self.resend_vote_requests(now);
        if stalled {
            self.reset_deadline(now);
        }
        if now >= self.deadline && self.barrier.is_hard_durable() {
            self.start_election(now);
        }
    }

    fn receive(&mut self, now: Instant, message: Message) {
        if message.to != self.settings.id || !is_possible(&message) {
            return;
        }
        let Some(body) = message.body else { return };
        let (from, term) = (message.from, message.term);
        match body {
            Body::PreVote(vote) => return self.on_pre_vote(now, from, term, vote),
            Body::PreVoted(voted) => return self.on_pre_voted(now, from, term, voted),
            Body::Vote(vote) if !vote.transfer && self.has_active_leader(now) => return,
            _ => {}
        }
        let from_leader = matches!(body, Body::Append(_) | Body::Install(_));
        if term > self.hard.term {
            self.step_down(now, term, None);
        }
        if term < self.hard.term {
            if from_leader {
                self.reject_stale_leader(from);
            }
            return;
        }
        if from_leader {
            self.on_leader_contact(now, from);
        }
        match body {
            Body::Vote(vote) => self.on_vote(now, from, vote),
            Body::Voted(voted) => self.on_voted(now, from, voted),
            Body::Append(append) => self.on_append(from, append),
            Body::Appended(appended) => self.on_appended(now, from, appended),
            Body::Install(install) => self.on_install(from, install),
            Body::Installed(installed) => self.on_installed(now, from, installed),
            Body::Campaign(_) => self.campaign(now, true),
            Body::Read(read) => self.on_read(now, from, read),
            Body::Confirmed(confirmed) => self.on_confirmed(now, confirmed),
            Body::Propose(propose) => self.on_propose(now, from, propose),
            Body::Refused(refused) => self.on_refused(refused),
            Body::PreVote(_) | Body::PreVoted(_) | Body::Forward(_) => {}
        }
    }

    /// Becomes a follower, with or without a known leader.
    pub(crate) fn step_down(&mut self, now: Instant, term: u64, leader: Option<u64>) {
        if term > self.hard.term {
            self.hard = Hard { term, vote: 0 };
            self.barrier.set_hard(self.hard);
            self.incoming = None;
        }
        let role = std::mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(lead) = role {
            let given_up = lead.rounds.own();
            self.out.extend(given_up.map(|token| Effect::Unconfirmed { token }));
        }
        self.set_leader(leader);
        self.reset_deadline(now);
    }

    /// Sets the known leader. If the leader changes, open proposals and reads are given up.
    pub(crate) fn set_leader(&mut self, leader: Option<u64>) {
        if self.leader == leader {
            return;
        }
        self.leader = leader;
        for token in std::mem::take(&mut self.proposals) {
            self.out.push(Effect::Dropped { token, not_run: false });
        }
        for token in self.pending_reads.clear() {
            self.out.push(Effect::Unconfirmed { token });
        }
    }

    fn on_leader_contact(&mut self, now: Instant, leader: u64) {
        self.leader_heard_at = now;
        if !matches!(self.role, Role::Follower) || self.leader != Some(leader) {
            self.step_down(now, self.hard.term, Some(leader));
        }
        self.reset_deadline(now);
    }

    pub(crate) fn reset_deadline(&mut self, now: Instant) {
        let (min, max) =
            (ELECTION_TIMEOUT_MIN.as_micros() as u64, ELECTION_TIMEOUT_MAX.as_micros() as u64);
        self.deadline = now + Duration::from_micros(self.rng.random_range(min..=max));
    }

    /// Raises the commit index and emits the committed entries.
    pub(crate) fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index);
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else { return };
            self.applied += 1;
            if entry.origin == self.settings.id {
                self.proposals.remove(&entry.token);
            }
            self.out.push(Effect::Apply(entry));
        }
    }

    fn compact(&mut self, index: u64, data: Bytes) {
        if index > self.applied {
            return;
        }
        if let Some(snapshot) = self.log.compact(index, data, self.settings.kept_entries) {
            self.barrier.set_snapshot(snapshot.clone(), false);
        }
    }

    /// Sends a message without waiting for writes.
    pub(crate) fn send(&mut self, to: u64, body: Body) {
        let message = self.message(to, self.hard.term, body);
        self.out.push(Effect::Send(message));
    }

    /// Sends a message once all writes so far are durable.
    pub(crate) fn send_durable(&mut self, to: u64, body: Body) {
        let message = self.message(to, self.hard.term, body);
        if self.settings.flaw == Some(Flaw::Unsynced) {
            self.out.push(Effect::Send(message));
            return;
        }
        self.barrier.defer(Action::Send(message));
    }

    pub(crate) fn message(&self, to: u64, term: u64, body: Body) -> Message {
        Message { from: self.settings.id, to, term, body: Some(body) }
    }
}

//! One member's copy of the log, and how events reach its parts.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::quorum::message::Body;
use wire::quorum::{Entry, Members, Message, propose};

use crate::event::{Effect, Event, Flaw, Leadership, Settings, Stored};
use crate::hold::{Hard, Hold, Item};
use crate::lead::Lead;
use crate::log::Log;
use crate::read::Asks;
use crate::{ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, STALL_THRESHOLD};

#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    Asking { votes: BTreeSet<u64> },
    Candidate { votes: BTreeSet<u64>, transfer: bool },
    Leader(Box<Lead>),
}

/// A member's copy of the log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) settings: Settings,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) hard: Hard,
    pub(crate) log: Log,
    pub(crate) hold: Hold,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<u64>,
    pub(crate) heard: Instant,
    pub(crate) deadline: Instant,
    /// When votes were asked for last.
    pub(crate) asked: Instant,
    pub(crate) ticked: Instant,
    pub(crate) proposals: BTreeSet<u64>,
    pub(crate) asks: Asks,
    pub(crate) incoming: Option<crate::follow::Incoming>,
    pub(crate) out: Vec<Effect>,
    told_members: Members,
    told_leadership: Leadership,
}

impl Replica {
    /// Starts from what the disk held.
    pub fn new(now: Instant, settings: Settings, stored: Stored) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let first_batch = rng.random::<u64>() >> 1;
        let log = Log::new(stored.snapshot, stored.entries);
        let commit = log.snapshot().index;
        let mut replica = Self {
            settings,
            rng,
            hard: stored.hard,
            hold: Hold::new(log.last_index()),
            log,
            commit,
            applied: commit,
            role: Role::Follower,
            leader: None,
            heard: now,
            deadline: now,
            asked: now,
            ticked: now,
            proposals: BTreeSet::new(),
            asks: Asks::new(first_batch),
            incoming: None,
            out: Vec::new(),
            told_members: Members::default(),
            told_leadership: Leadership::default(),
        };
        replica.reset_deadline(now);
        replica
    }

    /// Takes one event and adds what follows to `out`.
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
        self.seal(out);
    }

    /// The member's id.
    pub fn id(&self) -> u64 {
        self.settings.id
    }

    /// The part it plays.
    pub fn leadership(&self) -> Leadership {
        let leads = matches!(self.role, Role::Leader(_));
        Leadership { term: self.hard.term, leader: self.leader, leads }
    }

    /// The newest membership, committed or not.
    pub fn members(&self) -> &Members {
        self.log.membership().1
    }

    /// Whether it has no log and no membership yet.
    pub fn is_fresh(&self) -> bool {
        self.log.last_index() == 0
    }

    /// Last committed index that it knows.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Index of the newest snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot().index
    }

    /// Entries after an index, while the log still has them and as many as
    /// are committed.
    pub fn entries_after(&self, index: u64) -> Option<impl Iterator<Item = &Entry>> {
        if index < self.log.base() {
            return None;
        }
        Some((index + 1..=self.commit).filter_map(|index| self.log.get(index)))
    }

    /// How far each other member is, at the leader.
    pub fn progress(&self) -> BTreeMap<u64, u64> {
        match &self.role {
            Role::Leader(lead) => lead.peers.iter().map(|(id, peer)| (*id, peer.matched)).collect(),
            _ => BTreeMap::new(),
        }
    }

    fn seal(&mut self, out: &mut Vec<Effect>) {
        let (write, items) = self.hold.seal(self.log.last_index());
        if let Some(write) = write {
            out.push(Effect::Persist(write));
        }
        self.release(items);
        let members = self.log.membership().1;
        if *members != self.told_members {
            self.told_members = members.clone();
            out.push(Effect::Members(members.clone()));
        }
        let leadership = self.leadership();
        if leadership != self.told_leadership {
            self.told_leadership = leadership;
            out.push(Effect::Leadership(leadership));
        }
        out.append(&mut self.out);
    }

    fn persisted(&mut self, now: Instant, token: u64) {
        let items = self.hold.persisted(token);
        self.release(items);
        if matches!(self.role, Role::Candidate { .. }) {
            self.count_votes(now);
        }
        if matches!(self.role, Role::Leader(_)) {
            self.advance(now);
        }
    }

    fn release(&mut self, items: Vec<Item>) {
        for item in items {
            match item {
                Item::Send(message) => self.out.push(Effect::Send(message)),
                Item::Vote(term) => self.own_vote(term),
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        let stalled = now.since(self.ticked) > STALL_THRESHOLD;
        self.ticked = now;
        if let Role::Leader(_) = self.role {
            self.lead(now, stalled);
            return;
        }
        self.ask_again(now);
        self.ask_votes_again(now);
        if stalled {
            self.reset_deadline(now);
        }
        if now >= self.deadline {
            self.stand(now);
        }
    }

    fn receive(&mut self, now: Instant, message: Message) {
        if message.to != self.settings.id {
            return;
        }
        let Some(body) = message.body else { return };
        let (from, term) = (message.from, message.term);
        match body {
            Body::PreVote(vote) => return self.on_pre_vote(now, from, term, vote),
            Body::PreVoted(voted) => return self.on_pre_voted(now, from, term, voted),
            Body::Vote(vote) if !vote.transfer && self.hears_leader(now) => return,
            _ => {}
        }
        let from_leader = matches!(body, Body::Append(_) | Body::Piece(_));
        if term > self.hard.term {
            self.step_down(now, term, None);
        }
        if term < self.hard.term {
            if from_leader {
                self.deny(from);
            }
            return;
        }
        if from_leader {
            self.hear(now, from);
        }
        match body {
            Body::Vote(vote) => self.on_vote(now, from, vote),
            Body::Voted(voted) => self.on_voted(now, from, voted),
            Body::Append(append) => self.on_append(from, append),
            Body::Appended(appended) => self.on_appended(now, from, appended),
            Body::Piece(piece) => self.on_piece(from, piece),
            Body::Pieced(pieced) => self.on_pieced(now, from, pieced),
            Body::Campaign(_) => self.campaign(now, true),
            Body::Read(read) => self.on_read(now, from, read),
            Body::Confirmed(confirmed) => self.on_confirmed(now, confirmed),
            Body::Propose(propose) => self.on_propose(now, from, propose),
            Body::Refused(refused) => self.on_refused(refused),
            Body::PreVote(_) | Body::PreVoted(_) | Body::Forward(_) => {}
        }
    }

    /// Becomes a follower, of a leader or of none.
    pub(crate) fn step_down(&mut self, now: Instant, term: u64, leader: Option<u64>) {
        if term > self.hard.term {
            self.hard = Hard { term, vote: 0 };
            self.hold.hard(self.hard);
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

    /// Notes the leader; what was asked of another one is given up.
    pub(crate) fn set_leader(&mut self, leader: Option<u64>) {
        if self.leader == leader {
            return;
        }
        self.leader = leader;
        for token in std::mem::take(&mut self.proposals) {
            self.out.push(Effect::Dropped { token, not_run: false });
        }
        for token in self.asks.clear() {
            self.out.push(Effect::Unconfirmed { token });
        }
    }

    fn hear(&mut self, now: Instant, leader: u64) {
        self.heard = now;
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

    /// Hands committed entries to the host.
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
            self.hold.snapshot(snapshot.clone(), false);
        }
    }

    /// Sends now.
    pub(crate) fn send(&mut self, to: u64, body: Body) {
        let message = self.message(to, self.hard.term, body);
        self.out.push(Effect::Send(message));
    }

    /// Sends once all that was decided so far is durable.
    pub(crate) fn send_durable(&mut self, to: u64, body: Body) {
        let message = self.message(to, self.hard.term, body);
        if self.settings.flaw == Some(Flaw::Unsynced) {
            self.out.push(Effect::Send(message));
            return;
        }
        self.hold.after(Item::Send(message));
    }

    pub(crate) fn message(&self, to: u64, term: u64, body: Body) -> Message {
        Message { from: self.settings.id, to, term, body: Some(body) }
    }
}

//! One member's copy of the log, and how events reach its parts.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::quorum::message::Body;
use wire::quorum::{Entry, Member, Members, Message, Refusal, propose};

use crate::hold::{Hard, Hold, Item, Write};
use crate::lead::Lead;
use crate::log::{Log, Snapshot};
use crate::read::Asks;
use crate::{BATCH_ENTRIES, ELECTION_MAX, ELECTION_MIN, KEPT_ENTRIES, PIECE_BYTES, STALL};

/// A deliberate break of one rule, by which tests check their own checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
pub enum Flaw {
    /// Answers before the disk does.
    Unsynced,
    /// Counts the copies and votes of learners.
    Learner,
    /// Raises the term without a pre-vote.
    NoPreVote,
    /// Confirms reads without a heartbeat round.
    LocalRead,
    /// Commits entries of earlier terms by counting copies.
    OldTerm,
}

/// Settings of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The member's id; not zero.
    pub id: u64,
    /// Seed of the timers' jitter; another one at each start.
    pub seed: u64,
    /// Entries kept in memory behind a snapshot.
    pub keep: u64,
    /// Entries in one message.
    pub batch: usize,
    /// Length of a piece of a snapshot in bytes.
    pub piece: usize,
    /// A rule to break, in tests only.
    pub flaw: Option<Flaw>,
}

/// What the disk held at the start.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Term and vote.
    pub hard: Hard,
    /// Newest snapshot; the default one stands for none.
    pub snapshot: Snapshot,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A message came.
    Message(Message),
    /// The write with this token and all before it are synced.
    Persisted(u64),
    /// A command is proposed, under a number that rises.
    Propose {
        /// The number.
        token: u64,
        /// The encoded command.
        command: Bytes,
    },
    /// A change of membership is proposed, under a number that rises.
    Change {
        /// The number.
        token: u64,
        /// The change.
        change: Change,
    },
    /// A confirmed read is asked for.
    Read {
        /// Number of the read.
        token: u64,
        /// What the leader must have heard before it confirms.
        note: Option<Bytes>,
    },
    /// The host's state at an applied index, to shorten the log with.
    Compact {
        /// The index.
        index: u64,
        /// The encoded state.
        data: Bytes,
    },
    /// A log without entries gets its first membership.
    Bootstrap(Members),
    /// The member stops soon: another is to lead.
    Transfer,
}

/// A change of membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Adds a member: a learner until it has caught up. A member of the same
    /// name and another id is replaced by it.
    Add(Member),
    /// Removes the member with this id.
    Remove(u64),
}

/// What the host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write to the disk, in order.
    Persist(Write),
    /// Send a message; it may be lost.
    Send(Message),
    /// Apply a committed entry; they come in order.
    Apply(Entry),
    /// Put a snapshot in place of the host's state.
    Restore(Snapshot),
    /// A read is confirmed: apply up to the index, then answer.
    Confirmed {
        /// Number of the read.
        token: u64,
        /// The index.
        index: u64,
    },
    /// A read is not confirmed; it may be asked again.
    Unconfirmed {
        /// Number of the read.
        token: u64,
    },
    /// A note that came with a read, at the leader, before it is confirmed.
    Noted(Bytes),
    /// A proposal is given up.
    Dropped {
        /// Number of the proposal.
        token: u64,
        /// Whether it surely never reaches the log.
        not_run: bool,
    },
    /// A change of membership is refused.
    Refused {
        /// Number of the proposal.
        token: u64,
        /// Why.
        refusal: Refusal,
    },
    /// The membership changed; it may not be committed yet.
    Members(Members),
    /// The member's part, or the leader that it knows, changed.
    Part(Part),
}

/// The part that a member plays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Its term.
    pub term: u64,
    /// The leader it knows of.
    pub leader: Option<u64>,
    /// Whether it leads.
    pub leads: bool,
}

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
    told_part: Part,
}

impl Settings {
    /// The settings of a member but for its id and seed.
    pub fn new(id: u64, seed: u64) -> Self {
        Self { id, seed, keep: KEPT_ENTRIES, batch: BATCH_ENTRIES, piece: PIECE_BYTES, flaw: None }
    }
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
            told_part: Part::default(),
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
    pub fn part(&self) -> Part {
        let leads = matches!(self.role, Role::Leader(_));
        Part { term: self.hard.term, leader: self.leader, leads }
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
        let part = self.part();
        if part != self.told_part {
            self.told_part = part;
            out.push(Effect::Part(part));
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
        let stalled = now.since(self.ticked) > STALL;
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
        self.role = Role::Follower;
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
        let (min, max) = (ELECTION_MIN.as_micros() as u64, ELECTION_MAX.as_micros() as u64);
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
        if let Some(snapshot) = self.log.compact(index, data, self.settings.keep) {
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

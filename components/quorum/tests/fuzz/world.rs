//! Simulation of members with disks and a network, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::ops::Range;

use base::prelude::*;
use bytes::Bytes;
use quorum::{Change, Effect, Event, Flaw, Replica, Settings, Stored, Write};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::quorum::{Entry, Member, Members, Message};

use crate::oracle::{Oracle, digest};

/// Tick interval of each node, in microseconds of simulation time.
const TICK_MICROS: u64 = 10_000;

/// Number of messages in flight from which on further ones are lost.
const MAX_IN_FLIGHT: usize = 5_000;

/// Time that a disk takes for a sync, unless a test makes it slow.
pub const FAST_SYNC_MICROS: Range<u64> = 100..15_000;

/// Scheduled occurrence in the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Occurrence {
    Tick { node: usize, incarnation: u64 },
    Synced { node: usize, incarnation: u64, token: u64 },
    Message { slot: usize },
}

/// Node of the simulated cluster, running or crashed.
#[derive(Debug)]
pub struct Node {
    /// Member id, drawn at random with the disk.
    pub id: u64,
    pub name: String,
    pub replica: Option<Replica>,
    /// Whether the node's disk is lost permanently.
    pub lost: bool,
    /// Number of starts of the node.
    incarnation: u64,
    /// State on the disk that survives a crash.
    durable: Stored,
    /// Writes that are not synced yet.
    pending: VecDeque<Write>,
    /// Whether a sync is in progress. Writes that are queued meanwhile share the next one.
    syncing: bool,
    /// Range of the time that the disk takes for a sync, in microseconds.
    pub sync_micros: Range<u64>,
    /// Rate of the node's clock relative to simulation time, in percent.
    rate: u64,
    /// Offset of the node's clock in microseconds.
    offset: u64,
    /// Digest of all entries that the node has applied.
    digest: u64,
    /// Index of the last applied entry.
    pub applied: u64,
    /// Tokens of the node's open proposals.
    waiting: BTreeSet<u64>,
    /// Tokens of the node's open reads.
    pub reads: BTreeSet<u64>,
}

/// Simulated cluster.
#[derive(Debug)]
pub struct World {
    pub rng: ChaCha8Rng,
    pub nodes: Vec<Node>,
    pub oracle: Oracle,
    /// Simulation time in microseconds.
    pub now: u64,
    /// Share of messages that are lost, in percent.
    pub loss: u32,
    /// Share of messages that are delivered twice, in percent.
    pub copies: u32,
    /// Share of messages with a long delay, in percent.
    pub late: u32,
    /// Side of each node in a network partition. A node without a side reaches all others.
    sides: BTreeMap<usize, u8>,
    /// Scheduled occurrences, by time and sequence number.
    queue: BinaryHeap<Reverse<(u64, u64, Occurrence)>>,
    /// Messages in flight and the indexes of their receivers, by slot.
    in_flight: BTreeMap<usize, (usize, Message)>,
    /// Sequence number of the last scheduled occurrence.
    count: u64,
    /// Last token of a proposal or read.
    token: u64,
    flaw: Option<Flaw>,
    batch_entries: usize,
    kept_entries: u64,
    /// Maximum number of voters.
    max_voters: usize,
}

impl World {
    pub fn new(seed: u64, voters: usize, flaw: Option<Flaw>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let batch_entries = rng.random_range(1..=4);
        let kept_entries = rng.random_range(0..=8);
        let max_voters = if rng.random_bool(0.5) { voters } else { usize::MAX };
        let mut world = Self {
            rng,
            nodes: Vec::new(),
            oracle: Oracle::new(max_voters),
            now: 1,
            loss: 0,
            copies: 0,
            late: 0,
            sides: BTreeMap::new(),
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            count: 0,
            token: 0,
            flaw,
            batch_entries,
            kept_entries,
            max_voters,
        };
        for index in 0..voters {
            world.add_node(&format!("n{index}"));
        }
        let members = world.nodes.iter().map(|node| Member { voter: true, ..member(node) });
        let members = Members { members: members.collect() };
        world.event(0, Event::Bootstrap(members));
        world
    }

    /// Starts a node with an empty disk and returns its index.
    pub fn add_node(&mut self, name: &str) -> usize {
        let node = Node {
            id: self.rng.random_range(1..u64::MAX),
            name: name.to_owned(),
            replica: None,
            lost: false,
            incarnation: 0,
            durable: Stored::default(),
            pending: VecDeque::new(),
            syncing: false,
            sync_micros: FAST_SYNC_MICROS,
            rate: self.rng.random_range(85..=118),
            offset: self.rng.random_range(0..1_000_000),
            digest: 0,
            applied: 0,
            waiting: BTreeSet::new(),
            reads: BTreeSet::new(),
        };
        self.nodes.push(node);
        let index = self.nodes.len() - 1;
        self.restart(index);
        index
    }

    pub fn restart(&mut self, index: usize) {
        let (seed, flaw, batch_entries, kept_entries) =
            (self.rng.random(), self.flaw, self.batch_entries, self.kept_entries);
        let now = self.clock(index);
        let node = &mut self.nodes[index];
        if node.lost || node.replica.is_some() {
            return;
        }
        node.incarnation += 1;
        let max_voters = self.max_voters;
        let settings = Settings {
            kept_entries,
            batch_entries,
            piece_bytes: 16,
            max_voters,
            flaw,
            ..Settings::new(node.id, seed)
        };
        let stored = node.durable.clone();
        node.applied = stored.snapshot.index;
        node.digest = read_digest(&stored.snapshot.data);
        node.replica = Some(Replica::new(now, settings, stored));
        let incarnation = node.incarnation;
        self.schedule(self.now + TICK_MICROS, Occurrence::Tick { node: index, incarnation });
    }

    /// Crashes a node. A random number of the pending writes, in order, become durable.
    pub fn crash(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.replica = None;
        node.waiting.clear();
        node.reads.clear();
        node.syncing = false;
        let durable_writes = self.rng.random_range(0..=node.pending.len());
        for write in std::mem::take(&mut node.pending).into_iter().take(durable_writes) {
            persist(&mut node.durable, write);
        }
    }

    pub fn lose(&mut self, index: usize) {
        self.crash(index);
        self.nodes[index].lost = true;
    }

    pub fn split(&mut self, sides: BTreeMap<usize, u8>) {
        self.sides = sides;
    }

    pub fn propose(&mut self, index: usize) {
        self.token += 1;
        let token = self.token;
        let command = Bytes::from(token.to_be_bytes().to_vec());
        self.nodes[index].waiting.insert(token);
        self.event(index, Event::Propose { token, command });
    }

    pub fn change(&mut self, index: usize, change: Change) {
        self.token += 1;
        let token = self.token;
        self.event(index, Event::Change { token, change });
    }

    pub fn read(&mut self, index: usize) {
        if self.nodes[index].replica.is_none() {
            return;
        }
        self.token += 1;
        let token = self.token;
        self.oracle.read(self.nodes[index].id, token);
        self.nodes[index].reads.insert(token);
        self.event(index, Event::Read { token, note: None });
    }

    pub fn compact(&mut self, node_index: usize) {
        let node = &self.nodes[node_index];
        let mut data = node.digest.to_be_bytes().to_vec();
        data.resize(8 + (node.applied as usize % 5) * 12, 0);
        let (index, data) = (node.applied, data.into());
        self.event(node_index, Event::Compact { index, data });
    }

    pub fn transfer(&mut self, index: usize) {
        self.event(index, Event::Transfer);
    }

    pub fn member(&self, index: usize) -> Member {
        member(&self.nodes[index])
    }

    /// Indexes of the nodes that consider themselves the leader.
    pub fn leaders(&self) -> Vec<usize> {
        let leads = |node: &Node| node.replica.as_ref().is_some_and(|r| r.leadership().leads);
        (0..self.nodes.len()).filter(|index| leads(&self.nodes[*index])).collect()
    }

    /// Describes the state of all nodes, for failure messages.
    pub fn describe(&self) -> String {
        let mut lines = vec![format!("{} committed", self.oracle.len())];
        lines.extend(self.nodes.iter().map(|node| self.describe_node(node)));
        lines.join("\n")
    }

    fn describe_node(&self, node: &Node) -> String {
        let name = |id: u64| {
            let index = self.nodes.iter().position(|node| node.id == id);
            index.map_or_else(|| "?".to_owned(), |index| format!("#{index}"))
        };
        let Some(replica) = &node.replica else {
            return format!("{} {} lost: {}", name(node.id), node.name, node.lost);
        };
        let voter = |voter| if voter { "" } else { "-" };
        let members = replica.members().members.iter();
        let members: Vec<_> =
            members.map(|m| format!("{}{}", name(m.id), voter(m.voter))).collect();
        let (role, commit, last) = (replica.leadership(), replica.commit(), replica.last_index());
        format!("{} {} {role:?} commit {commit} last {last} {members:?}", name(node.id), node.name)
    }

    /// Advances the simulation by a number of microseconds.
    pub fn run(&mut self, micros: u64) {
        let end = self.now + micros;
        while let Some(Reverse((at, _, _))) = self.queue.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, occurrence))) = self.queue.pop() else { break };
            self.now = at;
            self.dispatch(occurrence);
        }
        self.now = end;
    }

    fn dispatch(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Tick { node, incarnation }
                if self.nodes[node].incarnation == incarnation =>
            {
                if self.nodes[node].replica.is_some() {
                    self.schedule(self.now + TICK_MICROS, Occurrence::Tick { node, incarnation });
                }
                self.event(node, Event::Tick);
            }
            Occurrence::Synced { node, incarnation, token }
                if self.nodes[node].incarnation == incarnation =>
            {
                self.synced(node, token);
            }
            Occurrence::Message { slot } => {
                if let Some((to, message)) = self.in_flight.remove(&slot) {
                    self.event(to, Event::Message(message));
                }
            }
            Occurrence::Tick { .. } | Occurrence::Synced { .. } => {}
        }
    }

    fn synced(&mut self, index: usize, token: u64) {
        let node = &mut self.nodes[index];
        if node.replica.is_none() {
            return;
        }
        node.syncing = false;
        while node.pending.front().is_some_and(|write| write.token <= token) {
            if let Some(write) = node.pending.pop_front() {
                persist(&mut node.durable, write);
            }
        }
        self.event(index, Event::Persisted(token));
        if !self.nodes[index].syncing {
            self.start_sync(index);
        }
    }

    fn clock(&self, index: usize) -> Instant {
        let node = &self.nodes[index];
        Instant::from_micros(node.offset + self.now * node.rate / 100)
    }

    fn schedule(&mut self, time: u64, occurrence: Occurrence) {
        self.count += 1;
        self.queue.push(Reverse((time, self.count, occurrence)));
    }

    fn event(&mut self, index: usize, event: Event) {
        let now = self.clock(index);
        let mut out = Vec::new();
        if let Some(replica) = &mut self.nodes[index].replica {
            replica.on(now, event, &mut out);
        }
        for effect in out {
            self.effect(index, effect);
        }
    }

    fn effect(&mut self, node_index: usize, effect: Effect) {
        let id = self.nodes[node_index].id;
        match effect {
            Effect::Persist(write) => self.write(node_index, write),
            Effect::Send(message) => self.send(node_index, &message),
            Effect::Apply(entry) => self.apply(node_index, &entry),
            Effect::Restore(snapshot) => {
                let node = &mut self.nodes[node_index];
                node.applied = snapshot.index;
                node.digest = read_digest(&snapshot.data);
                self.oracle.restored(snapshot.index, node.digest);
            }
            Effect::Confirmed { token, index } => {
                assert!(self.nodes[node_index].reads.remove(&token), "a read was answered twice");
                self.oracle.confirmed(id, token, index);
            }
            Effect::Unconfirmed { token } => {
                assert!(self.nodes[node_index].reads.remove(&token), "a read was answered twice");
            }
            Effect::Dropped { token, not_run } => {
                self.nodes[node_index].waiting.remove(&token);
                if not_run {
                    self.oracle.not_run(id, token);
                }
            }
            Effect::Leadership(led) if led.leads => self.oracle.leads(led.term, id),
            Effect::Leadership(_)
            | Effect::Members(_)
            | Effect::Noted(_)
            | Effect::Refused { .. } => {}
        }
    }

    fn apply(&mut self, index: usize, entry: &Entry) {
        let node = &mut self.nodes[index];
        assert_eq!(entry.index, node.applied + 1, "a member skipped an entry");
        node.applied = entry.index;
        node.digest = digest(node.digest, entry);
        if entry.origin == node.id && node.waiting.remove(&entry.token) {
            self.oracle.acknowledged += 1;
        }
        self.oracle.applied(node.id, entry, node.digest);
    }

    fn write(&mut self, index: usize, write: Write) {
        self.nodes[index].pending.push_back(write);
        if !self.nodes[index].syncing {
            self.start_sync(index);
        }
    }

    /// Starts a sync that covers all queued writes.
    fn start_sync(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(token) = node.pending.back().map(|write| write.token) else { return };
        node.syncing = true;
        let time = self.now + self.rng.random_range(node.sync_micros.clone());
        let incarnation = node.incarnation;
        self.schedule(time, Occurrence::Synced { node: index, incarnation, token });
    }

    fn send(&mut self, from: usize, message: &Message) {
        let Some(to) = self.nodes.iter().position(|node| node.id == message.to) else { return };
        let partitioned = match (self.sides.get(&from), self.sides.get(&to)) {
            (Some(from), Some(to)) => from != to,
            _ => false,
        };
        if partitioned
            || self.in_flight.len() >= MAX_IN_FLIGHT
            || self.rng.random_ratio(self.loss, 100)
        {
            return;
        }
        let copies = if self.rng.random_ratio(self.copies, 100) { 2 } else { 1 };
        for _ in 0..copies {
            let late = self.rng.random_ratio(self.late, 100);
            let delay = self.rng.random_range(200..if late { 400_000 } else { 8_000 });
            let slot = self.count as usize;
            self.in_flight.insert(slot, (to, message.clone()));
            self.schedule(self.now + delay, Occurrence::Message { slot });
        }
    }
}

fn member(node: &Node) -> Member {
    Member { id: node.id, name: node.name.clone(), voter: false, ..Member::default() }
}

fn read_digest(data: &Bytes) -> u64 {
    data.first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes))
}

fn persist(stored: &mut Stored, write: Write) {
    let Write { hard, snapshot, reset, entries, .. } = write;
    stored.hard = hard.unwrap_or(stored.hard);
    if let Some(snapshot) = snapshot {
        stored.entries.retain(|entry| !reset && entry.index > snapshot.index);
        stored.snapshot = snapshot;
    }
    if let Some(first) = entries.first() {
        stored.entries.retain(|entry| entry.index < first.index);
    }
    let base = stored.snapshot.index;
    stored.entries.extend(entries.into_iter().filter(|entry| entry.index > base));
}

//! Members with fake disks and a fake network, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use base::prelude::*;
use bytes::Bytes;
use quorum::{Change, Effect, Event, Flaw, Replica, Settings, Stored, Write};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::quorum::{Entry, Member, Members, Message};

use crate::oracle::{Oracle, digest};

const TICK_MICROS: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Tick { node: usize, life: u64 },
    Synced { node: usize, life: u64, token: u64 },
    Message { slot: usize },
}

#[derive(Debug)]
pub struct Node {
    pub id: u64,
    pub name: String,
    pub replica: Option<Replica>,
    /// Its disk is gone for good.
    pub lost: bool,
    life: u64,
    durable: Stored,
    pending: VecDeque<Write>,
    disk_free: u64,
    /// Ticks of its clock against the true one, in percent.
    rate: u64,
    offset: u64,
    digest: u64,
    pub applied: u64,
    waiting: BTreeSet<u64>,
    /// Reads that are not answered.
    pub reads: BTreeSet<u64>,
}

#[derive(Debug)]
pub struct World {
    pub rng: ChaCha8Rng,
    pub nodes: Vec<Node>,
    pub oracle: Oracle,
    pub now: u64,
    pub loss: u32,
    pub copies: u32,
    /// Messages that come very late, in percent.
    pub late: u32,
    /// Nodes on each side of a split; those on none reach all.
    sides: BTreeMap<usize, u8>,
    queue: BinaryHeap<Reverse<(u64, u64, What)>>,
    flights: BTreeMap<usize, (usize, Message)>,
    count: u64,
    token: u64,
    flaw: Option<Flaw>,
    batch: usize,
    keep: u64,
    /// Most members that vote.
    voters: usize,
}

impl World {
    pub fn new(seed: u64, voters: usize, flaw: Option<Flaw>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let batch = rng.random_range(1..=4);
        let keep = rng.random_range(0..=8);
        let most = if rng.random_bool(0.5) { voters } else { usize::MAX };
        let mut world = Self {
            rng,
            nodes: Vec::new(),
            oracle: Oracle::new(most),
            now: 1,
            loss: 0,
            copies: 0,
            late: 0,
            sides: BTreeMap::new(),
            queue: BinaryHeap::new(),
            flights: BTreeMap::new(),
            count: 0,
            token: 0,
            flaw,
            batch,
            keep,
            voters: most,
        };
        for place in 0..voters {
            world.add_node(&format!("n{place}"));
        }
        let members = world.nodes.iter().map(|node| Member { voter: true, ..member(node) });
        let members = Members { members: members.collect() };
        world.event(0, Event::Bootstrap(members));
        world
    }

    /// Starts a host with an empty disk and returns its place.
    pub fn add_node(&mut self, name: &str) -> usize {
        let node = Node {
            id: self.rng.random_range(1..u64::MAX),
            name: name.to_owned(),
            replica: None,
            lost: false,
            life: 0,
            durable: Stored::default(),
            pending: VecDeque::new(),
            disk_free: 0,
            rate: self.rng.random_range(85..=118),
            offset: self.rng.random_range(0..1_000_000),
            digest: 0,
            applied: 0,
            waiting: BTreeSet::new(),
            reads: BTreeSet::new(),
        };
        self.nodes.push(node);
        let place = self.nodes.len() - 1;
        self.restart(place);
        place
    }

    pub fn restart(&mut self, place: usize) {
        let (seed, flaw, batch, keep) = (self.rng.random(), self.flaw, self.batch, self.keep);
        let now = self.clock(place);
        let node = &mut self.nodes[place];
        if node.lost || node.replica.is_some() {
            return;
        }
        node.life += 1;
        let voters = self.voters;
        let settings = Settings {
            kept_entries: keep,
            batch_entries: batch,
            piece_bytes: 16,
            max_voters: voters,
            flaw,
            ..Settings::new(node.id, seed)
        };
        let stored = node.durable.clone();
        node.applied = stored.snapshot.index;
        node.digest = read_digest(&stored.snapshot.data);
        node.replica = Some(Replica::new(now, settings, stored));
        let life = node.life;
        self.at(self.now + TICK_MICROS, What::Tick { node: place, life });
    }

    /// Stops a host; of the writes under way, the first few last.
    pub fn crash(&mut self, place: usize) {
        let node = &mut self.nodes[place];
        node.replica = None;
        node.waiting.clear();
        node.reads.clear();
        let lasting = self.rng.random_range(0..=node.pending.len());
        for write in std::mem::take(&mut node.pending).into_iter().take(lasting) {
            persist(&mut node.durable, write);
        }
    }

    pub fn lose(&mut self, place: usize) {
        self.crash(place);
        self.nodes[place].lost = true;
    }

    pub fn split(&mut self, sides: BTreeMap<usize, u8>) {
        self.sides = sides;
    }

    pub fn propose(&mut self, place: usize) {
        self.token += 1;
        let token = self.token;
        let command = Bytes::from(token.to_be_bytes().to_vec());
        self.nodes[place].waiting.insert(token);
        self.event(place, Event::Propose { token, command });
    }

    pub fn change(&mut self, place: usize, change: Change) {
        self.token += 1;
        let token = self.token;
        self.event(place, Event::Change { token, change });
    }

    pub fn read(&mut self, place: usize) {
        if self.nodes[place].replica.is_none() {
            return;
        }
        self.token += 1;
        let token = self.token;
        self.oracle.read(self.nodes[place].id, token);
        self.nodes[place].reads.insert(token);
        self.event(place, Event::Read { token, note: None });
    }

    pub fn compact(&mut self, place: usize) {
        let node = &self.nodes[place];
        let mut data = node.digest.to_be_bytes().to_vec();
        data.resize(8 + (node.applied as usize % 5) * 12, 0);
        let (index, data) = (node.applied, data.into());
        self.event(place, Event::Compact { index, data });
    }

    pub fn transfer(&mut self, place: usize) {
        self.event(place, Event::Transfer);
    }

    pub fn member(&self, place: usize) -> Member {
        member(&self.nodes[place])
    }

    /// Places of members that lead, as they believe.
    pub fn leaders(&self) -> Vec<usize> {
        let leads = |node: &Node| node.replica.as_ref().is_some_and(|r| r.leadership().leads);
        (0..self.nodes.len()).filter(|place| leads(&self.nodes[*place])).collect()
    }

    /// The members as they are, for a failure's message.
    pub fn describe(&self) -> String {
        let mut lines = vec![format!("{} committed", self.oracle.len())];
        lines.extend(self.nodes.iter().map(|node| self.describe_node(node)));
        lines.join("\n")
    }

    fn describe_node(&self, node: &Node) -> String {
        let name = |id: u64| {
            let place = self.nodes.iter().position(|node| node.id == id);
            place.map_or_else(|| "?".to_owned(), |place| format!("#{place}"))
        };
        let Some(replica) = &node.replica else {
            return format!("{} {} lost: {}", name(node.id), node.name, node.lost);
        };
        let voter = |voter| if voter { "" } else { "-" };
        let members = replica.members().members.iter();
        let members: Vec<_> =
            members.map(|m| format!("{}{}", name(m.id), voter(m.voter))).collect();
        let (leadership, commit, last) =
            (replica.leadership(), replica.commit(), replica.last_index());
        format!(
            "{} {} {leadership:?} commit {commit} last {last} {members:?}",
            name(node.id),
            node.name
        )
    }

    /// Lets time pass.
    pub fn run(&mut self, micros: u64) {
        let end = self.now + micros;
        while let Some(Reverse((at, _, _))) = self.queue.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, what))) = self.queue.pop() else { break };
            self.now = at;
            self.happen(what);
        }
        self.now = end;
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Tick { node, life } if self.nodes[node].life == life => {
                if self.nodes[node].replica.is_some() {
                    self.at(self.now + TICK_MICROS, What::Tick { node, life });
                }
                self.event(node, Event::Tick);
            }
            What::Synced { node, life, token } if self.nodes[node].life == life => {
                self.synced(node, token);
            }
            What::Message { slot } => {
                if let Some((to, message)) = self.flights.remove(&slot) {
                    self.event(to, Event::Message(message));
                }
            }
            What::Tick { .. } | What::Synced { .. } => {}
        }
    }

    fn synced(&mut self, place: usize, token: u64) {
        let node = &mut self.nodes[place];
        if node.replica.is_none() {
            return;
        }
        while node.pending.front().is_some_and(|write| write.token <= token) {
            if let Some(write) = node.pending.pop_front() {
                persist(&mut node.durable, write);
            }
        }
        self.event(place, Event::Persisted(token));
    }

    fn clock(&self, place: usize) -> Instant {
        let node = &self.nodes[place];
        Instant::from_micros(node.offset + self.now * node.rate / 100)
    }

    fn at(&mut self, time: u64, what: What) {
        self.count += 1;
        self.queue.push(Reverse((time, self.count, what)));
    }

    fn event(&mut self, place: usize, event: Event) {
        let now = self.clock(place);
        let mut out = Vec::new();
        if let Some(replica) = &mut self.nodes[place].replica {
            replica.on(now, event, &mut out);
        }
        for effect in out {
            self.effect(place, effect);
        }
    }

    fn effect(&mut self, place: usize, effect: Effect) {
        let id = self.nodes[place].id;
        match effect {
            Effect::Persist(write) => self.write(place, write),
            Effect::Send(message) => self.send(place, &message),
            Effect::Apply(entry) => self.apply(place, &entry),
            Effect::Restore(snapshot) => {
                let node = &mut self.nodes[place];
                node.applied = snapshot.index;
                node.digest = read_digest(&snapshot.data);
                self.oracle.restored(snapshot.index, node.digest);
            }
            Effect::Confirmed { token, index } => {
                assert!(self.nodes[place].reads.remove(&token), "a read was answered twice");
                self.oracle.confirmed(id, token, index);
            }
            Effect::Unconfirmed { token } => {
                assert!(self.nodes[place].reads.remove(&token), "a read was answered twice");
            }
            Effect::Dropped { token, not_run } => {
                self.nodes[place].waiting.remove(&token);
                if not_run {
                    self.oracle.not_run(id, token);
                }
            }
            Effect::Leadership(leadership) if leadership.leads => {
                self.oracle.leads(leadership.term, id)
            }
            Effect::Leadership(_)
            | Effect::Members(_)
            | Effect::Noted(_)
            | Effect::Refused { .. } => {}
        }
    }

    fn apply(&mut self, place: usize, entry: &Entry) {
        let node = &mut self.nodes[place];
        assert_eq!(entry.index, node.applied + 1, "a member skipped an entry");
        node.applied = entry.index;
        node.digest = digest(node.digest, entry);
        if entry.origin == node.id && node.waiting.remove(&entry.token) {
            self.oracle.acknowledged += 1;
        }
        self.oracle.applied(node.id, entry, node.digest);
    }

    fn write(&mut self, place: usize, write: Write) {
        let took = self.rng.random_range(100..15_000);
        let now = self.now;
        let node = &mut self.nodes[place];
        node.disk_free = node.disk_free.max(now) + took;
        let what = What::Synced { node: place, life: node.life, token: write.token };
        let time = node.disk_free;
        node.pending.push_back(write);
        self.at(time, what);
    }

    fn send(&mut self, from: usize, message: &Message) {
        let Some(to) = self.nodes.iter().position(|node| node.id == message.to) else { return };
        let apart = match (self.sides.get(&from), self.sides.get(&to)) {
            (Some(from), Some(to)) => from != to,
            _ => false,
        };
        if apart || self.rng.random_ratio(self.loss, 100) {
            return;
        }
        let copies = if self.rng.random_ratio(self.copies, 100) { 2 } else { 1 };
        for _ in 0..copies {
            let late = self.rng.random_ratio(self.late, 100);
            let took = self.rng.random_range(200..if late { 400_000 } else { 8_000 });
            let slot = self.count as usize;
            self.flights.insert(slot, (to, message.clone()));
            self.at(self.now + took, What::Message { slot });
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

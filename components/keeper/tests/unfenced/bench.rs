//! An unfenced group of a primary and two replicas, driven event by event.

use std::sync::Arc;

use base::mechanism::Without;
use base::prelude::*;
use bytes::Bytes;
use config::{Database, Declarations, Limits};
use keeper::event;
use keeper::{
    Connection, Effect, Event, Front, Group, Kind, Lease, Piece, Reported, Setup, Unfenced,
};
use plain::ErrorKind;
use wire::control::Condition;
use wire::data::{Class, End, Run};

pub const FRONT: Front = Front(1);

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn declarations() -> Declarations {
    let limits = Limits { retry_share: 1.0, ..Limits::default() };
    let database = Database {
        group: name("group"),
        age_ms: 1_000,
        priority: 0,
        objective_ms: 0,
        limits,
        public: false,
    };
    let group = config::Group { servers: 15, acknowledges: true, ..config::Group::default() };
    let scarce =
        Database { limits: Limits { retry_share: 0.1, ..Limits::default() }, ..database.clone() };
    let busy = Database { objective_ms: 100, ..database.clone() };
    Declarations {
        groups: [(name("group"), group)].into(),
        databases: [(name("ring"), database), (name("busy"), busy), (name("scarce"), scarce)]
            .into(),
        ..Declarations::default()
    }
}

pub fn member(index: u16) -> event::Server {
    event::Server {
        name: name(&format!("server-{index}")),
        incarnation: 1,
        address: ([127, 0, 0, 1], 5432 + index).into(),
        zone: name("zone"),
        labels: config::Labels::new(),
        connections: 6,
        slots: 2,
        share: 2,
        leaving: false,
        expired: false,
    }
}

pub struct Bench {
    pub group: Group,
    pub now: Instant,
    pub out: Vec<Effect>,
    pub next: u64,
    pub members: Vec<event::Server>,
    pub declarations: Declarations,
    pub conns: Vec<(Key<Connection>, Name)>,
    pub without: Without,
}

pub fn setup(members: &[event::Server], primary: Option<&str>, term: u64, index: u64) -> Setup {
    Setup {
        declared: 1,
        primary: primary.map(name),
        servers: members.to_vec(),
        lease: Lease::Held,
        declarations: Arc::new(declarations()),
        unfenced: Some(Unfenced { term: Term(term), index }),
        without: Without::default(),
    }
}

impl Bench {
    /// A group of a primary and two replicas. The entry holds its own lease and
    /// the lease on the group. No connection is open yet.
    pub fn new() -> Self {
        Self::declared(declarations(), (0..3).map(member).collect())
    }

    /// A group like that of [`Bench::new`], with the given declarations and servers.
    pub fn declared(declarations: Declarations, members: Vec<event::Server>) -> Self {
        let group = Group::new(name("group"), name("zone"), 1);
        let now = Instant::from_millis(10_000);
        let (out, conns) = (Vec::new(), Vec::new());
        let without = Without::default();
        let mut bench = Self { group, now, out, next: 0, members, declarations, conns, without };
        bench.feed(Event::Leased(true));
        bench.set_up(Some("server-0"), 1, 10);
        bench
    }

    /// A group whose first connections are open.
    pub fn ready() -> Self {
        let mut bench = Self::new();
        bench.open_all();
        bench.out.clear();
        bench
    }

    pub fn feed(&mut self, event: Event) {
        self.group.on(self.now, event, &mut self.out);
        for effect in &self.out {
            if let Effect::Connect { conn, server, .. } = effect
                && !self.conns.iter().any(|(known, _)| known == conn)
            {
                self.conns.push((*conn, server.clone()));
            }
        }
    }

    pub fn set_up(&mut self, primary: Option<&str>, term: u64, index: u64) {
        let mut setup = setup(&self.members, primary, term, index);
        setup.declarations = Arc::new(self.declarations.clone());
        setup.without = self.without;
        self.feed(Event::Setup(setup));
    }

    /// A group with open connections and the given number of slots on each
    /// server.
    pub fn with_slots(slots: u32) -> Self {
        let mut bench = Self::new();
        for member in &mut bench.members {
            (member.slots, member.share, member.connections) = (slots, slots, slots + 4);
        }
        bench.set_up(Some("server-0"), 1, 11);
        for _ in 0..3 {
            let opened = std::mem::take(&mut bench.out);
            for effect in opened {
                if let Effect::Connect { conn, .. } = effect {
                    bench.report(conn, b'I', None, Mark::new(1, 100));
                }
            }
        }
        bench.out.clear();
        bench
    }

    pub fn open_all(&mut self) {
        for (conn, _) in self.conns.clone() {
            self.report(conn, b'I', None, Mark::new(1, 100));
        }
    }

    pub fn report(
        &mut self,
        conn: Key<Connection>,
        status: u8,
        error_kind: Option<ErrorKind>,
        mark: Mark,
    ) {
        let reported = Reported { status, error_kind, mark: Some(mark), sent: self.now };
        self.feed(Event::Reported { conn, reported });
    }

    /// Feeds the complete answer to a statement.
    pub fn answer(&mut self, conn: Key<Connection>, status: u8, mark: Mark) {
        let piece = Piece { bytes: Bytes::from_static(b"rows"), kind: Kind::Complete };
        self.feed(Event::Piece { conn, piece });
        self.report(conn, status, None, mark);
    }

    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(10) {
            self.now += Duration::from_millis(10);
            self.feed(Event::Tick);
        }
    }

    pub fn run(&mut self, run: Run) -> u64 {
        self.next += 1;
        let run = Run {
            request: self.next,
            caller: if run.caller == 0 { self.next } else { run.caller },
            service: if run.service.is_empty() { "ring".to_owned() } else { run.service },
            group: "group".to_owned(),
            deadline_ms: if run.deadline_ms == 0 { 3_000 } else { run.deadline_ms },
            payload: Bytes::from(self.next.to_string()),
            window: 1 << 20,
            ..run
        };
        self.feed(Event::Run { front: FRONT, run });
        self.next
    }

    /// Opens a transaction on the primary and returns its connection.
    pub fn begin(&mut self) -> Key<Connection> {
        self.run(transaction(false, false));
        let (conn, ..) = self.sent()[0].clone();
        self.answer(conn, b'T', Mark::new(1, 100));
        conn
    }

    /// Makes control replace the primary, which is leaving the group.
    pub fn replace_leaving(&mut self) {
        self.members[0].leaving = true;
        self.set_up(Some("server-0"), 1, 11);
        self.set_up(None, 2, 20);
        self.out.clear();
    }

    pub fn write(&mut self) -> u64 {
        self.run(Run { class: Class::Write as i32, fresh: true, commits: true, ..Run::default() })
    }

    pub fn read(&mut self, age_ms: u64, floor: Option<Mark>) -> u64 {
        let floor = floor.map(Into::into);
        let fresh = age_ms == 0;
        self.run(Run { class: Class::Read as i32, age_ms, fresh, floor, ..Run::default() })
    }

    /// Drains the effects; returns the sent requests, each with its connection,
    /// server, number and the mark that the server must show first.
    pub fn sent(&mut self) -> Vec<(Key<Connection>, String, u64, Option<Mark>)> {
        let conns = &self.conns;
        let server = |conn| conns.iter().find(|(known, _)| *known == conn).unwrap().1.to_string();
        let sent = self.out.drain(..).filter_map(|effect| match effect {
            Effect::Send { conn, bytes, wait } => {
                let number = std::str::from_utf8(&bytes).unwrap().parse().unwrap();
                Some((conn, server(conn), number, wait))
            }
            _ => None,
        });
        sent.collect()
    }

    pub fn ends(&mut self) -> Vec<End> {
        let ends = self.out.drain(..).filter_map(|effect| match effect {
            Effect::End { end, .. } => Some(end),
            _ => None,
        });
        ends.collect()
    }

    /// The symptoms of the primary that were reported. Keeps the effects.
    pub fn conditions(&self) -> Vec<Condition> {
        let conditions = self.out.iter().filter_map(|effect| match effect {
            Effect::Report(symptom) => Some(symptom.condition()),
            _ => None,
        });
        conditions.collect()
    }

    pub fn seals(&mut self) -> Vec<(u64, Option<Mark>, u64)> {
        let seals = self.out.drain(..).filter_map(|effect| match effect {
            Effect::Seal { term, mark, index } => Some((term.0, mark, index)),
            _ => None,
        });
        seals.collect()
    }
}

/// A statement in the transaction of one fixed caller.
pub fn transaction(within: bool, commits: bool) -> Run {
    Run {
        class: Class::Write as i32,
        fresh: true,
        caller: 77,
        in_transaction: within,
        commits,
        ..Run::default()
    }
}

//! A group and its servers, which count connections and slots.

use std::collections::{BTreeMap, HashMap};

use arbtest::arbitrary::{Result, Unstructured};
use base::prelude::*;
use config::Declarations;
use keeper::{Connection, Count, Effect, Event};
use plain::ErrorKind;
use wire::data::{Class, End, Outcome, Run};

use crate::bench::{self, Bench, transaction};

/// Milliseconds that an opening, a statement and a close take.
pub const OPENING: u64 = 12;
pub const STATEMENT: u64 = 14;
pub const CLOSING: u64 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Opening,
    Refused,
    Idle,
    Busy,
    Closing,
}

#[derive(Clone, Debug)]
pub struct Conn {
    pub server: String,
    pub team: String,
    pub state: State,
    pub in_transaction: bool,
}

/// A group and its servers, in steps of one millisecond.
pub struct World {
    pub bench: Bench,
    pub slots: usize,
    /// Connections that the keeper may open to a server.
    pub limit: usize,
    /// Connections that a server accepts.
    pub accepted: usize,
    pub conns: HashMap<Key<Connection>, Conn>,
    pub due: BTreeMap<(Instant, u64), (Key<Connection>, u8)>,
    /// Team, and status after the answer, of each request.
    pub requests: HashMap<u64, (String, u8)>,
    /// Caller and team of each open transaction.
    pub open: Vec<(u64, String)>,
    pub begins: HashMap<u64, (u64, String)>,
    pub ends: Vec<End>,
    pub hits: u64,
    pub sent: u64,
    pub opened: u64,
    pub refused: u64,
    pub evicted: u64,
    pub scheduled: u64,
}

impl World {
    pub fn new(slots: usize, limit: usize) -> Self {
        let declarations = Declarations { teams: Some([].into()), ..bench::declarations() };
        let mut members: Vec<_> = (0..3).map(bench::member).collect();
        for member in &mut members {
            (member.slots, member.share) = (slots as u32, slots as u32);
            member.connections = limit as u32;
        }
        let mut world = Self {
            bench: Bench::declared(declarations, members),
            slots,
            limit,
            accepted: usize::MAX,
            conns: HashMap::new(),
            due: BTreeMap::new(),
            requests: HashMap::new(),
            open: Vec::new(),
            begins: HashMap::new(),
            ends: Vec::new(),
            hits: 0,
            sent: 0,
            opened: 0,
            refused: 0,
            evicted: 0,
            scheduled: 0,
        };
        world.perform();
        world.pass(30);
        world
    }

    fn after(&mut self, millis: u64, conn: Key<Connection>, status: u8) {
        self.scheduled += 1;
        let at = self.bench.now + Duration::from_millis(millis);
        self.due.insert((at, self.scheduled), (conn, status));
    }

    pub fn count(&self, server: &str, counts: impl Fn(&Conn) -> bool) -> usize {
        self.conns.values().filter(|conn| conn.server == server && counts(conn)).count()
    }

    fn check_slots(&self, server: &str) {
        let used = |conn: &Conn| matches!(conn.state, State::Opening | State::Busy);
        assert!(self.count(server, used) <= self.slots, "more work than slots on {server}");
    }

    fn perform(&mut self) {
        for effect in std::mem::take(&mut self.bench.out) {
            match effect {
                Effect::Connect { conn, server, team, .. } => {
                    let (server, team) = (server.to_string(), team.map(|team| team.to_string()));
                    let others = self.count(&server, |conn| conn.state != State::Refused);
                    let refused = others >= self.accepted;
                    let state = if refused { State::Refused } else { State::Opening };
                    let team = team.unwrap_or_default();
                    let opened =
                        Conn { server: server.clone(), team, state, in_transaction: false };
                    self.conns.insert(conn, opened);
                    assert!(self.count(&server, |_| true) <= self.limit, "too many connections");
                    self.check_slots(&server);
                    self.opened += u64::from(!refused);
                    self.refused += u64::from(refused);
                    self.after(if refused { CLOSING } else { OPENING }, conn, b'I');
                }
                Effect::Send { conn, bytes, .. } => self.send(conn, &bytes),
                Effect::RollBack { conn } | Effect::Mark { conn } => {
                    self.set(conn, State::Busy);
                    self.after(1, conn, b'I');
                }
                Effect::Close { conn } => {
                    let closed = self.conns.get(&conn).expect("an open connection");
                    // a statement that runs until its deadline is aborted
                    let waits = closed.in_transaction && closed.state == State::Idle;
                    assert!(!waits, "a transaction was closed");
                    self.set(conn, State::Closing);
                    self.after(CLOSING, conn, b'I');
                }
                Effect::End { end, .. } => self.end(end),
                Effect::Count(Count::Hit) => self.hits += 1,
                Effect::Count(Count::Evicted) => self.evicted += 1,
                _ => {}
            }
        }
    }

    fn send(&mut self, key: Key<Connection>, bytes: &[u8]) {
        let number: u64 = std::str::from_utf8(bytes).unwrap().parse().unwrap();
        let (team, status) = self.requests[&number].clone();
        let conn = self.conns.get_mut(&key).expect("an open connection");
        assert_eq!(conn.team, team, "a statement ran on a connection of another team");
        assert_eq!(conn.state, State::Idle);
        conn.state = State::Busy;
        conn.in_transaction = status == b'T';
        let server = conn.server.clone();
        self.check_slots(&server);
        self.sent += 1;
        self.after(STATEMENT, key, status);
    }

    fn set(&mut self, key: Key<Connection>, state: State) {
        if let Some(conn) = self.conns.get_mut(&key) {
            conn.state = state;
            conn.in_transaction = false;
        }
    }

    fn end(&mut self, end: End) {
        if let Some(begun) = self.begins.remove(&end.request)
            && end.outcome() == Outcome::Done
        {
            self.open.push(begun);
        }
        self.ends.push(end);
    }

    /// Lets milliseconds pass.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis {
            self.bench.now += Duration::from_millis(1);
            while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= self.bench.now) {
                let (conn, status) = entry.remove();
                self.finish(conn, status);
                self.perform();
            }
            if self.bench.now.as_micros().is_multiple_of(10_000) {
                self.bench.feed(Event::Tick);
                self.perform();
            }
        }
    }

    fn finish(&mut self, key: Key<Connection>, status: u8) {
        let Some(state) = self.conns.get(&key).map(|conn| conn.state) else { return };
        match state {
            State::Closing => {
                self.conns.remove(&key);
                self.bench.feed(Event::Closed { conn: key });
            }
            State::Refused => {
                self.conns.remove(&key);
                self.bench.feed(Event::Refused { conn: key, error_kind: ErrorKind::Full });
                self.bench.feed(Event::Closed { conn: key });
            }
            State::Opening | State::Busy => {
                self.conns.get_mut(&key).unwrap().state = State::Idle;
                if state == State::Busy && status == b'T' {
                    self.bench.answer(key, b'T', Mark::new(1, 100));
                } else {
                    self.bench.report(key, b'I', None, Mark::new(1, 100));
                }
            }
            State::Idle => {}
        }
    }

    fn run(&mut self, team: &str, status: u8, run: Run) -> u64 {
        self.requests.insert(self.bench.next + 1, (team.to_owned(), status));
        let number = self.bench.run(Run { team: team.to_owned(), ..run });
        self.perform();
        number
    }

    pub fn write(&mut self, team: &str) {
        let class = Class::Write as i32;
        self.run(team, b'I', Run { class, fresh: true, commits: true, ..Run::default() });
    }

    pub fn read(&mut self, team: &str) {
        let class = Class::Read as i32;
        self.run(team, b'I', Run { class, age_ms: 1_000, ..Run::default() });
    }

    pub fn begin(&mut self, team: &str) {
        let caller = 1_000_000 + self.bench.next;
        self.begins.insert(self.bench.next + 1, (caller, team.to_owned()));
        self.run(team, b'T', Run { caller, ..transaction(false, false) });
    }

    pub fn commit(&mut self) {
        if let Some((caller, team)) = self.open.pop() {
            self.run(&team, b'I', Run { caller, ..transaction(true, true) });
        }
    }

    /// Closes all connections to a server. Its transactions are lost.
    pub fn crash(&mut self, server: &str) {
        let lost = self.conns.iter().filter(|(_, conn)| conn.server == server);
        let mut lost: Vec<_> = lost.map(|(key, _)| *key).collect();
        lost.sort_unstable();
        for conn in lost {
            self.conns.remove(&conn);
            self.due.retain(|_, (key, _)| *key != conn);
            self.bench.feed(Event::Closed { conn });
            self.perform();
        }
    }

    /// Closes the connections to a server that are in no transaction.
    pub fn crash_idle(&mut self, server: &str) {
        let idle = |conn: &Conn| conn.server == server && !conn.in_transaction;
        let lost = self.conns.iter().filter(|(_, conn)| idle(conn));
        let lost: Vec<_> = lost.map(|(key, _)| *key).collect();
        for conn in lost {
            self.conns.remove(&conn);
            self.bench.feed(Event::Closed { conn });
            self.perform();
        }
    }

    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let team = format!("team-{}", u.int_in_range(0..=5)?);
        match u.int_in_range(0..=9)? {
            0 | 1 => self.write(&team),
            2..=4 => self.read(&team),
            5 => self.begin(&team),
            6 => self.commit(),
            7 if u.ratio(1, 4)? => {
                let server = format!("server-{}", u.int_in_range(0..=2)?);
                self.crash(&server);
            }
            7 => self.accepted = u.int_in_range(2..=self.limit + 2)?,
            _ => self.pass(u.int_in_range(1..=20)?),
        }
        Ok(())
    }
}

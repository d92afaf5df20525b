//! Connections of many teams, against servers that count connections and slots: under
//! random schedules, and under the load of 84 teams.

use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use base::prelude::*;
use config::Declarations;
use keeper::{Connection, Count, Effect, Event, Flaw};
use plain::ErrorKind;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::data::{Class, End, Outcome, Run};

use crate::bench::{self, Bench, transaction};

/// Milliseconds that an opening, a statement and a close take.
const OPENING: u64 = 12;
const STATEMENT: u64 = 14;
const CLOSING: u64 = 2;

/// Number of random bytes that a schedule is drawn from.
const BYTES: u64 = 3_000;

/// Number of schedules.
const SCHEDULES: u64 = 60;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Opening,
    Refused,
    Idle,
    Busy,
    Closing,
}

#[derive(Clone, Debug)]
struct Conn {
    server: String,
    team: String,
    state: State,
    in_transaction: bool,
}

/// A group and its servers, in steps of one millisecond.
struct World {
    bench: Bench,
    slots: usize,
    /// Connections that the keeper may open to a server.
    limit: usize,
    /// Connections that a server accepts.
    accepted: usize,
    conns: HashMap<Key<Connection>, Conn>,
    due: BTreeMap<(Instant, u64), (Key<Connection>, u8)>,
    /// Team, and status after the answer, of each request.
    requests: HashMap<u64, (String, u8)>,
    /// Caller and team of each open transaction.
    open: Vec<(u64, String)>,
    begins: HashMap<u64, (u64, String)>,
    ends: Vec<End>,
    hits: u64,
    sent: u64,
    opened: u64,
    evicted: u64,
    scheduled: u64,
}

impl World {
    fn new(slots: usize, limit: usize) -> Self {
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

    fn count(&self, server: &str, counts: impl Fn(&Conn) -> bool) -> usize {
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
    fn pass(&mut self, millis: u64) {
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

    fn write(&mut self, team: &str) {
        let class = Class::Write as i32;
        self.run(team, b'I', Run { class, fresh: true, commits: true, ..Run::default() });
    }

    fn read(&mut self, team: &str) {
        let class = Class::Read as i32;
        self.run(team, b'I', Run { class, age_ms: 1_000, ..Run::default() });
    }

    fn begin(&mut self, team: &str) {
        let caller = 1_000_000 + self.bench.next;
        self.begins.insert(self.bench.next + 1, (caller, team.to_owned()));
        self.run(team, b'T', Run { caller, ..transaction(false, false) });
    }

    fn commit(&mut self) {
        if let Some((caller, team)) = self.open.pop() {
            self.run(&team, b'I', Run { caller, ..transaction(true, true) });
        }
    }

    /// Closes all connections to a server. Its transactions are lost.
    fn crash(&mut self, server: &str) {
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

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
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

fn schedule(seed: u64, flaw: Option<Flaw>) {
    arbtest(|u| {
        let mut world = World::new(u.int_in_range(1..=3)?, u.int_in_range(1..=5)?);
        if let Some(flaw) = flaw {
            world.bench.group.inject_flaw(flaw);
        }
        for _ in 0..300 {
            if u.is_empty() || world.step(u).is_err() {
                break;
            }
        }
        for _ in 0..10 {
            world.commit();
            world.pass(400);
        }
        assert_eq!(world.ends.len() as u64, world.bench.next, "a request was left waiting");
        Ok(())
    })
    .seed((seed << 32) | BYTES)
    .run();
}

/// Guards against a statement on a connection of another team, more connections than the
/// limit, more work than slots, and the close of a connection in a transaction.
#[test]
fn a_statement_runs_only_on_a_connection_of_its_team_in_each_schedule() {
    for seed in 0..SCHEDULES {
        schedule(seed, None);
    }
}

/// Guards against a check that would not notice a statement on a connection of another team.
#[test]
fn a_statement_on_a_connection_of_another_team_is_found() {
    let broken = |seed| catch_unwind(AssertUnwindSafe(|| schedule(seed, Some(Flaw::ForeignTeam))));
    assert!((0..SCHEDULES).any(|seed| broken(seed).is_err()));
}

/// Guards against a server that gets no connections of teams any more after it was lost, and
/// against teams of other servers that lose their connections with it.
#[test]
fn the_loss_of_a_server_costs_only_its_own_connections() {
    let mut world = World::new(4, 28);
    let round = |world: &mut World| {
        for team in 0..12 {
            world.read(&format!("team-{team}"));
            world.write(&format!("team-{team}"));
            world.pass(30);
        }
    };
    round(&mut world);
    let on = |world: &World, lost: bool| {
        let found = world.conns.iter().filter(|(_, conn)| (conn.server == "server-2") == lost);
        found.map(|(key, _)| *key).collect::<Vec<_>>()
    };
    let (others, lost) = (on(&world, false), on(&world, true).len() as u64);
    let opened = world.opened;
    world.crash("server-2");
    world.pass(100);
    round(&mut world);
    world.pass(2_000);
    round(&mut world);
    let rest = on(&world, false);
    assert!(lost > 2 && others.iter().all(|conn| rest.contains(conn)));
    // while the server is away, its teams open a connection to another one
    assert!(world.opened - opened <= 2 * lost, "{} for {lost}", world.opened - opened);
    assert!(world.ends.iter().all(|end| end.outcome() == Outcome::Done));
}

/// Guards against requests that starve, or are answered late, while a server accepts fewer
/// connections than were leased.
#[test]
fn fewer_connections_are_used_while_a_server_accepts_fewer_and_all_once_it_accepts_more() {
    let mut world = World::new(4, 8);
    world.accepted = 3;
    for round in 0..200 {
        world.write(&format!("team-{}", round % 6));
        world.pass(20);
    }
    world.pass(1_000);
    assert!(world.ends.iter().all(|end| end.outcome() == Outcome::Done));
    assert_eq!(world.ends.len(), 200);
    world.accepted = usize::MAX;
    world.pass(1_500);
    for round in 0..60 {
        world.write(&format!("team-{}", round % 6));
        world.pass(20);
    }
    world.pass(100);
    let evicted = world.evicted;
    for round in 0..60 {
        world.write(&format!("team-{}", round % 6));
        world.pass(20);
    }
    assert_eq!(world.evicted, evicted, "all teams have a connection again");
}

/// Guards against slot time lost to openings: 84 teams of skew 1.2 and one at 7.5 times its
/// rate, with connections for a third of the teams.
#[test]
fn with_84_teams_nearly_all_requests_find_a_connection_of_their_team() {
    let mut world = World::new(4, 28);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut weights: Vec<f64> = (1..=84).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let total: f64 = weights.iter().sum();
    let (per_ms, surge) = (0.134, 10);
    weights[surge] *= 7.5;
    for turn in 0..60_000 {
        for (rank, weight) in weights.iter().enumerate() {
            if rng.random::<f64>() < weight / total * per_ms {
                let team = format!("team-{rank}");
                match rng.random::<f64>() {
                    at if at < 0.3 => world.write(&team),
                    _ => world.read(&team),
                }
            }
        }
        world.pass(1);
        if turn == 20_000 {
            (world.hits, world.sent, world.opened) = (0, 0, 0);
        }
    }
    let hits = world.hits as f64 / world.sent as f64;
    let (opening, running) = ((world.opened * OPENING) as f64, (world.sent * STATEMENT) as f64);
    let share = opening / (opening + running);
    let done = world.ends.iter().filter(|end| end.outcome() == Outcome::Done).count();
    eprintln!("hits {hits:.4}, share of slot time for openings {share:.4}");
    assert!(world.ends.len() - done < world.ends.len() / 1_000, "{done} of {}", world.ends.len());
    assert!(hits > 0.9 && share < 0.09, "hits {hits}, opening {share}");
}

/// Guards against other teams that get no connection or no slot while one team always has
/// more requests waiting than all slots can run.
#[test]
fn a_team_with_more_requests_than_slots_keeps_no_other_team_from_its_connections() {
    let mut world = World::new(4, 28);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let weights: Vec<f64> = (1..=84).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let total: f64 = weights.iter().sum();
    let mut others = std::collections::HashSet::new();
    for _ in 0..10_000 {
        for (rank, weight) in weights.iter().enumerate() {
            if rng.random::<f64>() < weight / total * 0.134 {
                others.insert(world.bench.next + 1);
                world.read(&format!("team-{rank}"));
            }
        }
        // below the limit on the queue of a service, which teams share
        if world.bench.next - (world.ends.len() as u64) < 200 {
            world.read("hot");
        }
        world.pass(1);
    }
    world.pass(100);
    let done = |end: &&End| end.outcome() == Outcome::Done && others.contains(&end.request);
    let done = world.ends.iter().filter(done).count();
    assert!(done as f64 > 0.99 * others.len() as f64, "{done} of {}", others.len());
    let opening = (world.opened * OPENING) as f64;
    let share = opening / (opening + (world.sent * STATEMENT) as f64);
    eprintln!("{done} of {} done, {} sent, openings {share:.4}", others.len(), world.sent);
    assert!(share < 0.08, "{share}");
}

//! A keeper and a model of its servers under load, in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use base::mechanism::{Mechanism, Without};
use base::prelude::*;
use config::{Database, Declarations, Limits, Team};
use keeper::{Connection, Effect, Event, Flaw, Group, Lease, Reported, Setup, Unfenced};
use plain::ErrorKind;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::data::{Class, End, Outcome, Run};

use crate::bench::{FRONT, member, name};

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(1);

/// Interval of the timer.
const TICK: Duration = Duration::from_millis(10);

/// Slots of each of the three servers.
pub const SLOTS: u32 = 4;

/// Connections of the keeper to each server: half of the 56 that a server accepts.
const CONNECTIONS: u32 = 28;

/// Statements that a server queues for each of its slots.
const QUEUE_PER_SLOT: usize = 8;

/// Time that a server takes to open a connection.
const OPENING: Duration = Duration::from_millis(12);

/// Time for which a caller waits at most.
const DEADLINE: Duration = Duration::from_secs(2);

/// A kind of request: reads of one database.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub service: &'static str,
    pub priority: u32,
    pub objective: Duration,
    /// Mean run time.
    pub run: Duration,
    /// Requests per second.
    pub rate: f64,
}

const fn kind(
    service: &'static str,
    priority: u32,
    objective: u64,
    run_micros: u64,
    rate: f64,
) -> Kind {
    let (objective, run) = (Duration::from_millis(objective), Duration::from_micros(run_micros));
    Kind { service, priority, objective, run, rate }
}

/// Kinds that together take 0.79 of the slots.
pub const KINDS: [Kind; 3] = [
    kind("bookings", 0, 150, 4_500, 600.0),
    kind("reservations", 1, 250, 14_000, 250.0),
    kind("lookups", 2, 800, 22_000, 150.0),
];

/// Results of the requests of one kind or team.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub sent: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Requests refused after a quarter of their objective.
    pub late_refusals: u32,
    /// Slot time of the requests answered in time.
    pub useful: Duration,
    /// Slot time of all requests.
    pub wanted: Duration,
    /// Times to the answers, in milliseconds.
    pub times: Vec<u64>,
    pub retry_after: Vec<u64>,
}

impl Tally {
    /// Share of the requests that were answered in time.
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }

    /// Time in milliseconds in which 99 of 100 answered requests were answered.
    pub fn p99(&self) -> u64 {
        let mut times = self.times.clone();
        times.sort_unstable();
        times.get(times.len() * 99 / 100).copied().unwrap_or_default()
    }
}

#[derive(Debug)]
struct Open {
    kind: usize,
    team: usize,
    arrived: Instant,
    run: Duration,
    /// When the caller leaves.
    leaves: Option<Instant>,
    began: bool,
}

#[derive(Debug, Default)]
struct Server {
    running: Vec<(Instant, Key<Connection>)>,
    queue: VecDeque<(Key<Connection>, Duration)>,
}

pub struct Load {
    pub group: Group,
    pub now: Instant,
    pub kinds: Vec<Kind>,
    /// Weight of each team in the traffic; one entry without teams.
    pub teams: Vec<f64>,
    /// Part of the objective after which callers leave, if they do.
    pub leave_after: Option<f64>,
    pub by_kind: BTreeMap<&'static str, Tally>,
    pub by_team: Vec<Tally>,
    /// Statements that ran although their callers had left before.
    pub wasted: u32,
    rng: ChaCha8Rng,
    with_teams: bool,
    next_arrival: Vec<Instant>,
    open: BTreeMap<u64, Open>,
    conns: BTreeMap<Key<Connection>, usize>,
    opening: Vec<(Instant, Key<Connection>)>,
    servers: Vec<Server>,
    number: u64,
    next_tick: Instant,
    out: Vec<Effect>,
}

fn team_name(index: usize) -> String {
    format!("team-{index}")
}

fn declarations(kinds: &[Kind], teams: Option<usize>) -> Declarations {
    let database = |kind: &Kind| Database {
        group: name("group"),
        age_ms: 60_000,
        priority: kind.priority,
        objective_ms: kind.objective.as_millis() as u64,
        limits: Limits { queue: 4_096, ..Limits::default() },
        public: false,
    };
    let group = config::Group { servers: 3, acknowledges: true, ..config::Group::default() };
    let databases = kinds.iter().map(|kind| (name(kind.service), database(kind)));
    let named = |count| (0..count).map(|index| (name(&team_name(index)), Team::default()));
    Declarations {
        groups: [(name("group"), group)].into(),
        databases: databases.collect(),
        teams: teams.map(|count| named(count).collect()),
        ..Declarations::default()
    }
}

impl Load {
    pub fn new(kinds: &[Kind], teams: &[f64], flaw: Option<Flaw>, seed: u64) -> Self {
        let mut group = Group::new(name("group"), name("zone"), 1);
        if let Some(flaw) = flaw {
            group.inject_flaw(flaw);
        }
        let now = Instant::from_millis(10_000);
        let all = if teams.is_empty() { vec![1.0] } else { teams.to_vec() };
        let mut load = Self {
            group,
            now,
            kinds: kinds.to_vec(),
            by_team: vec![Tally::default(); all.len()],
            teams: all,
            leave_after: None,
            by_kind: BTreeMap::new(),
            wasted: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            with_teams: !teams.is_empty(),
            next_arrival: vec![now; kinds.len()],
            open: BTreeMap::new(),
            conns: BTreeMap::new(),
            opening: Vec::new(),
            servers: (0..3).map(|_| Server::default()).collect(),
            number: 0,
            next_tick: now,
            out: Vec::new(),
        };
        load.set_up(teams.len());
        load
    }

    fn set_up(&mut self, teams: usize) {
        let servers = (0..3).map(|index| {
            let (slots, connections) = (SLOTS, CONNECTIONS);
            keeper::event::Server { slots, share: slots, connections, ..member(index) }
        });
        let teams = Some(teams).filter(|teams| *teams > 0);
        let setup = Setup {
            declared: 3,
            primary: Some(name("server-0")),
            servers: servers.collect(),
            lease: Lease::Held,
            declarations: Arc::new(declarations(&self.kinds, teams)),
            unfenced: Some(Unfenced { term: Term(1), index: 10 }),
            without: Without::default().and(Mechanism::SlowStart),
        };
        self.feed(Event::Leased(true));
        self.feed(Event::Setup(setup));
    }

    /// Runs for a time, with all rates multiplied.
    pub fn run(&mut self, length: Duration, factor: f64) {
        let until = self.now + length;
        while self.now < until {
            self.step(factor);
        }
    }

    /// Forgets all results so far. Requests that are open still count.
    pub fn reset(&mut self) {
        self.by_kind.clear();
        self.by_team.fill(Tally::default());
        self.wasted = 0;
    }

    pub fn kind(&self, service: &str) -> Tally {
        self.by_kind.get(service).cloned().unwrap_or_default()
    }

    /// Slot time per second that was spent on requests answered in time, as a share of all.
    pub fn goodput(&self, length: Duration) -> f64 {
        let useful: Duration = self.by_kind.values().map(|tally| tally.useful).sum();
        useful.as_secs_f64() / (length.as_secs_f64() * f64::from(3 * SLOTS))
    }

    /// Number of requests that wait, and not run, and the age of the oldest one.
    pub fn waiting(&self) -> (usize, Duration) {
        let waiting = || self.open.values().filter(|open| !open.began);
        let ages = waiting().map(|open| self.now.since(open.arrived));
        (waiting().count(), ages.max().unwrap_or_default())
    }

    fn step(&mut self, factor: f64) {
        self.now += STEP;
        self.finish_openings();
        self.finish_statements();
        self.leave();
        if self.now >= self.next_tick {
            self.next_tick = self.now + TICK;
            self.feed(Event::Tick);
        }
        for kind in 0..self.kinds.len() {
            while self.next_arrival[kind] <= self.now {
                self.arrive(kind);
                // the rate of a kind that sends nothing may be set later
                let rate = (self.kinds[kind].rate * factor).max(10.0);
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
                self.next_arrival[kind] += Duration::from_secs_f64(gap);
            }
        }
    }

    fn arrive(&mut self, kind: usize) {
        let declared = self.kinds[kind];
        if declared.rate == 0.0 {
            return;
        }
        self.number += 1;
        let (request, team) = (self.number, self.pick_team());
        let run = declared.run.mul_f64(self.rng.random_range(0.5..1.5));
        let run = STEP * (run.as_secs_f64() / STEP.as_secs_f64()).round().max(1.0) as u32;
        let leaves = self.leave_after.map(|part| self.now + declared.objective.mul_f64(part));
        let arrived = self.now;
        self.open.insert(request, Open { kind, team, arrived, run, leaves, began: false });
        for tally in [self.by_kind.entry(declared.service).or_default(), &mut self.by_team[team]] {
            tally.sent += 1;
            tally.wanted += run;
        }
        let run = Run {
            request,
            caller: request,
            service: declared.service.to_owned(),
            group: "group".to_owned(),
            class: Class::Read as i32,
            age_ms: 60_000,
            deadline_ms: DEADLINE.as_millis() as u64,
            payload: request.to_string().into(),
            window: 1 << 20,
            team: if self.with_teams { team_name(team) } else { String::new() },
            ..Run::default()
        };
        self.feed(Event::Run { front: FRONT, run });
    }

    fn pick_team(&mut self) -> usize {
        let all: f64 = self.teams.iter().sum();
        let mut rest = self.rng.random_range(0.0..all);
        for (index, weight) in self.teams.iter().enumerate() {
            if rest < *weight {
                return index;
            }
            rest -= weight;
        }
        self.teams.len() - 1
    }

    fn feed(&mut self, event: Event) {
        let mut out = std::mem::take(&mut self.out);
        self.group.on(self.now, event, &mut out);
        for effect in out.drain(..) {
            self.take_effect(effect);
        }
        self.out = out;
    }

    fn take_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Connect { conn, server, .. } => {
                let index = server.as_str().trim_start_matches("server-").parse().unwrap();
                self.conns.insert(conn, index);
                self.opening.push((self.now + OPENING, conn));
            }
            Effect::Send { conn, bytes, .. } => {
                let request: u64 = std::str::from_utf8(&bytes).unwrap().parse().unwrap();
                let mut run = Duration::from_millis(1);
                if let Some(open) = self.open.get_mut(&request) {
                    (open.began, run) = (true, open.run);
                } else {
                    self.wasted += 1;
                }
                self.begin(conn, run);
            }
            Effect::Mark { conn } | Effect::RollBack { conn } => self.begin(conn, STEP),
            Effect::Close { conn } => {
                for server in &mut self.servers {
                    server.running.retain(|(_, other)| *other != conn);
                    server.queue.retain(|(other, _)| *other != conn);
                }
                self.opening.push((self.now, conn));
                self.conns.remove(&conn);
            }
            Effect::End { end, .. } => self.end(&end),
            _ => {}
        }
    }

    fn begin(&mut self, conn: Key<Connection>, run: Duration) {
        let server = &mut self.servers[self.conns[&conn]];
        if server.running.len() < SLOTS as usize {
            server.running.push((self.now + run, conn));
        } else if server.queue.len() < SLOTS as usize * QUEUE_PER_SLOT {
            server.queue.push_back((conn, run));
        } else {
            server.running.push((self.now, conn));
        }
    }

    fn end(&mut self, end: &End) {
        let Some(open) = self.open.remove(&end.request) else { return };
        let kind = self.kinds[open.kind];
        let took = self.now.since(open.arrived);
        let (done, in_time) = (end.outcome() == Outcome::Done, took <= kind.objective);
        for tally in [self.by_kind.entry(kind.service).or_default(), &mut self.by_team[open.team]] {
            if done {
                tally.times.push(took.as_millis() as u64);
                tally.in_time += u32::from(in_time);
                tally.late += u32::from(!in_time);
                tally.useful += if in_time { open.run } else { Duration::ZERO };
            } else {
                tally.refused += 1;
                tally.late_refusals += u32::from(took > kind.objective / 4);
                tally.retry_after.push(end.retry_after_ms);
            }
        }
    }

    fn finish_openings(&mut self) {
        let now = self.now;
        let opened: Vec<_> = self.opening.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, conn) in opened {
            if self.conns.contains_key(&conn) {
                self.report(conn, None);
            } else {
                self.feed(Event::Closed { conn });
            }
        }
    }

    fn finish_statements(&mut self) {
        let now = self.now;
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            let over: Vec<_> = server.running.extract_if(.., |(at, _)| *at <= now).collect();
            while server.running.len() < SLOTS as usize
                && let Some((conn, run)) = server.queue.pop_front()
            {
                server.running.push((now + run, conn));
            }
            for (_, conn) in over {
                self.report(conn, None);
            }
        }
    }

    fn report(&mut self, conn: Key<Connection>, error_kind: Option<ErrorKind>) {
        let mark = Some(Mark::new(1, 100));
        let reported = Reported { status: b'I', error_kind, mark, sent: self.now };
        self.feed(Event::Reported { conn, reported });
    }

    /// Lets callers leave whose patience is over.
    fn leave(&mut self) {
        let now = self.now;
        let left = |open: &Open| open.leaves.is_some_and(|at| at <= now);
        let left: Vec<_> =
            self.open.iter().filter(|(_, open)| left(open)).map(|(request, _)| *request).collect();
        for request in left {
            self.open.remove(&request);
            self.feed(Event::Leave { front: FRONT, caller: request });
        }
    }
}

//! Servers of an unfenced group in virtual time, used by two keepers that know nothing
//! of each other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::mechanism::{Mechanism, Without};
use base::prelude::*;
use bytes::Bytes;
use config::Team;
use keeper::{Connection, Effect, Event, Flaw, Kind, Outage, Pace, Piece};
use plain::ErrorKind;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::data::{Class, Outcome, Run};

use crate::bench::{Bench, name};

/// Slots of each server.
pub const SLOTS: u32 = 4;

/// Time to open a connection, during which it occupies a slot.
const OPENING: Duration = Duration::from_millis(12);

/// Run times of a read and of a write on a warm server.
pub const READ: Duration = Duration::from_millis(14);
const WRITE: Duration = Duration::from_millis(6);

/// Answer that is an error.
const ERROR: &[u8] = b"error";

/// How much slower a cold server is.
#[derive(Clone, Copy, Debug)]
pub enum Cold {
    /// Every statement takes a multiple of its time.
    Flat(f64),
    /// A single statement takes its usual time; with all slots busy, each takes a
    /// multiple of it, as with cold caches that statements fill at a limited rate.
    Contended(f64),
}

/// Reads that a server fails.
#[derive(Clone, Copy, Debug)]
pub enum When {
    Share(f64),
    /// All reads in the first half of each period.
    Flapping(Duration),
}

/// How a server fails a read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum How {
    Error,
    Reset,
    Silence,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Task {
    Open,
    Read,
    Write,
    Position,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    keeper: usize,
    conn: Key<Connection>,
    task: Task,
}

#[derive(Debug, Default)]
pub struct Server {
    pub cold: Option<(Instant, Cold)>,
    pub failing: Option<(When, How)>,
    pub refuses_until: Instant,
    pub has_tail: bool,
    /// Share of the writes that the server refuses to run.
    pub refusing: f64,
    queue: VecDeque<Job>,
    running: Vec<(Instant, Job)>,
}

impl Server {
    fn factor(&self, now: Instant) -> f64 {
        let others = self.running.len() as f64 / f64::from(SLOTS - 1);
        match self.cold {
            Some((until, Cold::Flat(factor))) if now < until => factor,
            Some((until, Cold::Contended(factor))) if now < until => {
                1.0 + (factor - 1.0) * others.min(1.0)
            }
            _ => 1.0,
        }
    }

    fn start_queued(&mut self, now: Instant, rng: &mut ChaCha8Rng) {
        while self.running.len() < SLOTS as usize
            && let Some(job) = self.queue.pop_front()
        {
            let usual = match job.task {
                Task::Open => OPENING,
                Task::Read => READ,
                Task::Write => WRITE,
                Task::Position => Duration::from_millis(1),
            };
            let tail = if self.has_tail && rng.random_bool(0.03) { 7.0 } else { 1.0 };
            let noise = rng.random_range(0.6..1.4);
            let run = usual.mul_f64(self.factor(now) * tail * noise);
            self.running.push((now + run, job));
        }
    }

    fn failure(&self, now: Instant, rng: &mut ChaCha8Rng) -> Option<How> {
        let (when, how) = self.failing?;
        let fails = match when {
            When::Share(share) => rng.random_bool(share),
            When::Flapping(period) => {
                now.as_micros() % (period.as_micros() as u64) < period.as_micros() as u64 / 2
            }
        };
        fails.then_some(how)
    }
}

/// An answered request.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    pub at: Instant,
    pub took: Duration,
    pub read: bool,
    pub failed: bool,
    pub server: usize,
}

pub struct World {
    pub now: Instant,
    pub keepers: Vec<Bench>,
    pub servers: Vec<Server>,
    /// Requests per second, over all keepers.
    pub reads: f64,
    pub writes: f64,
    /// Service whose requests arrive.
    pub service: &'static str,
    /// Team of the callers; empty if they have none.
    pub team: &'static str,
    pub answered: Vec<Answered>,
    /// Probations and windows as the keepers reported them, with the server.
    pub paces: Vec<(Instant, usize, Pace, Pace)>,
    arrived: Vec<BTreeMap<u64, (Instant, bool)>>,
    failed: Vec<BTreeSet<u64>>,
    rng: ChaCha8Rng,
}

impl World {
    pub fn new(seed: u64, slow_start: bool, flaw: Option<Flaw>) -> Self {
        let mut keepers: Vec<Bench> = (0..2).map(|_| Bench::new()).collect();
        for keeper in &mut keepers {
            for member in &mut keeper.members {
                (member.slots, member.share, member.connections) = (SLOTS, SLOTS / 2, 20);
            }
            if !slow_start {
                keeper.without = Without::default().and(Mechanism::SlowStart);
            }
            keeper.set_up(Some("server-0"), 1, 11);
            if let Some(flaw) = flaw {
                keeper.group.inject_flaw(flaw);
            }
        }
        let mut world = Self {
            now: keepers[0].now,
            keepers,
            servers: (0..3).map(|_| Server::default()).collect(),
            reads: 200.0,
            writes: 60.0,
            service: "ring",
            team: "",
            answered: Vec::new(),
            paces: Vec::new(),
            arrived: vec![BTreeMap::new(); 2],
            failed: vec![BTreeSet::new(); 2],
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        world.run(2_000);
        world
    }

    /// Turns a mechanism off at both keepers.
    pub fn turn_off(&mut self, mechanism: Mechanism) {
        for keeper in &mut self.keepers {
            keeper.without = keeper.without.and(mechanism);
            keeper.set_up(Some("server-0"), 1, 12);
        }
    }

    /// Declares a team to which all callers belong from now on.
    pub fn declare_team(&mut self, team: &'static str) {
        self.team = team;
        for keeper in &mut self.keepers {
            let teams = [(name(team), Team::default())].into();
            keeper.declarations.teams = Some(teams);
            keeper.set_up(Some("server-0"), 1, 12);
        }
    }

    /// Changes the objective, in milliseconds, of the only database with one; zero for none.
    pub fn declare_objective(&mut self, objective_ms: u64) {
        for keeper in &mut self.keepers {
            let busy =
                keeper.declarations.databases.get_mut("busy").expect("declared by the bench");
            busy.objective_ms = objective_ms;
            keeper.set_up(Some("server-0"), 1, 12);
        }
    }

    /// Runs for a time in milliseconds.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += Duration::from_millis(1);
            let now = self.now;
            for keeper in &mut self.keepers {
                keeper.now = now;
                if now.as_micros().is_multiple_of(10_000) {
                    keeper.feed(Event::Tick);
                }
            }
            self.arrive();
            self.finish_jobs();
            self.perform();
        }
    }

    /// Tells the keepers that a server has a new incarnation, after its connections broke.
    pub fn restart(&mut self, server: usize) {
        for keeper in &mut self.keepers {
            keeper.members[server].incarnation += 1;
        }
        self.break_connections(server);
        for keeper in &mut self.keepers {
            keeper.set_up(Some("server-0"), 1, 12);
        }
    }

    pub fn break_connections(&mut self, server: usize) {
        let lost = name(&format!("server-{server}"));
        self.servers[server].queue.clear();
        self.servers[server].running.clear();
        for keeper in &mut self.keepers {
            for (conn, _) in keeper.conns.extract_if(.., |(_, on)| *on == lost).collect::<Vec<_>>()
            {
                keeper.feed(Event::Closed { conn });
            }
        }
    }

    /// Makes control promote a server.
    pub fn promote(&mut self, server: usize) {
        for keeper in &mut self.keepers {
            keeper.set_up(None, 2, 20);
            keeper.set_up(Some(&format!("server-{server}")), 2, 21);
        }
    }

    fn arrive(&mut self) {
        for keeper in 0..self.keepers.len() {
            let share = 1.0 / (1_000.0 * self.keepers.len() as f64);
            for (rate, read) in [(self.reads, true), (self.writes, false)] {
                if self.rng.random_bool((rate * share).min(1.0)) {
                    let (service, team) = (self.service.to_owned(), self.team.to_owned());
                    let run = Run { deadline_ms: 2_000, service, team, ..Run::default() };
                    let run = if read {
                        Run { class: Class::Read as i32, age_ms: 2_000, ..run }
                    } else {
                        Run { class: Class::Write as i32, fresh: true, commits: true, ..run }
                    };
                    let number = self.keepers[keeper].next + 1;
                    self.arrived[keeper].insert(number, (self.now, read));
                    self.keepers[keeper].run(run);
                }
            }
        }
    }

    fn finish_jobs(&mut self) {
        let now = self.now;
        for server in 0..self.servers.len() {
            let model = &mut self.servers[server];
            let mut done: Vec<_> = model.running.extract_if(.., |(at, _)| *at <= now).collect();
            done.sort_unstable_by_key(|(at, _)| *at);
            for (_, job) in done {
                let failure = match job.task {
                    Task::Read => self.servers[server].failure(now, &mut self.rng),
                    _ => None,
                };
                let keeper = &mut self.keepers[job.keeper];
                if !keeper.conns.iter().any(|(conn, _)| *conn == job.conn) {
                    continue;
                }
                match failure {
                    Some(How::Silence) => continue,
                    Some(How::Reset) => {
                        keeper.conns.retain(|(conn, _)| *conn != job.conn);
                        keeper.feed(Event::Closed { conn: job.conn });
                        continue;
                    }
                    Some(How::Error) | None => {}
                }
                let refuses = self.servers[server].refusing;
                if job.task == Task::Write && self.rng.random_bool(refuses) {
                    keeper.report(job.conn, b'I', Some(ErrorKind::Busy), Mark::new(2, 100));
                    continue;
                }
                let fails = failure.is_some();
                let error_kind = fails.then_some(ErrorKind::Failed);
                if matches!(job.task, Task::Read | Task::Write) {
                    let bytes = Bytes::from_static(if fails { ERROR } else { b"rows" });
                    let piece = Piece { bytes, kind: Kind::Complete };
                    keeper.feed(Event::Piece { conn: job.conn, piece });
                }
                keeper.report(job.conn, b'I', error_kind, Mark::new(2, 100));
            }
            self.servers[server].start_queued(now, &mut self.rng);
        }
    }

    fn perform(&mut self) {
        for keeper in 0..self.keepers.len() {
            while !self.keepers[keeper].out.is_empty() {
                for effect in self.keepers[keeper].out.split_off(0) {
                    self.perform_one(keeper, effect);
                }
            }
        }
        for server in &mut self.servers {
            server.start_queued(self.now, &mut self.rng);
        }
    }

    fn perform_one(&mut self, keeper: usize, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Connect { conn, server, .. } => {
                let index = index(&server);
                if now < self.servers[index].refuses_until {
                    let bench = &mut self.keepers[keeper];
                    bench.feed(Event::Unreachable { server, outage: Outage::Refused });
                    bench.conns.retain(|(known, _)| *known != conn);
                    bench.feed(Event::Closed { conn });
                } else {
                    self.servers[index].queue.push_back(Job { keeper, conn, task: Task::Open });
                }
            }
            Effect::Send { conn, bytes, .. } => {
                let number: u64 = std::str::from_utf8(&bytes).unwrap().parse().unwrap();
                let read = self.arrived[keeper].get(&number).is_none_or(|(_, read)| *read);
                let task = if read { Task::Read } else { Task::Write };
                self.enqueue(Job { keeper, conn, task });
            }
            Effect::Mark { conn } | Effect::RollBack { conn } => {
                self.enqueue(Job { keeper, conn, task: Task::Position });
            }
            Effect::Close { conn } => {
                let bench = &mut self.keepers[keeper];
                bench.conns.retain(|(known, _)| *known != conn);
                bench.feed(Event::Closed { conn });
            }
            Effect::Part { part, .. } if part.payload == ERROR => {
                self.failed[keeper].insert(part.request);
            }
            Effect::Pace { server, before, now: after } => {
                self.paces.push((now, index(&server), before, after));
            }
            Effect::End { end, .. } => {
                let (arrived, read) = self.arrived[keeper].remove(&end.request).unwrap();
                let error = self.failed[keeper].remove(&end.request);
                self.answered.push(Answered {
                    at: now,
                    took: now.since(arrived),
                    read,
                    failed: error || end.outcome() != Outcome::Done,
                    server: end.server.rsplit('-').next().unwrap().parse().unwrap_or(usize::MAX),
                });
            }
            _ => {}
        }
    }

    fn enqueue(&mut self, job: Job) {
        let known = self.keepers[job.keeper].conns.iter().find(|(conn, _)| *conn == job.conn);
        if let Some((_, server)) = known {
            self.servers[index(server)].queue.push_back(job);
        }
    }

    /// The requests of one kind that were answered in a span of time.
    pub fn answered(&self, read: bool, from: Instant, to: Instant) -> Vec<Answered> {
        let within = |one: &&Answered| one.read == read && from < one.at && one.at <= to;
        self.answered.iter().filter(within).copied().collect()
    }

    /// Mean time until an answer in a span of time, in milliseconds.
    pub fn mean(&self, read: bool, from: Instant, to: Instant) -> f64 {
        let answered = self.answered(read, from, to);
        let sum: f64 = answered.iter().map(|one| one.took.as_secs_f64() * 1e3).sum();
        sum / answered.len().max(1) as f64
    }

    /// Highest mean over 500 ms within a span of time, in milliseconds.
    pub fn worst(&self, read: bool, from: Instant, to: Instant) -> f64 {
        let step = Duration::from_millis(100);
        let width = Duration::from_millis(500);
        let starts = (0..).map(|turn| from + step * turn).take_while(|at| *at + width <= to);
        starts.map(|at| self.mean(read, at, at + width)).fold(0.0, f64::max)
    }

    /// Share of the reads in a span of time that a server answered.
    pub fn share(&self, server: usize, from: Instant, to: Instant) -> f64 {
        let reads = self.answered(true, from, to);
        let here = reads.iter().filter(|one| one.server == server).count();
        here as f64 / reads.len().max(1) as f64
    }

    /// Number of times at which a keeper put a server on probation since a time.
    pub fn probations(&self, since: Instant) -> usize {
        let begun = self
            .paces
            .iter()
            .filter(|(at, _, before, now)| *at > since && now.probation && !before.probation);
        begun.count()
    }

    /// Time since `since` until the window of a server allowed all slots at both keepers.
    pub fn ramp(&self, server: usize, since: Instant) -> Option<Duration> {
        let is_full = |pace: Pace| pace.window.is_none_or(|window| window >= SLOTS);
        let opened = self.paces.iter().filter(|(at, on, before, now)| {
            *at > since && *on == server && !is_full(*before) && is_full(*now)
        });
        let times: Vec<_> = opened.map(|(at, ..)| at.since(since)).collect();
        times.get(self.keepers.len() - 1).copied()
    }

    /// Whether slow start of a server has begun since a time.
    pub fn has_ramped(&self, server: usize, since: Instant) -> bool {
        let begun = |(at, on, _, now): &(Instant, usize, Pace, Pace)| {
            *at > since && *on == server && now.window == Some(1)
        };
        self.paces.iter().any(begun)
    }

    /// Number of requests that have arrived and have not been answered.
    pub fn pending(&self) -> usize {
        self.arrived.iter().map(BTreeMap::len).sum()
    }

    /// Share of the reads in a span of time that failed.
    pub fn failures(&self, from: Instant, to: Instant) -> f64 {
        let reads = self.answered(true, from, to);
        reads.iter().filter(|one| one.failed).count() as f64 / reads.len().max(1) as f64
    }
}

fn index(server: &Name) -> usize {
    server.as_str().rsplit('-').next().unwrap().parse().unwrap()
}

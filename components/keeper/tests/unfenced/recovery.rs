//! Recovery of the admission: random faults, and a check that a stated time after the
//! last of them every request is served within its objective.
//!
//! A schedule depends only on its seed. `TREFOIL_FUZZ_SCHEDULES` sets the number of
//! schedules, `TREFOIL_FUZZ_FIRST` the first seed.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use base::prelude::*;
use keeper::{Connection, Effect, Event, Flaw, Outage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::data::{Class, Outcome, Run};

use crate::bench::Bench;

/// Default number of schedules.
const SCHEDULES: u64 = 60;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(5);

/// Time in which faults start.
const FAULTY: Duration = Duration::from_secs(12);

/// Time after the end of the last fault at which everything is served again.
const RECOVERY: Duration = Duration::from_secs(3);

/// Time for which the recovered group is checked.
const CHECKED: Duration = Duration::from_secs(2);

/// Time that a server takes for a statement, and for a new connection.
const RUN: Duration = Duration::from_millis(14);

/// Objective of the service.
const OBJECTIVE: Duration = Duration::from_millis(100);

/// What a server owes a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Due {
    Open,
    Answer,
    Position,
}

/// A server, as the faults leave it.
#[derive(Clone, Copy, Debug, Default)]
struct Server {
    /// No answer leaves the server before this time.
    silent_until: Instant,
    /// Statements take a multiple of their time until then.
    slow_until: Instant,
    slowness: u32,
}

struct World {
    bench: Bench,
    rng: ChaCha8Rng,
    servers: BTreeMap<String, Server>,
    due: Vec<(Instant, Key<Connection>, Due)>,
    /// Connections whose server was not reached: they fail after a timeout.
    failing: Vec<(Instant, Key<Connection>)>,
    arrived: BTreeMap<u64, Instant>,
    last_fault: Instant,
    leased_at: Option<Instant>,
}

impl World {
    fn new(seed: u64, flaw: Option<Flaw>) -> Self {
        let mut bench = Bench::ready();
        if let Some(flaw) = flaw {
            bench.group.inject_flaw(flaw);
        }
        let servers = (0..3).map(|index| (format!("server-{index}"), Server::default())).collect();
        let now = bench.now;
        Self {
            bench,
            rng: ChaCha8Rng::seed_from_u64(seed),
            servers,
            due: Vec::new(),
            failing: Vec::new(),
            arrived: BTreeMap::new(),
            last_fault: now,
            leased_at: None,
        }
    }

    fn run(&mut self) {
        let start = self.bench.now;
        while self.bench.now < start + FAULTY {
            if self.rng.random_bool(0.005) {
                self.fault();
            }
            self.step(false);
        }
        let quiet = self.bench.now.max(self.last_fault);
        while self.bench.now < quiet + RECOVERY {
            self.step(false);
        }
        let checked = self.bench.now;
        self.arrived.clear();
        while self.bench.now < checked + CHECKED {
            self.step(true);
        }
        let now = self.bench.now;
        let late = self.arrived.iter().find(|(_, arrived)| now.since(**arrived) > OBJECTIVE);
        assert!(late.is_none(), "{late:?} still waits at {now:?}");
    }

    fn fault(&mut self) {
        let now = self.bench.now;
        let length = Duration::from_millis(self.rng.random_range(50..4_000));
        let name = format!("server-{}", self.rng.random_range(0..3));
        match self.rng.random_range(0..5) {
            0 => self.suspend(length),
            1 => self.servers.get_mut(&name).unwrap().silent_until = now + length,
            2 => {
                let server = self.servers.get_mut(&name).unwrap();
                (server.slow_until, server.slowness) = (now + length, 60);
            }
            3 => self.drop_connections(&name),
            _ => {
                self.bench.feed(Event::Leased(false));
                self.leased_at = Some(now + length / 4);
            }
        }
        self.last_fault = self.last_fault.max(now + length);
    }

    /// Stops the process: no event reaches the group for a while, and servers answer on.
    fn suspend(&mut self, length: Duration) {
        let lost = self.rng.random_bool(0.7);
        self.bench.now += length;
        self.last_fault = self.last_fault.max(self.bench.now);
        if lost {
            self.bench.feed(Event::Leased(false));
            self.leased_at = Some(self.bench.now + Duration::from_millis(200));
        }
    }

    fn drop_connections(&mut self, name: &str) {
        let on = |(_, server): &&(Key<Connection>, Name)| server.as_str() == name;
        let dropped: Vec<_> = self.bench.conns.iter().filter(on).map(|(conn, _)| *conn).collect();
        for conn in dropped {
            self.close(conn);
        }
    }

    fn close(&mut self, conn: Key<Connection>) {
        self.due.retain(|(_, other, _)| *other != conn);
        self.failing.retain(|(_, other)| *other != conn);
        if self.bench.conns.iter().any(|(known, _)| *known == conn) {
            self.bench.conns.retain(|(known, _)| *known != conn);
            self.bench.feed(Event::Closed { conn });
        }
    }

    fn step(&mut self, checked: bool) {
        self.bench.now += STEP;
        let now = self.bench.now;
        if self.leased_at.is_some_and(|at| at <= now) {
            self.leased_at = None;
            self.bench.feed(Event::Leased(true));
        }
        self.answer();
        self.bench.feed(Event::Tick);
        if self.rng.random_bool(0.4) {
            self.send_request();
        }
        self.take_effects(checked);
    }

    fn send_request(&mut self) {
        let write = self.rng.random_bool(0.2);
        let class = if write { Class::Write } else { Class::Read };
        let run = Run {
            service: "busy".into(),
            class: class as i32,
            fresh: write,
            commits: write,
            age_ms: if write { 0 } else { 1_500 },
            deadline_ms: 1_200,
            ..Run::default()
        };
        let number = self.bench.run(run);
        self.arrived.insert(number, self.bench.now);
    }

    /// Delivers what servers owe by now, unless they are silent.
    fn answer(&mut self) {
        let now = self.bench.now;
        let failed: Vec<_> = self.failing.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, conn) in failed {
            let Some(server) = self.server_of(conn) else { continue };
            let server = crate::bench::name(&server);
            self.bench.feed(Event::Unreachable { server, outage: Outage::Silent });
            self.close(conn);
        }
        let mut due: Vec<_> = self.due.extract_if(.., |(at, ..)| *at <= now).collect();
        due.sort_unstable_by_key(|(at, ..)| *at);
        for (at, conn, what) in due {
            let Some(server) = self.server_of(conn) else { continue };
            let until = self.servers[&server].silent_until;
            if until > now {
                self.due.push((until.max(at), conn, what));
                continue;
            }
            match what {
                Due::Answer => self.bench.answer(conn, b'I', Mark::new(1, 100)),
                Due::Open | Due::Position => {
                    self.bench.report(conn, b'I', None, Mark::new(1, 100));
                }
            }
        }
    }

    fn server_of(&self, conn: Key<Connection>) -> Option<String> {
        let known = self.bench.conns.iter().find(|(known, _)| *known == conn);
        known.map(|(_, server)| server.to_string())
    }

    fn take_effects(&mut self, checked: bool) {
        while !self.bench.out.is_empty() {
            for effect in self.bench.out.split_off(0) {
                self.take_effect(effect, checked);
            }
        }
    }

    fn take_effect(&mut self, effect: Effect, checked: bool) {
        let now = self.bench.now;
        match effect {
            Effect::Connect { conn, server, .. } => {
                if self.servers[server.as_str()].silent_until > now {
                    self.failing.push((now + Duration::from_secs(1), conn));
                } else {
                    self.due.push((now + RUN, conn, Due::Open));
                }
            }
            Effect::Send { conn, .. } => self.owe(conn, Due::Answer),
            Effect::Mark { conn } | Effect::RollBack { conn } => self.owe(conn, Due::Position),
            Effect::Close { conn } => self.close(conn),
            Effect::End { end, .. } => {
                let Some(arrived) = self.arrived.remove(&end.request) else { return };
                let took = now.since(arrived);
                assert!(
                    !checked || (end.outcome() == Outcome::Done && took <= OBJECTIVE),
                    "{end:?} after {took:?}"
                );
            }
            _ => {}
        }
    }

    fn owe(&mut self, conn: Key<Connection>, what: Due) {
        let Some(server) = self.server_of(conn) else { return };
        let now = self.bench.now;
        let server = self.servers[&server];
        let slowness = if server.slow_until > now { server.slowness } else { 1 };
        self.due.push((now + RUN * slowness, conn, what));
    }
}

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn all_requests_are_served_in_time_a_while_after_the_last_fault() {
    let first = setting("TREFOIL_FUZZ_FIRST").unwrap_or_default();
    let count = setting("TREFOIL_FUZZ_SCHEDULES").unwrap_or(SCHEDULES);
    for seed in first..first + count {
        if let Err(panic) = catch_unwind(|| World::new(seed, None).run()) {
            eprintln!("failing seed: {seed}");
            std::panic::resume_unwind(panic);
        }
    }
}

#[test]
fn a_keeper_that_refuses_while_slots_are_free_is_found() {
    let broken = |seed| World::new(seed, Some(Flaw::CountSuspension)).run();
    let found =
        (0..SCHEDULES).find(|seed| catch_unwind(AssertUnwindSafe(|| broken(*seed))).is_err());
    assert!(found.is_some());
}

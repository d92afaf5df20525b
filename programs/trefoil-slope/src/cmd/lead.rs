//! Measures the load of an idle leader by number of database groups: the elapsed
//! time that its state machine takes per tick, and the rate of status probes.
//!
//! A warm-up comes first. During the warm-up, the leader's own commands
//! establish a primary for each group and assign leases to the entries.

use std::time::Instant as StdInstant;

use base::prelude::*;
use control::{Ask, Effect, Event, Leader, State};
use serde::Serialize;

use crate::size::{self, Size};

/// Measured sizes, up to that of a full deployment.
const SIZES: [Size; 4] = [
    Size { entries: 9, groups: 3, services: 3 },
    Size { entries: 36, groups: 43, services: 43 },
    Size { entries: 360, groups: 430, services: 430 },
    Size { entries: 3_600, groups: 4_300, services: 4_300 },
];

/// Warm-up before the measurement, in ticks: 12 s at 20 ms per tick.
const WARMUP_TICKS: u32 = 600;

/// Duration of the measurement, in ticks: 10 s at 20 ms per tick.
const MEASURED_TICKS: u32 = 500;

#[derive(Serialize)]
struct Row {
    measure: &'static str,
    groups: usize,
    entries: usize,
    settled_groups: usize,
    leased_groups: usize,
    tick_micros: f64,
    core_share: f64,
    reports_a_second: f64,
}

struct Bench {
    now: Instant,
    state: State,
    leader: Leader,
    entries: Vec<Name>,
    /// Total time that the leader's state machine took in the measured rounds.
    tick_time: Duration,
    /// Number of status probes that the leader sent in the measured rounds.
    probes: u32,
    /// Answers to the probes of the last round, for the next round.
    answers: Vec<Event>,
}

pub(crate) fn run() {
    for size in SIZES {
        println!("{}", serde_json::json!(measure(size)));
    }
}

fn measure(size: Size) -> Row {
    let state = size::build_state(size);
    let entries = state.entries.keys().cloned().collect();
    let leader = Leader::new(Instant::ZERO);
    let mut bench = Bench {
        now: Instant::ZERO,
        state,
        leader,
        entries,
        tick_time: Duration::ZERO,
        probes: 0,
        answers: Vec::new(),
    };
    (0..WARMUP_TICKS).for_each(|round| bench.round(round));
    (bench.tick_time, bench.probes) = (Duration::ZERO, 0);
    (0..MEASURED_TICKS).for_each(|round| bench.round(round));
    let groups = || bench.state.groups.values();
    let span = control::leader::TICK * MEASURED_TICKS;
    Row {
        measure: "lead",
        groups: size.groups,
        entries: size.entries,
        settled_groups: groups().filter(|group| group.primary.is_some()).count(),
        leased_groups: groups().filter(|group| !group.leases.is_empty()).count(),
        tick_micros: bench.tick_time.as_secs_f64() * 1e6 / f64::from(MEASURED_TICKS),
        core_share: bench.tick_time.as_secs_f64() / span.as_secs_f64(),
        reports_a_second: f64::from(bench.probes) / span.as_secs_f64(),
    }
}

impl Bench {
    /// Runs one tick and carries out its effects; every 25 ticks (500 ms) all
    /// entries send a heartbeat.
    fn round(&mut self, round: u32) {
        self.now += control::leader::TICK;
        let mut events = vec![Event::Tick];
        if round.is_multiple_of(25) {
            events.extend(self.heartbeats());
        }
        // The probes of a round are answered in the next round.
        events.append(&mut self.answers);
        let mut out = Vec::new();
        let start = StdInstant::now();
        for event in events {
            self.leader.on(self.now, &self.state, event, &mut out);
        }
        self.tick_time += start.elapsed();
        for effect in out {
            let answer = self.execute(effect);
            self.answers.extend(answer);
        }
    }

    fn heartbeats(&self) -> Vec<Event> {
        let heartbeat = |entry: &Name| Event::Heartbeat {
            entry: entry.clone(),
            incarnation: 1,
            applied: self.state.index,
            returned: Vec::new(),
        };
        self.entries.iter().map(heartbeat).collect()
    }

    fn execute(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Propose(command) => {
                let index = self.state.index + 1;
                self.state.apply(index, &command);
                None
            }
            Effect::Probe { group, server, ask, .. } => {
                self.probes += u32::from(ask == Ask::Status);
                let result = Ok(healthy_status(&server));
                Some(Event::Probed { group, server, ask, result })
            }
        }
    }
}

/// Returns the status of a healthy server; server 0 of each group is the primary.
pub(crate) fn healthy_status(server: &Name) -> Status {
    let first = server.as_str().ends_with("-0");
    let mut history = History::default();
    history.begin(Term(1), Position(0));
    Status {
        server: server.clone(),
        incarnation: 1,
        term: Term(1),
        log_term: Term(1),
        received: Position(10),
        applied: Position(10),
        role: if first { Role::Primary } else { Role::Replica },
        silence: Duration::ZERO,
        history,
        version: 1,
    }
}

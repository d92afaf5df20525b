//! What a leader does at rest, by databases: its tick, and how many reports it
//! asks for.
//!
//! The leader is given a primary for each group and leases for all entries
//! first, by the commands that it proposes itself.

use std::time::Instant as Wall;

use base::prelude::*;
use control::{Ask, Effect, Event, Leader, State};
use serde::Serialize;

use crate::size::{self, Size};

/// Databases of the sizes measured, with their entries.
const SIZES: [Size; 4] = [
    Size { entries: 9, groups: 3, services: 3 },
    Size { entries: 36, groups: 43, services: 43 },
    Size { entries: 360, groups: 430, services: 430 },
    Size { entries: 3_600, groups: 4_300, services: 4_300 },
];

/// Rounds of a tick in which the leader settles: twelve seconds.
const SETTLING: u32 = 600;

/// Rounds that are measured: ten seconds.
const MEASURED: u32 = 500;

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
    names: Vec<Name>,
    spent: Duration,
    reports: u32,
    answers: Vec<Event>,
}

pub(crate) fn run() {
    for size in SIZES {
        println!("{}", serde_json::json!(measure(size)));
    }
}

fn measure(size: Size) -> Row {
    let state = size::build_state(size);
    let names = state.entries.keys().cloned().collect();
    let leader = Leader::new(Instant::ZERO);
    let mut bench = Bench {
        now: Instant::ZERO,
        state,
        leader,
        names,
        spent: Duration::ZERO,
        reports: 0,
        answers: Vec::new(),
    };
    (0..SETTLING).for_each(|round| bench.round(round));
    (bench.spent, bench.reports) = (Duration::ZERO, 0);
    (0..MEASURED).for_each(|round| bench.round(round));
    let groups = || bench.state.groups.values();
    let span = control::leader::TICK * MEASURED;
    Row {
        measure: "lead",
        groups: size.groups,
        entries: size.entries,
        settled_groups: groups().filter(|group| group.primary.is_some()).count(),
        leased_groups: groups().filter(|group| !group.leases.is_empty()).count(),
        tick_micros: bench.spent.as_secs_f64() * 1e6 / f64::from(MEASURED),
        core_share: bench.spent.as_secs_f64() / span.as_secs_f64(),
        reports_a_second: f64::from(bench.reports) / span.as_secs_f64(),
    }
}

impl Bench {
    /// One tick, and what follows from it.
    fn round(&mut self, round: u32) {
        self.now += control::leader::TICK;
        let mut events = vec![Event::Tick];
        if round.is_multiple_of(25) {
            events.extend(self.heartbeats());
        }
        // what was asked in one round is answered in the next
        events.append(&mut self.answers);
        let mut out = Vec::new();
        let start = Wall::now();
        for event in events {
            self.leader.on(self.now, &self.state, event, &mut out);
        }
        self.spent += start.elapsed();
        for effect in out {
            let answer = self.follow(effect);
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
        self.names.iter().map(heartbeat).collect()
    }

    fn follow(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Propose(command) => {
                let index = self.state.index + 1;
                self.state.apply(index, &command);
                None
            }
            Effect::Probe { group, server, ask, .. } => {
                self.reports += u32::from(ask == Ask::Status);
                let result = Ok(report(&server));
                Some(Event::Probed { group, server, ask, result })
            }
        }
    }
}

/// A server that is well; the first of each group is its primary.
fn report(server: &Name) -> Status {
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

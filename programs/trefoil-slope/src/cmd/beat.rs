//! Measures the cost of one round of heartbeats, in which each entry sends one
//! heartbeat: the time to decode the heartbeats and to encode their
//! confirmations, and the time that the leader's state machine takes.

use base::prelude::*;
use control::{Event, Leader};
use serde::Serialize;
use wire::Message;
use wire::control::{Confirm, Down, Heartbeat, Up, down, up};
use wire::log::{Join, command::Body};

use crate::size::{self, ENTRIES, Size};
use crate::timer::median;

const CALLS: u32 = 20;

#[derive(Serialize)]
struct Row {
    measure: &'static str,
    entries: usize,
    beat_bytes: usize,
    confirm_bytes: usize,
    /// Bytes that a member sends to the leader for a heartbeat of an entry that has joined, and
    /// of one that has not.
    note_bytes: usize,
    first_note_bytes: usize,
    round_micros: f64,
    leader_round_micros: f64,
}

pub(crate) fn run() {
    for entries in ENTRIES {
        println!("{}", serde_json::json!(measure(entries)));
    }
}

fn measure(entries: usize) -> Row {
    let heartbeat = Heartbeat { sequence: 1_000, applied: 100_000, returned: Vec::new() };
    let heartbeat = Up { body: Some(up::Body::Heartbeat(heartbeat)) }.encode_to_vec();
    let confirm = Confirm { sequence: 1_000, index: 100_000, lease_ms: 2_000 };
    let confirm = Down { body: Some(down::Body::Confirm(confirm)) };
    let round = median(CALLS, || {
        for _ in 0..entries {
            std::hint::black_box(Up::decode(heartbeat.as_slice()).is_ok());
            std::hint::black_box(confirm.encode_to_vec());
        }
    });
    let state = size::build_state(Size { entries, ..Size::default() });
    let mut leader = Leader::new(Instant::ZERO);
    let names: Vec<Name> = state.entries.keys().cloned().collect();
    let mut out = Vec::new();
    let mut now = Instant::ZERO;
    let leader_round = median(CALLS, || {
        now += control::lease::HEARTBEAT_INTERVAL;
        for entry in &names {
            let heartbeat = Event::Heartbeat {
                entry: entry.clone(),
                incarnation: 1,
                applied: state.index,
                returned: Vec::new(),
            };
            leader.on(now, &state, heartbeat, &mut out);
        }
        leader.on(now, &state, Event::Tick, &mut out);
        out.clear();
    });
    let Body::Join(join) = size::join(entries - 1) else { unreachable!("a join") };
    let brief = Join { entry: join.entry.clone(), incarnation: 1, ..Join::default() };
    let note = |join| wire::quorum::Heartbeat {
        join: Some(join),
        applied: 100_000,
        ..wire::quorum::Heartbeat::default()
    };
    Row {
        measure: "beat",
        note_bytes: note(brief).encoded_len(),
        first_note_bytes: note(join).encoded_len(),
        entries,
        beat_bytes: heartbeat.len(),
        confirm_bytes: confirm.encoded_len(),
        round_micros: round.as_secs_f64() * 1e6,
        leader_round_micros: leader_round.as_secs_f64() * 1e6,
    }
}

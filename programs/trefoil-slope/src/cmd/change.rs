//! Measures the cost of one change of the declarations, by number of entries and
//! of services.
//!
//! The leader applies the change once. Each member encodes the change once for
//! every entry that follows this member. Each entry decodes and applies the
//! change.

use std::sync::Arc;

use base::prelude::*;
use control::State;
use control::feed::{Feed, Known};
use serde::Serialize;
use wire::Message;
use wire::control::{Down, Entries, Entry, Update, down};
use wire::log::Command;

use crate::size::{self, ENTRIES, Size};
use crate::timer::median;

const CALLS: u32 = 5;

#[derive(Serialize)]
struct Row {
    measure: &'static str,
    entries: usize,
    services: usize,
    bytes_an_entry: usize,
    apply_micros: f64,
    encode_all_micros: f64,
    decode_micros: f64,
    /// Bytes of the change as an update for entries, and the time in which an entry applies it.
    update_bytes: usize,
    update_micros: f64,
}

pub(crate) fn run() {
    for entries in ENTRIES {
        for services in [10, 100, 1_000, 4_300] {
            println!("{}", serde_json::json!(measure(entries, services)));
        }
    }
}

fn measure(entries: usize, services: usize) -> Row {
    let size = Size { entries, groups: services, services };
    let state = size::build_state(size);
    let body = size::change_weight("second", state.version, &state.declarations, 2);
    let command = Command { body: Some(body) };
    let index = state.index + 1;
    let down = down::Body::Entries(Entries {
        entries: vec![Entry { index, command: Some(command.clone()) }],
    });
    let down = Down { body: Some(down) };
    let bytes = down.encode_to_vec();
    let (update, update_time) = measure_update(&state, &command);
    // Each call needs a fresh state. The clones are made in advance, outside of
    // the measured time: 8 for each call of a round, one more than the 7 rounds of
    // `median` use. Used states are leaked, so that freeing them is not measured.
    let mut states = vec![state; CALLS as usize * 8];
    let apply = median(CALLS, || {
        if let Some(mut state) = states.pop() {
            state.apply(index, &command);
            std::mem::forget(state);
        }
    });
    let encode = median(CALLS, || {
        for _ in 0..entries {
            std::hint::black_box(down.encode_to_vec());
        }
    });
    let decode = median(CALLS, || {
        std::hint::black_box(Down::decode(bytes.as_slice()).is_ok());
    });
    Row {
        measure: "change",
        entries,
        services,
        bytes_an_entry: bytes.len(),
        apply_micros: apply.as_secs_f64() * 1e6,
        encode_all_micros: encode.as_secs_f64() * 1e6,
        decode_micros: decode.as_secs_f64() * 1e6,
        update_bytes: update.encoded_len(),
        update_micros: update_time.as_secs_f64() * 1e6,
    }
}

/// The update that a member makes of a command, and the time in which an entry whose
/// declarations nothing else uses applies it.
fn measure_update(state: &State, command: &Command) -> (Update, Duration) {
    let mut feed = Feed::new(Instant::ZERO, state);
    let known = Known { index: state.index, version: state.version };
    let mut changed = state.clone();
    changed.apply(state.index + 1, command);
    feed.observe(Instant::ZERO, &changed, Some(command));
    let update = feed.shared_update(&changed, known);
    let copy = || State { declarations: Arc::new((*state.declarations).clone()), ..state.clone() };
    let mut states: Vec<_> = (0..CALLS * 8).map(|_| copy()).collect();
    let time = median(CALLS, || {
        if let Some(mut state) = states.pop() {
            state.update(&update).expect("the update follows on the state");
            std::mem::forget(state);
        }
    });
    (update, time)
}

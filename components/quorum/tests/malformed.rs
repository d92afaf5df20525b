//! Messages of other members with damaged bytes: a replica drops or handles them, and goes on.

use std::collections::BTreeMap;

use base::prelude::*;
use bytes::Bytes;
use quorum::{Effect, Event, Hard, Replica, Settings, Snapshot, Stored, TICK_INTERVAL};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::Message as _;
use wire::quorum::{Member, Members, Message};

const VOTERS: u64 = 3;

/// Number of random schedules.
const SCHEDULES: u64 = 1_000;

/// Ticks of one schedule.
const TICKS: u64 = 300;

fn stored() -> Stored {
    let member = |id| Member { id, name: format!("m{id}"), voter: true, ..Member::default() };
    let members = Members { members: (1..=VOTERS).map(member).collect() };
    let snapshot = Snapshot { index: 10, term: 3, members, data: Bytes::new() };
    Stored { hard: Hard { term: 3, vote: 0 }, snapshot, entries: Vec::new() }
}

/// Changes, removes or repeats some bytes.
fn damage(rng: &mut ChaCha8Rng, bytes: &mut Vec<u8>) {
    for _ in 0..rng.random_range(1..4) {
        if bytes.is_empty() {
            return;
        }
        let place = rng.random_range(0..bytes.len());
        match rng.random_range(0..4) {
            0 => bytes[place] = rng.next_u32() as u8,
            1 => bytes.truncate(place),
            2 => drop(bytes.remove(place)),
            _ => bytes.insert(place, bytes[place]),
        }
    }
}

/// Sends a message, now and then with damaged bytes. Returns `None` if it can't be read.
fn transmit(rng: &mut ChaCha8Rng, message: &Message) -> Option<Message> {
    let mut bytes = message.encode_to_vec();
    if rng.random_bool(0.02) {
        damage(rng, &mut bytes);
    }
    Message::decode(bytes.as_slice()).ok()
}

#[test]
fn damaged_messages_end_no_replica() {
    let mut read = 0;
    for seed in 0..SCHEDULES {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant::ZERO;
        let replica = |id| (id, Replica::new(now, Settings::new(id, seed * 10 + id), stored()));
        let mut replicas: BTreeMap<u64, Replica> = (1..=VOTERS).map(replica).collect();
        let mut due: Vec<(u64, Event)> = Vec::new();
        for tick in 0..TICKS {
            now += TICK_INTERVAL;
            due.extend((1..=VOTERS).map(|id| (id, Event::Tick)));
            if tick % 7 == 0 {
                let (token, command) = (seed << 32 | tick, Bytes::from_static(b"command"));
                due.push((rng.random_range(1..=VOTERS), Event::Propose { token, command }));
            }
            for (id, event) in std::mem::take(&mut due) {
                let Some(replica) = replicas.get_mut(&id) else { continue };
                let mut effects = Vec::new();
                replica.on(now, event, &mut effects);
                for effect in effects {
                    match effect {
                        Effect::Persist(write) => due.push((id, Event::Persisted(write.token))),
                        Effect::Send(message) => {
                            let Some(message) = transmit(&mut rng, &message) else { continue };
                            read += 1;
                            due.push((message.to, Event::Message(message)));
                        }
                        _ => {}
                    }
                }
            }
        }
    }
    assert!(read > SCHEDULES * TICKS, "{read} messages were read");
}

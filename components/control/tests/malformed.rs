//! Images and commands with damaged bytes: they are refused or change the state, but
//! never end the process.

use control::{Event, Leader, State};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::Message as _;
use wire::control::{Seal, Symptom};
use wire::log::{
    Announce, Assign, Choose, Command, Configure, Drain, Establish, Expire, Intend, Join, Lease,
    Leave, Share, command,
};

/// Number of damaged inputs.
const INPUTS: u64 = 4_000;

fn commands() -> Vec<command::Body> {
    let content = r#"{"groups":{"g":{"servers":1,"acknowledges":true}}}"#;
    let (group, server, entry) = ("g".to_owned(), "s0".to_owned(), "e0".to_owned());
    let share = Share { server: server.clone(), connections: 3, slots: 2 };
    let lease =
        Lease { entry: entry.clone(), incarnation: 1, shares: vec![share], returning: false };
    vec![
        command::Body::Configure(Configure {
            change: "c".to_owned(),
            base: 0,
            content: content.to_owned(),
            patch: String::new(),
        }),
        command::Body::Join(Join {
            entry: entry.clone(),
            incarnation: 1,
            address: "127.0.0.1:1".to_owned(),
            zone: "z".to_owned(),
            web: "127.0.0.1:2".to_owned(),
            sole: true,
            weight: 7,
        }),
        command::Body::Announce(Announce {
            server: server.clone(),
            incarnation: 1,
            group: group.clone(),
            address: "127.0.0.1:3".to_owned(),
            zone: "z".to_owned(),
            connections: 8,
            slots: 2,
            ..Announce::default()
        }),
        command::Body::Establish(Establish {
            group: group.clone(),
            term: 1,
            server: server.clone(),
        }),
        command::Body::Assign(Assign { group: group.clone(), base: 0, leases: vec![lease] }),
        command::Body::Intend(Intend { group: group.clone(), term: 2 }),
        command::Body::Choose(Choose {
            group,
            term: 2,
            server: server.clone(),
            ..Choose::default()
        }),
        command::Body::Drain(Drain { entry: entry.clone(), on: true }),
        command::Body::Expire(Expire { server, incarnation: 1, left: false }),
        command::Body::Leave(Leave { entry, incarnation: 1, over: true }),
    ]
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

#[test]
fn a_damaged_image_is_refused_or_read_and_ends_nothing() {
    let mut state = State::default();
    for body in commands() {
        state.apply(state.index + 1, &Command { body: Some(body) });
    }
    let images = [state.encode(), state.encode_for_entries()];
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut refused = 0;
    for input in 0..INPUTS {
        let mut bytes = images[input as usize % images.len()].clone();
        damage(&mut rng, &mut bytes);
        refused += u64::from(State::decode(&bytes).is_err());
    }
    assert!(refused > INPUTS / 10, "{refused}");
}

#[test]
fn damaged_commands_and_events_end_neither_state_nor_leader() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let bodies = commands();
    for _ in 0..INPUTS / 10 {
        let mut state = State::default();
        let mut now = base::prelude::Instant::from_millis(1_000);
        let mut leader = Leader::new(now);
        let mut out = Vec::new();
        for _ in 0..30 {
            let body = bodies[rng.random_range(0..bodies.len())].clone();
            let mut bytes = Command { body: Some(body) }.encode_to_vec();
            if rng.random_bool(0.5) {
                damage(&mut rng, &mut bytes);
            }
            let Ok(command) = Command::decode(bytes.as_slice()) else { continue };
            let index = state.index + 1;
            state.apply(index, &command);
            now += base::prelude::Duration::from_millis(rng.random_range(0..700));
            leader.on(now, &state, Event::Applied { index }, &mut out);
            for event in events(&mut rng, &command) {
                leader.on(now, &state, event, &mut out);
            }
            leader.on(now, &state, Event::Tick, &mut out);
            let image = State::decode(&state.encode()).expect("the image of a state");
            assert_eq!(image, state);
        }
    }
}

/// Reports of other processes with the fields of a command.
fn events(rng: &mut ChaCha8Rng, command: &Command) -> Vec<Event> {
    let entry = base::prelude::Name::new("e0").unwrap();
    let (incarnation, term) = (rng.random_range(0..3), rng.next_u64());
    match command.body.clone() {
        Some(command::Body::Join(join)) => vec![Event::Joined(join)],
        Some(command::Body::Announce(announce)) => vec![Event::Announced(announce)],
        Some(command::Body::Leave(_)) => vec![Event::Left { entry, incarnation }],
        Some(command::Body::Intend(Intend { group, .. })) => {
            let seal = Seal { group: group.clone(), term, mark: None, index: term };
            let symptom =
                Symptom { group, server: "s0".to_owned(), term, condition: rng.random_range(0..9) };
            let sealed = Event::Sealed { entry: entry.clone(), incarnation, seal };
            vec![sealed, Event::Symptom { entry, symptom }]
        }
        _ => Vec::new(),
    }
}

//! Fuzz tests: grouping of arbitrary bytes into cycles, and correct answers on a
//! connection that several callers share.

mod server;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use bytes::{Bytes, BytesMut};
use pg::answer::Status;
use pg::cycle::{Cycle, Step};
use pg::{Caller, Filter, Prepared, frame};
use pgwire::messages::Message as _;
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Flush, Parse, Sync};
use pgwire::messages::simplequery::Query;
use server::Server;

/// Number of seeds of each test.
fn schedules() -> u64 {
    std::env::var("TREFOIL_FUZZ_SCHEDULES").map_or(300, |text| text.parse().unwrap())
}

/// Size in bytes of the random input of one seed; `arbtest` takes it from the low 32 bits
/// of its seed.
const INPUT_BYTES: u64 = 4_096;

/// Caller on the shared connection, with a dedicated connection for comparison.
#[derive(Debug, Default)]
struct Model {
    caller: Caller,
    prepared: Prepared,
    input: BytesMut,
    /// Dedicated connection of the caller, which gets the messages unchanged.
    dedicated: Server,
}

const TEXTS: [&str; 7] =
    ["select 1", "select 2", "bad", "fail later", "BEGIN", "COMMIT", "ROLLBACK"];

fn text(u: &mut Unstructured<'_>) -> Result<String> {
    Ok((*u.choose(&TEXTS)?).to_owned())
}

fn name(u: &mut Unstructured<'_>) -> Result<Option<String>> {
    Ok(u.choose(&[None, Some("a"), Some("trefoil_0")])?.map(str::to_owned))
}

fn cycle(u: &mut Unstructured<'_>) -> Result<Bytes> {
    if u.ratio(1, 4)? {
        let mut bytes = BytesMut::new();
        Query::new(text(u)?).encode(&mut bytes).unwrap();
        return Ok(bytes.freeze());
    }
    extended(u, 0)
}

/// Makes extended messages up to a Sync. Before each message, a Flush is inserted with
/// a probability of `flush_tenths` in ten.
fn extended(u: &mut Unstructured<'_>, flush_tenths: u8) -> Result<Bytes> {
    let mut bytes = BytesMut::new();
    for _ in 0..u.int_in_range(0..=8)? {
        if flush_tenths > 0 && u.ratio(flush_tenths, 10)? {
            Flush::new().encode(&mut bytes).unwrap();
        }
        let target = *u.choose(b"SP")?;
        let encoded = match u.int_in_range(0..=4)? {
            0 => Parse::new(name(u)?, text(u)?, Vec::new()).encode(&mut bytes),
            1 => Bind::new(name(u)?, name(u)?, vec![], vec![None], vec![1]).encode(&mut bytes),
            2 => Describe::new(target, name(u)?).encode(&mut bytes),
            3 => Execute::new(name(u)?, 0).encode(&mut bytes),
            _ => Close::new(target, name(u)?).encode(&mut bytes),
        };
        encoded.unwrap();
    }
    Sync::new().encode(&mut bytes).unwrap();
    Ok(bytes.freeze())
}

/// Feeds bytes to a caller in pieces of random size, and returns the single cycle that
/// they form.
fn feed(u: &mut Unstructured<'_>, model: &mut Model, mut bytes: &[u8]) -> Result<Cycle> {
    loop {
        let length = u.int_in_range(1..=bytes.len())?;
        model.input.extend_from_slice(&bytes[..length]);
        bytes = &bytes[length..];
        while let Some(frame) = frame::take(&mut model.input).unwrap() {
            match model.caller.on(&frame) {
                Step::Wait => {}
                Step::Run(cycle) => {
                    assert!(bytes.is_empty() && model.input.is_empty());
                    return Ok(cycle);
                }
                step => panic!("{step:?}"),
            }
        }
    }
}

/// Answer that a caller receives.
struct Answer {
    bytes: Bytes,
    failed: bool,
}

/// Runs a cycle on the shared connection and returns the answer to the caller.
fn run(
    u: &mut Unstructured<'_>,
    model: &mut Model,
    server: &mut Server,
    cycle: Cycle,
) -> Result<Answer> {
    let plan = match cycle {
        Cycle::Query { bytes, .. } => {
            model.prepared.apply(&pg::prepared::Change::Remove(String::new()));
            pg::prepared::Plan { payload: bytes, ..Default::default() }
        }
        Cycle::Extended(messages) => {
            let lookup = model.prepared.look_up(&messages);
            model.prepared.plan(messages, lookup).unwrap()
        }
    };
    let mut answer = server.run(plan.payload.clone());
    let mut filter = Filter::new(&plan.expected);
    let mut forwarded = BytesMut::new();
    let mut part = BytesMut::new();
    while let Some(frame) = frame::next(&mut answer).unwrap() {
        part.extend_from_slice(&frame.bytes);
        if u.ratio(1, 2)? || answer.is_empty() {
            for piece in filter.feed(&part.split().freeze()).unwrap() {
                forwarded.extend_from_slice(&piece);
            }
        }
    }
    for change in &plan.changes[..filter.own_answers()] {
        model.prepared.apply(change);
    }
    if server.status == Status::Idle {
        model.prepared.release_slots();
    }
    Ok(Answer { bytes: forwarded.freeze(), failed: filter.has_error() })
}

/// Runs a cycle whose parts are flushed. Returns the messages that were run, which end
/// before the first refused part, and the answer to the caller.
fn run_parts(
    u: &mut Unstructured<'_>,
    model: &mut Model,
    server: &mut Server,
    bytes: &[u8],
) -> Result<(Bytes, Bytes)> {
    let (mut accepted, mut forwarded) = (BytesMut::new(), BytesMut::new());
    let (mut pending, mut failed) = (BytesMut::new(), false);
    let mut input = BytesMut::from(bytes);
    while let Some(frame) = frame::take(&mut input).unwrap() {
        if !failed {
            pending.extend_from_slice(&frame.bytes);
        }
        let cycle = match model.caller.on(&frame) {
            Step::Wait | Step::Recover => continue,
            Step::Run(cycle) => cycle,
            Step::Flush(messages) => {
                let in_transaction = server.status != Status::Idle;
                if !model.prepared.look_up(&messages).is_separable(in_transaction) {
                    model.caller.skip_to_sync();
                    (pending, failed) = (BytesMut::new(), true);
                    continue;
                }
                Cycle::Extended(messages)
            }
            step => panic!("{step:?}"),
        };
        accepted.extend_from_slice(&pending.split());
        let answer = run(u, model, server, cycle)?;
        forwarded.extend_from_slice(&answer.bytes);
        if answer.failed && frame.kind == b'H' {
            model.caller.skip_to_sync();
            failed = true;
        }
    }
    assert!(model.caller.is_idle());
    Ok((accepted.freeze(), forwarded.freeze()))
}

/// Runs `turn` for three callers that share a connection, in random order.
fn take_turns(mut turn: impl FnMut(&mut Unstructured<'_>, &mut Model, &mut Server) -> Result<()>) {
    for seed in 0..schedules() {
        arbtest(|u| {
            let mut shared = Server::default();
            let mut models = [Model::default(), Model::default(), Model::default()];
            let mut current = 0;
            for _ in 0..u.int_in_range(1..=24)? {
                // the connection belongs to one caller during a transaction
                if shared.status == Status::Idle {
                    current = u.choose_index(models.len())?;
                }
                turn(u, &mut models[current], &mut shared)?;
                assert_eq!(shared.status, models[current].dedicated.status, "seed {seed}");
            }
            Ok(())
        })
        .seed(seed << 32 | INPUT_BYTES)
        .run();
    }
}

#[test]
fn answers_match_a_dedicated_connection() {
    take_turns(|u, model, shared| {
        let bytes = cycle(u)?;
        let cycle = feed(u, model, &bytes)?;
        let answer = run(u, model, shared, cycle)?;
        assert_eq!(answer.bytes, model.dedicated.run(bytes));
        Ok(())
    });
}

#[test]
fn flushed_answers_match_a_dedicated_connection() {
    take_turns(|u, model, shared| {
        let bytes = extended(u, 4)?;
        let (accepted, answer) = run_parts(u, model, shared, &bytes)?;
        assert_eq!(answer, model.dedicated.run(accepted));
        Ok(())
    });
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    for seed in 0..schedules() {
        arbtest(|u| {
            let mut caller = Caller::new();
            let mut input = BytesMut::from(u.bytes(u.len().min(512))?);
            while let Ok(Some(frame)) = frame::take(&mut input) {
                if matches!(caller.on(&frame), Step::Fatal(_) | Step::Terminate) {
                    break;
                }
            }
            let mut packet = BytesMut::from(u.bytes(u.len().min(512))?);
            drop(pg::startup::take(&mut packet));
            Ok(())
        })
        .seed(seed << 32 | INPUT_BYTES)
        .run();
    }
}

#[test]
fn mutated_messages_do_not_panic() {
    for seed in 0..schedules() {
        arbtest(|u| {
            let mut bytes = cycle(u)?.to_vec();
            for _ in 0..u.int_in_range(1..=3)? {
                let index = u.choose_index(bytes.len())?;
                bytes[index] = u.arbitrary()?;
            }
            let (mut caller, mut input) = (Caller::new(), BytesMut::from(bytes.as_slice()));
            while let Ok(Some(frame)) = frame::take(&mut input) {
                match caller.on(&frame) {
                    Step::Fatal(_) | Step::Terminate => break,
                    Step::Run(Cycle::Extended(messages)) => {
                        let mut prepared = Prepared::new();
                        let lookup = prepared.look_up(&messages);
                        drop(prepared.plan(messages, lookup));
                    }
                    _ => {}
                }
            }
            Ok(())
        })
        .seed(seed << 32 | INPUT_BYTES)
        .run();
    }
}

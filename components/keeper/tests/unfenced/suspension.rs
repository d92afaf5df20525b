//! Requests after the process was suspended, and estimates that only served requests correct.

use base::prelude::*;
use keeper::{Effect, Event};
use wire::data::{Class, Outcome, Run};

use crate::bench::Bench;

/// Time for which the process is suspended.
const SUSPENDED: Duration = Duration::from_secs(8);

/// Run time of a read.
const RUN_MILLIS: u64 = 14;

fn read() -> Run {
    Run {
        service: "busy".into(),
        class: Class::Read as i32,
        age_ms: 60_000,
        deadline_ms: 20_000,
        ..Run::default()
    }
}

/// Stops the process while reads run on all replicas, and lets it go on.
fn suspend_while_reads_run(bench: &mut Bench) {
    for _ in 0..4 {
        bench.run(read());
    }
    let sent = bench.sent();
    bench.now += SUSPENDED;
    bench.feed(Event::Leased(false));
    for (conn, ..) in sent {
        bench.answer(conn, b'I', Mark::new(1, 100));
    }
    for effect in bench.out.split_off(0) {
        if let Effect::Close { conn } = effect {
            bench.feed(Event::Closed { conn });
        }
    }
    bench.feed(Event::Leased(true));
    bench.open_all();
    bench.out.clear();
}

/// Opens and closes the connections that the group asked for, and answers its samples.
fn settle_connections(bench: &mut Bench) {
    for effect in bench.out.split_off(0) {
        match effect {
            Effect::Connect { conn, .. } | Effect::Mark { conn } => {
                bench.report(conn, b'I', None, Mark::new(1, 100));
            }
            Effect::Close { conn } => bench.feed(Event::Closed { conn }),
            _ => {}
        }
    }
}

/// Sends reads in pairs, each pair after the answers to the one before, and returns their
/// outcomes.
fn outcomes(bench: &mut Bench, pairs: u64) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for _ in 0..pairs {
        let requests = [bench.run(read()), bench.run(read())];
        outcomes.extend(bench.out.iter().filter_map(|effect| match effect {
            Effect::End { end, .. } if requests.contains(&end.request) => Some(end.outcome()),
            _ => None,
        }));
        let sent = bench.sent();
        bench.now += Duration::from_millis(RUN_MILLIS);
        for (conn, ..) in sent {
            bench.answer(conn, b'I', Mark::new(1, 100));
        }
        outcomes.extend(bench.ends().iter().map(wire::data::End::outcome));
    }
    outcomes
}

#[test]
fn a_keeper_that_was_suspended_serves_as_before() {
    let mut bench = Bench::ready();
    suspend_while_reads_run(&mut bench);
    let outcomes = outcomes(&mut bench, 20);
    assert_eq!(outcomes, vec![Outcome::Done; 40]);
}

#[test]
fn a_burst_after_a_suspension_is_refused_only_as_far_as_run_times_before_it_tell() {
    let mut bench = Bench::ready();
    suspend_while_reads_run(&mut bench);
    for _ in 0..12 {
        bench.run(read());
    }
    assert!(bench.ends().is_empty(), "twice the slots end in twice the run time");
}

#[test]
fn a_request_that_a_free_slot_can_run_is_not_refused_however_slow_the_last_ones_were() {
    let mut bench = Bench::ready();
    // the servers get slower step by step, so that no read counts as left unanswered
    for turn in 0..40 {
        bench.run(read());
        let sent = bench.sent();
        // no suspension: the timer runs meanwhile
        bench.pass(if turn < 20 { 350 } else { 2_000 });
        // both replicas are used, so connections are opened and idle ones closed
        settle_connections(&mut bench);
        for (conn, ..) in sent {
            bench.answer(conn, b'I', Mark::new(1, 100));
        }
    }
    bench.out.clear();
    let outcomes = outcomes(&mut bench, 20);
    assert_eq!(outcomes, vec![Outcome::Done; 40]);
}

#[test]
fn an_answer_that_arrived_during_a_suspension_is_delivered() {
    let mut bench = Bench::ready();
    let request = bench.run(Run { deadline_ms: 1_000, ..read() });
    let sent = bench.sent();
    bench.now += SUSPENDED;
    // the timer may fire before the answer is read
    bench.feed(Event::Tick);
    bench.now += Duration::from_millis(1);
    bench.answer(sent[0].0, b'I', Mark::new(1, 100));
    let ends = bench.ends();
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert_eq!((ends[0].request, ends[0].outcome()), (request, Outcome::Done));
}

#[test]
fn no_server_is_reported_silent_for_a_time_in_which_the_process_itself_was_suspended() {
    let mut bench = Bench::ready();
    for _ in 0..4 {
        bench.run(read());
    }
    let write = Run { class: Class::Write as i32, fresh: true, commits: true, ..Run::default() };
    bench.run(Run { deadline_ms: 20_000, ..write });
    bench.out.clear();
    bench.now += SUSPENDED;
    bench.feed(Event::Tick);
    assert!(bench.conditions().is_empty(), "{:?}", bench.conditions());
    bench.now += Duration::from_millis(1);
    bench.run(read());
    assert!(!bench.sent().is_empty(), "a replica is tried at once");
}

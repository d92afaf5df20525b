//! Overload, and replicas that can't serve their part of the reads.

use base::prelude::*;
use keeper::{Connection, Effect, Flaw};
use plain::ErrorKind;
use wire::data::{Class, End, Outcome, Reason, Run};

use crate::bench::Bench;

/// A request that has ended.
struct Finished {
    end: End,
    /// Time from the start of the run to the request's arrival.
    arrived: Duration,
    /// Time from the request's arrival to its end.
    took: Duration,
}

/// Sends reads that each run for `run` milliseconds, one every `every`
/// milliseconds, which may be faster than the servers can run them. Returns the
/// end of each read.
fn overload(run: u64, every: u64, count: u64) -> Vec<Finished> {
    let mut bench = Bench::with_slots(2);
    let mut ends = Vec::new();
    let mut arrived = std::collections::HashMap::new();
    let began = bench.now;
    let mut running: Vec<(Instant, Key<Connection>)> = Vec::new();
    for turn in 0..count * every / 10 + 200 {
        if turn * 10 < count * every && (turn * 10).is_multiple_of(every) {
            for _ in 0..(10 / every).max(1) {
                let busy = Run { service: "busy".into(), age_ms: 2_000, ..Run::default() };
                let request = bench.run(Run { class: Class::Read as i32, ..busy });
                arrived.insert(request, bench.now);
            }
        }
        bench.pass(10);
        let now = bench.now;
        let mut kept = std::mem::take(&mut bench.out);
        bench.out = kept.extract_if(.., |effect| matches!(effect, Effect::Send { .. })).collect();
        ends.extend(kept.into_iter().filter_map(|effect| match effect {
            Effect::End { end, .. } => Some(Finished {
                arrived: arrived[&end.request].since(began),
                took: now.since(arrived[&end.request]),
                end,
            }),
            _ => None,
        }));
        running.extend(bench.sent().into_iter().map(|(conn, ..)| (now, conn)));
        let over = |(sent, _): &(Instant, _)| now.since(*sent) >= Duration::from_millis(run);
        let done: Vec<_> = running.extract_if(.., |one| over(one)).collect();
        for (_, conn) in done {
            bench.answer(conn, b'I', Mark::new(1, 100));
        }
    }
    ends
}

#[test]
fn reads_that_no_replica_can_serve_use_this_keepers_share_of_the_primary() {
    let mut bench = Bench::with_slots(5);
    for member in &mut bench.members {
        member.share = 3;
    }
    bench.set_up(Some("server-0"), 1, 12);
    // both replicas lag far behind and refuse the read
    for _ in 0..2 {
        bench.read(1_000, Some(Mark::new(1, 130)));
        let sent = bench.sent();
        let (conn, server, ..) = sent.first().expect("a server to try").clone();
        assert_ne!(server, "server-0");
        bench.report(conn, b'I', Some(ErrorKind::Behind), Mark::new(1, 20));
    }
    bench.pass(20);
    let retried = bench.sent();
    assert!(retried.iter().all(|(_, server, ..)| server == "server-0"), "{retried:?}");
    for _ in 0..6 {
        bench.read(1_000, Some(Mark::new(1, 130)));
    }
    let more = bench.sent();
    assert!(more.iter().all(|(_, server, ..)| server == "server-0"), "{more:?}");
    assert_eq!(retried.len() + more.len(), 3, "the other slots belong to another keeper");
    // another keeper's writes take the remaining slots before this keeper sends a write
    let write = bench.write();
    let (conn, server, ..) = bench.sent()[0].clone();
    assert_eq!(server, "server-0");
    bench.report(conn, b'I', Some(ErrorKind::Busy), Mark::new(1, 130));
    // a read ends after the wait for a slot and before the write is resent
    bench.now += Duration::from_millis(5);
    bench.answer(retried[0].0, b'I', Mark::new(1, 130));
    assert!(bench.sent().is_empty(), "no read goes before a write that found no slot");
    bench.pass(20);
    let sent: Vec<_> = bench.sent().into_iter().map(|(_, _, request, _)| request).collect();
    assert_eq!(sent[0], write);
}

#[test]
fn under_overload_admitted_requests_are_answered_in_time_and_the_rest_refused_at_once() {
    // six slots, each taken for 50 ms by a read of 40 ms and a step of the clock, serve 120 of
    // the 200 reads that arrive per second
    let ends = overload(40, 5, 400);
    assert_eq!(ends.len(), 400);
    let mut refused = 0;
    for Finished { end, arrived, took } in &ends {
        if end.outcome() == Outcome::Done {
            // the objective, the run time and two steps of the clock; the run time is only known
            // after the first reads
            let known = *arrived >= Duration::from_millis(500);
            assert!(!known || *took <= Duration::from_millis(100 + 40 + 20), "{took:?}");
            continue;
        }
        assert_eq!((end.outcome(), end.reason()), (Outcome::NotRun, Reason::QueueFull));
        assert!(end.retry_after_ms > 0 && *took <= Duration::from_millis(10), "{took:?}");
        refused += 1;
    }
    assert!((100..=200).contains(&refused), "{refused}");
}

#[test]
fn reads_beyond_what_the_primary_serves_are_refused_at_once_while_no_replica_shows_their_data() {
    let mut bench = Bench::with_slots(2);
    // both replicas are far behind
    for _ in 0..2 {
        bench.read(1_000, Some(Mark::new(1, 130)));
        let (conn, server, ..) = bench.sent()[0].clone();
        assert_ne!(server, "server-0");
        bench.report(conn, b'I', Some(ErrorKind::Behind), Mark::new(1, 20));
    }
    let floor = Some(Mark::new(1, 130).into());
    let busy = Run { service: "busy".into(), age_ms: 1_000, floor, ..Run::default() };
    let busy = Run { class: Class::Read as i32, ..busy };
    // the primary answers a few reads of 40 ms, so that their run time is known to be over
    // half of that; the lag of the replicas counts as known for half a second
    for _ in 0..8 {
        bench.pass(10);
        bench.run(busy.clone());
        let sent = bench.sent();
        bench.pass(40);
        for (conn, ..) in sent {
            bench.answer(conn, b'I', Mark::new(1, 130));
        }
    }
    bench.out.clear();
    for _ in 0..40 {
        bench.run(busy.clone());
    }
    let ends = bench.ends();
    // two slots run at most ten reads of 20 ms within the objective, beside the first two
    assert!(ends.len() >= 28, "{} of 40 reads were refused at once", ends.len());
    assert!(ends.iter().all(|end| end.reason() == Reason::QueueFull));
}

#[test]
fn no_request_is_refused_if_the_servers_can_handle_the_load() {
    let ends = overload(40, 10, 400);
    assert!(ends.iter().all(|finished| finished.end.outcome() == Outcome::Done));
    assert_eq!(ends.len(), 400);
}

#[test]
fn requests_that_wait_for_a_change_of_primary_are_not_refused_for_load() {
    let mut bench = Bench::ready();
    bench.set_up(None, 2, 12);
    for _ in 0..100 {
        let run = Run { service: "busy".into(), commits: true, ..Run::default() };
        bench.run(Run { class: Class::Write as i32, fresh: true, ..run });
    }
    assert!(bench.ends().is_empty());
}

#[test]
fn a_request_that_misses_its_objective_is_logged_and_one_in_time_is_not() {
    let logged =
        |bench: &Bench| bench.out.iter().filter(|effect| matches!(effect, Effect::Log(_))).count();
    for (wait, lines) in [(50, 0), (150, 1)] {
        let mut bench = Bench::ready();
        let run = Run { service: "busy".into(), commits: true, fresh: true, ..Run::default() };
        bench.run(Run { class: Class::Write as i32, ..run });
        let (conn, ..) = bench.sent()[0].clone();
        bench.pass(wait);
        bench.answer(conn, b'I', Mark::new(1, 101));
        assert_eq!(logged(&bench), lines, "after {wait} ms of an objective of 100");
    }
}

/// Fills all slots, and sends reads that an earlier attempt at another keeper may have run.
/// Returns how many of them were refused.
fn refused_repeats(flaw: Option<Flaw>) -> usize {
    let mut bench = Bench::with_slots(2);
    if let Some(flaw) = flaw {
        bench.group.inject_flaw(flaw);
    }
    let read = Run { class: Class::Read as i32, age_ms: 2_000, ..Run::default() };
    for _ in 0..6 {
        bench.run(Run { repeats: true, ..read.clone() });
    }
    assert!(bench.ends().is_empty(), "retries that a slot can run are free");
    for _ in 0..30 {
        bench.run(Run { repeats: true, ..read.clone() });
    }
    let ends = bench.ends();
    assert!(ends.iter().all(|end| end.reason() == Reason::RetryBudget));
    assert!(ends.iter().all(|end| end.outcome() == Outcome::NotRun && end.retry_after_ms > 0));
    ends.len()
}

#[test]
fn retries_of_fronts_that_have_to_wait_are_limited_by_the_budget_of_their_service() {
    assert_eq!(refused_repeats(None), 30 - retry::MAX_TOKENS as usize);
    assert_eq!(refused_repeats(Some(Flaw::UnlimitedRetries)), 0);
}

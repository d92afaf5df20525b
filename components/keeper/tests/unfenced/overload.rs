//! More load than the servers bear, or replicas that can't take their part.

use base::prelude::*;
use keeper::{Connection, Effect};
use plain::Fault;
use wire::data::{Class, End, Outcome, Reason, Run};

use crate::bench::Bench;

/// The end of a request.
struct Finished {
    end: End,
    /// When it came, from the first on, and how long it took.
    came: Duration,
    took: Duration,
}

/// Reads that take `run` milliseconds each come in faster than the servers can
/// run them; what becomes of each.
fn overload(run: u64, every: u64, count: u64) -> Vec<Finished> {
    let mut bench = Bench::with_slots(2);
    let mut ends = Vec::new();
    let mut came = std::collections::HashMap::new();
    let began = bench.now;
    let mut running: Vec<(Instant, Key<Connection>)> = Vec::new();
    for turn in 0..count * every / 10 + 200 {
        if turn * 10 < count * every && (turn * 10).is_multiple_of(every) {
            for _ in 0..(10 / every).max(1) {
                let busy = Run { service: "busy".into(), age_ms: 2_000, ..Run::default() };
                let request = bench.run(Run { class: Class::Read as i32, ..busy });
                came.insert(request, bench.now);
            }
        }
        bench.pass(10);
        let now = bench.now;
        let mut kept = std::mem::take(&mut bench.out);
        bench.out = kept.extract_if(.., |effect| matches!(effect, Effect::Send { .. })).collect();
        ends.extend(kept.into_iter().filter_map(|effect| match effect {
            Effect::End { end, .. } => Some(Finished {
                came: came[&end.request].since(began),
                took: now.since(came[&end.request]),
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
fn reads_that_no_replica_can_show_use_the_primarys_slots_of_this_keeper() {
    let mut bench = Bench::with_slots(5);
    for seat in &mut bench.seats {
        seat.share = 3;
    }
    bench.set_up(Some("server-0"), 1, 12);
    // both replicas are far behind and say so
    for _ in 0..2 {
        bench.read(1_000, Some(Mark::new(1, 130)));
        let sent = bench.sent();
        let (conn, server, ..) = sent.first().expect("a server to try").clone();
        assert_ne!(server, "server-0");
        bench.report(conn, b'I', Some(Fault::Behind), Mark::new(1, 20));
    }
    bench.pass(20);
    let retried = bench.sent();
    assert!(retried.iter().all(|(_, server, ..)| server == "server-0"), "{retried:?}");
    for _ in 0..6 {
        bench.read(1_000, Some(Mark::new(1, 130)));
    }
    let more = bench.sent();
    assert!(more.iter().all(|(_, server, ..)| server == "server-0"), "{more:?}");
    assert_eq!(retried.len() + more.len(), 3, "the other slots are another keeper's");
    // another keeper's writes took the rest, and one of ours comes
    let write = bench.write();
    let (conn, server, ..) = bench.sent()[0].clone();
    assert_eq!(server, "server-0");
    bench.report(conn, b'I', Some(Fault::Busy), Mark::new(1, 130));
    // a read ends after the wait for a slot and before the write is tried again
    bench.now += Duration::from_millis(5);
    bench.answer(retried[0].0, b'I', Mark::new(1, 130));
    assert!(bench.sent().is_empty(), "no read goes before a write that found no slot");
    bench.pass(20);
    let sent: Vec<_> = bench.sent().into_iter().map(|(_, _, request, _)| request).collect();
    assert_eq!(sent[0], write);
}

#[test]
fn under_more_load_than_fits_what_is_taken_is_answered_in_time_and_the_rest_refused_at_once() {
    // five slots for reads, 40 ms each: 125 a second of the 200 that come
    let ends = overload(40, 5, 400);
    assert_eq!(ends.len(), 400);
    let mut refused = 0;
    for Finished { end, came, took } in &ends {
        if end.outcome() == Outcome::Done {
            // the objective, the run itself and the clock's steps, once it is
            // known how long such a read runs
            let known = *came >= Duration::from_millis(500);
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
fn nothing_is_refused_for_load_where_the_servers_bear_it() {
    let ends = overload(40, 10, 400);
    assert!(ends.iter().all(|told| told.end.outcome() == Outcome::Done));
    assert_eq!(ends.len(), 400);
}

#[test]
fn what_waits_for_a_change_of_primary_is_not_refused_for_load() {
    let mut bench = Bench::ready();
    bench.set_up(None, 2, 12);
    for _ in 0..100 {
        let run = Run { service: "busy".into(), commits: true, ..Run::default() };
        bench.run(Run { class: Class::Write as i32, fresh: true, ..run });
    }
    assert!(bench.ends().is_empty());
}

#[test]
fn a_request_that_is_done_late_is_told_of_and_one_in_time_is_not() {
    let told =
        |bench: &Bench| bench.out.iter().filter(|effect| matches!(effect, Effect::Log(_))).count();
    for (wait, lines) in [(50, 0), (150, 1)] {
        let mut bench = Bench::ready();
        let run = Run { service: "busy".into(), commits: true, fresh: true, ..Run::default() };
        bench.run(Run { class: Class::Write as i32, ..run });
        let (conn, ..) = bench.sent()[0].clone();
        bench.pass(wait);
        bench.answer(conn, b'I', Mark::new(1, 101));
        assert_eq!(told(&bench), lines, "after {wait} ms of an objective of 100");
    }
}

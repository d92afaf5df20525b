//! Servers that can't be reached or leave statements unanswered.

use base::prelude::*;
use keeper::{Event, Outage};
use wire::control::Condition;
use wire::data::{Class, Run};

use crate::bench::{Bench, name};

#[test]
fn a_read_whose_replica_failed_is_sent_to_another_server() {
    let mut bench = Bench::ready();
    let request = bench.read(1_000, None);
    let (conn, server, ..) = bench.sent()[0].clone();
    let outage = Outage::Refused;
    bench.feed(Event::Unreachable { server: name(&server), outage });
    bench.feed(Event::Closed { conn });
    bench.pass(100);
    let sent = bench.sent();
    assert_eq!(sent[0].2, request);
    assert_ne!(sent[0].1, server);
}

#[test]
fn a_read_that_its_replica_leaves_unanswered_is_sent_to_another_server() {
    let mut bench = Bench::ready();
    let request = bench.read(1_000, None);
    let (_, server, ..) = bench.sent()[0].clone();
    bench.pass(600);
    let sent = bench.sent();
    let again = sent.iter().find(|(_, _, number, _)| *number == request).expect("a second try");
    assert_ne!(again.1, server);
}

#[test]
fn commits_left_unanswered_while_reads_are_answered_report_the_primary_as_cut_off() {
    let mut bench = Bench::ready();
    // the deadline of the commit passes soon; the symptom must be reported before
    let (class, fresh) = (Class::Write as i32, true);
    bench.run(Run { class, fresh, commits: true, deadline_ms: 800, ..Run::default() });
    bench.sent();
    let mut seen = Vec::new();
    for _ in 0..20 {
        bench.pass(100);
        bench.read(0, None);
        seen.extend(bench.conditions());
        if let Some((conn, ..)) = bench.sent().into_iter().find(|(_, s, ..)| s == "server-0") {
            bench.answer(conn, b'I', Mark::new(1, 100));
        }
    }
    assert!(seen.contains(&Condition::CutOff), "{seen:?}");
}

#[test]
fn a_server_is_tried_again_after_a_late_connection_failure_although_other_connections_are_open() {
    let mut bench = Bench::ready();
    let before = bench.conns.len();
    // a connection attempt made during a network failure times out after a later attempt has
    // succeeded
    for server in ["server-1", "server-2"] {
        bench.feed(Event::Unreachable { server: name(server), outage: Outage::Silent });
    }
    bench.pass(50);
    let opened = bench.conns[before..].to_vec();
    let servers: Vec<_> = opened.iter().map(|(_, server)| server.as_str()).collect();
    assert_eq!(servers, ["server-1", "server-2"]);
    for (conn, _) in opened {
        bench.report(conn, b'I', None, Mark::new(1, 100));
    }
    bench.out.clear();
    for _ in 0..4 {
        bench.read(1_000, None);
    }
    let mut servers: Vec<_> = bench.sent().into_iter().map(|(_, server, ..)| server).collect();
    servers.sort_unstable();
    assert_eq!(servers, ["server-1", "server-1", "server-2", "server-2"]);
}

#[test]
fn a_server_that_stays_silent_is_tried_at_growing_intervals_by_one_connection() {
    let mut bench = Bench::ready();
    let before = bench.conns.len();
    let mut tries = 0;
    bench.feed(Event::Unreachable { server: name("server-1"), outage: Outage::Silent });
    for _ in 0..300 {
        bench.pass(10);
        let opening = bench.conns.split_off(before);
        bench.out.clear();
        assert!(opening.len() <= 1, "{opening:?}");
        tries += opening.len();
        for (conn, server) in opening {
            bench.feed(Event::Unreachable { server, outage: Outage::Silent });
            bench.feed(Event::Closed { conn });
        }
    }
    assert!((3..=12).contains(&tries), "{tries} in three seconds");
}

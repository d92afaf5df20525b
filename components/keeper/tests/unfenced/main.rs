//! Unfenced groups: groups whose servers acknowledge commits by themselves.

mod balance;
mod bench;
mod full;
mod goals;
mod leaving;
mod load;
mod overload;
mod pace;
mod pools;
mod reach;
mod recovery;
mod servers;
mod suspension;
mod teams;

use base::prelude::*;
use keeper::{Effect, Event};
use plain::ErrorKind;
use wire::data::{Outcome, Reason};

use bench::{Bench, name, transaction};

#[test]
fn the_first_report_of_a_session_ends_no_request() {
    let mut bench = Bench::new();
    let request = bench.write();
    let first = bench.conns.iter().find(|(_, server)| *server == name("server-0")).unwrap().0;
    bench.out.clear();
    bench.report(first, b'I', None, Mark::new(1, 100));
    let sent = bench.sent();
    assert_eq!(sent.len(), 1, "the request goes out once the session is established");
    assert_eq!((sent[0].0, sent[0].2), (first, request));
    assert!(bench.ends().is_empty());
}

#[test]
fn a_commit_is_acknowledged_by_the_answer_alone() {
    let mut bench = Bench::ready();
    bench.write();
    let (conn, server, ..) = bench.sent()[0].clone();
    assert_eq!(server, "server-0");
    bench.answer(conn, b'I', Mark::new(1, 101));
    let ends = bench.ends();
    assert_eq!(ends.len(), 1);
    assert_eq!(ends[0].outcome(), Outcome::Done);
    assert_eq!(ends[0].mark.map(Mark::from), Some(Mark::new(1, 101)));
}

#[test]
fn a_commit_that_is_answered_without_the_lease_is_in_doubt() {
    let mut bench = Bench::ready();
    bench.write();
    let (conn, ..) = bench.sent()[0].clone();
    bench.feed(Event::Leased(false));
    bench.answer(conn, b'I', Mark::new(1, 101));
    assert_eq!(bench.ends()[0].outcome(), Outcome::Unknown);
}

#[test]
fn a_read_that_accepts_no_age_goes_to_the_primary() {
    let mut bench = Bench::ready();
    bench.read(0, None);
    assert_eq!(bench.sent()[0].1, "server-0");
}

#[test]
fn a_read_that_accepts_an_age_goes_to_a_replica_with_the_oldest_sample_that_qualifies() {
    let mut bench = Bench::ready();
    bench.pass(500);
    bench.write();
    let (conn, ..) = bench.sent()[0].clone();
    bench.answer(conn, b'I', Mark::new(1, 150));
    bench.out.clear();
    bench.read(1_000, None);
    let (_, server, _, wait) = bench.sent()[0].clone();
    assert_ne!(server, "server-0");
    assert_eq!(wait, Some(Mark::new(1, 100)), "the sample of 500 ms ago is young enough");
}

#[test]
fn a_read_waits_for_the_sessions_own_write() {
    let mut bench = Bench::ready();
    bench.read(1_000, Some(Mark::new(1, 130)));
    let (_, server, _, wait) = bench.sent()[0].clone();
    assert!(server == "server-0" || wait == Some(Mark::new(1, 130)));
}

#[test]
fn a_read_without_a_sample_young_enough_reads_the_position_of_the_primary() {
    let mut bench = Bench::ready();
    bench.pass(1_500);
    bench.out.clear();
    bench.read(1_000, None);
    let asked: Vec<_> = bench
        .out
        .iter()
        .filter_map(|effect| match effect {
            Effect::Mark { conn } => Some(*conn),
            _ => None,
        })
        .collect();
    assert_eq!(asked.len(), 1);
    assert!(bench.sent().is_empty(), "the mark that the read needs is not known yet");
    bench.report(asked[0], b'I', None, Mark::new(1, 160));
    let (_, server, _, wait) = bench.sent()[0].clone();
    assert_ne!(server, "server-0");
    assert_eq!(wait, Some(Mark::new(1, 160)));
}

#[test]
fn a_statement_that_its_server_refused_to_run_is_sent_again() {
    let mut bench = Bench::ready();
    let request = bench.write();
    let (conn, ..) = bench.sent()[0].clone();
    bench.report(conn, b'I', Some(ErrorKind::Busy), Mark::new(1, 100));
    assert!(bench.ends().is_empty());
    bench.pass(50);
    let sent = bench.sent();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].2, request);
}

#[test]
fn a_write_whose_connection_broke_is_in_doubt_at_once_and_never_sent_again() {
    let mut bench = Bench::ready();
    bench.write();
    let (conn, ..) = bench.sent()[0].clone();
    bench.feed(Event::Closed { conn });
    let ends = bench.ends();
    assert_eq!(ends[0].outcome(), Outcome::Unknown);
    bench.pass(500);
    assert!(bench.sent().is_empty());
}

#[test]
fn a_transaction_stays_on_its_connection_and_is_gone_with_it() {
    let mut bench = Bench::ready();
    let conn = bench.begin();
    bench.out.clear();
    bench.run(transaction(true, false));
    assert_eq!(bench.sent()[0].0, conn);
    bench.feed(Event::Closed { conn });
    let ends = bench.ends();
    assert_eq!(ends[0].outcome(), Outcome::NotRun);
    assert_eq!(ends[0].reason(), Reason::TransactionGone);
}

//! A primary that leaves the group or is replaced by control.

use base::prelude::*;
use keeper::Event;
use wire::data::Outcome;

use crate::bench::{Bench, transaction};

#[test]
fn an_intended_change_of_primary_ends_open_work_and_seals() {
    let mut bench = Bench::ready();
    bench.write();
    let (conn, ..) = bench.sent()[0].clone();
    bench.answer(conn, b'I', Mark::new(1, 101));
    bench.out.clear();
    bench.write();
    bench.sent();
    bench.set_up(None, 2, 20);
    let out: Vec<_> = bench.out.clone();
    assert_eq!(bench.ends()[0].outcome(), Outcome::Unknown, "the commit that runs is in doubt");
    bench.out = out;
    assert_eq!(bench.seals(), [(2, Some(Mark::new(1, 101)), 10)]);
}

#[test]
fn nothing_goes_to_a_primary_while_a_change_is_under_way() {
    let mut bench = Bench::ready();
    bench.set_up(None, 2, 20);
    bench.out.clear();
    bench.write();
    bench.read(0, None);
    assert!(bench.sent().is_empty());
    bench.set_up(Some("server-1"), 2, 21);
    bench.pass(20);
    let mut servers = Vec::new();
    // the slow start of the new primary admits one after the other
    for _ in 0..2 {
        let (conn, server, ..) = bench.sent()[0].clone();
        servers.push(server);
        bench.answer(conn, b'I', Mark::new(2, 101));
    }
    assert_eq!(servers, ["server-1", "server-1"]);
}

#[test]
fn statements_of_a_primary_that_leaves_may_end_before_the_seal() {
    let mut bench = Bench::ready();
    bench.write();
    let (conn, ..) = bench.sent()[0].clone();
    bench.members[0].leaving = true;
    bench.set_up(Some("server-0"), 1, 11);
    bench.set_up(None, 2, 20);
    assert!(bench.seals().is_empty(), "a commit still runs");
    bench.answer(conn, b'I', Mark::new(1, 102));
    let out: Vec<_> = bench.out.clone();
    assert_eq!(bench.ends()[0].outcome(), Outcome::Done);
    bench.out = out;
    assert_eq!(bench.seals(), [(2, Some(Mark::new(1, 102)), 10)]);
}

#[test]
fn a_commit_while_a_primary_leaves_raises_the_sealed_mark_and_the_mark_of_its_session() {
    let mut bench = Bench::ready();
    let conn = bench.begin();
    bench.replace_leaving();
    bench.run(transaction(true, true));
    assert_eq!(bench.sent()[0].0, conn, "an open transaction may end");
    bench.answer(conn, b'I', Mark::new(1, 102));
    let out = bench.out.clone();
    let end = bench.ends().remove(0);
    assert_eq!(end.outcome(), Outcome::Done);
    assert_eq!(end.mark.map(Mark::from), Some(Mark::new(1, 102)));
    bench.out = out;
    assert_eq!(bench.seals(), [(2, Some(Mark::new(1, 102)), 20)]);
}

#[test]
fn a_commit_while_a_primary_leaves_is_in_doubt_without_the_lease() {
    let mut bench = Bench::ready();
    let conn = bench.begin();
    bench.replace_leaving();
    bench.run(transaction(true, true));
    bench.feed(Event::Leased(false));
    bench.answer(conn, b'I', Mark::new(1, 102));
    assert_eq!(bench.ends()[0].outcome(), Outcome::Unknown);
}

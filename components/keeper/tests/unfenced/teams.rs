//! Connections of teams: each connection runs requests of one team, and is opened for a
//! waiting request.

use base::prelude::*;
use config::Declarations;
use keeper::{Connection, Effect, Event};
use wire::data::{Class, Outcome, Reason, Run};

use crate::bench::{self, Bench, name, transaction};

/// A connection that was opened, with its server and team.
type Opened = (Key<Connection>, String, Option<String>);

/// A group whose callers have teams, with one open connection to each server that belongs
/// to no team.
fn bench_with(slots: u32, connections: u32) -> Bench {
    let declarations = Declarations { teams: Some([].into()), ..bench::declarations() };
    let mut members: Vec<_> = (0..3).map(bench::member).collect();
    for member in &mut members {
        (member.slots, member.share, member.connections) = (slots, slots, connections);
    }
    let mut bench = Bench::declared(declarations, members);
    let first = answer_opened(&mut bench);
    assert_eq!(first.len(), 3, "one connection to each server");
    bench.out.clear();
    bench
}

fn opened(bench: &mut Bench) -> Vec<Opened> {
    let connected = bench.out.extract_if(.., |effect| matches!(effect, Effect::Connect { .. }));
    let opened = connected.filter_map(|effect| match effect {
        Effect::Connect { conn, server, team, .. } => {
            Some((conn, server.to_string(), team.map(|team| team.to_string())))
        }
        _ => None,
    });
    opened.collect()
}

/// Lets the connections that are being opened become idle; returns them.
fn answer_opened(bench: &mut Bench) -> Vec<Opened> {
    let opened = opened(bench);
    for (conn, ..) in &opened {
        bench.report(*conn, b'I', None, Mark::new(1, 100));
    }
    opened
}

fn closes(bench: &mut Bench) -> Vec<Key<Connection>> {
    let closes = bench.out.extract_if(.., |effect| matches!(effect, Effect::Close { .. }));
    let closes = closes.filter_map(|effect| match effect {
        Effect::Close { conn } => Some(conn),
        _ => None,
    });
    closes.collect()
}

fn write_of(team: &str) -> Run {
    let class = Class::Write as i32;
    Run { class, fresh: true, commits: true, team: team.to_owned(), ..Run::default() }
}

fn read_of(team: &str) -> Run {
    Run { class: Class::Read as i32, age_ms: 1_000, team: team.to_owned(), ..Run::default() }
}

/// Runs a write of a team to its end, and opens a connection for it if necessary.
fn run_write(bench: &mut Bench, team: &str) -> Key<Connection> {
    bench.out.clear();
    bench.run(write_of(team));
    answer_opened(bench);
    let (conn, ..) = bench.sent()[0].clone();
    bench.answer(conn, b'I', Mark::new(1, 101));
    bench.out.clear();
    conn
}

/// Guards against a statement that runs in the session of another team.
#[test]
fn a_request_waits_for_a_connection_of_its_own_team_although_another_is_idle() {
    let mut bench = bench_with(2, 6);
    run_write(&mut bench, "red");
    let request = bench.run(write_of("blue"));
    let opened = answer_opened(&mut bench);
    assert_eq!(opened.len(), 1);
    assert_eq!((opened[0].1.as_str(), opened[0].2.as_deref()), ("server-0", Some("blue")));
    let sent = bench.sent();
    assert_eq!(sent.len(), 1);
    assert_eq!((sent[0].0, sent[0].2), (opened[0].0, request));
}

/// Guards against connections opened ahead of demand, which would use up the limit.
#[test]
fn a_group_with_teams_keeps_one_connection_to_each_server_while_nothing_waits() {
    let mut bench = bench_with(2, 6);
    bench.pass(1_000);
    assert!(opened(&mut bench).is_empty());
    let conn = run_write(&mut bench, "red");
    assert_eq!(run_write(&mut bench, "red"), conn, "the idle connection of the team is used again");
}

/// Guards against a team that waits for its connection and holds up all others.
#[test]
fn a_team_without_a_connection_holds_up_no_other_team() {
    let mut bench = bench_with(2, 6);
    let conn = run_write(&mut bench, "red");
    bench.run(write_of("blue"));
    let request = bench.run(write_of("red"));
    let sent = bench.sent();
    assert_eq!(sent.len(), 1);
    assert_eq!((sent[0].0, sent[0].2), (conn, request));
}

/// Guards against openings that occupy the slots which statements need.
#[test]
fn no_more_connections_are_opened_at_once_than_slots_are_free() {
    let mut bench = bench_with(2, 6);
    bench.out.clear();
    for team in ["red", "blue", "green", "grey"] {
        bench.run(write_of(team));
    }
    let first = opened(&mut bench);
    assert_eq!(first.len(), 2);
    bench.report(first[0].0, b'I', None, Mark::new(1, 100));
    assert_eq!(opened(&mut bench).len(), 0, "the request of the first team uses the slot");
    let (conn, ..) = bench.sent()[0].clone();
    bench.answer(conn, b'I', Mark::new(1, 101));
    assert_eq!(opened(&mut bench).len(), 1);
}

/// Guards against more connections than the limit: the server counts a connection until it
/// is closed.
#[test]
fn a_connection_is_replaced_only_after_its_close_was_observed() {
    let mut bench = bench_with(2, 3);
    let red = run_write(&mut bench, "red");
    bench.now += Duration::from_millis(10);
    run_write(&mut bench, "blue");
    bench.now += Duration::from_millis(10);
    bench.run(write_of("green"));
    assert!(opened(&mut bench).is_empty());
    let first = closes(&mut bench);
    assert_eq!(first.len(), 1, "the connection of no team is the least recently used");
    assert_ne!(first[0], red);
    bench.pass(50);
    assert!(opened(&mut bench).is_empty() && closes(&mut bench).is_empty());
    bench.feed(Event::Closed { conn: first[0] });
    let opened = answer_opened(&mut bench);
    assert_eq!(opened[0].2.as_deref(), Some("green"));
    assert_eq!(bench.sent().len(), 1);
}

/// Guards against the loss of a transaction to a connection that another team needs.
#[test]
fn a_connection_in_a_transaction_is_never_closed_for_another_team() {
    let mut bench = bench_with(2, 1);
    bench.out.clear();
    bench.run(Run { team: "red".to_owned(), ..transaction(false, false) });
    let closed = closes(&mut bench);
    bench.feed(Event::Closed { conn: closed[0] });
    answer_opened(&mut bench);
    let (conn, ..) = bench.sent()[0].clone();
    bench.answer(conn, b'T', Mark::new(1, 100));
    bench.out.clear();
    bench.run(write_of("blue"));
    bench.pass(200);
    assert!(closes(&mut bench).is_empty());
    bench.run(Run { team: "red".to_owned(), ..transaction(true, true) });
    assert_eq!(bench.sent()[0].0, conn);
}

/// Guards against a statement of one team in the transaction of another, after a key was
/// moved between teams.
#[test]
fn a_transaction_is_rolled_back_if_its_session_changes_team() {
    let mut bench = bench_with(2, 4);
    bench.out.clear();
    bench.run(Run { team: "red".to_owned(), ..transaction(false, false) });
    answer_opened(&mut bench);
    let (conn, ..) = bench.sent()[0].clone();
    bench.answer(conn, b'T', Mark::new(1, 100));
    bench.out.clear();
    bench.run(Run { team: "blue".to_owned(), ..transaction(true, true) });
    assert!(bench.out.contains(&Effect::RollBack { conn }));
    let ends = bench.ends();
    assert_eq!((ends[0].outcome(), ends[0].reason()), (Outcome::NotRun, Reason::TransactionGone));
}

/// Guards against a read that needs a new connection although its team has an idle one to
/// another replica, and against reads that no connection is ever opened for.
#[test]
fn a_read_prefers_the_server_with_an_idle_connection_of_its_team() {
    let mut bench = bench_with(2, 6);
    bench.out.clear();
    bench.run(read_of("red"));
    let opened = answer_opened(&mut bench);
    assert_eq!(opened.len(), 1);
    let (conn, server, ..) = bench.sent()[0].clone();
    assert_ne!(server, "server-0");
    bench.answer(conn, b'I', Mark::new(1, 100));
    bench.out.clear();
    bench.run(read_of("red"));
    assert_eq!(bench.sent()[0].0, conn);
    assert_eq!(name(&server), name(&opened[0].1));
}

/// Guards against a read that waits for the opening of a connection to a silent server
/// although another server could run it.
#[test]
fn a_read_whose_connection_is_not_opened_in_time_uses_another_server() {
    let mut bench = bench_with(2, 6);
    bench.run(read_of("red"));
    let first = opened(&mut bench);
    bench.pass(10);
    assert!(opened(&mut bench).is_empty());
    bench.pass(20);
    let second = answer_opened(&mut bench);
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].1, first[0].1);
    assert_eq!(bench.sent()[0].0, second[0].0);
}

/// Opens a connection of the team "slow" within a time, and returns the number of further
/// connections that a team with many waiting writes gets after `idle_millis`.
fn further_after_slow_opening(open: impl Fn(&mut Bench), idle_millis: u64) -> usize {
    let mut bench = bench_with(4, 12);
    for _ in 0..20 {
        bench.run(write_of("red"));
        answer_opened(&mut bench);
        let (conn, ..) = bench.sent()[0].clone();
        bench.now += Duration::from_millis(14);
        bench.answer(conn, b'I', Mark::new(1, 101));
        bench.out.clear();
    }
    bench.run(write_of("slow"));
    open(&mut bench);
    answer_opened(&mut bench);
    let (conn, ..) = bench.sent()[0].clone();
    bench.answer(conn, b'I', Mark::new(1, 102));
    bench.pass(idle_millis);
    bench.out.clear();
    for _ in 0..8 {
        bench.run(write_of("red"));
    }
    opened(&mut bench).len()
}

/// Guards against a suspension that is taken for the time of an opening, after which no team
/// gets a further connection.
#[test]
fn an_opening_across_a_suspension_prevents_no_further_connections() {
    let suspend = |bench: &mut Bench| {
        bench.now += Duration::from_secs(1);
        bench.feed(Event::Tick);
    };
    assert!(further_after_slow_opening(suspend, 100) > 0);
}

/// Guards against a slow opening after which no team ever gets a further connection: only
/// openings correct the estimate of their time.
#[test]
fn the_time_of_a_slow_opening_is_forgotten() {
    let slowly = |bench: &mut Bench| bench.pass(1_000);
    assert_eq!(further_after_slow_opening(slowly, 100), 0);
    assert!(further_after_slow_opening(slowly, 11_000) > 0);
}

/// Guards against a withdrawn `teams` section after which the connections of teams fill
/// the limit.
#[test]
fn connections_of_teams_are_closed_once_teams_are_no_longer_declared() {
    let mut bench = bench_with(1, 2);
    let red = run_write(&mut bench, "red");
    bench.declarations.teams = None;
    bench.set_up(Some("server-0"), 1, 12);
    bench.pass(20);
    let closed = closes(&mut bench);
    assert!(closed.contains(&red));
    for conn in closed {
        bench.feed(Event::Closed { conn });
    }
    answer_opened(&mut bench);
    bench.run(write_of(""));
    assert_eq!(bench.sent().len(), 1);
}

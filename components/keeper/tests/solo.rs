//! Groups whose servers acknowledge by themselves.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use config::{Database, Declarations, Limits};
use keeper::event;
use keeper::{
    Connection, Effect, Event, Front, Group, Kind, Lease, Piece, Reported, Setup, Solo, Trouble,
};
use plain::Fault;
use wire::control::Sight;
use wire::data::{Class, End, Outcome, Reason, Run};

const FRONT: Front = Front(1);

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn declarations() -> Declarations {
    let limits = Limits { retry_share: 1.0, ..Limits::default() };
    let database =
        Database { group: name("group"), age_ms: 1_000, priority: 0, objective_ms: 0, limits };
    let group = config::Group { servers: 15, acknowledges: true, ..config::Group::default() };
    let busy = Database { objective_ms: 100, ..database.clone() };
    Declarations {
        groups: [(name("group"), group)].into(),
        databases: [(name("ring"), database), (name("busy"), busy)].into(),
        ..Declarations::default()
    }
}

fn seat(index: u16) -> event::Server {
    event::Server {
        name: name(&format!("server-{index}")),
        incarnation: 1,
        address: ([127, 0, 0, 1], 5432 + index).into(),
        zone: name("zone"),
        labels: config::Labels::new(),
        connections: 6,
        slots: 2,
        share: 2,
        leaving: false,
        expired: false,
    }
}

struct Bench {
    group: Group,
    now: Instant,
    out: Vec<Effect>,
    next: u64,
    seats: Vec<event::Server>,
    conns: Vec<(Key<Connection>, Name)>,
}

fn setup(seats: &[event::Server], primary: Option<&str>, term: u64, index: u64) -> Setup {
    Setup {
        declared: 1,
        primary: primary.map(name),
        servers: seats.to_vec(),
        lease: Lease::Held,
        declarations: Arc::new(declarations()),
        solo: Some(Solo { term: Term(term), index }),
    }
}

impl Bench {
    /// A group of a primary and two replicas that holds its lease; nothing is
    /// connected yet.
    fn new() -> Self {
        let group = Group::new(name("group"), name("zone"), 1);
        let now = Instant::from_millis(10_000);
        let seats: Vec<_> = (0..3).map(seat).collect();
        let (out, conns) = (Vec::new(), Vec::new());
        let mut bench = Self { group, now, out, next: 0, seats, conns };
        bench.feed(Event::Leased(true));
        bench.set_up(Some("server-0"), 1, 10);
        bench
    }

    /// The same with its first connections open.
    fn ready() -> Self {
        let mut bench = Self::new();
        bench.open_all();
        bench.out.clear();
        bench
    }

    fn feed(&mut self, event: Event) {
        self.group.on(self.now, event, &mut self.out);
        for effect in &self.out {
            if let Effect::Connect { conn, server, .. } = effect
                && !self.conns.iter().any(|(known, _)| known == conn)
            {
                self.conns.push((*conn, server.clone()));
            }
        }
    }

    fn set_up(&mut self, primary: Option<&str>, term: u64, index: u64) {
        let setup = setup(&self.seats, primary, term, index);
        self.feed(Event::Setup(setup));
    }

    /// The same with more slots on each server.
    fn with_slots(slots: u32) -> Self {
        let mut bench = Self::new();
        for seat in &mut bench.seats {
            (seat.slots, seat.share, seat.connections) = (slots, slots, slots + 4);
        }
        bench.set_up(Some("server-0"), 1, 11);
        for _ in 0..3 {
            let opened = std::mem::take(&mut bench.out);
            for effect in opened {
                if let Effect::Connect { conn, .. } = effect {
                    bench.report(conn, b'I', None, Mark::new(1, 100));
                }
            }
        }
        bench.out.clear();
        bench
    }

    fn open_all(&mut self) {
        for (conn, _) in self.conns.clone() {
            self.report(conn, b'I', None, Mark::new(1, 100));
        }
    }

    fn report(&mut self, conn: Key<Connection>, status: u8, fault: Option<Fault>, mark: Mark) {
        let reported = Reported { status, fault, mark: Some(mark), sent: self.now };
        self.feed(Event::Reported { conn, reported });
    }

    /// The whole answer to a statement.
    fn answer(&mut self, conn: Key<Connection>, status: u8, mark: Mark) {
        let piece = Piece { bytes: Bytes::from_static(b"rows"), kind: Kind::Complete };
        self.feed(Event::Piece { conn, piece });
        self.report(conn, status, None, mark);
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(10) {
            self.now += Duration::from_millis(10);
            self.feed(Event::Tick);
        }
    }

    fn run(&mut self, run: Run) -> u64 {
        self.next += 1;
        let run = Run {
            request: self.next,
            caller: if run.caller == 0 { self.next } else { run.caller },
            service: if run.service.is_empty() { "ring".to_owned() } else { run.service },
            group: "group".to_owned(),
            deadline_ms: if run.deadline_ms == 0 { 3_000 } else { run.deadline_ms },
            payload: Bytes::from(self.next.to_string()),
            window: 1 << 20,
            ..run
        };
        self.feed(Event::Run { front: FRONT, run });
        self.next
    }

    fn write(&mut self) -> u64 {
        self.run(Run { class: Class::Write as i32, fresh: true, commits: true, ..Run::default() })
    }

    fn read(&mut self, age_ms: u64, floor: Option<Mark>) -> u64 {
        let floor = floor.map(Into::into);
        let fresh = age_ms == 0;
        self.run(Run { class: Class::Read as i32, age_ms, fresh, floor, ..Run::default() })
    }

    /// What was sent: where, which request, and what the server must show first.
    fn sent(&mut self) -> Vec<(Key<Connection>, String, u64, Option<Mark>)> {
        let conns = &self.conns;
        let server = |conn| conns.iter().find(|(known, _)| *known == conn).unwrap().1.to_string();
        let sent = self.out.drain(..).filter_map(|effect| match effect {
            Effect::Send { conn, bytes, wait } => {
                let number = std::str::from_utf8(&bytes).unwrap().parse().unwrap();
                Some((conn, server(conn), number, wait))
            }
            _ => None,
        });
        sent.collect()
    }

    fn ends(&mut self) -> Vec<End> {
        let ends = self.out.drain(..).filter_map(|effect| match effect {
            Effect::End { end, .. } => Some(end),
            _ => None,
        });
        ends.collect()
    }

    /// What was reported of the primary; the effects stay.
    fn sights(&self) -> Vec<Sight> {
        let sights = self.out.iter().filter_map(|effect| match effect {
            Effect::Report(symptom) => Some(symptom.sight()),
            _ => None,
        });
        sights.collect()
    }

    fn seals(&mut self) -> Vec<(u64, Option<Mark>, u64)> {
        let seals = self.out.drain(..).filter_map(|effect| match effect {
            Effect::Seal { term, mark, index } => Some((term.0, mark, index)),
            _ => None,
        });
        seals.collect()
    }
}

#[test]
fn the_first_report_of_a_session_ends_no_request() {
    let mut bench = Bench::new();
    let request = bench.write();
    let first = bench.conns.iter().find(|(_, server)| *server == name("server-0")).unwrap().0;
    bench.out.clear();
    bench.report(first, b'I', None, Mark::new(1, 100));
    let sent = bench.sent();
    assert_eq!(sent.len(), 1, "the request goes out once the session stands");
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
fn a_read_that_accepts_an_age_goes_to_a_replica_with_the_oldest_sample_that_will_do() {
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
fn a_read_without_a_sample_young_enough_asks_the_primary_where_it_stands() {
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
    assert!(bench.sent().is_empty(), "no server is known to show enough");
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
    bench.report(conn, b'I', Some(Fault::Busy), Mark::new(1, 100));
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
fn a_read_whose_replica_broke_is_sent_to_another_server() {
    let mut bench = Bench::ready();
    let request = bench.read(1_000, None);
    let (conn, server, ..) = bench.sent()[0].clone();
    let trouble = Trouble::Refused;
    bench.feed(Event::Unreached { server: name(&server), trouble });
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
    let sent = bench.sent();
    assert_eq!(sent.len(), 2);
    assert!(sent.iter().all(|(_, server, ..)| server == "server-1"));
}

#[test]
fn statements_of_a_primary_that_leaves_may_end_before_the_seal() {
    let mut bench = Bench::ready();
    bench.write();
    let (conn, ..) = bench.sent()[0].clone();
    bench.seats[0].leaving = true;
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
fn a_commit_while_a_primary_leaves_raises_what_is_sealed_and_what_its_session_must_see() {
    let mut bench = Bench::ready();
    let run = |within, commits| Run {
        class: Class::Write as i32,
        fresh: true,
        caller: 77,
        within,
        commits,
        ..Run::default()
    };
    bench.run(run(false, false));
    let (conn, ..) = bench.sent()[0].clone();
    bench.answer(conn, b'T', Mark::new(1, 100));
    bench.seats[0].leaving = true;
    bench.set_up(Some("server-0"), 1, 11);
    bench.set_up(None, 2, 20);
    bench.out.clear();
    bench.run(run(true, true));
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
    let run = |within, commits| Run {
        class: Class::Write as i32,
        caller: 77,
        within,
        commits,
        ..Run::default()
    };
    bench.run(run(false, false));
    let (conn, ..) = bench.sent()[0].clone();
    bench.answer(conn, b'T', Mark::new(1, 100));
    bench.seats[0].leaving = true;
    bench.set_up(Some("server-0"), 1, 11);
    bench.set_up(None, 2, 20);
    bench.out.clear();
    bench.run(run(true, true));
    bench.feed(Event::Leased(false));
    bench.answer(conn, b'I', Mark::new(1, 102));
    assert_eq!(bench.ends()[0].outcome(), Outcome::Unknown);
}

#[test]
fn a_transaction_stays_on_its_connection_and_is_gone_with_it() {
    let mut bench = Bench::ready();
    let run = |within, commits| Run {
        class: Class::Write as i32,
        fresh: true,
        caller: 77,
        within,
        commits,
        ..Run::default()
    };
    bench.run(run(false, false));
    let (conn, ..) = bench.sent()[0].clone();
    bench.answer(conn, b'T', Mark::new(1, 100));
    bench.out.clear();
    bench.run(run(true, false));
    assert_eq!(bench.sent()[0].0, conn);
    bench.feed(Event::Closed { conn });
    let ends = bench.ends();
    assert_eq!(ends[0].outcome(), Outcome::NotRun);
    assert_eq!(ends[0].reason(), Reason::TransactionGone);
}

#[test]
fn commits_without_an_answer_beside_others_with_one_tell_of_lost_replicas() {
    let mut bench = Bench::ready();
    // its deadline passes soon; what it showed of the primary must be told before
    let (class, fresh) = (Class::Write as i32, true);
    bench.run(Run { class, fresh, commits: true, deadline_ms: 800, ..Run::default() });
    bench.sent();
    let mut seen = Vec::new();
    for _ in 0..20 {
        bench.pass(100);
        bench.read(0, None);
        seen.extend(bench.sights());
        if let Some((conn, ..)) = bench.sent().into_iter().find(|(_, s, ..)| s == "server-0") {
            bench.answer(conn, b'I', Mark::new(1, 100));
        }
    }
    assert!(seen.contains(&Sight::CutOff), "{seen:?}");
}

#[test]
fn a_server_to_which_one_connection_failed_late_is_tried_again_though_others_stand() {
    let mut bench = Bench::ready();
    let before = bench.conns.len();
    // the last attempt of a cut fails after another one has opened
    for server in ["server-1", "server-2"] {
        bench.feed(Event::Unreached { server: name(server), trouble: Trouble::Silent });
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
    bench.feed(Event::Unreached { server: name("server-1"), trouble: Trouble::Silent });
    for _ in 0..300 {
        bench.pass(10);
        let opening = bench.conns.split_off(before);
        bench.out.clear();
        assert!(opening.len() <= 1, "{opening:?}");
        tries += opening.len();
        for (conn, server) in opening {
            bench.feed(Event::Unreached { server, trouble: Trouble::Silent });
            bench.feed(Event::Closed { conn });
        }
    }
    assert!((3..=12).contains(&tries), "{tries} in three seconds");
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
    bench.answer(retried[0].0, b'I', Mark::new(1, 130));
    assert!(bench.sent().is_empty(), "no read goes before a write that found no slot");
    bench.pass(20);
    let sent: Vec<_> = bench.sent().into_iter().map(|(_, _, request, _)| request).collect();
    assert_eq!(sent[0], write);
}

/// The end of a request.
struct Told {
    end: End,
    /// When it came, from the first on, and how long it took.
    came: Duration,
    took: Duration,
}

/// Reads that take `run` milliseconds each come in faster than the servers can
/// run them; what becomes of each.
fn overload(run: u64, every: u64, count: u64) -> Vec<Told> {
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
            Effect::End { end, .. } => Some(Told {
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
fn under_more_load_than_fits_what_is_taken_is_answered_in_time_and_the_rest_refused_at_once() {
    // five slots for reads, 40 ms each: 125 a second of the 200 that come
    let ends = overload(40, 5, 400);
    assert_eq!(ends.len(), 400);
    let mut refused = 0;
    for Told { end, came, took } in &ends {
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

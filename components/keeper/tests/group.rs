//! Tests of the rules of a group, one rule each.

use std::sync::Arc;

use base::mechanism::Without;
use base::prelude::*;
use bytes::Bytes;
use config::Declarations;
use keeper::{
    Cause, Connection, Count, Effect, Event, Front, Group, Kind, Lease, Outage, Piece, Setup, event,
};
use wire::control::{Condition, Symptom};
use wire::data::{Class, End, Outcome, Reason, Run};

const FRONT: Front = Front(1);

struct Bench {
    group: Group,
    now: Instant,
    out: Vec<Effect>,
    next: u64,
    declared: Declarations,
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn declarations(servers: u32, queue: u32) -> Declarations {
    let limits = config::Limits { queue, ..config::Limits::default() };
    let service = config::Service {
        labels: config::Labels::new(),
        weight: 1,
        limits,
        objectives: Vec::new(),
    };
    let selector = config::Selector {
        services: config::Labels::new(),
        groups: Vec::new(),
        backends: config::Labels::new(),
        kinds: std::collections::BTreeMap::new(),
    };
    Declarations {
        groups: [(name("group"), config::Group { servers, ..config::Group::default() })].into(),
        services: [(name("ring"), service)].into(),
        selectors: [(name("all"), selector)].into(),
        ..Declarations::default()
    }
}

fn member(index: u16) -> event::Server {
    event::Server {
        incarnation: 1,
        name: name(&format!("server-{index}")),
        address: ([127, 0, 0, 1], 5432 + index).into(),
        zone: name("zone"),
        labels: config::Labels::new(),
        connections: 4,
        slots: 1,
        share: 1,
        leaving: false,
        expired: false,
    }
}

fn status(index: u16, term: u64, received: u64, version: u64) -> Status {
    Status {
        server: name(&format!("server-{index}")),
        incarnation: 1,
        term: Term(term),
        log_term: Term(term),
        received: Position(received),
        applied: Position(received),
        role: if index == 0 { Role::Primary } else { Role::Replica },
        silence: Duration::ZERO,
        history: format!("{term}:0").parse().unwrap(),
        version,
    }
}

impl Bench {
    fn new(servers: u16, queue: u32) -> Self {
        let group = Group::new(name("group"), name("zone"), 1);
        let now = Instant::from_millis(1_000);
        let declared = declarations(u32::from(servers), queue);
        let mut bench = Self { group, now, out: Vec::new(), next: 0, declared };
        bench.set_up((0..servers).map(member).collect());
        bench.feed(Event::Leased(true));
        bench
    }

    fn set_up(&mut self, servers: Vec<event::Server>) {
        self.feed(Event::Setup(Setup {
            declared: servers.len() as u32,
            primary: None,
            servers,
            lease: Lease::Held,
            declarations: Arc::new(self.declared.clone()),
            unfenced: None,
            without: Without::default(),
        }));
    }

    /// A group whose servers have reported and whose connections are open.
    fn ready(servers: u16) -> Self {
        let mut bench = Self::new(servers, 100);
        bench.report_all(servers, 1);
        let opened: Vec<_> = bench.out.iter().filter_map(opened).collect();
        for conn in opened {
            bench.feed(Event::Opened { conn });
        }
        bench.out.clear();
        bench
    }

    fn report_all(&mut self, servers: u16, version: u64) {
        for index in 0..servers {
            self.feed(Event::Status { status: status(index, 1, 10, version), sent: self.now });
        }
    }

    fn feed(&mut self, event: Event) {
        self.group.on(self.now, event, &mut self.out);
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.feed(Event::Tick);
    }

    fn ask(&mut self, run: Run) -> u64 {
        self.next += 1;
        let run = Run {
            request: self.next,
            caller: self.next,
            service: "ring".to_owned(),
            group: "group".to_owned(),
            deadline_ms: if run.deadline_ms == 0 { 1_000 } else { run.deadline_ms },
            payload: Bytes::from(self.next.to_string()),
            window: if run.window == 0 { 1_000 } else { run.window },
            ..run
        };
        self.feed(Event::Run { front: FRONT, run });
        self.next
    }

    fn sent(&mut self) -> Vec<(Key<Connection>, u64)> {
        let sent = self.out.drain(..).filter_map(|effect| match effect {
            Effect::Send { conn, bytes, .. } => {
                Some((conn, std::str::from_utf8(&bytes).unwrap().parse().unwrap()))
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

    fn piece(&mut self, conn: Key<Connection>, bytes: usize, kind: Kind) {
        let piece = Piece { bytes: Bytes::from(vec![b'x'; bytes]), kind };
        self.feed(Event::Piece { conn, piece });
    }
}

fn opened(effect: &Effect) -> Option<Key<Connection>> {
    match effect {
        Effect::Connect { conn, .. } => Some(*conn),
        _ => None,
    }
}

fn fresh_read() -> Run {
    Run { class: Class::Read as i32, fresh: true, ..Run::default() }
}

fn session_read() -> Run {
    Run { class: Class::Read as i32, ..Run::default() }
}

fn aged_read() -> Run {
    Run { class: Class::Read as i32, age_ms: 500, ..Run::default() }
}

#[test]
fn one_round_of_samples_serves_all_fresh_reads_that_wait() {
    let mut bench = Bench::ready(3);
    bench.now += Duration::from_millis(1);
    for _ in 0..5 {
        bench.ask(fresh_read());
    }
    let samples = bench.out.iter().filter(|e| matches!(e, Effect::Sample { .. })).count();
    assert_eq!(samples, 3);
    assert!(bench.sent().is_empty());
    bench.report_all(3, 2);
    assert_eq!(bench.sent().len(), 2, "each replica has one slot");
}

#[test]
fn a_full_queue_refuses_requests_with_a_retry_delay() {
    let mut bench = Bench::new(3, 2);
    for _ in 0..3 {
        bench.ask(Run::default());
    }
    let ends = bench.ends();
    assert_eq!(ends.len(), 1);
    let end = &ends[0];
    assert_eq!((end.outcome(), end.reason()), (Outcome::NotRun, Reason::QueueFull));
    assert!(end.retry_after_ms > 0);
}

/// Guards against requests of a team that wait for a connection which is never opened: the
/// servers of a fenced group learn no team.
#[test]
fn requests_of_teams_share_the_connections_of_a_fenced_group() {
    let mut bench = Bench::ready(3);
    bench.declared.teams = Some([].into());
    bench.set_up((0..3).map(member).collect());
    let request = bench.ask(Run {
        team: "red".to_owned(),
        floor: Some(Mark::new(1, 1).into()),
        ..session_read()
    });
    assert_eq!(bench.sent()[0].1, request);
}

#[test]
fn a_request_waits_for_a_primary_up_to_its_deadline() {
    let mut bench = Bench::new(3, 100);
    bench.ask(Run::default());
    bench.pass(990);
    assert!(bench.ends().is_empty());
    bench.pass(10);
    let ends = bench.ends();
    assert_eq!((ends[0].outcome(), ends[0].reason()), (Outcome::NotRun, Reason::Unavailable));
    assert!(ends[0].retry_after_ms > 0);
}

#[test]
fn slow_statements_do_not_use_up_the_deadlines_of_others() {
    let mut bench = Bench::ready(3);
    for _ in 0..40 {
        bench.ask(Run { deadline_ms: 60_000, ..Run::default() });
        let (conn, _) = bench.sent()[0];
        bench.pass(2_000);
        bench.report_all(3, 1);
        bench.feed(Event::Cycle { conn, status: b'I', failed: false });
        bench.feed(Event::Marked { conn, mark: Mark::new(1, 10) });
        bench.out.clear();
    }
    // the only slot of the primary is taken, so the next request has to queue
    bench.ask(Run { deadline_ms: 60_000, ..Run::default() });
    bench.ask(Run::default());
    bench.pass(1);
    assert!(bench.ends().is_empty());
}

#[test]
fn a_statement_holds_its_slot_until_its_connection_is_closed() {
    let mut bench = Bench::ready(1);
    bench.ask(Run::default());
    let (conn, _) = bench.sent()[0];
    let next = bench.ask(Run::default());
    // the server enters a new term, so the cycle of the old term is aborted
    let mut begun = status(0, 2, 10, 2);
    begun.history = "1:0,2:10".parse().unwrap();
    bench.feed(Event::Status { status: begun, sent: bench.now });
    let closes = |effect: &Effect| matches!(effect, Effect::Close { conn: shut } if *shut == conn);
    assert!(bench.out.iter().any(closes));
    assert!(bench.sent().is_empty(), "the statement may still run at the server");
    bench.feed(Event::Closed { conn });
    assert_eq!(bench.sent().first().map(|(_, number)| *number), Some(next));
}

#[test]
fn writes_go_before_reads_that_accept_an_age() {
    let mut bench = Bench::ready(1);
    bench.ask(Run::default());
    let (conn, _) = bench.sent()[0];
    bench.report_all(1, 2);
    bench.ask(aged_read());
    let write = bench.ask(Run::default());
    bench.feed(Event::Cycle { conn, status: b'I', failed: false });
    assert_eq!(bench.sent().first().map(|(_, number)| *number), Some(write));
}

#[test]
fn an_answer_too_large_to_hold_back_is_unknown() {
    let mut bench = Bench::ready(3);
    bench.ask(Run::default());
    let (conn, _) = bench.sent()[0];
    for _ in 0..2 {
        bench.piece(conn, 600 << 10, Kind::Complete);
    }
    assert!(bench.out.contains(&Effect::Close { conn }));
    let ends = bench.ends();
    assert_eq!((ends[0].outcome(), ends[0].reason()), (Outcome::Unknown, Reason::TooLarge));
}

#[test]
fn a_caller_that_grants_no_credit_pauses_only_its_own_connection() {
    let mut bench = Bench::ready(3);
    let request = bench.ask(Run { window: 100, ..Run::default() });
    let (conn, _) = bench.sent()[0];
    bench.piece(conn, 100, Kind::Plain);
    assert!(bench.out.contains(&Effect::Pause { conn }));
    bench.out.clear();
    bench.feed(Event::Credit { front: FRONT, request, bytes: 50 });
    assert!(bench.out.contains(&Effect::Resume { conn }));
}

#[test]
fn a_held_back_answer_is_sent_as_the_caller_grants_credit() {
    let mut bench = Bench::ready(3);
    let request = bench.ask(Run { window: 10, ..Run::default() });
    let (conn, _) = bench.sent()[0];
    bench.piece(conn, 10, Kind::Complete);
    bench.piece(conn, 10, Kind::Plain);
    bench.feed(Event::Cycle { conn, status: b'I', failed: false });
    bench.feed(Event::Marked { conn, mark: Mark::new(1, 11) });
    bench.now += Duration::from_millis(1);
    for index in 0..2 {
        bench.feed(Event::Status { status: status(index, 1, 11, 2), sent: bench.now });
    }
    let parts = |out: &[Effect]| out.iter().filter(|e| matches!(e, Effect::Part { .. })).count();
    assert_eq!(parts(&bench.out), 1);
    assert!(bench.ends().is_empty());
    bench.feed(Event::Credit { front: FRONT, request, bytes: 10 });
    assert_eq!(parts(&bench.out), 1);
    let ends = bench.ends();
    assert_eq!((ends[0].outcome(), ends[0].parts), (Outcome::Done, 2));
}

#[test]
fn a_leaving_server_gets_nothing_new() {
    let mut bench = Bench::ready(3);
    let mut servers: Vec<_> = (0..3).map(member).collect();
    servers[1].leaving = true;
    bench.set_up(servers);
    bench.now += Duration::from_millis(1);
    for _ in 0..2 {
        bench.ask(fresh_read());
    }
    bench.report_all(3, 2);
    assert_eq!(bench.sent().len(), 1, "one replica is left");
}

#[test]
fn a_replica_that_policy_keeps_from_a_service_is_not_used() {
    let mut bench = Bench::ready(3);
    let mut servers: Vec<_> = (0..3).map(member).collect();
    servers[0].labels.insert(name("tier"), name("main"));
    bench.declared.selectors.get_mut("all").unwrap().backends =
        [(name("tier"), name("main"))].into();
    bench.set_up(servers);
    bench.now += Duration::from_millis(1);
    bench.ask(fresh_read());
    bench.report_all(3, 2);
    let cause = Effect::Count(Count::PrimaryRead(Cause::NoReplica));
    assert!(bench.out.contains(&cause));
}

#[test]
fn a_read_waits_its_patience_for_a_replica_that_lags() {
    let mut bench = Bench::ready(3);
    bench.ask(Run { floor: Some(Mark::new(1, 12).into()), patience_ms: 20, ..session_read() });
    bench.pass(10);
    assert!(bench.sent().is_empty());
    bench.pass(10);
    let cause = Effect::Count(Count::PrimaryRead(Cause::Behind));
    assert!(bench.out.contains(&cause));
}

fn conditions(out: &mut Vec<Effect>) -> Vec<Condition> {
    let condition = |symptom: Symptom| Condition::try_from(symptom.condition).unwrap();
    let reports = out.drain(..).filter_map(|effect| match effect {
        Effect::Report(symptom) => Some(condition(symptom)),
        _ => None,
    });
    reports.collect()
}

#[test]
fn a_symptom_is_reported_when_it_changes_and_again_while_it_lasts() {
    let mut bench = Bench::ready(3);
    let (server, outage) = (name("server-0"), Outage::Refused);
    bench.feed(Event::Unreachable { server, outage });
    assert_eq!(conditions(&mut bench.out), [Condition::Refused]);
    bench.pass(500);
    assert!(conditions(&mut bench.out).is_empty());
    bench.pass(500);
    assert_eq!(conditions(&mut bench.out), [Condition::Refused]);
    bench.report_all(3, 2);
    bench.pass(10);
    assert_eq!(conditions(&mut bench.out), [Condition::Healthy]);
}

#[test]
fn a_primary_that_its_replicas_have_lost_is_cut_off() {
    let mut bench = Bench::ready(3);
    let silence = Duration::from_millis(450);
    for index in 1..3 {
        let status = Status { silence, ..status(index, 1, 10, 2) };
        bench.feed(Event::Status { status, sent: bench.now });
        bench.pass(1);
        let lost = if index == 2 { vec![Condition::CutOff] } else { Vec::new() };
        assert_eq!(conditions(&mut bench.out), lost);
    }
}

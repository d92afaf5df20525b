//! The keeper against a simulated database group.

mod seats;

use std::net::SocketAddr;
use std::sync::Arc;

use backend::Probe as _;
use backend::sql::Probe;
use base::clock::Clock;
use base::mechanism::Without;
use base::prelude::*;
use bytes::Bytes;
use config::Declarations;
use entry::front::keepers::Keepers;
use entry::{View, keep};
use link::{Key, Peer, Purpose, Reader, Writer};
use standin::{Fault, Group, Settings};
use tokio::net::TcpListener;
use wire::data::{Answer, Ask, Class, End, Leave, Outcome, Reason, Run, answer, ask};
use wire::log::Lease;

use seats::Size;

const GROUP: &str = "entries-1";
const TIMEOUT: Duration = Duration::from_secs(20);
const KEY: &[u8] = b"a key of the keeper's tests";

struct Bench {
    group: Group,
    keeper: keep::Handle,
    view: View,
    address: SocketAddr,
    metrics: telemetry::web::Metrics,
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn declarations() -> Declarations {
    serde_json::from_value(serde_json::json!({
        "groups": { GROUP: { "servers": 3 } },
        "services": { "ring": {} },
        "selectors": { "all": {} },
    }))
    .unwrap()
}

/// Adds the group, its servers and the keeper's lease to the control state.
fn install(state: &mut control::State, group: &Group) {
    state.index += 1;
    state.declarations = Arc::new(declarations());
    let size = Size { slots: 2, granted: (8, 2) };
    let (mut control_group, shares) = seats::add(state, &name(GROUP), group, size);
    let lease = Lease { entry: "entry-1".into(), incarnation: 1, shares, returning: false };
    control_group.leases.push(lease);
    state.groups.insert(name(GROUP), control_group);
}

/// Links to the keepers of other entries.
fn links(own: &Name) -> Keepers {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Keepers::new(own, 1, Key::new(KEY).unwrap(), Clock::start(), log)
}

async fn bench() -> Bench {
    let settings = Settings { settled: true, ..Settings::new(name(GROUP)) };
    let group = Group::start(settings).await.unwrap();
    let (view, _symptoms) = View::new();
    view.write(|state| install(state, &group));
    view.extend_lease(Instant::from_millis(3_600_000));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let metrics = telemetry::web::Metrics::default();
    let keeper = keep::start(keep::Settings {
        name: name("entry-1"),
        zone: name("lansing"),
        incarnation: 1,
        listener,
        key: Key::new(KEY).unwrap(),
        view: view.clone(),
        clock: Clock::start(),
        without: Without::default(),
        dialect: None,
        quota: quota::Bounds::default(),
        links: Arc::new(links(&name("entry-1"))),
        metrics: Arc::clone(&metrics),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    });
    // the keeper refuses requests for the group until it has first read its view
    let mut front = Front::dial(address).await;
    while outcome(&front.sql("SELECT 1").await.1) == (Outcome::NotRun, Reason::WrongKeeper) {}
    Bench { group, keeper, view, address, metrics }
}

impl Bench {
    /// Returns the metric of declared reads that the keeper sent to the primary, by
    /// cause.
    fn primary_reads(&self) -> String {
        let mut text = String::new();
        let metrics = self.metrics.lock().unwrap();
        prometheus_client::encoding::text::encode(&mut text, &metrics).unwrap();
        let lines = text.lines().filter(|line| line.starts_with("keeper_primary_reads_total"));
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Runs a read that a replica must serve. If the host pauses for longer than a
    /// replica may be silent, no replica is usable and the primary serves the read.
    /// Checks that this is the only cause for using the primary, and repeats the
    /// read in that case.
    async fn read_on_replica(&self, front: &mut Front, read: Run) -> Vec<u8> {
        for _ in 0..100 {
            let request = front.next_request();
            let (answer, end) = front.ask(Run { request, ..read.clone() }).await;
            assert_eq!(outcome(&end), DONE);
            if end.replica {
                return answer;
            }
            let causes = self.primary_reads();
            assert!(causes.lines().all(|line| line.contains("\"no-replica\"")), "{causes}");
        }
        panic!("no replica could be used: {}", self.primary_reads());
    }
}

struct Front {
    reader: Reader,
    writer: Writer,
    last: u64,
}

impl Front {
    async fn dial(address: SocketAddr) -> Self {
        let own = Peer::new("front", 1, Purpose::Data);
        let (_, reader, writer) = link::dial(address, &own, &Key::new(KEY).unwrap()).await.unwrap();
        Self { reader, writer, last: 0 }
    }

    fn next_request(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    fn run(&mut self, sql: &str) -> Run {
        let mut payload = vec![b'Q'];
        payload.extend((sql.len() as u32 + 5).to_be_bytes());
        payload.extend(sql.as_bytes());
        payload.push(0);
        Run {
            request: self.next_request(),
            caller: 1,
            service: "ring".into(),
            group: GROUP.into(),
            deadline_ms: 10_000,
            window: 1 << 20,
            payload: Bytes::from(payload),
            ..Run::default()
        }
    }

    async fn send(&mut self, body: ask::Body) {
        self.writer.send(&Ask { body: Some(body) }).await.unwrap();
    }

    async fn next(&mut self) -> answer::Body {
        let next = tokio::time::timeout(TIMEOUT, self.reader.next::<Answer>()).await;
        next.unwrap().unwrap().unwrap().body.unwrap()
    }

    /// Runs a query cycle; returns its complete answer and its end.
    async fn ask(&mut self, run: Run) -> (Vec<u8>, End) {
        self.send(ask::Body::Run(run)).await;
        let mut payload = Vec::new();
        let mut parts = 0;
        loop {
            match self.next().await {
                answer::Body::Part(part) => {
                    assert_eq!(part.sequence, parts);
                    parts += 1;
                    payload.extend_from_slice(&part.payload);
                }
                answer::Body::End(end) => {
                    assert_eq!((end.request, end.parts), (self.last, parts));
                    return (payload, end);
                }
                answer::Body::Closing(_) | answer::Body::Pong(_) | answer::Body::Loan(_) => {}
            }
        }
    }

    /// Runs a statement outside of a transaction.
    async fn sql(&mut self, sql: &str) -> (Vec<u8>, End) {
        let run = self.run(sql);
        self.ask(run).await
    }

    /// Runs a statement that must succeed.
    async fn run_ok(&mut self, sql: &str) {
        let (answer, end) = self.sql(sql).await;
        assert_eq!(outcome(&end), DONE, "{sql}");
        assert_ne!(answer.first(), Some(&b'E'), "{sql}");
    }

    /// Runs a statement within the open transaction.
    async fn run_in_transaction(&mut self, sql: &str) -> (Vec<u8>, End) {
        let commits = sql == "COMMIT";
        let run = Run { in_transaction: true, commits, ..self.run(sql) };
        self.ask(run).await
    }
}

fn outcome(end: &End) -> (Outcome, Reason) {
    (end.outcome(), end.reason())
}

fn contains(answer: &[u8], text: &str) -> bool {
    answer.windows(text.len()).any(|window| window == text.as_bytes())
}

const DONE: (Outcome, Reason) = (Outcome::Done, Reason::None);

#[tokio::test(flavor = "multi_thread")]
async fn a_write_is_done_with_a_mark_and_a_replica_shows_it() {
    let bench = bench().await;
    let mut front = Front::dial(bench.address).await;
    let (_, end) = front.sql("CREATE TABLE heifers (tag TEXT)").await;
    assert_eq!(outcome(&end), DONE);
    let (answer, end) = front.sql("INSERT INTO heifers VALUES ('lansing-17')").await;
    assert_eq!((outcome(&end), end.status, end.replica), (DONE, u32::from(b'I'), false));
    assert!(contains(&answer, "INSERT 0 1"));
    let floor = end.mark;
    assert!(floor.is_some());
    let read = Run {
        class: Class::Read as i32,
        floor,
        patience_ms: 5_000,
        ..front.run("SELECT tag FROM heifers")
    };
    assert!(contains(&bench.read_on_replica(&mut front, read).await, "lansing-17"));
    let read = Run {
        class: Class::Read as i32,
        fresh: true,
        patience_ms: 5_000,
        ..front.run("SELECT tag FROM heifers")
    };
    assert!(contains(&bench.read_on_replica(&mut front, read).await, "lansing-17"));
    let read = Run {
        class: Class::Read as i32,
        age_ms: 1_000,
        patience_ms: 5_000,
        ..front.run("SELECT tag FROM heifers")
    };
    bench.read_on_replica(&mut front, read).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_keeps_its_connection_and_ends_with_its_caller() {
    let bench = bench().await;
    let mut front = Front::dial(bench.address).await;
    front.run_ok("CREATE TABLE seats (number INTEGER)").await;
    let (_, end) = front.sql("BEGIN").await;
    assert_eq!((outcome(&end), end.status), (DONE, u32::from(b'T')));
    let (answer, _) = front.run_in_transaction("INSERT INTO seats VALUES (1)").await;
    assert!(contains(&answer, "INSERT 0 1"));
    let mut other = Front::dial(bench.address).await;
    let (answer, _) = other.sql("SELECT 'n' || count(*) FROM seats").await;
    assert!(contains(&answer, "n0"));
    let (_, end) = front.run_in_transaction("COMMIT").await;
    assert_eq!((outcome(&end), end.status), (DONE, u32::from(b'I')));
    assert!(end.mark.is_some());
    front.run_ok("BEGIN").await;
    let (answer, _) = front.run_in_transaction("INSERT INTO seats VALUES (2)").await;
    assert!(contains(&answer, "INSERT 0 1"));
    front.send(ask::Body::Leave(Leave { caller: 1 })).await;
    let (_, end) = front.run_in_transaction("COMMIT").await;
    assert_eq!(outcome(&end), (Outcome::NotRun, Reason::TransactionGone));
    let (answer, _) = other.sql("SELECT 'n' || count(*) FROM seats").await;
    assert!(contains(&answer, "n1"));
}

/// Fails over as control does: fences all servers, promotes the one with the
/// newest log, and lets the others follow it.
async fn fail_over(group: &Group, term: u64) {
    let mut fenced = Vec::new();
    for address in group.servers() {
        if let Ok(mut probe) = Probe::connect(address, Duration::from_secs(2)).await
            && let Ok(status) = probe.fence(Term(term)).await
        {
            fenced.push((status.last(), address, probe));
        }
    }
    assert!(fenced.len() >= 2);
    fenced.sort_by_key(|(last, ..)| *last);
    let (_, primary, mut probe) = fenced.pop().unwrap();
    while probe.promote(Term(term)).await.unwrap().role != Role::Primary {}
    for (_, _, mut probe) in fenced {
        probe.follow(Term(term), primary).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_of_the_primary_loses_and_doubles_nothing() {
    let bench = bench().await;
    let mut front = Front::dial(bench.address).await;
    front.run_ok("CREATE TABLE bookings (number INTEGER)").await;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..4_u64 {
        let address = bench.address;
        callers.spawn(async move {
            let mut front = Front::dial(address).await;
            let mut ends = Vec::new();
            for number in 0..100 {
                let id = caller * 1_000 + number;
                let (answer, end) = front.sql(&format!("INSERT INTO bookings VALUES ({id})")).await;
                let done = end.outcome() == Outcome::Done && contains(&answer, "INSERT 0 1");
                ends.push((id, if done { Outcome::Done } else { end.outcome() }, done));
            }
            ends
        });
    }
    tokio::time::sleep(Duration::from_millis(60)).await;
    bench.group.inject(Fault::PrimaryCrash).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    fail_over(&bench.group, 2).await;
    let ends: Vec<_> = callers.join_all().await.into_iter().flatten().collect();
    let (answer, end) = front.sql("SELECT 'n' || number || 'x' FROM bookings").await;
    assert_eq!(outcome(&end), DONE);
    for (id, outcome, written) in ends {
        let text = format!("n{id}x");
        let count = answer.windows(text.len()).filter(|w| *w == text.as_bytes()).count();
        match (outcome, written) {
            (Outcome::Done, true) => assert_eq!(count, 1, "booking {id} was acknowledged"),
            (Outcome::NotRun, _) => assert_eq!(count, 0, "booking {id} was not run"),
            _ => assert!(count <= 1, "booking {id} is doubled"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_what_runs_and_closes_all_connections() {
    let bench = bench().await;
    let mut front = Front::dial(bench.address).await;
    front.run_ok("CREATE TABLE coaches (number INTEGER)").await;
    front.run_ok("BEGIN").await;
    let (answer, _) = front.run_in_transaction("INSERT INTO coaches VALUES (1)").await;
    assert!(contains(&answer, "INSERT 0 1"));
    let closing = tokio::spawn(bench.keeper.close());
    let mut other = Front::dial(bench.address).await;
    while outcome(&other.sql("SELECT 1").await.1) != (Outcome::NotRun, Reason::Closing) {}
    assert!(!closing.is_finished());
    let (_, end) = front.run_in_transaction("COMMIT").await;
    assert_eq!(outcome(&end), DONE);
    tokio::time::timeout(TIMEOUT, closing).await.unwrap().unwrap();
    let group = &bench.group;
    assert!(group.statuses().iter().any(|status| status.received > Position(2)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_returning_lease_is_released_once_all_requests_are_finished() {
    let bench = bench().await;
    let mut front = Front::dial(bench.address).await;
    front.run_ok("CREATE TABLE coaches (number INTEGER)").await;
    front.run_ok("BEGIN").await;
    let (answer, _) = front.run_in_transaction("INSERT INTO coaches VALUES (1)").await;
    assert!(contains(&answer, "INSERT 0 1"));
    bench.view.write(|state| {
        state.index += 1;
        let group = state.groups.get_mut(GROUP).unwrap();
        group.leases[0].returning = true;
    });
    let mut other = Front::dial(bench.address).await;
    while outcome(&other.sql("SELECT 1").await.1) != (Outcome::NotRun, Reason::WrongKeeper) {}
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(bench.view.take_released().is_empty());
    let (_, end) = front.run_in_transaction("COMMIT").await;
    assert_eq!(outcome(&end), DONE);
    let released = async {
        while bench.view.take_released() != [name(GROUP)] {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, released).await.unwrap();
}

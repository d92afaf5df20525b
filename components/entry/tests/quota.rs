//! Limits of teams at a keeper, and loans between two entries on loopback.

mod seats;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::clock::Clock;
use base::mechanism::Without;
use base::prelude::*;
use bytes::Bytes;
use config::model::Class;
use config::{Declarations, Quota, Team};
use entry::front::attempt::{self, Attempt};
use entry::front::keepers::Keepers;
use entry::{View, keep};
use link::{Key, Peer, Purpose, Reader, Writer};
use standin::Group;
use tokio::net::TcpListener;
use wire::data::{Answer, Ask, Borrow, BorrowItem, End, Outcome, Reason, Run, answer, ask};
use wire::log::Lease;

use seats::Size;

const GROUP: &str = "entries-1";
const TEAM: &str = "team-1";
const KEY: &[u8] = b"a key of the tests of limits";
const TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which the share of a new holder is in use, with a margin.
const SHARE_DELAY: Duration = Duration::from_millis(1_900);

/// Operations that both entries may serve at once.
const BURST: f64 = 40.0;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn declarations(quota: Option<Quota>) -> Declarations {
    let declared = serde_json::json!({
        "groups": { GROUP: { "servers": 3 } },
        "services": { "ring": {} },
        "selectors": { "all": {} },
    });
    let mut declarations: Declarations = serde_json::from_value(declared).unwrap();
    let team = Team { quota, ..Team::default() };
    declarations.teams = Some(BTreeMap::from([(name(TEAM), team)]));
    declarations
}

/// Two keepers of one group, each on half of its servers' slots.
struct Bench {
    group: Group,
    keepers: Vec<keep::Handle>,
    views: Vec<View>,
    addresses: Vec<SocketAddr>,
}

fn entry(address: SocketAddr) -> control::Entry {
    control::Entry {
        incarnation: 1,
        address,
        web: None,
        zone: name("lansing"),
        sole: true,
        weight: 1,
        draining: false,
    }
}

fn install(state: &mut control::State, group: &Group, addresses: &[SocketAddr], quota: Quota) {
    state.index += 1;
    state.declarations = Arc::new(declarations(Some(quota)));
    let size = Size { slots: 4, granted: (4, 2) };
    let (mut control_group, shares) = seats::add(state, &name(GROUP), group, size);
    for (at, address) in addresses.iter().enumerate() {
        let name = name(&format!("entry-{at}"));
        state.entries.insert(name.clone(), entry(*address));
        let (entry, shares) = (name.to_string(), shares.clone());
        control_group.leases.push(Lease { entry, incarnation: 1, shares, returning: false });
    }
    state.groups.insert(name(GROUP), control_group);
}

async fn bench(quota: Quota) -> Bench {
    let settings = standin::Settings { settled: true, ..standin::Settings::new(name(GROUP)) };
    let group = Group::start(settings).await.unwrap();
    let mut listeners = Vec::new();
    for _ in 0..2 {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let addresses: Vec<_> = listeners.iter().map(|one| one.local_addr().unwrap()).collect();
    let (mut keepers, mut views) = (Vec::new(), Vec::new());
    for (at, listener) in listeners.into_iter().enumerate() {
        let (view, _symptoms) = View::new();
        view.write(|state| install(state, &group, &addresses, quota));
        view.extend_lease(Instant::from_millis(3_600_000));
        let (own, clock) = (name(&format!("entry-{at}")), Clock::start());
        let links = Keepers::new(&own, 1, Key::new(KEY).unwrap(), clock, log());
        keepers.push(keep::start(keep::Settings {
            name: own,
            zone: name("lansing"),
            incarnation: 1,
            listener,
            key: Key::new(KEY).unwrap(),
            view: view.clone(),
            clock,
            dialect: None,
            without: Without::default(),
            quota: quota::Bounds::default(),
            links: Arc::new(links),
            metrics: telemetry::web::Metrics::default(),
            log: log(),
        }));
        views.push(view);
    }
    let mut front = Front::dial(addresses[0]).await;
    while front.sql("", "SELECT 1").await.outcome() != Outcome::Done {}
    tokio::time::sleep(SHARE_DELAY).await;
    Bench { group, keepers, views, addresses }
}

impl Bench {
    /// Fills the buckets, and lowers the rate so far that only the burst counts.
    async fn fill(&self) {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for view in &self.views {
            let slow = Quota { rate_per_s: 0.01, burst: BURST };
            view.write(|state| install(state, &self.group, &self.addresses, slow));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    fn stop(self) {
        for keeper in self.keepers {
            keeper.kill();
        }
        drop(self.group);
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

    async fn send(&mut self, body: ask::Body) {
        self.writer.send(&Ask { body: Some(body) }).await.unwrap();
    }

    async fn next(&mut self) -> answer::Body {
        let next = tokio::time::timeout(TIMEOUT, self.reader.next::<Answer>()).await;
        next.unwrap().unwrap().unwrap().body.unwrap()
    }

    async fn run(&mut self, run: Run) -> End {
        self.last += 1;
        let run = Run { request: self.last, ..run };
        self.send(ask::Body::Run(run)).await;
        loop {
            if let answer::Body::End(end) = self.next().await {
                return end;
            }
        }
    }

    async fn sql(&mut self, team: &str, sql: &str) -> End {
        self.run(run(team, sql)).await
    }
}

fn run(team: &str, sql: &str) -> Run {
    let mut payload = vec![b'Q'];
    payload.extend((sql.len() as u32 + 5).to_be_bytes());
    payload.extend(sql.as_bytes());
    payload.push(0);
    Run {
        caller: 1,
        service: "ring".into(),
        group: GROUP.into(),
        deadline_ms: 10_000,
        window: 1 << 20,
        payload: Bytes::from(payload),
        team: team.into(),
        ..Run::default()
    }
}

fn is_refused(end: &End) -> bool {
    end.outcome() == Outcome::NotRun && end.reason() == Reason::Quota
}

/// Guards against an entry that serves only its own share, and against operations beyond
/// the limit of both.
#[tokio::test]
async fn one_entry_serves_the_burst_of_both_and_refuses_the_rest() {
    let bench = bench(Quota { rate_per_s: 1_000.0, burst: BURST }).await;
    let bounds = quota::Bounds::default();
    bench.fill().await;
    let mut front = Front::dial(bench.addresses[0]).await;
    let (mut done, mut refused) = (0, 0);
    for _ in 0..120 {
        let end = front.sql(TEAM, "SELECT 1").await;
        if is_refused(&end) {
            assert!(end.retry_after_ms > 0);
            refused += 1;
        } else {
            assert_eq!(end.outcome(), Outcome::Done);
            done += 1;
        }
    }
    let own = f64::midpoint(BURST, bounds.slack);
    assert!(f64::from(done) > own, "{done} ran, {refused} were refused");
    assert!(f64::from(done) <= BURST + bounds.slack, "{done} ran, {refused} were refused");
    // another team and a statement within a transaction are not counted
    assert_eq!(front.sql("team-2", "SELECT 1").await.outcome(), Outcome::Done);
    let within = Run { in_transaction: true, ..run(TEAM, "SELECT 1") };
    assert!(!is_refused(&front.run(within).await));
    bench.stop();
}

/// Guards against a limit that is used up by operations that don't run.
#[tokio::test]
async fn operations_that_are_not_run_use_up_no_tokens() {
    let bench = bench(Quota { rate_per_s: 1_000.0, burst: BURST }).await;
    bench.fill().await;
    let mut front = Front::dial(bench.addresses[0]).await;
    for _ in 0..120 {
        let unknown = Run { service: "unknown".into(), ..run(TEAM, "SELECT 1") };
        let end = front.run(unknown).await;
        assert_eq!(end.outcome(), Outcome::NotRun);
        assert_ne!(end.reason(), Reason::Quota);
    }
    for _ in 0..20 {
        assert_eq!(front.sql(TEAM, "SELECT 1").await.outcome(), Outcome::Done);
    }
    bench.stop();
}

/// Guards against a lender that lends without a lease, more than it has, or the tokens of
/// a team that it doesn't know.
#[tokio::test]
async fn a_holder_lends_only_tokens_that_it_has() {
    let bench = bench(Quota { rate_per_s: 1_000.0, burst: BURST }).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let slow = Quota { rate_per_s: 0.01, burst: BURST };
    bench.views[0].write(|state| install(state, &bench.group, &bench.addresses, slow));
    let mut borrower = Front::dial(bench.addresses[0]).await;
    let mut lent = Vec::new();
    for team in [TEAM, "team-2", TEAM] {
        let items = vec![BorrowItem { team: quota::digest(team), more: 99 }];
        borrower.send(ask::Body::Borrow(Borrow { items, ..Borrow::default() })).await;
        let answer::Body::Loan(loan) = borrower.next().await else { panic!("expected a loan") };
        lent.push(loan.items.iter().map(|item| item.tokens).sum::<u32>());
    }
    assert!((1..=30).contains(&lent[0]), "{lent:?}");
    assert_eq!(lent[1..], [0, 0]);
    bench.stop();
}

/// Guards against a second attempt, at the other keeper, of an operation that was refused
/// because of a limit over all keepers.
#[test]
fn a_refusal_because_of_a_limit_is_final() {
    let refused = Attempt::ended(attempt::not_run(Reason::Quota));
    for class in [Class::Read, Class::Idempotent, Class::Write] {
        assert_eq!(attempt::retryable_end(&refused, class), None);
    }
}

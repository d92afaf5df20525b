//! Load and oracle against groups without a proxy.

use std::collections::HashMap;
use std::net::SocketAddr;

use base::prelude::*;
use load::bench::Snapshot;
use load::caller::{Journal, Outcome, Record};
use load::oracle::{self, Rows};
use load::{Baseline, Bench, Direct, Failure, Fault, Scenario, Settings, Verdict};
use slog::{Discard, Logger, o};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn finds_no_violation_on_primaries() {
    let log = Logger::root(Discard, o!());
    let mut bench = Direct::start(Scenario::Egbolt, 7, &log).await.unwrap();
    let settings = Settings {
        scenario: Scenario::Egbolt,
        fault: Fault::None,
        baseline: Baseline::None,
        length: Duration::from_secs(4),
        callers: 30,
        think: Duration::from_millis(20),
        seed: 7,
    };
    let verdict = load::run(&mut bench, &settings, &|_, _| {}).await.unwrap();
    assert!(verdict.acked > 0);
    // without a proxy, the overload phase exceeds the servers' limits
    let without_limits = Verdict { limit_exceeded: 0, ..verdict.clone() };
    assert!(!without_limits.has_violation(), "{verdict:#?}");
    bench.stop().await;
}

/// Lets callers connect to any server of a group, replicas included, whatever its
/// replication lag.
struct AnyServer(Direct);

impl Bench for AnyServer {
    async fn addresses(&self) -> Vec<Vec<SocketAddr>> {
        self.0.groups().iter().map(standin::Group::servers).collect()
    }

    async fn snapshot(&self, group: usize) -> Snapshot {
        self.0.snapshot(group).await
    }

    async fn inject(
        &mut self,
        fault: Fault,
        group: usize,
        round: usize,
    ) -> Result<(), Report<Failure>> {
        self.0.inject(fault, group, round).await
    }

    async fn heal(&mut self) -> Result<(), Report<Failure>> {
        self.0.heal().await
    }

    async fn stop(self) {
        self.0.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn detects_stale_reads_from_lagging_replicas() {
    let log = Logger::root(Discard, o!());
    let mut bench = AnyServer(Direct::start(Scenario::Lakeshore, 3, &log).await.unwrap());
    let settings = Settings {
        scenario: Scenario::Lakeshore,
        fault: Fault::None,
        baseline: Baseline::None,
        length: Duration::from_secs(4),
        callers: 30,
        think: Duration::from_millis(20),
        seed: 3,
    };
    let verdict = load::run(&mut bench, &settings, &|_, _| {}).await.unwrap();
    assert!(verdict.ryw_violations > 0 && verdict.stale_beyond_age > 0, "{verdict:#?}");
    assert!(verdict.errors.contains_key("25006") && verdict.replica_read_share > 0.0);
    assert_eq!((verdict.acked_lost, verdict.doubled, verdict.not_run_but_ran), (0, 0, 0));
    bench.stop().await;
}

fn record(id: &str, outcome: Outcome) -> Record {
    Record { id: id.to_owned(), outcome, payment: id.starts_with('p') }
}

#[test]
fn reports_each_kind_of_violation() {
    let records = vec![
        record("kept", Outcome::Acked),
        record("lost", Outcome::Acked),
        record("ran", Outcome::NotRun),
        record("skipped", Outcome::NotRun),
        record("twice", Outcome::Acked),
        record("open", Outcome::Unknown),
        record("paid", Outcome::Acked),
    ];
    let journal = Journal { records, acked_counter: 5, session: 3, ..Journal::default() };
    let ran = [("kept", 1), ("ran", 1), ("twice", 2), ("paid", 1)];
    let rows = Rows {
        requests: ran.map(|(id, count)| (id.to_owned(), count)).into_iter().collect(),
        counters: HashMap::from([(3, 4)]),
        paid: 0,
    };
    let mut verdict = Verdict::default();
    oracle::check(&rows, std::iter::once(&journal), &mut verdict);
    assert_eq!((verdict.acked, verdict.acked_lost), (4, 2));
    assert_eq!((verdict.not_run_but_ran, verdict.doubled), (1, 1));
    assert_eq!(verdict.torn_transactions, 1);
    assert!(verdict.has_violation());
}

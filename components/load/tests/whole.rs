//! The consistency guarantees on entries, control members and groups together,
//! under load and faults.

use base::prelude::*;
use load::{Baseline, Bench, Fault, Proxied, Scenario, Settings, Verdict};
use slog::{Discard, Logger, o};

// long enough for the warm-up, one fault, the recovery from it and the overload phase
const LENGTH: Duration = Duration::from_secs(11);

async fn run(scenario: Scenario, fault: Fault, seed: u64) -> Verdict {
    let log = Logger::root(Discard, o!());
    let mut bench = Proxied::start(scenario, seed, &log).await.unwrap();
    let settings = Settings {
        scenario,
        fault,
        baseline: Baseline::None,
        length: LENGTH,
        callers: 30,
        think: Duration::from_millis(100),
        seed,
    };
    let verdict = load::run(&mut bench, &settings, &|_, _| {}).await.unwrap();
    bench.stop().await;
    verdict
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keeps_its_guarantees_when_a_primary_crashes() {
    let verdict = run(Scenario::Lakeshore, Fault::PrimaryCrash, 21).await;
    assert!(!verdict.has_violation(), "{verdict:#?}");
    assert!(verdict.acked > 0 && verdict.faults > 0, "{verdict:#?}");
    assert!(verdict.terms.iter().any(|term| *term > 1), "{verdict:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keeps_its_guarantees_under_concurrent_faults() {
    let verdict = run(Scenario::Egbolt, Fault::Double, 22).await;
    assert!(!verdict.has_violation(), "{verdict:#?}");
    assert!(verdict.acked > 0 && verdict.faults > 0, "{verdict:#?}");
}

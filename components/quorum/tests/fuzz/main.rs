//! Fuzz test of replicas under message loss, duplication and reordering, crashes
//! that drop unsynced writes, disks of 1 to 800 ms a sync, network partitions, clocks of different rates,
//! membership changes and lost disks. An oracle keeps the list of committed
//! entries, against which all replicas are checked.
//!
//! `TREFOIL_FUZZ_SCHEDULES` sets the number of schedules. `TREFOIL_FUZZ_SEED` runs
//! only the schedule of the seed that a failure reported.

mod disks;
mod oracle;
mod schedule;
mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering};

use quorum::Flaw;

/// Number of schedules, unless `TREFOIL_FUZZ_SCHEDULES` is set.
const SCHEDULES: u64 = 300;

/// Number of threads that share the schedules.
const THREADS: u64 = 4;

/// Number of schedules within which each flaw must be detected.
const FLAW_SCHEDULES: u64 = 3_000;

fn schedules() -> u64 {
    let value = std::env::var("TREFOIL_FUZZ_SCHEDULES").ok();
    value.map_or(SCHEDULES, |value| value.parse().expect("TREFOIL_FUZZ_SCHEDULES is a number"))
}

#[test]
fn log_is_consistent_under_faults() {
    if let Ok(seed) = std::env::var("TREFOIL_FUZZ_SEED") {
        let digits = seed.trim_start_matches("0x");
        schedule::run_seed(u64::from_str_radix(digits, 16).expect("a hexadecimal seed"), None);
        return;
    }
    let (schedules, start) = (schedules(), std::time::Instant::now());
    let steps = AtomicU64::new(0);
    let (acknowledged, confirmed) = (AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let (steps, acknowledged, confirmed) = (&steps, &acknowledged, &confirmed);
            scope.spawn(move || {
                for seed in (thread..schedules).step_by(THREADS as usize) {
                    let summary = schedule::run(seed, None);
                    steps.fetch_add(summary.steps, Ordering::Relaxed);
                    acknowledged.fetch_add(summary.acknowledged, Ordering::Relaxed);
                    confirmed.fetch_add(summary.confirmed, Ordering::Relaxed);
                }
            });
        }
    });
    println!(
        "{schedules} schedules, {} steps, {} proposals acknowledged, {} reads confirmed, {:.1} s",
        steps.load(Ordering::Relaxed),
        acknowledged.load(Ordering::Relaxed),
        confirmed.load(Ordering::Relaxed),
        start.elapsed().as_secs_f64()
    );
    assert!(acknowledged.into_inner() > schedules, "too few proposals were acknowledged");
    assert!(confirmed.into_inner() > schedules, "too few reads were confirmed");
}

/// Runs schedules with a flaw until one fails, and checks that the failure has one
/// of the reasons expected for the flaw.
fn assert_detected(flaw: Flaw, reasons: &[&str]) {
    for seed in 0..FLAW_SCHEDULES {
        let run = AssertUnwindSafe(|| schedule::run(seed, Some(flaw)));
        let Err(failure) = catch_unwind(run) else { continue };
        let reason = failure.downcast_ref::<String>().cloned().unwrap_or_default();
        println!("{flaw} is detected at seed {seed}: {reason}");
        assert!(reasons.iter().any(|known| reason.contains(known)), "{reason}");
        return;
    }
    panic!("{flaw} was not detected in {FLAW_SCHEDULES} schedules");
}

/// Parts of the failure messages that report a lost or replaced committed entry, or
/// two leaders in one term.
const SAFETY_FAILURES: [&str; 4] = ["changed", "two leaders", "differs", "past a gap"];

#[test]
fn finds_messages_sent_before_the_sync() {
    assert_detected(Flaw::Unsynced, &SAFETY_FAILURES);
}

#[test]
fn finds_learners_counted_towards_a_quorum() {
    assert_detected(Flaw::Learner, &SAFETY_FAILURES);
}

#[test]
fn finds_a_missing_pre_vote() {
    assert_detected(Flaw::NoPreVote, &["moved the term"]);
}

#[test]
fn finds_reads_without_a_quorum() {
    assert_detected(Flaw::LocalRead, &["a read saw"]);
}

#[test]
fn finds_commits_of_older_terms() {
    assert_detected(Flaw::OldTerm, &SAFETY_FAILURES);
}

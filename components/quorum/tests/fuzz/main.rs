//! Members under loss, repetition, reordering, crashes with unsynced writes
//! dropped, splits, clocks of different rates, changes of membership and lost
//! disks, against a plain list of committed entries.
//!
//! `TREFOIL_FUZZ_SCHEDULES` sets how many schedules run, and `TREFOIL_FUZZ_SEED`
//! runs the one of a seed that a failure named.

mod oracle;
mod schedule;
mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering};

use quorum::Flaw;

/// Schedules of a run in CI.
const SCHEDULES: u64 = 300;

/// Threads that share the schedules.
const THREADS: u64 = 4;

/// Schedules within which each flaw must show.
const FLAW_SCHEDULES: u64 = 3_000;

fn schedules() -> u64 {
    let set = std::env::var("TREFOIL_FUZZ_SCHEDULES").ok();
    set.map_or(SCHEDULES, |set| set.parse().expect("TREFOIL_FUZZ_SCHEDULES is a number"))
}

#[test]
fn holds_whatever_happens() {
    if let Ok(seed) = std::env::var("TREFOIL_FUZZ_SEED") {
        let digits = seed.trim_start_matches("0x");
        schedule::run_seed(u64::from_str_radix(digits, 16).expect("a seed"), None);
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
                    let done = schedule::run(seed, None);
                    steps.fetch_add(done.steps, Ordering::Relaxed);
                    acknowledged.fetch_add(done.acknowledged, Ordering::Relaxed);
                    confirmed.fetch_add(done.confirmed, Ordering::Relaxed);
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
    assert!(acknowledged.into_inner() > schedules, "too little was acknowledged to mean much");
    assert!(confirmed.into_inner() > schedules, "too little was confirmed to mean much");
}

/// Runs schedules of a flawed member until one fails, for the reason that the
/// flaw must show by.
fn finds(flaw: Flaw, reasons: &[&str]) {
    for seed in 0..FLAW_SCHEDULES {
        let run = AssertUnwindSafe(|| schedule::run(seed, Some(flaw)));
        let Err(failure) = catch_unwind(run) else { continue };
        let reason = failure.downcast_ref::<String>().cloned().unwrap_or_default();
        println!("{flaw} shows at seed {seed}: {reason}");
        assert!(reasons.iter().any(|known| reason.contains(known)), "{reason}");
        return;
    }
    panic!("{flaw} did not show in {FLAW_SCHEDULES} schedules");
}

const LOST: [&str; 4] = ["changed", "two leaders", "differs", "past a gap"];

#[test]
fn finds_answers_before_the_disk() {
    finds(Flaw::Unsynced, &LOST);
}

#[test]
fn finds_learners_that_count() {
    finds(Flaw::Learner, &LOST);
}

#[test]
fn finds_a_missing_pre_vote() {
    finds(Flaw::NoPreVote, &["moved the term"]);
}

#[test]
fn finds_reads_without_a_quorum() {
    finds(Flaw::LocalRead, &["a read saw"]);
}

#[test]
fn finds_commits_of_older_terms() {
    finds(Flaw::OldTerm, &LOST);
}

//! Runs random schedules from fixed seeds.
//!
//! `TREFOIL_FUZZ_SCHEDULES` sets the number of schedules, `TREFOIL_FUZZ_SEED`
//! repeats the schedule of one seed.

use std::sync::atomic::{AtomicU64, Ordering};

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;

/// Number of schedules, unless `TREFOIL_FUZZ_SCHEDULES` is set.
const SCHEDULES: u64 = 300;
/// Number of threads that run schedules concurrently.
const THREADS: usize = 4;
/// Number of random bytes from which a schedule draws its choices.
const BYTES: u64 = 24 << 10;

/// Result of a schedule: the violation that its checks found, if any.
pub type Outcome<V> = std::result::Result<(), V>;

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Runs the schedule of one seed.
pub fn once<V>(
    seed: u64,
    mut property: impl FnMut(&mut Unstructured<'_>) -> Result<Outcome<V>>,
) -> Outcome<V> {
    let mut found = Ok(());
    let run = |u: &mut Unstructured<'_>| {
        found = property(u)?;
        Ok(())
    };
    arbtest(run).seed((seed << 32) | BYTES).run();
    found
}

/// Runs all schedules; panics with the seed of the first one that fails.
pub fn run<V: std::fmt::Debug>(
    property: impl Fn(&mut Unstructured<'_>) -> Result<Outcome<V>> + Sync,
) {
    let check = |seed: u64| {
        if let Err(violation) = once(seed, &property) {
            panic!("seed {seed}: {violation:?}");
        }
    };
    if let Some(seed) = setting("TREFOIL_FUZZ_SEED") {
        return check(seed);
    }
    let schedules = setting("TREFOIL_FUZZ_SCHEDULES").unwrap_or(SCHEDULES);
    let next = AtomicU64::new(1);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > schedules {
                        return;
                    }
                    check(seed);
                }
            });
        }
    });
}

/// Seed of the first of `schedules` schedules that fails, if any.
pub fn find<V>(
    schedules: u64,
    property: impl Fn(&mut Unstructured<'_>) -> Result<Outcome<V>>,
) -> Option<u64> {
    (1..=schedules).find(|&seed| once(seed, &property).is_err())
}

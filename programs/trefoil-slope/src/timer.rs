//! Measures the time per call as the median of several rounds.

use std::time::{Duration, Instant};

const ROUNDS: usize = 7;

/// Runs `work` in several rounds of `calls` calls each and returns the median
/// over the rounds of the mean time per call.
pub(crate) fn median(calls: u32, mut work: impl FnMut()) -> Duration {
    let mut rounds = [Duration::ZERO; ROUNDS];
    for round in &mut rounds {
        let start = Instant::now();
        for _ in 0..calls {
            work();
        }
        *round = start.elapsed() / calls;
    }
    rounds.sort_unstable();
    rounds[ROUNDS / 2]
}

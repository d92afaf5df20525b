//! Failures and run times of a server, compared with a peer.

use base::prelude::*;
use pace::{Gauge, Usual};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RUN: Duration = Duration::from_millis(14);

/// Lets two servers answer a read each every 30 ms, with the given shares of failures, and
/// returns how often the first one fails more than the second.
fn excesses(shares: [f64; 2], reads: u64, seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut gauges = [Gauge::default(), Gauge::default()];
    let found = (1..=reads).filter(|turn| {
        let now = Instant::from_millis(10_000 + turn * 30);
        for (gauge, share) in gauges.iter_mut().zip(shares) {
            if rng.random_bool(share) {
                gauge.on_failed(now);
            } else {
                gauge.on_answered(now, RUN, 1.0);
            }
        }
        gauges[0].fails_more_than(now, &gauges[1])
    });
    found.count()
}

/// Failure: a server fails 40% of its reads while its health check passes.
#[test]
fn a_server_that_fails_many_reads_is_noticed_within_a_second_or_two() {
    let noticed = |reads| (0..50).filter(|seed| excesses([0.4, 0.0], reads, *seed) > 0).count();
    let (one, two) = (noticed(33), noticed(66));
    assert!(one >= 45 && two == 50, "{one} within one second, {two} within two");
}

/// Load: callers cause errors on all servers alike.
#[test]
fn servers_that_fail_alike_are_rarely_told_apart() {
    for share in [0.02, 0.1, 0.3, 0.6, 0.95] {
        let found: usize = (0..20).map(|seed| excesses([share, share], 500, seed)).sum();
        // of 10,000 comparisons
        assert!(found <= 300, "{share}: {found}");
    }
}

/// Failure: a server on probation answers well, fails again, and answers well.
#[test]
fn a_probation_ends_after_successes_in_a_row_and_lasts_longer_each_time() {
    let mut gauge = Gauge::default();
    let mut now = Instant::from_millis(10_000);
    let mut lengths = Vec::new();
    for _ in 0..3 {
        gauge.eject(now);
        let mut count = 0;
        while gauge.is_on_probation() {
            if count == 3 {
                gauge.on_failed(now);
            }
            count += 1;
            now += Duration::from_millis(50);
            gauge.on_answered(now, RUN, 1.0);
        }
        lengths.push(count);
    }
    assert!(lengths[0] > 6 && lengths.is_sorted() && lengths[2] > 2 * lengths[0], "{lengths:?}");
}

/// Load: 3% of the statements take 7 times as long, which two in a row rarely do.
#[test]
fn a_single_slow_statement_does_not_make_a_server_slow() {
    let mut gauge = Gauge::default();
    for _ in 0..10 {
        gauge.observe(RUN, 1.0);
    }
    gauge.observe(RUN * 7, 7.0);
    assert!((gauge.slowness() - 1.0).abs() < 0.01);
    gauge.observe(RUN * 7, 7.0);
    assert!(gauge.slowness() > 2.0);
}

/// Load: a service with long statements and one with short ones share a server.
#[test]
fn run_times_are_compared_with_those_of_the_same_kind() {
    let [mut short, mut long] = [Usual::default(); 2];
    short.learn(Duration::from_millis(6));
    long.learn(Duration::from_millis(34));
    assert!((short.slowness(Duration::from_millis(6)) - 1.0).abs() < 0.01);
    assert!((long.slowness(Duration::from_millis(68)) - 2.0).abs() < 0.01);
}

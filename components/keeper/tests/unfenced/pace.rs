//! Slow start: servers that are cold after a start, an outage or a promotion.

use base::prelude::*;
use keeper::Flaw;

use crate::servers::{Cold, World};

/// Reads per second of a small, a usual and a large load: 0.18, 0.35 and 0.6 of what the
/// replicas can run. With more, the other servers can't do the work of a cold one.
const LOADS: [f64; 3] = [100.0, 200.0, 340.0];

/// Slow start by answers, and the baselines.
const BY_ANSWERS: (bool, Option<Flaw>) = (true, None);
const NO_SLOW_START: (bool, Option<Flaw>) = (false, None);
const MOST_FREE: (bool, Option<Flaw>) = (false, Some(Flaw::MostFree));
const FIXED_RAMP: (bool, Option<Flaw>) = (true, Some(Flaw::FixedRamp));

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Reads while a replica that has restarted is cold, and after it.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    /// Mean time of reads before, in milliseconds, and the highest mean over 500 ms while the
    /// server is cold.
    normal: f64,
    worst: f64,
    /// Share of the reads that the server answered in the second that begins one second
    /// after it is warm again.
    share: f64,
}

fn restart(
    (slow_start, flaw): (bool, Option<Flaw>),
    load: f64,
    cold: Cold,
    millis: u64,
) -> Outcome {
    let mut world = World::new(1, slow_start, flaw);
    world.reads = load;
    world.run(2_000);
    let start = world.now;
    world.servers[2].cold = Some((start + ms(millis), cold));
    world.restart(2);
    world.run(millis);
    let end = world.now;
    world.run(2_000);
    Outcome {
        normal: world.mean(true, start - ms(2_000), start),
        worst: world.worst(true, start, end),
        share: world.share(2, end + ms(1_000), end + ms(2_000)),
    }
}

const COLD: [Cold; 5] = [
    Cold::Flat(1.6),
    Cold::Flat(3.0),
    Cold::Flat(10.0),
    Cold::Contended(3.0),
    Cold::Contended(10.0),
];

/// Load or failure: a replica restarts and is 1.6 to 10 times slower for 0.5 to 20 s.
#[test]
fn reads_take_at_most_twice_their_time_while_a_replica_is_cold_and_it_is_used_within_a_second() {
    for load in LOADS {
        for cold in COLD {
            for millis in [500, 5_000, 20_000] {
                let outcome = restart(BY_ANSWERS, load, cold, millis);
                let what = format!("{load}/s, {cold:?} for {millis} ms: {outcome:?}");
                assert!(outcome.worst <= 2.0 * outcome.normal, "{what}");
                assert!((0.4..=0.6).contains(&outcome.share), "{what}");
            }
        }
    }
}

/// Load or failure: the same restarts, with each baseline.
#[test]
fn without_windows_that_follow_the_answers_reads_take_longer_than_that() {
    for baseline in [NO_SLOW_START, MOST_FREE, FIXED_RAMP] {
        let outcomes = LOADS.map(|load| restart(baseline, load, Cold::Contended(10.0), 5_000));
        let found = outcomes.iter().any(|outcome| outcome.worst > 2.0 * outcome.normal);
        assert!(found, "{baseline:?}: {outcomes:?}");
    }
}

/// Load or failure: a replica restarts and answers as before at once.
#[test]
fn a_replica_that_answers_as_before_has_its_full_share_within_a_second() {
    for load in LOADS {
        let mut world = World::new(2, true, None);
        world.reads = load;
        world.run(1_000);
        let start = world.now;
        world.restart(2);
        world.run(2_000);
        let share = world.share(2, start + ms(500), start + ms(1_500));
        assert!(share >= 0.4, "{load}/s: {share}");
        let ramp = world.ramp(2, start);
        assert!(ramp.is_some_and(|ramp| ramp <= ms(1_000)), "{load}/s: {ramp:?}");
    }
}

/// Load or failure: a replica restarts; 3% of the statements on each server take 7 times
/// as long, which says nothing about the replica.
#[test]
fn slow_single_statements_do_not_hold_a_window_back() {
    for seed in 0..10 {
        let mut world = World::new(seed, true, None);
        for server in &mut world.servers {
            server.has_tail = true;
        }
        world.run(2_000);
        let start = world.now;
        world.restart(2);
        world.run(3_000);
        let share = world.share(2, start + ms(1_000), start + ms(3_000));
        assert!(share >= 0.4, "seed {seed}: {share}");
    }
}

/// Load or failure: a replica refuses all connections for 5 s, and is then cold.
#[test]
fn a_replica_that_refused_connections_gets_work_again_through_a_window() {
    for (cold, limit) in [(1.0, 1.5), (3.0, 2.0), (10.0, 2.0)] {
        let mut world = World::new(3, true, None);
        let start = world.now;
        let normal = world.mean(true, start - ms(1_000), start);
        world.servers[2].refuses_until = start + ms(5_000);
        world.servers[2].cold = Some((start + ms(8_000), Cold::Contended(cold)));
        world.break_connections(2);
        world.run(9_500);
        let from = start + ms(5_000);
        let worst = world.worst(true, from, start + ms(8_000));
        assert!(worst <= limit * normal, "{cold}: {worst} of {normal}");
        // a keeper tries to connect at least once a second
        let share = world.share(2, start + ms(8_500), start + ms(9_500));
        assert!(share >= 0.35, "{cold}: {share}");
        assert!(world.has_ramped(2, from));
    }
}

/// Load or failure: a replica is promoted and is cold under the writes of both keepers.
#[test]
fn a_cold_primary_takes_its_writes_no_later_than_without_slow_start() {
    for cold in [Cold::Flat(1.0), Cold::Flat(1.6), Cold::Contended(3.0), Cold::Contended(10.0)] {
        let [with, without] = [true, false].map(|slow_start| {
            let mut world = World::new(1, slow_start, None);
            let start = world.now;
            world.servers[1].cold = Some((start + ms(5_000), cold));
            world.promote(1);
            world.run(6_000);
            // the writes that ran on the old primary end in doubt
            let writes = world.answered(false, start + ms(50), world.now);
            assert!(writes.iter().all(|write| !write.failed));
            (world.mean(false, start, start + ms(5_000)), world.has_ramped(1, start))
        });
        assert!(with.0 <= without.0 * 1.1 + 0.5, "{cold:?}: {with:?} {without:?}");
        assert!(with.1 && !without.1, "{cold:?}: {with:?} {without:?}");
    }
}

/// Load or failure: both replicas restart at the same time and are cold, so that no peer can
/// do their work.
#[test]
fn replicas_that_are_cold_at_once_serve_as_many_reads_as_without_slow_start() {
    for cold in [Cold::Flat(1.6), Cold::Flat(3.0), Cold::Contended(3.0)] {
        let [with, without] = [true, false].map(|slow_start| {
            let mut world = World::new(1, slow_start, None);
            let start = world.now;
            for server in [1, 2] {
                world.servers[server].cold = Some((start + ms(3_000), cold));
                world.restart(server);
            }
            world.run(5_000);
            let reads = world.answered(true, start, world.now);
            assert!(reads.iter().all(|read| !read.failed));
            let late = world.mean(true, start + ms(4_000), start + ms(5_000));
            assert!(late <= 16.0, "{cold:?}: {late} ms after the replicas are warm");
            world.mean(true, start, start + ms(3_000))
        });
        assert!(with <= without * 1.25, "{cold:?}: {with} {without}");
    }
}

/// Load or failure: a new primary refuses 60% of its writes, which come in a burst. A window
/// that ignores refusals is found.
#[test]
fn refusals_hold_a_window_back_at_once() {
    let [windows, broken] = [None, Some(Flaw::NoBackoff)].map(|flaw| {
        let mut world = World::new(4, true, flaw);
        world.servers[1].refusing = 0.6;
        world.writes = 400.0;
        let start = world.now;
        world.promote(1);
        world.run(300);
        let windows = world.paces.iter().filter(|(at, on, ..)| *at > start && *on == 1);
        windows.map(|(_, _, _, now)| now.window.unwrap_or(u32::MAX)).max().unwrap_or(0)
    });
    assert!(windows <= crate::servers::SLOTS, "{windows}");
    assert_eq!(broken, u32::MAX, "slow start ends in spite of the refusals");
}

//! Tests of the order of priorities, objectives and flows.

use std::collections::BTreeSet;

use admit::{LOWER_SHARE_DIVISOR, Place, Queue, Rank, Schedule, Verdict};
use arbtest::arbtest;
use base::prelude::*;

const RUN: Duration = Duration::from_millis(10);

/// Number of seeds to run.
const SEEDS: u64 = 300;

/// Size in bytes of the random input of one seed; `arbtest` takes it from the low 32 bits
/// of its seed.
const BYTES: u64 = 4_096;

fn rank(priority: u32) -> Rank {
    Rank { priority, team: 0 }
}

fn place(priority: u32, flow: u32) -> Place<u32> {
    let rank = rank(priority);
    Place { rank, flow, weight: 1, until: None, latest_start: None, work: RUN }
}

fn with_objective(priority: u32, flow: u32, until: u64) -> Place<u32> {
    let until = Instant::from_millis(until);
    Place { until: Some(until), latest_start: Some(until - RUN), ..place(priority, flow) }
}

/// Takes items until none is left or `most` are taken.
fn take(schedule: &mut Schedule<u32, u32>, now: u64, most: usize) -> Vec<u32> {
    let mut taken = Vec::new();
    schedule.offer(Instant::from_millis(now), |item| {
        if taken.len() == most {
            return Verdict::Stop;
        }
        taken.push(item);
        Verdict::Take
    });
    taken
}

#[test]
fn a_higher_priority_goes_first_and_an_earlier_objective_first_within_a_flow() {
    let mut schedule = Schedule::new();
    schedule.push(with_objective(1, 1, 500), 1);
    schedule.push(with_objective(0, 2, 400), 2);
    schedule.push(with_objective(0, 2, 300), 3);
    assert_eq!(take(&mut schedule, 0, 3), [3, 2, 1]);
}

#[test]
fn an_item_that_lost_its_objective_goes_after_all_that_can_meet_theirs() {
    let mut schedule = Schedule::new();
    schedule.push(with_objective(0, 1, 100), 1);
    schedule.push(with_objective(1, 2, 900), 2);
    schedule.push(with_objective(2, 3, 900), 3);
    assert_eq!(take(&mut schedule, 95, 3), [2, 3, 1]);
}

#[test]
fn the_priority_of_a_team_counts_among_equal_priorities_only() {
    let mut schedule = Schedule::new();
    for (item, (priority, team)) in [(1, 0), (0, 5), (0, 2)].into_iter().enumerate() {
        let rank = Rank { priority, team };
        schedule.push(Place { rank, ..place(0, 1) }, item as u32);
    }
    assert_eq!(take(&mut schedule, 0, 3), [2, 1, 0]);
}

#[test]
fn lower_priorities_get_their_share_under_lasting_load() {
    let mut schedule = Schedule::new();
    let mut served = [0_u32; 3];
    for item in 0..3_000 {
        for priority in 0..3 {
            schedule.push(place(priority, priority), item * 3 + priority);
        }
        for taken in take(&mut schedule, u64::from(item), 1) {
            served[taken as usize % 3] += 1;
        }
    }
    let lower = f64::from(served[1] + served[2]) / 3_000.0;
    let expected = 1.0 / f64::from(LOWER_SHARE_DIVISOR);
    assert!((lower - expected).abs() < 0.02, "{served:?}");
    assert!(served[1].abs_diff(served[2]) <= 2, "{served:?}");
}

#[test]
fn a_skipped_flow_blocks_no_other_flow_and_no_other_priority() {
    let mut schedule = Schedule::new();
    for item in 0..3 {
        schedule.push(place(0, 1), item);
        schedule.push(place(0, 2), 10 + item);
        schedule.push(place(1, 1), 20 + item);
    }
    let mut offered = BTreeSet::new();
    let mut taken = Vec::new();
    schedule.offer(Instant::ZERO, |item| {
        offered.insert(item);
        if item < 10 {
            return Verdict::Skip;
        }
        taken.push(item);
        Verdict::Take
    });
    taken.sort_unstable();
    assert_eq!(taken, [10, 11, 12, 20, 21, 22]);
    assert!(offered.contains(&0) && !offered.contains(&1), "only the first of a skipped flow");
    assert_eq!(take(&mut schedule, 0, 9), [0, 1, 2]);
}

#[test]
fn the_wait_counts_higher_priorities_and_a_fair_part_of_other_flows() {
    let now = Instant::ZERO;
    let wait = |schedule: &Schedule<u32, u32>, item| {
        schedule.wait(now, item, Duration::ZERO, 2).unwrap().as_millis()
    };
    let mut schedule = Schedule::new();
    for item in 0..20 {
        schedule.push(place(0, 1), item);
    }
    schedule.push(place(0, 2), 100);
    // of the 20 items of the other flow, one has its turn before
    assert_eq!(wait(&schedule, 100), 5);
    assert_eq!(wait(&schedule, 19), 100);
    schedule.push(place(1, 1), 200);
    // 210 ms of work take 117 ms on two slots less the share of this priority, but one run
    // takes only 50 ms on that share
    assert_eq!(wait(&schedule, 200), 50);
    schedule.push(place(1, 1), 201);
    assert_eq!(wait(&schedule, 201), 100);
}

/// All items of equal rank without objectives must be served exactly as by a fair queue.
#[test]
fn items_of_one_rank_without_objectives_are_served_as_by_a_fair_queue() {
    for seed in 0..SEEDS {
        arbtest(|u| {
            let (mut schedule, mut queue) = (Schedule::new(), Queue::new());
            for item in 0..u.int_in_range(0..=150_u32)? {
                let flow = u.int_in_range(0..=4_u32)?;
                let weight = flow * 3 + 1;
                match u.int_in_range(0..=3)? {
                    0 | 1 => {
                        schedule.push(Place { weight, ..place(0, flow) }, (flow, item));
                        queue.push(flow, weight, (flow, item));
                    }
                    2 => {
                        let run = Duration::from_micros(u.int_in_range(0..=30_000)?);
                        schedule.charge(rank(0), flow, run);
                        queue.charge(flow, run);
                    }
                    _ => {
                        let most = u.int_in_range(0..=5_usize)?;
                        let decide = |taken: &mut Vec<_>, (other, item): (u32, u32)| {
                            if other == flow {
                                return Verdict::Skip;
                            }
                            if taken.len() == most {
                                return Verdict::Stop;
                            }
                            taken.push((other, item));
                            Verdict::Take
                        };
                        let (mut first, mut second) = (Vec::new(), Vec::new());
                        schedule.offer(Instant::ZERO, |item| decide(&mut first, item));
                        queue.offer(|item| decide(&mut second, item));
                        assert_eq!(first, second);
                    }
                }
                assert_eq!(schedule.len(), queue.len());
            }
            Ok(())
        })
        .seed((seed << 32) | BYTES)
        .run();
    }
}

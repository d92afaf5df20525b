//! Tests of the shares that services get under contention.

use std::collections::BTreeMap;

use admit::{Queue, Verdict};
use arbtest::arbtest;

const ROUNDS: u32 = 200_000;

/// Number of seeds to run.
const SEEDS: u64 = 300;

/// Size in bytes of the random input of one seed; `arbtest` takes it from the low 32 bits
/// of its seed.
const BYTES: u64 = 4_096;

fn shares(weights: &[u32], cost_micros: &[u64]) -> Vec<f64> {
    let mut queue = Queue::new();
    for (key, weight) in weights.iter().enumerate() {
        for item in 0..4 {
            queue.push(key, *weight, (key, item));
        }
    }
    let mut time = vec![0; weights.len()];
    for round in 0..ROUNDS {
        let mut taken = None;
        queue.offer(|(key, _)| {
            if taken.is_some() {
                return Verdict::Stop;
            }
            taken = Some(key);
            Verdict::Take
        });
        let key = taken.expect("each flow is always backlogged");
        time[key] += cost_micros[key];
        queue.push(key, weights[key], (key, round + 4));
        queue.charge(key, std::time::Duration::from_micros(cost_micros[key]));
    }
    let all: u64 = time.iter().sum();
    time.iter().map(|time| *time as f64 / all as f64).collect()
}

#[test]
fn shares_follow_weights_a_thousandfold_apart() {
    let weights = [1, 10, 100, 1_000];
    let found = shares(&weights, &[1_000; 4]);
    for (weight, share) in weights.iter().zip(found) {
        let expected = f64::from(*weight) / 1_111.0;
        assert!(
            (share - expected).abs() < expected * 0.1,
            "weight {weight} got {share}, expected {expected}"
        );
    }
}

#[test]
fn slow_statements_do_not_buy_a_larger_share() {
    let found = shares(&[1, 1, 8], &[1_000, 20_000, 5_000]);
    for (share, expected) in found.iter().zip([0.1, 0.1, 0.8]) {
        assert!((share - expected).abs() < expected * 0.1, "got {share}, expected {expected}");
    }
}

#[test]
fn an_idle_service_earns_no_credit() {
    let mut queue = Queue::new();
    for item in 0..1_000 {
        queue.push(0, 1, item);
    }
    let mut left = 500;
    queue.offer(|_| {
        left -= 1;
        if left == 0 { Verdict::Stop } else { Verdict::Take }
    });
    for item in 0..100 {
        queue.push(1, 1, 10_000 + item);
    }
    let mut late = 0;
    let mut seen = 0;
    queue.offer(|item| {
        seen += 1;
        late += u32::from(item >= 10_000);
        if seen == 100 { Verdict::Stop } else { Verdict::Take }
    });
    assert!((45..=55).contains(&late), "the late service got {late} of 100");
}

#[test]
fn items_of_a_flow_keep_their_order_and_none_is_lost() {
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut queue = Queue::new();
            let mut oracle: BTreeMap<u8, Vec<u32>> = BTreeMap::new();
            let mut count = 0;
            for step in 0..u.int_in_range(0..=200_u32)? {
                let key = u.int_in_range(0..=5_u8)?;
                if u.ratio(2, 3)? {
                    queue.push(key, u.int_in_range(1..=1_000)?, (key, step));
                    oracle.entry(key).or_default().push(step);
                    count += 1;
                } else if u.arbitrary()? {
                    let skip = u.int_in_range(0..=5_u8)?;
                    let mut most = u.int_in_range(0..=4)?;
                    queue.offer(|(key, step)| {
                        if key == skip {
                            return Verdict::Skip;
                        }
                        if most == 0 {
                            return Verdict::Stop;
                        }
                        most -= 1;
                        count -= 1;
                        assert_eq!(oracle.get_mut(&key).map(|items| items.remove(0)), Some(step));
                        Verdict::Take
                    });
                } else if let Some(items) = oracle.get_mut(&key).filter(|items| !items.is_empty()) {
                    let step = items.remove(u.choose_index(items.len())?);
                    assert!(queue.remove(key, (key, step)));
                    count -= 1;
                }
                assert_eq!(queue.len(), count);
            }
            Ok(())
        })
        .seed((seed << 32) | BYTES)
        .run();
    }
}

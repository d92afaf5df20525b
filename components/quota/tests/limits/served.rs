//! Operations below a limit are served, wherever they arrive.

use base::prelude::*;
use config::Quota;
use quota::Flaw;
use rand::RngExt;

use crate::world::{World, name};

/// Share of the allowed operations that must be served.
const SERVED: f64 = 0.97;

const WARM: Instant = Instant::from_millis(5_000);

/// Number of operations that are allowed in a run, at least.
const ALLOWED: f64 = 1_000.0;

/// Where the operations of the team arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    Even,
    OneHost,
    TwoHosts,
    /// All operations move to another host every two seconds.
    Moving,
}

const PLACES: [Place; 4] = [Place::Even, Place::OneHost, Place::TwoHosts, Place::Moving];

/// Number of operations that a single bucket for all hosts allows.
fn allowed(world: &World, quota: Quota, end: Instant) -> usize {
    let (mut level, mut last, mut allowed) = (quota.burst, Instant::ZERO, 0);
    for operation in &world.operations {
        let gain = quota.rate_per_s * operation.at.since(last).as_secs_f64();
        level = (level + gain).min(quota.burst.max(1.0));
        last = operation.at;
        if level >= 1.0 {
            level -= 1.0;
            allowed += usize::from((WARM..end).contains(&operation.at));
        }
    }
    allowed
}

/// Offers `factor` times the limit, and returns the share of the allowed operations that
/// are served.
fn served(hosts: usize, quota: Quota, factor: f64, place: Place, flaw: Flaw) -> f64 {
    let mut world = World::new(hosts, 7, flaw);
    let team = name("team-1");
    let seconds = (ALLOWED / quota.rate_per_s).max(30.0);
    let end = WARM + Duration::from_secs_f64(seconds);
    world.commit(Some((0..hosts).collect()), Some(&[(team.as_str(), quota)]));
    world.load(end, &team, quota.rate_per_s * factor, |rng, at| match place {
        Place::Even => rng.random_range(0..hosts),
        Place::OneHost => 3 % hosts,
        Place::TwoHosts => rng.random_range(0..2),
        Place::Moving => (at.as_micros() / 2_000_000) as usize * 3 % hosts,
    });
    world.run(end);
    world.check_windows(&team);
    let (_, granted) = world.counts(&team, WARM, end);
    granted as f64 / allowed(&world, quota, end) as f64
}

fn check(hosts: usize, quotas: &[Quota], factors: &[f64]) {
    let mut poor = Vec::new();
    for &quota in quotas {
        for &factor in factors {
            for place in PLACES {
                let share = served(hosts, quota, factor, place, Flaw::None);
                if std::env::var_os("QUOTA_PRINT").is_some() {
                    println!("{hosts} hosts, {quota:?}, {factor} x, {place:?}: {share:.4}");
                }
                if share < SERVED {
                    poor.push(format!("{quota:?}, {factor} x, {place:?}: {share:.4}"));
                }
            }
        }
    }
    assert!(poor.is_empty(), "{}", poor.join("\n"));
}

const LARGE: Quota = Quota { rate_per_s: 300.0, burst: 150.0 };
const MIDDLE: Quota = Quota { rate_per_s: 30.0, burst: 30.0 };
const SMALL: Quota = Quota { rate_per_s: 3.0, burst: 6.0 };
const TIGHT: Quota = Quota { rate_per_s: 100.0, burst: 5.0 };

/// Guards against refusals below a limit, where its shares don't follow the demand.
#[test]
fn demand_below_the_limit_is_served_with_eight_holders() {
    check(8, &[LARGE, MIDDLE, SMALL, TIGHT], &[0.5, 0.9]);
}

/// Guards against shares that stay unused while the demand is far above the limit.
#[test]
fn the_whole_limit_is_served_under_overload_with_eight_holders() {
    check(8, &[LARGE, MIDDLE, SMALL, TIGHT], &[1.5, 7.5]);
}

/// Guards against parameters that fit only few keeper hosts.
#[test]
fn the_limit_is_served_at_27_keeper_hosts() {
    check(27, &[LARGE, MIDDLE, SMALL], &[0.9, 7.5]);
}

/// Proves that these tests detect a host that uses only its own share.
#[test]
fn without_loans_a_single_host_serves_only_its_share() {
    let share = served(8, MIDDLE, 7.5, Place::OneHost, Flaw::NeverBorrow);
    assert!(share < 0.2, "{share}");
}

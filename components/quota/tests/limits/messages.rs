//! The messages between hosts stay few.

use base::prelude::*;
use config::Quota;
use quota::Flaw;
use rand::RngExt;

use crate::world::{World, name};

const TEAMS: usize = 84;
const HOSTS: usize = 8;

/// Largest number of bytes that a host may send in a second.
const BYTES_PER_S: f64 = 1_000.0;

/// Operations of all teams per second.
const TOTAL: f64 = 1_075.0;

fn rates() -> Vec<f64> {
    let weight = |rank: usize| (rank as f64 + 1.0).powf(-1.2);
    let sum: f64 = (0..TEAMS).map(weight).sum();
    (0..TEAMS).map(|rank| TOTAL * weight(rank) / sum).collect()
}

/// Runs 84 teams whose operations arrive at `spread` hosts each, and returns the bytes
/// per second of the busiest host and the share of operations that were served, of those
/// allowed.
fn busiest(headroom: f64, hot: Option<usize>, spread: usize) -> (f64, f64) {
    let mut world = World::new(HOSTS, 11, Flaw::None);
    let names: Vec<_> = (0..TEAMS).map(|team| name(format!("team-{team}"))).collect();
    let limits: Vec<_> = names
        .iter()
        .zip(rates())
        .map(|(name, rate)| {
            let rate_per_s = rate * headroom;
            (name.as_str(), Quota { rate_per_s, burst: rate_per_s.max(4.0) })
        })
        .collect();
    world.commit(Some((0..HOSTS).collect()), Some(&limits));
    let (warm, end) = (Instant::from_millis(4_000), Instant::from_millis(14_000));
    for (team, rate) in rates().into_iter().enumerate() {
        let factor = if hot == Some(team) { 7.5 } else { 1.0 };
        world.load(end, &names[team], rate * factor, |rng, _| {
            (team + rng.random_range(0..spread)) % HOSTS
        });
    }
    world.run(warm);
    let before = world.bytes.clone();
    world.run(end);
    let sent = world.bytes.iter().zip(before).map(|(after, before)| after - before);
    let seconds = end.since(warm).as_secs_f64();
    let (mut allowed, mut served) = (0.0, 0.0);
    for (name, (_, quota)) in names.iter().zip(&limits) {
        let (arrived, granted) = world.counts(name, warm, end);
        allowed += (arrived as f64).min(quota.rate_per_s * seconds);
        served += granted as f64;
    }
    (sent.max().unwrap() as f64 / seconds, served / allowed)
}

fn check(headroom: f64, hot: Option<usize>, spread: usize) -> bool {
    let case = format!("headroom {headroom}, hot team {hot:?}, {spread} hosts for a team");
    let (bytes, served) = busiest(headroom, hot, spread);
    if std::env::var_os("QUOTA_PRINT").is_some() {
        println!("{case}: {bytes:.0} B/s, {served:.4} served");
    }
    let holds = bytes < BYTES_PER_S && served >= 0.97;
    if !holds {
        eprintln!("{case}: {bytes:.0} bytes per second, {served:.4} served");
    }
    holds
}

/// Guards against messages for each operation, at half of the limits.
#[test]
fn messages_of_84_teams_take_less_than_a_kilobyte_per_second() {
    let cases = [1, 3, HOSTS].map(|spread| check(2.0, None, spread));
    assert_eq!(cases, [true; 3]);
}

/// Guards against messages for each operation while all teams are near their limits.
#[test]
fn messages_of_84_teams_near_their_limits_take_less_than_a_kilobyte_per_second() {
    let cases = [1, HOSTS].map(|spread| check(1.2, None, spread));
    assert_eq!(cases, [true; 2]);
}

/// As above, with the callers of each team at three hosts.
#[test]
fn messages_of_84_teams_near_their_limits_at_three_hosts_take_less_than_a_kilobyte_per_second() {
    assert!(check(1.2, None, 3));
}

/// Guards against messages for each refused operation.
#[test]
fn a_team_far_over_its_limit_causes_few_messages() {
    let cases =
        [1, 3, HOSTS].map(|spread| check(2.0, Some(0), spread) & check(2.0, Some(40), spread));
    assert_eq!(cases, [true; 3]);
}

/// Guards against messages that keep idle buckets in step.
#[test]
fn inactive_teams_cause_no_messages() {
    let mut world = World::new(HOSTS, 5, Flaw::None);
    let quota = Quota { rate_per_s: 10.0, burst: 10.0 };
    let team = name("team-1");
    world.commit(Some((0..HOSTS).collect()), Some(&[(team.as_str(), quota)]));
    world.load(Instant::from_millis(3_000), &team, 20.0, |_, _| 0);
    world.run(Instant::from_millis(4_000));
    let before = world.bytes.clone();
    world.run(Instant::from_millis(60_000));
    assert!(before.iter().sum::<usize>() > 0);
    assert_eq!(world.bytes, before);
}

//! Single decisions: openings, evictions and the server of a read.

use std::time::Duration;

use arbtest::arbtest;
use base::prelude::Instant;
use base::rendezvous;
use pool::{Choice, Gain, Holding, Idle, Load, Usage, choose_victim, place, should_open, urgency};

const RUN: Duration = Duration::from_millis(14);
const OPENING: Duration = Duration::from_millis(12);

/// Number of seeds to run.
const SEEDS: u64 = 300;

/// Size in bytes of the random input of one seed; `arbtest` takes it from the low 32 bits
/// of its seed.
const BYTES: u64 = 256;

fn idle(conn: u32, team: u32, value: f64) -> Idle<u32, u32> {
    Idle { conn, team, since: Instant::from_millis(u64::from(conn)), value, awaited: false }
}

/// A team with `rate` requests per second for a minute.
fn usage(rate: u64) -> (Usage, Instant) {
    let mut usage = Usage::default();
    let mut now = Instant::from_millis(1_000);
    for _ in 0..60 * rate {
        now += Duration::from_micros(1_000_000 / rate);
        usage.record(now, 1.0);
    }
    (usage, now)
}

/// Guards against a rate that drifts, by which all values are wrong.
#[test]
fn the_rate_is_that_of_the_last_seconds() {
    let (usage, now) = usage(20);
    let rate = usage.rate(now);
    assert!((rate - 20.0).abs() < 1.0, "{rate}");
    assert!(usage.rate(now + Duration::from_mins(1)) < 0.1);
}

/// Guards against teams that collect connections which they rarely need all at once.
#[test]
fn each_further_connection_of_a_team_is_worth_less() {
    let (usage, now) = usage(30);
    let values: Vec<_> = (1..6).map(|held| usage.value(now, held, RUN)).collect();
    assert!(values.windows(2).all(|pair| pair[0] > pair[1]), "{values:?}");
    assert!(usage.value(now, 0, RUN) == 0.0);
}

/// Guards against requests of low priority that take the connections of urgent ones.
#[test]
fn requests_with_a_higher_priority_or_a_shorter_objective_weigh_more() {
    let millis = |objective| Some(Duration::from_millis(objective));
    assert!(urgency(0, millis(150)) > urgency(1, millis(150)));
    assert!(urgency(1, millis(250)) > urgency(1, millis(800)));
    assert!(urgency(0, Some(Duration::ZERO)).is_finite());
}

/// Guards against openings that take slot time although the team's own connections serve
/// the requests sooner, and against a team that can't use more than one connection.
#[test]
fn a_further_connection_is_opened_only_if_it_is_ready_sooner_than_the_present_ones() {
    let holding = |busy, opening| Holding { busy, opening };
    assert!(should_open(holding(0, 0), 1, RUN, OPENING));
    assert!(should_open(holding(1, 0), 1, RUN, OPENING), "14 ms are longer than 12 ms");
    assert!(!should_open(holding(2, 0), 1, RUN, OPENING));
    assert!(should_open(holding(2, 0), 4, RUN, OPENING));
    assert!(!should_open(holding(0, 1), 1, RUN, OPENING), "its connection is being opened");
}

/// Guards against a team with many short sessions that closes the connections of all others.
#[test]
fn a_further_connection_of_a_team_closes_none_that_is_worth_as_much() {
    let others = [idle(1, 1, 0.5), idle(2, 2, 0.4)];
    assert_eq!(choose_victim(9, Gain::Further(0.5), others), None);
    assert_eq!(choose_victim(9, Gain::Further(1.0), others), Some(2));
    assert_eq!(choose_victim(9, Gain::Required, others), Some(2));
}

/// Guards against the close of a connection whose request is about to run, or of the own one.
#[test]
fn neither_an_awaited_connection_nor_one_of_the_same_team_is_closed() {
    let awaited = Idle { awaited: true, ..idle(1, 1, 0.0) };
    assert_eq!(choose_victim(9, Gain::Required, [awaited, idle(2, 9, 0.0)]), None);
    let equal = [idle(5, 1, 0.3), idle(3, 2, 0.3), idle(4, 4, 0.3)];
    assert_eq!(choose_victim(9, Gain::Required, equal), Some(3), "the longest idle one");
}

fn load(server: u32, rank: u64, used: u32, ready: bool) -> Load<u32> {
    Load { server, rank, used, free: 4 - used, ready }
}

/// Guards against an opening while an idle connection of the team exists.
#[test]
fn an_idle_connection_goes_before_a_server_with_less_load() {
    let loads = [load(0, 9, 0, false), load(1, 1, 3, true)];
    assert_eq!(place(&loads), Some(Choice::Use(1)));
    assert_eq!(place(&[load(0, 9, 0, false), load(1, 1, 0, false)]), Some(Choice::Open(0)));
}

/// Guards against a server that gets all reads of its teams while others are idle.
#[test]
fn a_server_above_the_bound_is_passed_over_for_the_next_one() {
    let loads = [load(0, 9, 3, true), load(1, 1, 0, true)];
    assert_eq!(place(&loads), Some(Choice::Use(1)));
    let full = [load(0, 9, 4, true), load(1, 1, 4, false)];
    assert_eq!(place(&full), None);
}

/// Guards against teams that change their server because one of other teams is lost.
#[test]
fn the_loss_of_a_server_moves_only_its_own_teams() {
    let first = |team: &str, servers: &[u32]| {
        let loads: Vec<_> = servers
            .iter()
            .map(|server| {
                load(*server, rendezvous::score(team, &format!("server-{server}")), 0, false)
            })
            .collect();
        place(&loads)
    };
    let mut moved = 0;
    for team in 0..84 {
        let team = format!("team-{team}");
        let (before, after) = (first(&team, &[0, 1, 2]), first(&team, &[0, 2]));
        assert!(before == Some(Choice::Open(1)) || before == after);
        moved += u32::from(before != after);
    }
    assert!((15..=42).contains(&moved), "{moved} of 84 teams moved");
}

/// Guards against a choice without a free slot, or an opening although a connection is idle.
#[test]
fn a_choice_has_a_free_slot_and_uses_an_idle_connection_if_there_is_one() {
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut loads = Vec::new();
            for server in 0..u.int_in_range(0..=5)? {
                loads.push(load(server, u.arbitrary()?, u.int_in_range(0..=4)?, u.arbitrary()?));
            }
            let is_ready = |load: &&Load<u32>| load.free > 0 && load.ready;
            match place(&loads) {
                Some(Choice::Use(server)) => {
                    assert!(loads.iter().filter(is_ready).any(|load| load.server == server));
                }
                Some(Choice::Open(server)) => {
                    assert!(!loads.iter().any(|load| is_ready(&load)));
                    assert!(loads.iter().any(|load| load.server == server && load.free > 0));
                }
                None => assert!(loads.iter().all(|load| load.free == 0)),
            }
            Ok(())
        })
        .seed((seed << 32) | BYTES)
        .run();
    }
}

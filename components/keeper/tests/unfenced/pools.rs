//! Connections of many teams, against servers that count connections and slots: under
//! random schedules, and under the load of 84 teams.

mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};

use arbtest::arbtest;
use keeper::Flaw;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::data::{End, Outcome};

use world::{OPENING, STATEMENT, World};

/// Number of random bytes that a schedule is drawn from.
const BYTES: u64 = 3_000;

/// Number of schedules.
const SCHEDULES: u64 = 60;

fn schedule(seed: u64, flaw: Option<Flaw>) {
    arbtest(|u| {
        let mut world = World::new(u.int_in_range(1..=3)?, u.int_in_range(1..=5)?);
        if let Some(flaw) = flaw {
            world.bench.group.inject_flaw(flaw);
        }
        for _ in 0..300 {
            if u.is_empty() || world.step(u).is_err() {
                break;
            }
        }
        for _ in 0..10 {
            world.commit();
            world.pass(400);
        }
        assert_eq!(world.ends.len() as u64, world.bench.next, "a request was left waiting");
        Ok(())
    })
    .seed((seed << 32) | BYTES)
    .run();
}

/// Guards against a statement on a connection of another team, more connections than the
/// limit, more work than slots, and the close of a connection in a transaction.
#[test]
fn a_statement_runs_only_on_a_connection_of_its_team_in_each_schedule() {
    for seed in 0..SCHEDULES {
        schedule(seed, None);
    }
}

/// Guards against a check that would not notice a statement on a connection of another team.
#[test]
fn a_statement_on_a_connection_of_another_team_is_found() {
    let broken = |seed| catch_unwind(AssertUnwindSafe(|| schedule(seed, Some(Flaw::ForeignTeam))));
    let found = (0..SCHEDULES).find_map(|seed| broken(seed).err()).expect("a schedule that fails");
    let text = found.downcast_ref::<String>().expect("a message");
    assert!(text.contains("a statement ran on a connection of another team"), "{text}");
}

/// Guards against a server that gets no connections of teams any more after it was lost, and
/// against teams of other servers that lose their connections with it.
#[test]
fn the_loss_of_a_server_costs_only_its_own_connections() {
    let mut world = World::new(4, 28);
    let round = |world: &mut World| {
        for team in 0..12 {
            world.read(&format!("team-{team}"));
            world.write(&format!("team-{team}"));
            world.pass(30);
        }
    };
    round(&mut world);
    let on = |world: &World, lost: bool| {
        let found = world.conns.iter().filter(|(_, conn)| (conn.server == "server-2") == lost);
        found.map(|(key, _)| *key).collect::<Vec<_>>()
    };
    let (others, lost) = (on(&world, false), on(&world, true).len() as u64);
    let opened = world.opened;
    world.crash("server-2");
    world.pass(100);
    round(&mut world);
    world.pass(2_000);
    round(&mut world);
    let rest = on(&world, false);
    assert!(lost > 2 && others.iter().all(|conn| rest.contains(conn)));
    // while the server is away, its teams open a connection to another one
    assert!(world.opened - opened <= 2 * lost, "{} for {lost}", world.opened - opened);
    assert!(world.ends.iter().all(|end| end.outcome() == Outcome::Done));
}

/// Guards against requests that starve, or are answered late, while a server accepts fewer
/// connections than were leased.
#[test]
fn fewer_connections_are_used_while_a_server_accepts_fewer_and_all_once_it_accepts_more() {
    let mut world = World::new(4, 8);
    world.accepted = 3;
    for round in 0..200 {
        world.write(&format!("team-{}", round % 6));
        world.pass(20);
    }
    world.pass(1_000);
    assert!(world.ends.iter().all(|end| end.outcome() == Outcome::Done));
    assert_eq!(world.ends.len(), 200);
    world.accepted = usize::MAX;
    world.pass(1_500);
    for round in 0..60 {
        world.write(&format!("team-{}", round % 6));
        world.pass(20);
    }
    world.pass(100);
    let evicted = world.evicted;
    for round in 0..60 {
        world.write(&format!("team-{}", round % 6));
        world.pass(20);
    }
    assert_eq!(world.evicted, evicted, "all teams have a connection again");
}

/// Guards against sessions that are requested again and again while a server accepts no
/// more, and the ones it has accepted are in transactions.
#[test]
fn a_server_that_accepts_no_more_connections_is_rarely_asked_for_one() {
    let mut world = World::new(4, 8);
    world.begin("red");
    world.pass(50);
    world.accepted = 1;
    world.crash_idle("server-0");
    for _ in 0..100 {
        world.write("blue");
        world.pass(20);
    }
    assert!(world.refused <= 4, "{} sessions were refused in 2 s", world.refused);
}

/// Guards against slot time lost to openings: 84 teams of skew 1.2 and one at 7.5 times its
/// rate, with connections for a third of the teams.
#[test]
fn with_84_teams_nearly_all_requests_find_a_connection_of_their_team() {
    let mut world = World::new(4, 28);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut weights: Vec<f64> = (1..=84).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let total: f64 = weights.iter().sum();
    let (per_ms, surge) = (0.134, 10);
    weights[surge] *= 7.5;
    for turn in 0..60_000 {
        for (rank, weight) in weights.iter().enumerate() {
            if rng.random::<f64>() < weight / total * per_ms {
                let team = format!("team-{rank}");
                match rng.random::<f64>() {
                    at if at < 0.3 => world.write(&team),
                    _ => world.read(&team),
                }
            }
        }
        world.pass(1);
        if turn == 20_000 {
            (world.hits, world.sent, world.opened) = (0, 0, 0);
        }
    }
    let hits = world.hits as f64 / world.sent as f64;
    let (opening, running) = ((world.opened * OPENING) as f64, (world.sent * STATEMENT) as f64);
    let share = opening / (opening + running);
    let done = world.ends.iter().filter(|end| end.outcome() == Outcome::Done).count();
    eprintln!("hits {hits:.4}, share of slot time for openings {share:.4}");
    assert!(world.ends.len() - done < world.ends.len() / 1_000, "{done} of {}", world.ends.len());
    assert!(hits > 0.9 && share < 0.09, "hits {hits}, opening {share}");
}

/// Guards against other teams that get no connection or no slot while one team always has
/// more requests waiting than all slots can run.
#[test]
fn a_team_with_more_requests_than_slots_keeps_no_other_team_from_its_connections() {
    let mut world = World::new(4, 28);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let weights: Vec<f64> = (1..=84).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let total: f64 = weights.iter().sum();
    let mut others = std::collections::HashSet::new();
    for _ in 0..10_000 {
        for (rank, weight) in weights.iter().enumerate() {
            if rng.random::<f64>() < weight / total * 0.134 {
                others.insert(world.bench.next + 1);
                world.read(&format!("team-{rank}"));
            }
        }
        // below the limit on the queue of a service, which teams share
        if world.bench.next - (world.ends.len() as u64) < 200 {
            world.read("hot");
        }
        world.pass(1);
    }
    world.pass(100);
    let done = |end: &&End| end.outcome() == Outcome::Done && others.contains(&end.request);
    let done = world.ends.iter().filter(done).count();
    assert!(done as f64 > 0.99 * others.len() as f64, "{done} of {}", others.len());
    let opening = (world.opened * OPENING) as f64;
    let share = opening / (opening + (world.sent * STATEMENT) as f64);
    eprintln!("{done} of {} done, {} sent, openings {share:.4}", others.len(), world.sent);
    assert!(share < 0.08, "{share}");
}

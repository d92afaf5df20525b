//! Choice of the server for a read: servers that fail or are slow although they are
//! reachable.

use base::mechanism::Mechanism;
use base::prelude::*;
use keeper::Flaw;

use crate::servers::{How, When, World};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Runs a world in which one replica fails reads for 10 s, and none for 4 s afterwards.
/// Returns the shares of reads that failed and that went to the replica meanwhile, and
/// the share that went to it in the last two seconds.
fn fail(seed: u64, flaw: Option<Flaw>, failing: (When, How)) -> (f64, f64, f64) {
    let slow_start = flaw != Some(Flaw::MostFree);
    let mut world = World::new(seed, slow_start, flaw);
    // retries for a tenth of the requests
    world.service = "scarce";
    world.run(2_000);
    let start = world.now;
    world.servers[2].failing = Some(failing);
    world.run(10_000);
    let end = world.now;
    world.servers[2].failing = None;
    world.run(4_000);
    let last = world.share(2, end + ms(2_000), end + ms(4_000));
    (world.failures(start, end), world.share(2, start, end), last)
}

/// Load or failure: a replica fails 40% of its reads while its health check passes, or
/// flaps with a period of 0.8 s or 1.4 s, by errors, by resets or by silence.
#[test]
fn a_replica_that_fails_reads_gets_few_of_them_and_returns_to_use_afterwards() {
    let whens = [When::Share(0.4), When::Flapping(ms(800)), When::Flapping(ms(1_400))];
    for seed in 0..3 {
        for how in [How::Error, How::Reset, How::Silence] {
            for when in whens {
                let (failures, share, last) = fail(seed, None, (when, how));
                let what = format!("{when:?}, {how:?}: {failures:.3} {share:.3} {last:.3}");
                assert!(failures <= 0.01, "{what}");
                assert!(share <= 0.2, "{what}");
                assert!(last >= 0.4, "{what}");
            }
        }
    }
}

/// Load or failure: the same with the baseline, which chooses by free slots alone.
#[test]
fn a_keeper_that_chooses_by_free_slots_alone_is_found() {
    let failing = (When::Share(0.4), How::Error);
    let (_, share, _) = fail(0, Some(Flaw::MostFree), failing);
    assert!(share > 0.2, "{share}");
    let (failures, ..) = fail(0, Some(Flaw::KeepFailed), failing);
    assert!(failures > 0.01, "{failures}");
}

/// Guards against a switch that also stops the probes by which a probation ends.
#[test]
fn a_probation_ends_although_reads_are_not_chosen_by_answers() {
    let mut world = World::new(0, true, None);
    world.turn_off(Mechanism::ReadChoice);
    let start = world.now;
    world.servers[2].failing = Some((When::Share(0.4), How::Error));
    world.run(5_000);
    assert!(world.probations(start) > 0);
    world.servers[2].failing = None;
    world.run(4_000);
    let share = world.share(2, world.now - ms(2_000), world.now);
    assert!(share >= 0.4, "{share}");
}

/// Load or failure: 3% of the statements on each server take 7 times as long, for 20 s.
#[test]
fn slow_single_statements_put_no_server_on_probation_and_divert_no_reads() {
    let mut world = World::new(5, true, None);
    for server in &mut world.servers {
        server.has_tail = true;
    }
    let start = world.now;
    world.run(20_000);
    assert_eq!(world.probations(start), 0);
    for server in [1, 2] {
        let share = world.share(server, start, world.now);
        assert!((0.4..=0.6).contains(&share), "{share}");
    }
}

/// Load or failure: callers cause errors themselves, on all servers alike.
#[test]
fn errors_that_callers_cause_put_no_server_on_probation_for_long() {
    let mut found = 0;
    for share in [0.05, 0.3, 0.9] {
        for flaw in [None, Some(Flaw::EjectByRate)] {
            let mut world = World::new(6, true, flaw);
            for server in &mut world.servers {
                server.failing = Some((When::Share(share), How::Error));
            }
            let start = world.now;
            world.run(10_000);
            let probations = world.probations(start);
            if flaw.is_some() {
                found += usize::from(probations > 20);
                continue;
            }
            assert!(probations <= 4, "{share}: {probations} probations");
            let least = [1, 2].map(|on| world.share(on, start, world.now)).into_iter();
            let least = least.fold(1.0, f64::min);
            assert!(least >= 0.3, "{share}: {least}");
        }
    }
    assert!(found > 0, "a keeper that ejects by an absolute rate is found");
}

/// Lets a replica fail 40% of its reads, and then crashes the other one. Checks that the first
/// goes on to serve a good part of the reads, and returns the time from which on.
fn lose_the_other_replica(world: &mut World) -> Instant {
    world.servers[2].failing = Some((When::Share(0.4), How::Error));
    world.run(5_000);
    let crashed = world.now;
    world.servers[1].refuses_until = crashed + ms(5_000);
    world.break_connections(1);
    world.run(5_000);
    let since = crashed + ms(500);
    let served = world.answered(true, since, world.now);
    let by_replica = served.iter().filter(|read| read.server == 2).count();
    assert!(by_replica * 3 > served.len(), "{by_replica} of {}", served.len());
    assert!(world.pending() < 20, "{} pending", world.pending());
    since
}

/// Load or failure: a replica fails 40% of its reads, and then the other one crashes.
#[test]
fn the_last_usable_replica_is_not_taken_out_of_use() {
    let mut world = World::new(7, true, None);
    let since = lose_the_other_replica(&mut world);
    let mean = world.mean(true, since, world.now);
    assert!(mean <= 28.0, "{mean}");
    // a read fails where both attempts do: the only other server is the primary, which serves
    // reads with its spare slots only
    let failures = world.failures(since, world.now);
    assert!(failures <= 0.16, "{failures}");
}

/// Load or failure: the same for callers of a team, whose reads choose among the connections
/// of the team. Reads must not wait for a server that is unreachable.
#[test]
fn the_last_usable_replica_is_not_taken_out_of_use_for_a_team() {
    let mut world = World::new(7, true, None);
    world.declare_team("red");
    lose_the_other_replica(&mut world);
}

/// Load or failure: a replica becomes 4 times slower without a restart.
#[test]
fn a_slow_replica_gets_fewer_reads_and_its_share_again_once_it_is_fast() {
    let mut world = World::new(8, true, None);
    let start = world.now;
    world.servers[2].cold = Some((start + ms(5_000), crate::servers::Cold::Flat(4.0)));
    world.run(5_000);
    let end = world.now;
    world.run(2_000);
    let slow = world.share(2, start + ms(500), end);
    let mean = world.mean(true, start + ms(500), end);
    assert!(slow <= 0.2, "{slow}");
    assert!(mean <= 28.0, "{mean}");
    let share = world.share(2, end + ms(1_000), end + ms(2_000));
    assert!(share >= 0.4, "{share}");
    assert_eq!(world.probations(start), 0, "a slow server is not a failing one");
}

/// Guards against a group that is judged by run times although no database declares an
/// objective: neither probation nor slow start begins.
#[test]
fn servers_of_a_group_without_an_objective_are_not_judged() {
    let mut world = World::new(8, true, None);
    world.declare_objective(0);
    let start = world.now;
    world.servers[2].failing = Some((When::Share(0.4), How::Error));
    world.run(5_000);
    world.restart(1);
    world.run(2_000);
    assert_eq!(world.probations(start), 0);
    assert!(!world.has_ramped(1, start));
}

/// Guards against a probation that nothing ends: the last objective is withdrawn while a
/// replica is on probation.
#[test]
fn a_probation_ends_with_the_last_objective() {
    let mut world = World::new(9, true, None);
    world.declare_team("red");
    let start = world.now;
    world.servers[2].failing = Some((When::Share(0.4), How::Error));
    world.run(5_000);
    assert!(world.probations(start) > 0);
    world.declare_objective(0);
    world.servers[2].failing = None;
    let since = world.now;
    world.run(4_000);
    let share = world.share(2, since, world.now);
    assert!(share >= 0.3, "{share}");
}

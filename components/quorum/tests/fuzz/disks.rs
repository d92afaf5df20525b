//! Members on slow disks: an election ends and the leader stays, however long a sync takes.

use std::ops::Range;

use crate::world::World;

/// Ranges of the time of a sync, in milliseconds.
const SYNC_MILLIS: [Range<u64>; 6] = [1..2, 20..60, 100..200, 200..400, 400..800, 1..800];

/// Time for an election beside the syncs: the election timeout, its retries and messages.
const ELECTION_MILLIS: u64 = 2_000;

/// Number of syncs of the slowest disk for an election and the first entry of the leader:
/// the candidate's vote and those of the voters, each behind a sync in progress, twice in
/// case of a split vote, and the entry.
const ELECTION_SYNCS: u64 = 10;

/// Time for which a leader must stay, while its members' disks are busy.
const STEADY_MILLIS: u64 = 10_000;

fn cluster(seed: u64, voters: usize, sync_millis: &Range<u64>) -> World {
    let mut world = World::new(seed, voters, None);
    for node in &mut world.nodes {
        node.sync_micros = sync_millis.start * 1_000..sync_millis.end * 1_000;
    }
    world
}

fn election_micros(sync_millis: &Range<u64>) -> u64 {
    (ELECTION_MILLIS + ELECTION_SYNCS * sync_millis.end) * 1_000
}

/// Waits for an election, and checks that its leader commits and confirms a read.
fn elect(world: &mut World, sync_millis: &Range<u64>) -> usize {
    world.run(election_micros(sync_millis));
    let leaders = world.leaders();
    assert_eq!(leaders.len(), 1, "{sync_millis:?} ms a sync\n{}", world.describe());
    let before = world.oracle.confirmed;
    world.read(leaders[0]);
    world.run(100_000);
    assert!(world.oracle.confirmed > before, "{sync_millis:?} ms a sync\n{}", world.describe());
    leaders[0]
}

#[test]
fn an_election_ends_on_slow_disks() {
    for sync_millis in &SYNC_MILLIS {
        for seed in 0..20 {
            let voters = if seed % 4 == 0 { 5 } else { 3 };
            let mut world = cluster(seed, voters, sync_millis);
            for _ in 0..3 {
                let leader = elect(&mut world, sync_millis);
                world.crash(leader);
                elect(&mut world, sync_millis);
                world.restart(leader);
            }
        }
    }
}

#[test]
fn a_leader_stays_and_confirms_reads_while_the_disks_are_busy() {
    for sync_millis in &SYNC_MILLIS {
        for seed in 0..8 {
            let mut world = cluster(seed, 3, sync_millis);
            let leader = elect(&mut world, sync_millis);
            for _ in 0..STEADY_MILLIS / 100 {
                world.propose(leader);
                let before = world.oracle.confirmed;
                for node in 0..3 {
                    world.read(node);
                }
                world.run(100_000);
                let confirmed = world.oracle.confirmed - before;
                assert_eq!(confirmed, 3, "{sync_millis:?} ms a sync\n{}", world.describe());
                assert_eq!(world.leaders(), [leader], "{sync_millis:?} ms a sync");
            }
        }
    }
}

//! One schedule: steps drawn by `arbtest` from a seed.

use std::collections::BTreeMap;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use quorum::{Change, Flaw};

use crate::world::World;

/// Bytes that a schedule draws from; the lower half of a seed of `arbtest`.
const SIZE_BYTES: u64 = 16_384;

const LEAST_STEPS: u64 = 200;
const MOST_STEPS: u64 = 300;

/// Hosts that a schedule starts in all.
const MOST_NODES: usize = 9;

/// Longest wait for an election in [`Step::Flicker`].
const FLICKER_MILLIS: u64 = 700;

/// Time after the last fault within which everything must work.
const SETTLE_MICROS: u64 = 6_000_000;

#[derive(Clone, Copy, Debug, Default)]
pub struct Done {
    pub steps: u64,
    pub acknowledged: u64,
    pub confirmed: u64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Run(u8),
    Propose(u8),
    ProposeAtLeader(u8),
    Read(u8),
    ReadAtLeader(u8),
    Crash(u8),
    CrashLeader,
    Restart(u8),
    RestartAll,
    Split(u16),
    Isolate(u8),
    Heal,
    Loss(u8),
    Copies(u8),
    Compact(u8),
    Transfer,
    Add(u8),
    Remove(u8),
    Lose(u8),
    Replace(u8),
    Long(u8),
    /// The next leader to be elected crashes within a moment.
    Flicker(u8),
}

/// What a schedule is mostly made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mood {
    /// A bit of everything.
    Mixed,
    /// One election after the other.
    Elections,
}

fn draw(u: &mut Unstructured<'_>, mood: Mood) -> arbitrary::Result<Step> {
    let pick = u.arbitrary()?;
    if mood == Mood::Elections {
        return Ok(match u.int_in_range(0..=9)? {
            0..=3 => Step::Flicker(pick),
            4..=6 => Step::ProposeAtLeader(pick),
            7 => Step::RestartAll,
            8 => Step::Restart(pick),
            _ => Step::Run(pick),
        });
    }
    Ok(match u.int_in_range(0..=47)? {
        0..=3 => Step::Run(pick),
        4..=7 => Step::Propose(pick),
        8..=11 => Step::ProposeAtLeader(pick),
        12 | 13 => Step::Read(pick),
        14 | 15 => Step::ReadAtLeader(pick),
        16 => Step::Crash(pick),
        17 | 18 => Step::CrashLeader,
        19 | 20 => Step::Restart(pick),
        21 | 40..=43 => Step::RestartAll,
        22 | 23 => Step::Split(u.arbitrary()?),
        24 | 25 => Step::Isolate(pick),
        29 => Step::Loss(pick),
        30 => Step::Copies(pick),
        31 | 32 => Step::Compact(pick),
        33 => Step::Transfer,
        34 => Step::Add(pick),
        35 => Step::Remove(pick),
        36 => Step::Lose(pick),
        37 | 38 => Step::Replace(pick),
        39 => Step::Long(pick),
        _ => Step::Heal,
    })
}

/// Runs the schedule of a number.
pub fn run(number: u64, flaw: Option<Flaw>) -> Done {
    run_seed((spread(number) << 32) | SIZE_BYTES, flaw)
}

/// Runs the schedule of a seed; a failure names the seed.
pub fn run_seed(seed: u64, flaw: Option<Flaw>) -> Done {
    let mut done = Done::default();
    arbtest(|u| {
        done = schedule(u, flaw)?;
        Ok(())
    })
    .seed(seed)
    .run();
    done
}

/// Neighbouring seeds draw alike at first, and zero draws nothing but zeros.
fn spread(number: u64) -> u64 {
    (number + 1).wrapping_mul(0x9e37_79b9) & u64::from(u32::MAX)
}

fn schedule(u: &mut Unstructured<'_>, flaw: Option<Flaw>) -> arbitrary::Result<Done> {
    let voters = if u.ratio(1, 4)? { 5 } else { 3 };
    let mut world = World::new(u.arbitrary()?, voters, flaw);
    world.run(1_000_000);
    undisturbed(&mut world);
    world.late = 2;
    let mood = if u.ratio(1, 4)? { Mood::Elections } else { Mood::Mixed };
    let steps = u.int_in_range(LEAST_STEPS..=MOST_STEPS)?;
    for _ in 0..steps {
        let drawn = draw(u, mood)?;
        step(&mut world, drawn);
        world.run(u.int_in_range(0..=20_000)?);
    }
    settle(&mut world);
    let (acknowledged, confirmed) = (world.oracle.acknowledged, world.oracle.confirmed);
    Ok(Done { steps, acknowledged, confirmed })
}

fn step(world: &mut World, step: Step) {
    let place = |pick: u8| usize::from(pick) % world.nodes.len();
    let leader = |world: &World, pick: u8| {
        let leaders = world.leaders();
        (!leaders.is_empty()).then(|| leaders[usize::from(pick) % leaders.len()])
    };
    match step {
        Step::Run(pick) => world.run(u64::from(pick) * 1_000),
        Step::Propose(pick) => world.propose(place(pick)),
        Step::ProposeAtLeader(pick) => {
            if let Some(leader) = leader(world, pick) {
                world.propose(leader);
            }
        }
        Step::Read(pick) => world.read(place(pick)),
        Step::ReadAtLeader(pick) => {
            if let Some(leader) = leader(world, pick) {
                world.read(leader);
            }
        }
        Step::Crash(pick) => world.crash(place(pick)),
        Step::CrashLeader => {
            if let Some(leader) = leader(world, 0) {
                world.crash(leader);
            }
        }
        Step::Restart(pick) => world.restart(place(pick)),
        Step::RestartAll => restart_all(world),
        Step::Split(bits) => {
            let side = |place: usize| (place, u8::from(bits >> place & 1 == 1));
            world.split((0..world.nodes.len()).map(side).collect());
        }
        Step::Isolate(pick) => {
            let alone = place(pick);
            let side = |place: usize| (place, u8::from(place == alone));
            world.split((0..world.nodes.len()).map(side).collect());
        }
        Step::Heal => {
            world.split(BTreeMap::new());
            world.loss = 0;
        }
        Step::Loss(percent) => world.loss = u32::from(percent) % 30,
        Step::Copies(percent) => world.copies = u32::from(percent) % 30,
        Step::Compact(pick) => world.compact(place(pick)),
        Step::Transfer => {
            if let Some(leader) = leader(world, 0) {
                world.transfer(leader);
            }
        }
        Step::Add(pick) => add(world, pick, None),
        Step::Remove(pick) => {
            let id = world.nodes[place(pick)].id;
            if let Some(leader) = leader(world, pick) {
                world.change(leader, Change::Remove(id));
            }
        }
        Step::Lose(pick) => lose(world, place(pick)),
        Step::Replace(pick) => {
            let lost = world.nodes.iter().position(|node| node.lost);
            add(world, pick, lost.map(|lost| world.nodes[lost].name.clone()));
        }
        Step::Long(pick) => world.run(u64::from(pick) * 20_000),
        Step::Flicker(pick) => flicker(world, u64::from(pick) * 100),
    }
}

/// Crashes the leaders there are, and the next one soon after its election.
fn flicker(world: &mut World, after: u64) {
    for leader in world.leaders() {
        world.crash(leader);
    }
    for _ in 0..FLICKER_MILLIS {
        world.run(1_000);
        if !world.leaders().is_empty() {
            break;
        }
    }
    for leader in world.leaders() {
        world.propose(leader);
        world.run(after);
        world.crash(leader);
    }
}

fn add(world: &mut World, pick: u8, name: Option<String>) {
    if world.nodes.len() >= MOST_NODES {
        return;
    }
    let leaders = world.leaders();
    let Some(leader) = leaders.get(usize::from(pick) % leaders.len().max(1)).copied() else {
        return;
    };
    let name = name.unwrap_or_else(|| format!("n{}", world.nodes.len()));
    let place = world.add_node(&name);
    let member = world.member(place);
    world.change(leader, Change::Add(member));
}

/// Loses a disk, unless that would lose a quorum of them.
fn lose(world: &mut World, place: usize) {
    let id = world.nodes[place].id;
    if has_quorum(world, Some(id)) {
        world.lose(place);
    }
}

/// Whether the disks that are not lost hold a quorum of each membership that
/// is committed or on a disk.
fn has_quorum(world: &World, without: Option<u64>) -> bool {
    let kept =
        |id: u64| without != Some(id) && world.nodes.iter().any(|node| node.id == id && !node.lost);
    let held = world.nodes.iter().filter_map(|node| node.replica.as_ref());
    let mut memberships = vec![world.oracle.members.clone()];
    memberships.extend(held.map(|replica| replica.members().clone()));
    memberships.iter().all(|members| {
        let voters: Vec<_> = members.members.iter().filter(|member| member.voter).collect();
        let left = voters.iter().filter(|member| kept(member.id)).count();
        voters.is_empty() || left >= quorum::quorum_size(voters.len())
    })
}

fn restart_all(world: &mut World) {
    for place in 0..world.nodes.len() {
        world.restart(place);
    }
}

/// A follower that was cut off for long and returns disturbs nobody.
fn undisturbed(world: &mut World) {
    let Some(leader) = world.leaders().first().copied() else { return };
    let term = |world: &World| world.nodes[leader].replica.as_ref().map(|r| r.leadership().term);
    let before = term(world);
    let alone = (leader + 1) % world.nodes.len();
    let side = |place: usize| (place, u8::from(place == alone));
    world.split((0..world.nodes.len()).map(side).collect());
    world.run(1_500_000);
    world.split(BTreeMap::new());
    world.run(500_000);
    assert_eq!(term(world), before, "a member that returned moved the term");
    assert_eq!(world.leaders(), [leader], "a member that returned deposed the leader");
}

/// Once all faults are over, a proposal and a read succeed at a leader that
/// holds everything, if a quorum's disks are left.
fn settle(world: &mut World) {
    world.split(BTreeMap::new());
    (world.loss, world.copies) = (0, 0);
    restart_all(world);
    if !has_quorum(world, None) {
        return;
    }
    world.run(SETTLE_MICROS);
    let leaders = world.leaders();
    assert!(!leaders.is_empty(), "no leader although all faults are over\n{}", world.describe());
    let before = (world.oracle.acknowledged, world.oracle.confirmed);
    for leader in leaders {
        world.propose(leader);
        world.read(leader);
    }
    world.run(1_000_000);
    let after = (world.oracle.acknowledged, world.oracle.confirmed);
    assert!(
        after.0 > before.0,
        "no proposal succeeds although all faults are over\n{}",
        world.describe()
    );
    assert!(
        after.1 > before.1,
        "no read succeeds although all faults are over\n{}",
        world.describe()
    );
    for node in &world.nodes {
        assert!(node.reads.is_empty(), "a read is never answered\n{}", world.describe());
    }
    let len = world.oracle.len();
    for member in world.oracle.members.members.clone() {
        let node = world.nodes.iter().find(|node| node.id == member.id);
        if let Some(node) = node.filter(|node| !node.lost) {
            assert_eq!(node.applied, len, "a member lacks committed entries at the end");
        }
    }
}

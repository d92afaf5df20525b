//! Schedules: sequences of random steps that `arbtest` draws from a seed.

use std::collections::BTreeMap;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use quorum::{Change, Flaw};

use crate::world::World;

/// Number of bytes from which a schedule is drawn. `arbtest` takes this size from the lower
/// half of its seed.
const DRAW_BYTES: u64 = 16_384;

const MIN_STEPS: u64 = 200;
const MAX_STEPS: u64 = 300;

/// Maximum number of nodes that a schedule starts, lost ones included.
const MAX_NODES: usize = 9;

/// Maximum wait for an election in [`Step::CrashNextLeader`], in milliseconds.
const ELECTION_WAIT_MILLIS: u64 = 700;

/// Time in microseconds after the last fault within which the cluster must recover, beside
/// a number of syncs.
const SETTLE_MICROS: u64 = 6_000_000;

/// Number of syncs of the slowest disk within which the cluster must recover, beside
/// [`SETTLE_MICROS`]: elections, a membership change, a snapshot and the first entry.
const SETTLE_SYNCS: u64 = 16;

/// Number of syncs of the slowest disk within which a proposal is committed: the one in
/// progress and the next, at the leader and again at a follower, and the answer to it.
const COMMIT_SYNCS: u64 = 5;

/// Counts of one schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Number of steps.
    pub steps: u64,
    /// Number of acknowledged proposals.
    pub acknowledged: u64,
    /// Number of confirmed reads.
    pub confirmed: u64,
}

/// Step of a schedule. The numbers select a node, a duration, or a share of messages.
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
    RunLong(u8),
    /// Makes a node's disk slow: at most the number times four milliseconds a sync.
    Disk(u8, u8),
    /// Crashes the current leaders, and the next leader shortly after its election.
    CrashNextLeader(u8),
}

/// Mix of steps in a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mix {
    /// All kinds of steps.
    Mixed,
    /// Mainly elections, one after the other.
    Elections,
}

fn draw(u: &mut Unstructured<'_>, mix: Mix) -> arbitrary::Result<Step> {
    let choice = u.arbitrary()?;
    if mix == Mix::Elections {
        return Ok(match u.int_in_range(0..=9)? {
            0..=3 => Step::CrashNextLeader(choice),
            4..=6 => Step::ProposeAtLeader(choice),
            7 => Step::RestartAll,
            8 => Step::Restart(choice),
            _ => Step::Run(choice),
        });
    }
    Ok(match u.int_in_range(0..=47)? {
        0..=3 => Step::Run(choice),
        4..=7 => Step::Propose(choice),
        8..=11 => Step::ProposeAtLeader(choice),
        12 | 13 => Step::Read(choice),
        14 | 15 => Step::ReadAtLeader(choice),
        16 => Step::Crash(choice),
        17 | 18 => Step::CrashLeader,
        19 | 20 => Step::Restart(choice),
        21 | 40..=43 => Step::RestartAll,
        22 | 23 => Step::Split(u.arbitrary()?),
        24 | 25 => Step::Isolate(choice),
        29 => Step::Loss(choice),
        30 => Step::Copies(choice),
        31 | 32 => Step::Compact(choice),
        33 => Step::Transfer,
        34 => Step::Add(choice),
        35 => Step::Remove(choice),
        36 => Step::Lose(choice),
        37 | 38 => Step::Replace(choice),
        39 => Step::RunLong(choice),
        44 => Step::Disk(choice, u.arbitrary()?),
        _ => Step::Heal,
    })
}

/// Runs the schedule with the given number.
pub fn run(number: u64, flaw: Option<Flaw>) -> Summary {
    run_seed((spread(number) << 32) | DRAW_BYTES, flaw)
}

/// Runs the schedule of a seed. `arbtest` reports the seed of a failure.
pub fn run_seed(seed: u64, flaw: Option<Flaw>) -> Summary {
    let mut summary = Summary::default();
    arbtest(|u| {
        summary = schedule(u, flaw)?;
        Ok(())
    })
    .seed(seed)
    .run();
    summary
}

/// Spreads schedule numbers over the seed space, because adjacent seeds begin with similar
/// draws, and seed zero draws only zeros.
fn spread(number: u64) -> u64 {
    (number + 1).wrapping_mul(0x9e37_79b9) & u64::from(u32::MAX)
}

fn schedule(u: &mut Unstructured<'_>, flaw: Option<Flaw>) -> arbitrary::Result<Summary> {
    let voters = if u.ratio(1, 4)? { 5 } else { 3 };
    let mut world = World::new(u.arbitrary()?, voters, flaw);
    world.run(1_000_000);
    check_rejoin(&mut world);
    world.late = 2;
    let mix = if u.ratio(1, 4)? { Mix::Elections } else { Mix::Mixed };
    let steps = u.int_in_range(MIN_STEPS..=MAX_STEPS)?;
    for _ in 0..steps {
        let drawn = draw(u, mix)?;
        step(&mut world, drawn);
        world.run(u.int_in_range(0..=20_000)?);
    }
    settle(&mut world);
    let (acknowledged, confirmed) = (world.oracle.acknowledged, world.oracle.confirmed);
    Ok(Summary { steps, acknowledged, confirmed })
}

fn step(world: &mut World, step: Step) {
    let index = |choice: u8| usize::from(choice) % world.nodes.len();
    let leader = |world: &World, choice: u8| {
        let leaders = world.leaders();
        (!leaders.is_empty()).then(|| leaders[usize::from(choice) % leaders.len()])
    };
    match step {
        Step::Run(choice) => world.run(u64::from(choice) * 1_000),
        Step::Propose(choice) => world.propose(index(choice)),
        Step::ProposeAtLeader(choice) => {
            if let Some(leader) = leader(world, choice) {
                world.propose(leader);
            }
        }
        Step::Read(choice) => world.read(index(choice)),
        Step::ReadAtLeader(choice) => {
            if let Some(leader) = leader(world, choice) {
                world.read(leader);
            }
        }
        Step::Crash(choice) => world.crash(index(choice)),
        Step::CrashLeader => {
            if let Some(leader) = leader(world, 0) {
                world.crash(leader);
            }
        }
        Step::Restart(choice) => world.restart(index(choice)),
        Step::RestartAll => restart_all(world),
        Step::Split(bits) => {
            let side = |index: usize| (index, u8::from(bits >> index & 1 == 1));
            world.split((0..world.nodes.len()).map(side).collect());
        }
        Step::Isolate(choice) => {
            let isolated = index(choice);
            let side = |index: usize| (index, u8::from(index == isolated));
            world.split((0..world.nodes.len()).map(side).collect());
        }
        Step::Heal => {
            world.split(BTreeMap::new());
            world.loss = 0;
        }
        Step::Loss(percent) => world.loss = u32::from(percent) % 30,
        Step::Copies(percent) => world.copies = u32::from(percent) % 30,
        Step::Compact(choice) => world.compact(index(choice)),
        Step::Transfer => {
            if let Some(leader) = leader(world, 0) {
                world.transfer(leader);
            }
        }
        Step::Add(choice) => add(world, choice, None),
        Step::Remove(choice) => {
            let id = world.nodes[index(choice)].id;
            if let Some(leader) = leader(world, choice) {
                world.change(leader, Change::Remove(id));
            }
        }
        Step::Lose(choice) => lose(world, index(choice)),
        Step::Replace(choice) => {
            let lost = world.nodes.iter().position(|node| node.lost);
            add(world, choice, lost.map(|lost| world.nodes[lost].name.clone()));
        }
        Step::RunLong(choice) => world.run(u64::from(choice) * 20_000),
        Step::Disk(choice, slowness) => {
            let node = index(choice);
            world.nodes[node].sync_micros = 100..u64::from(slowness) * 4_000 + 15_000;
        }
        Step::CrashNextLeader(choice) => crash_next_leader(world, u64::from(choice) * 100),
    }
}

/// Crashes the current leaders, and the next leader a given number of microseconds after its
/// election.
fn crash_next_leader(world: &mut World, after: u64) {
    for leader in world.leaders() {
        world.crash(leader);
    }
    for _ in 0..ELECTION_WAIT_MILLIS {
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

fn add(world: &mut World, choice: u8, name: Option<String>) {
    if world.nodes.len() >= MAX_NODES {
        return;
    }
    let leaders = world.leaders();
    let Some(leader) = leaders.get(usize::from(choice) % leaders.len().max(1)).copied() else {
        return;
    };
    let name = name.unwrap_or_else(|| format!("n{}", world.nodes.len()));
    let index = world.add_node(&name);
    let member = world.member(index);
    world.change(leader, Change::Add(member));
}

/// Destroys a node's disk, unless that would leave less than a quorum of the disks.
fn lose(world: &mut World, index: usize) {
    let id = world.nodes[index].id;
    if has_disk_quorum(world, Some(id)) {
        world.lose(index);
    }
}

/// Whether the nodes with intact disks, except `without`, form a quorum of the committed
/// membership and of the newest membership of each running node.
fn has_disk_quorum(world: &World, without: Option<u64>) -> bool {
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
    for index in 0..world.nodes.len() {
        world.restart(index);
    }
}

/// Checks that a follower that returns after a long partition doesn't disrupt the leader.
fn check_rejoin(world: &mut World) {
    let Some(leader) = world.leaders().first().copied() else { return };
    let term = |world: &World| world.nodes[leader].replica.as_ref().map(|r| r.leadership().term);
    let before = term(world);
    let isolated = (leader + 1) % world.nodes.len();
    let side = |index: usize| (index, u8::from(index == isolated));
    world.split((0..world.nodes.len()).map(side).collect());
    world.run(1_500_000);
    world.split(BTreeMap::new());
    world.run(500_000);
    assert_eq!(term(world), before, "a member that returned moved the term");
    assert_eq!(world.leaders(), [leader], "a member that returned deposed the leader");
}

/// Ends partitions, crashes, message loss and duplication; long message delays and clocks of
/// different rates remain. If a quorum of disks is left, checks that a proposal and a read
/// succeed, that every read is answered, and that every member has all committed entries.
fn settle(world: &mut World) {
    world.split(BTreeMap::new());
    (world.loss, world.copies) = (0, 0);
    restart_all(world);
    if !has_disk_quorum(world, None) {
        return;
    }
    let sync = world.nodes.iter().map(|node| node.sync_micros.end).max().unwrap_or_default();
    world.run(SETTLE_MICROS + sync * SETTLE_SYNCS);
    let leaders = world.leaders();
    assert!(!leaders.is_empty(), "no leader although all faults are over\n{}", world.describe());
    let before = (world.oracle.acknowledged, world.oracle.confirmed);
    for leader in leaders {
        world.propose(leader);
        world.read(leader);
    }
    world.run(1_000_000 + sync * COMMIT_SYNCS);
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
        assert!(node.reads.is_empty(), "a read was never answered\n{}", world.describe());
    }
    let len = world.oracle.len();
    for member in world.oracle.members.members.clone() {
        let node = world.nodes.iter().find(|node| node.id == member.id);
        if let Some(node) = node.filter(|node| !node.lost) {
            assert_eq!(node.applied, len, "a member lacks committed entries at the end");
        }
    }
}

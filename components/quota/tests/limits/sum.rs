//! The sum over all hosts stays within the limit, whatever fails.

use std::panic::catch_unwind;

use arbtest::arbitrary::{Result, Unstructured};
use base::prelude::*;
use config::Quota;
use quota::{Bounds, Flaw};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::world::{REMOVAL, World, name};

const HOSTS: usize = 8;

/// Number of random schedules, and of those within which each flaw must be detected.
const SCHEDULES: u64 = 150;
const FLAW_SCHEDULES: u64 = 400;

/// Random bytes of a schedule.
const BYTES: usize = 2_000;

const STEP: Duration = Duration::from_millis(400);

const STEPS: usize = 60;

const TEAM: &str = "team-1";

fn quota(u: &mut Unstructured<'_>) -> Result<Quota> {
    let rate_per_s = *u.choose(&[2.0, 20.0, 100.0, 400.0])?;
    let burst = *u.choose(&[0.0, 1.0, 10.0, 100.0, 300.0])?;
    Ok(Quota { rate_per_s, burst })
}

/// Where callers send their operations, and how many times the limit.
#[derive(Clone, Copy, Debug)]
struct Demand {
    first: usize,
    hosts: usize,
    factor: f64,
}

fn demand(u: &mut Unstructured<'_>) -> Result<Demand> {
    let hosts = *u.choose(&[1, 2, HOSTS])?;
    let factor = *u.choose(&[0.0, 0.5, 2.0, 7.5])?;
    Ok(Demand { first: u.int_in_range(0..=HOSTS - 1)?, hosts, factor })
}

/// One random fault or repair.
fn disturb(
    u: &mut Unstructured<'_>,
    world: &mut World,
    down: &mut Vec<(Instant, usize)>,
) -> Result<()> {
    let host = u.int_in_range(0..=HOSTS - 1)?;
    match u.int_in_range(0..=11)? {
        0 if world.is_running(host) => {
            world.crash(host);
            down.push((world.now, host));
        }
        1 if world.is_running(host) => world.freeze(host),
        2 => world.thaw(host),
        3 => {
            let other = u.int_in_range(0..=HOSTS - 1)?;
            world.set_cut(host, other, u.arbitrary()?);
        }
        4 => world.set_lag(host, Some(Duration::from_millis(u.int_in_range(0..=1_500)?))),
        5 => world.set_lag(host, None),
        6 => world.set_lag(host, Some(Duration::from_millis(20))),
        7 => world.loss = *u.choose(&[0.0, 0.05, 0.5])?,
        8 => {
            let quota = quota(u)?;
            world.commit(None, Some(&[(TEAM, quota)]));
        }
        9 => {
            let mut keepers = world.keepers();
            // a planned move of leases: the host stays alive
            if keepers.len() > 1 && u.arbitrary()? {
                keepers.retain(|&keeper| keeper != host);
            } else if !keepers.contains(&host) && down.iter().all(|(_, down)| *down != host) {
                keepers.push(host);
            }
            world.commit(Some(keepers), None);
        }
        10 => world.unrun = *u.choose(&[0.0, 0.1, 1.0])?,
        11 => world.run_time = Duration::from_millis(*u.choose(&[5, 100, 2_000])?),
        _ => {}
    }
    Ok(())
}

/// Removes crashed hosts from the control state, and restarts them later.
fn repair(world: &mut World, down: &mut Vec<(Instant, usize)>) {
    let now = world.now;
    let late = |&(at, _): &(Instant, usize)| now.since(at) >= REMOVAL + STEP;
    let restarted: Vec<_> = down.iter().copied().filter(late).collect();
    down.retain(|down| !late(down));
    for (_, host) in restarted {
        let mut keepers = world.keepers();
        keepers.retain(|&keeper| keeper != host);
        world.commit(Some(keepers.clone()), None);
        world.restart(host);
        keepers.push(host);
        world.commit(Some(keepers), None);
    }
}

/// Bounds of a schedule; tight ones are more sensitive.
fn bounds(seed: u64) -> Bounds {
    match seed % 3 {
        0 => Bounds::default(),
        1 => Bounds { overage: 0.03, slack: 2.0, ..Bounds::default() },
        _ => Bounds { window: Duration::from_secs(1), overage: 0.05, slack: 4.0 },
    }
}

fn run(seed: u64, flaw: Flaw) {
    let mut bytes = vec![0; BYTES];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let mut u = Unstructured::new(&bytes);
    let mut world = World::with_bounds(HOSTS, seed, flaw, bounds(seed));
    // a schedule ends early when its random bytes are used up
    let _ended = play(&mut u, &mut world);
    world.check_windows(&name(TEAM));
}

fn play(u: &mut Unstructured<'_>, world: &mut World) -> Result<()> {
    let team = name(TEAM);
    let mut limit = quota(u)?;
    let first = u.int_in_range(1..=HOSTS)?;
    world.commit(Some((0..first).collect()), Some(&[(TEAM, limit)]));
    let mut down = Vec::new();
    let mut load = demand(u)?;
    for _ in 0..STEPS {
        if u.ratio(1, 2)? {
            disturb(u, world, &mut down)?;
        }
        if u.ratio(1, 5)? {
            load = demand(u)?;
            limit = quota(u)?;
        }
        let until = world.now + STEP;
        let rate = (limit.rate_per_s * load.factor).max(0.1);
        world.load(until, &team, rate, |rng, _| {
            (load.first + rng.random_range(0..load.hosts)) % HOSTS
        });
        world.run(until);
        repair(world, &mut down);
    }
    Ok(())
}

/// Guards against more operations than the limit allows when hosts crash, restart, are
/// suspended or cut off, join and leave, when messages are lost, when limits change, and
/// when operations that were counted don't run.
#[test]
fn no_window_exceeds_the_limit_in_any_schedule() {
    for seed in first_seed()..first_seed() + SCHEDULES {
        if let Err(panic) = catch_unwind(|| run(seed, Flaw::None)) {
            eprintln!("failed with seed {seed}");
            std::panic::resume_unwind(panic);
        }
    }
}

fn first_seed() -> u64 {
    let given = std::env::var("TREFOIL_FUZZ_FIRST").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn detect(flaw: Flaw) {
    std::panic::set_hook(Box::new(|_| {}));
    let found = (0..FLAW_SCHEDULES).find(|&seed| catch_unwind(|| run(seed, flaw)).is_err());
    drop(std::panic::take_hook());
    let found = found.unwrap_or_else(|| panic!("{flaw:?} is not detected"));
    println!("{flaw:?} is detected with seed {found}");
}

#[test]
fn a_balance_above_a_lower_limit_is_detected() {
    detect(Flaw::KeepBalance);
}

#[test]
fn a_refund_of_a_token_that_overflowed_since_is_detected() {
    detect(Flaw::RefundAlways);
}

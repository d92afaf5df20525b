//! Changes of the holders, and loans that are not used.

use std::panic::catch_unwind;

use base::prelude::*;
use config::Quota;
use quota::{Bounds, Decision, Flaw, Ledger, Loan, Request, Settings};
use rand::RngExt;

use crate::world::{LEASE, World, host_name, name};

const HOSTS: usize = 8;

const TEAM: &str = "team-1";

/// One slow host holds a whole limit when seven others join, all under overload.
fn join_beside_a_slow_holder(flaw: Flaw) {
    let mut world = World::new(HOSTS, 3, flaw);
    let quota = Quota { rate_per_s: 400.0, burst: 0.0 };
    world.set_lag(0, Some(Duration::from_millis(1_500)));
    world.commit(Some(vec![0]), Some(&[(TEAM, quota)]));
    world.load(Instant::from_millis(20_000), &name(TEAM), 3_000.0, |rng, _| {
        rng.random_range(0..HOSTS)
    });
    world.run(Instant::from_millis(10_000));
    world.commit(Some((0..HOSTS).collect()), None);
    world.run(Instant::from_millis(20_000));
    world.check_windows(&name(TEAM));
}

/// Guards against shares of two control states that are in use at the same time.
#[test]
fn hosts_that_join_beside_a_slow_holder_wait_for_it() {
    join_beside_a_slow_holder(Flaw::None);
}

#[test]
fn a_share_that_grows_too_early_is_detected() {
    assert!(catch_unwind(|| join_beside_a_slow_holder(Flaw::GrowEarly)).is_err());
}

/// Host 2 joins and host 0 leaves. Host 1 sees only the last state, while host 0 still uses
/// the one between.
fn skip_a_state(flaw: Flaw) {
    let bounds = Bounds { window: Duration::from_secs(1), overage: 0.02, slack: 1.0 };
    let mut world = World::with_bounds(3, 3, flaw, bounds);
    let quota = Quota { rate_per_s: 400.0, burst: 8.0 };
    world.commit(Some(vec![0, 1]), Some(&[(TEAM, quota)]));
    let end = Instant::from_millis(8_000);
    world.load(end, &name(TEAM), 3_000.0, |rng, _| rng.random_range(0..3));
    world.run(Instant::from_millis(4_000));
    world.set_lag(1, None);
    world.commit(Some(vec![0, 1, 2]), None);
    world.run(Instant::from_millis(4_100));
    world.set_lag(0, Some(Duration::from_millis(1_500)));
    world.commit(Some(vec![1, 2]), None);
    world.run(Instant::from_millis(4_200));
    world.set_lag(1, Some(Duration::from_millis(20)));
    world.run(end);
    world.check_windows(&name(TEAM));
}

/// Guards against a share that exceeds the host's share in a state that it has skipped and
/// another host still uses.
#[test]
fn a_host_that_skips_a_state_keeps_to_its_share_in_it() {
    skip_a_state(Flaw::None);
}

#[test]
fn a_skipped_state_that_is_forgotten_is_detected() {
    assert!(catch_unwind(|| skip_a_state(Flaw::ForgetSkipped)).is_err());
}

/// Guards against a limit of which nothing is served for the duration of a lease after all
/// hosts have restarted.
#[test]
fn a_limit_is_served_at_once_after_all_hosts_have_restarted() {
    let mut world = World::new(HOSTS, 3, Flaw::None);
    let quota = Quota { rate_per_s: 100.0, burst: 50.0 };
    world.commit(Some((0..HOSTS).collect()), Some(&[(TEAM, quota)]));
    let end = Instant::from_millis(1_000);
    world.load(end, &name(TEAM), 750.0, |rng, _| rng.random_range(0..HOSTS));
    world.run(end);
    let (_, granted) = world.counts(&name(TEAM), Instant::ZERO, end);
    assert!(granted >= 80, "{granted}");
}

/// Half of the holders leave and return again and again, under overload.
fn flap(flaw: Flaw) {
    let mut world = World::new(HOSTS, 3, flaw);
    let quota = Quota { rate_per_s: 20.0, burst: 300.0 };
    world.commit(Some((0..HOSTS).collect()), Some(&[(TEAM, quota)]));
    let begin = Instant::from_millis(25_000);
    world.run(begin);
    world.load(begin + Duration::from_secs(22), &name(TEAM), 1_000.0, |rng, _| {
        rng.random_range(0..HOSTS)
    });
    for _ in 0..10 {
        for (hosts, millis) in [(HOSTS / 2, 100), (HOSTS, 1_750)] {
            world.commit(Some((0..hosts).collect()), None);
            world.run(world.now + Duration::from_millis(millis));
        }
    }
    world.check_windows(&name(TEAM));
}

/// Guards against a new burst each time that a host becomes a holder again.
#[test]
fn holders_that_leave_and_return_get_no_new_burst() {
    flap(Flaw::None);
}

#[test]
fn a_new_holder_with_a_full_bucket_is_detected() {
    assert!(catch_unwind(|| flap(Flaw::StartFull)).is_err());
}

/// Borrows ten tokens, lets them lie for a time, and returns the number of operations that
/// are granted then.
fn granted_after(wait: Duration, answered_after: Duration, flaw: Flaw) -> usize {
    let (own, bounds) = (host_name(0), Bounds::default());
    let settings = Settings { own, bounds, lease: LEASE, seed: 1, flaw };
    let mut ledger = Ledger::new(Instant::ZERO, settings);
    ledger.set_holders(Instant::ZERO, 1, vec![host_name(0), host_name(1)]);
    let quota = Quota { rate_per_s: 0.1, burst: 100.0 };
    ledger.set_limits(Instant::ZERO, 1, [(&name(TEAM), Some(quota))].into_iter());
    let sent = Instant::from_millis(2_000);
    let answered = sent + answered_after;
    let request = Request { lender: host_name(1), team: name(TEAM), tokens: 10, sent };
    ledger.on_loan(answered, &request, Loan { tokens: 10, left: 0.0 });
    let take = |_: &usize| {
        let decision = ledger.take(sent + wait, TEAM, &mut Vec::new());
        matches!(decision, Decision::Granted(_))
    };
    (0..20).filter(take).count()
}

/// Guards against borrowed tokens that add to the limit of a later window.
#[test]
fn borrowed_tokens_expire_after_their_lifetime() {
    let (short, long) = (Duration::from_millis(5), Duration::from_millis(301));
    assert_eq!(granted_after(short, short, Flaw::None), 10);
    assert_eq!(granted_after(long, short, Flaw::None), 0);
    assert_eq!(granted_after(long, long, Flaw::None), 0);
}

#[test]
fn a_loan_that_never_expires_is_detected() {
    let (short, long) = (Duration::from_millis(5), Duration::from_millis(301));
    assert_eq!(granted_after(long, short, Flaw::KeepLoans), 10);
}

/// Guards against messages between hosts in a deployment without limits.
#[test]
fn nothing_is_announced_without_limits() {
    let (own, bounds) = (host_name(0), Bounds::default());
    let settings = Settings { own, bounds, lease: LEASE, seed: 1, flaw: Flaw::None };
    let mut ledger = Ledger::new(Instant::ZERO, settings);
    ledger.set_holders(Instant::ZERO, 1, vec![host_name(0), host_name(1)]);
    ledger.set_limits(Instant::ZERO, 1, [(&name(TEAM), None)].into_iter());
    assert_eq!(ledger.announce(), None);
    let quota = Quota { rate_per_s: 1.0, burst: 10.0 };
    ledger.set_limits(Instant::ZERO, 2, [(&name(TEAM), Some(quota))].into_iter());
    assert_eq!(ledger.announce(), Some(vec![host_name(1)]));
    assert_eq!(ledger.announce(), None);
}

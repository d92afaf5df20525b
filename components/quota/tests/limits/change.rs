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
    ledger.set_holders(Instant::ZERO, vec![host_name(0), host_name(1)]);
    let quota = Quota { rate_per_s: 0.1, burst: 100.0 };
    ledger.set_limits(Instant::ZERO, [(&name(TEAM), Some(quota))].into_iter());
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

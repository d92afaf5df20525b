//! All hosts come back at once: entries accept callers before control can grant leases.

use base::mechanism::{Mechanism, Without};
use base::prelude::*;
use entry::front::outlook::Outlook;

#[test]
fn callers_wait_for_the_first_lease_of_an_entry() {
    let outlook = Outlook::new(Instant::ZERO, Without::default());
    for millis in [0, 400, 700, 1_400] {
        let now = Instant::from_millis(millis);
        assert!(outlook.is_expected(now) && !outlook.is_lost(now), "after {millis} ms");
    }
}

#[test]
fn callers_of_an_entry_that_gets_no_first_lease_go_elsewhere() {
    let now = Instant::from_millis(1_800);
    assert!(!Outlook::new(Instant::ZERO, Without::default()).is_expected(now));
    assert!(Outlook::new(Instant::ZERO, Without::default()).is_lost(now));
}

#[test]
fn callers_wait_for_a_renewal_only_briefly() {
    let until = Instant::from_millis(10_000);
    let outlook = Outlook::new(until, Without::default());
    assert!(outlook.is_expected(until + Duration::from_millis(200)));
    assert!(!outlook.is_expected(until + Duration::from_millis(300)));
    assert!(!outlook.is_lost(until + Duration::from_millis(400)));
    assert!(outlook.is_lost(until + Duration::from_millis(501)));
}

#[test]
fn without_the_wait_a_first_lease_is_like_any_other() {
    let outlook = Outlook::new(Instant::ZERO, Without::default().and(Mechanism::FirstLeaseWait));
    assert!(!outlook.is_expected(Instant::from_millis(400)));
}

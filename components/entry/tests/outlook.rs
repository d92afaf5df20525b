//! An entry that has lost its lease: how long callers wait for a renewal.

use base::prelude::*;
use entry::front::outlook::Outlook;

#[test]
fn callers_wait_for_a_renewal_only_briefly() {
    let until = Instant::from_millis(10_000);
    let outlook = Outlook::new(until);
    assert!(outlook.is_expected(until + Duration::from_millis(200)));
    assert!(!outlook.is_expected(until + Duration::from_millis(300)));
    assert!(!outlook.is_lost(until + Duration::from_millis(500)));
    assert!(outlook.is_lost(until + Duration::from_millis(501)));
}

//! Budgets of repeats and their waits.

use std::time::Duration;

use retry::{Backoff, Budget};

#[test]
fn only_a_share_of_requests_is_repeated() {
    let mut budget = Budget::new(0.1);
    let mut repeats = 0;
    for _ in 0..10_000 {
        budget.deposit();
        repeats += u32::from(budget.withdraw());
    }
    assert!((1_000..=1_010).contains(&repeats), "{repeats} repeats");
}

#[test]
fn waits_grow_up_to_the_cap() {
    let (base, cap) = (Duration::from_millis(10), Duration::from_millis(100));
    let mut backoff = Backoff::new(base, cap, 1);
    for tries in 0..40 {
        let bound = base.saturating_mul(1 << tries.min(16)).min(cap);
        let wait = backoff.delay(tries);
        assert!(wait >= bound / 2 && wait <= bound, "try {tries} waits {wait:?}");
    }
}

//! Tests of retry budgets and backoff delays.

use std::time::Duration;

use retry::{Backoff, Budget};

#[test]
fn only_a_share_of_requests_is_retried() {
    let mut budget = Budget::new(0.1);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert!((1_000..=1_010).contains(&retries), "{retries} retries");
}

#[test]
fn delays_grow_up_to_the_cap() {
    let (base, cap) = (Duration::from_millis(10), Duration::from_millis(100));
    let mut backoff = Backoff::new(base, cap, 1);
    for attempt in 0..40 {
        let bound = base.saturating_mul(1 << attempt.min(16)).min(cap);
        let delay = backoff.delay(attempt);
        assert!(delay >= bound / 2 && delay <= bound, "attempt {attempt} has delay {delay:?}");
    }
}

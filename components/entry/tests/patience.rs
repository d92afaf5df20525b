//! Reads whose keeper falls silent.

use base::prelude::*;
use entry::front::patience::{EARLY_SHARE, Patience, RESPONSE_TIMEOUT};
use retry::Budget;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(5);

/// Time after which a read leaves a keeper that answers nothing from now on.
fn time_to_leave(patience: Patience, early: &mut Budget) -> Duration {
    let mut silence = Duration::ZERO;
    while !patience.leaves(silence, early) {
        silence += STEP;
    }
    silence
}

#[test]
fn a_read_leaves_a_silent_keeper_in_time_for_another_to_meet_the_objective() {
    for objective in [200, 250, 400, 600].map(Duration::from_millis) {
        let patience = Patience::new(objective);
        let left = time_to_leave(patience, &mut Budget::new(EARLY_SHARE));
        // silence is only checked at each interval of the pings
        assert!(left + patience.ping_after() <= objective * 8 / 10, "{left:?} of {objective:?}");
        assert!(left >= patience.ping_after() * 2, "a pinged keeper has the time to answer");
    }
}

#[test]
fn no_keeper_is_left_within_the_time_that_a_busy_host_takes_to_answer() {
    let busy = Duration::from_millis(100);
    for objective in [1, 50, 150].map(Duration::from_millis) {
        assert!(time_to_leave(Patience::new(objective), &mut Budget::new(EARLY_SHARE)) >= busy);
    }
}

#[test]
fn a_request_without_an_objective_waits_for_the_whole_timeout() {
    let left = time_to_leave(Patience::new(Duration::ZERO), &mut Budget::new(EARLY_SHARE));
    assert!(left > RESPONSE_TIMEOUT && left <= RESPONSE_TIMEOUT + STEP);
}

#[test]
fn few_reads_leave_early_while_all_keepers_are_slow() {
    let mut early = Budget::new(EARLY_SHARE);
    let patience = Patience::new(Duration::from_millis(250));
    let mut moved = 0;
    for _ in 0..1_000 {
        early.deposit();
        moved += u32::from(time_to_leave(patience, &mut early) <= RESPONSE_TIMEOUT);
    }
    // a tenth of the requests, and the budget that was full at the start
    assert!((100..=110).contains(&moved), "{moved}");
}

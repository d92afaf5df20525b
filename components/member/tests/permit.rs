//! Calls that only the leader may make, around a change of the leader.

use base::prelude::*;
use control::lease::LEASE_DURATION;
use member::permit::Permit;

#[test]
fn a_call_that_was_held_up_is_not_made_once_the_next_leader_may_call() {
    let requested = Instant::from_millis(10_000);
    let permit = Permit::new(requested);
    for held_up in (0..4_000).step_by(10).map(Duration::from_millis) {
        let now = requested + held_up;
        // the quorum may have elected the next leader right after the request
        let next_leader_calls = requested + LEASE_DURATION;
        if let Some(left) = permit.remaining(now) {
            assert!(now + left < next_leader_calls, "after {held_up:?}");
        } else {
            assert!(held_up >= Duration::from_secs(1), "after {held_up:?}");
        }
    }
}

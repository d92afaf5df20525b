//! Time limit of a call that only the leader may make.
//!
//! A quorum confirms the leader at some time after the leader asked for it. The call
//! itself may then wait behind another one, or in a process that gets no processor time,
//! while the quorum elects the next leader. A call therefore ends within a time limit from
//! the request for the confirmation, and the next leader waits for longer than that.

use base::prelude::*;
use control::lease::LEASE_DURATION;

/// Time from the request for the confirmation in which the call must end. The rest of
/// [`LEASE_DURATION`], for which the next leader waits, is for its way to the receiver.
pub const CALL_LIMIT: Duration = Duration::from_millis(1_400);

const _: () = assert!(CALL_LIMIT.as_millis() < LEASE_DURATION.as_millis());

/// Permission for one call.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    requested_at: Instant,
}

impl Permit {
    /// Makes the permission for a call whose confirmation was requested at the given time,
    /// on a clock that counts suspensions.
    pub fn new(requested_at: Instant) -> Self {
        Self { requested_at }
    }

    /// Time left for the call; `None` if it must not be made any more.
    pub fn remaining(self, now: Instant) -> Option<Duration> {
        CALL_LIMIT.checked_sub(now.since(self.requested_at)).filter(|left| !left.is_zero())
    }
}

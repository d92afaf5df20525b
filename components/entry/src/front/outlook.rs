//! Whether an entry without a lease may expect one soon: its callers then wait; else they are
//! refused, since another entry may serve them.

use base::prelude::*;

/// Time after the expiry of the lease in which it is still expected to be renewed.
const RENEWAL_GRACE: Duration = Duration::from_millis(300);

/// Time without a lease after which idle callers are disconnected: an entry that is cut off
/// from control can't serve them, and other entries can.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What the end of the last lease lets expect.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// End of the last lease; the start of the process if there was none.
    lease_until: Instant,
}

impl Outlook {
    /// Outlook of an entry whose last lease ends, or ended, at the given time.
    pub fn new(lease_until: Instant) -> Self {
        Self { lease_until }
    }

    /// Whether a missing lease is expected soon, so that a caller should wait.
    pub fn is_expected(self, now: Instant) -> bool {
        now.since(self.lease_until) < RENEWAL_GRACE
    }

    /// Whether idle callers are disconnected, so that they reach another entry.
    pub fn is_lost(self, now: Instant) -> bool {
        now.since(self.lease_until) > DISCONNECT_TIMEOUT
    }
}

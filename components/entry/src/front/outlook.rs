//! Whether an entry without a lease may expect one soon: its callers then wait; else they are
//! refused, since another entry may serve them.
//!
//! A lease that has just expired is usually renewed at once. An entry that has started and has
//! had no lease yet gets its first one as soon as control can be reached. After a loss of power
//! everywhere, control starts at the same time, and no other entry is better off.

use base::mechanism::{Mechanism, Without};
use base::prelude::*;

/// Time after the expiry of the lease in which it is still expected to be renewed.
const RENEWAL_GRACE: Duration = Duration::from_millis(300);

/// Time after the start of the process in which the first lease is still expected. Covers the
/// start of control and an election.
const FIRST_LEASE_GRACE: Duration = Duration::from_millis(1_500);

/// Time from the moment at which no lease is expected any more until idle callers are
/// disconnected.
const DISCONNECT_DELAY: Duration = Duration::from_millis(200);

/// The end of the last lease, and what follows from it.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// End of the last lease; the start of the process if there was none.
    lease_until: Instant,
    /// Whether callers wait for the first lease.
    waits_first: bool,
}

impl Outlook {
    /// Outlook of an entry whose last lease ends, or ended, at the given time.
    pub fn new(lease_until: Instant, without: Without) -> Self {
        Self { lease_until, waits_first: !without.has(Mechanism::FirstLeaseWait) }
    }

    /// Whether a missing lease is expected soon, so that a caller should wait.
    pub fn is_expected(self, now: Instant) -> bool {
        now.since(self.lease_until) < self.grace()
    }

    /// Whether idle callers are disconnected, so that they reach another entry.
    pub fn is_lost(self, now: Instant) -> bool {
        now.since(self.lease_until) > self.grace() + DISCONNECT_DELAY
    }

    fn grace(self) -> Duration {
        let first = self.lease_until == Instant::ZERO && self.waits_first;
        if first { FIRST_LEASE_GRACE } else { RENEWAL_GRACE }
    }
}

//! Times of the leases between entries and control.

use std::time::Duration;

/// Time between two beats of an entry.
pub const BEAT: Duration = Duration::from_millis(500);

/// Time that an entry may work after it sent a beat that was confirmed.
pub const LEASE: Duration = Duration::from_secs(2);

/// Time beyond [`LEASE`] before an entry that fell silent is given up.
pub const MARGIN: Duration = Duration::from_millis(500);

/// Connections of a server that are never granted: probes need them.
pub const RESERVED_CONNECTIONS: u32 = 4;

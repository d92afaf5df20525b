//! Times of the leases between entries and control.

use std::time::Duration;

/// Time between two beats of an entry.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time that an entry may work after it sent a beat that was confirmed.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_600);

/// Time beyond [`LEASE_DURATION`] before an entry that fell silent is given up.
pub const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Connections of a server that are never granted: probes need them.
pub const RESERVED_CONNECTIONS: u32 = 4;

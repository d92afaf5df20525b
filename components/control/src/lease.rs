//! Times of the leases between entries and control.

use std::time::Duration;

/// Time between two beats of an entry.
pub const BEAT: Duration = Duration::from_millis(400);

/// Time that an entry may work after it sent a beat that was confirmed.
pub const LEASE: Duration = Duration::from_millis(1_600);

/// Time beyond [`LEASE`] before an entry that fell silent is given up.
pub const MARGIN: Duration = Duration::from_millis(300);

/// Connections of a server that are never granted: probes need them.
pub const RESERVED_CONNECTIONS: u32 = 4;

//! Durations of the leases between entries and control.

use std::time::Duration;

/// Time between two heartbeats of an entry.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which an entry may use its leases after it sent a heartbeat that was confirmed.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_600);

/// Time beyond [`LEASE_DURATION`] before a silent entry is removed.
pub const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Connections of each backend server that are never granted, because probes need them.
pub const RESERVED_CONNECTIONS: u32 = 4;

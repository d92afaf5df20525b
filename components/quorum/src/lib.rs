//! Raft consensus among a few members, as a state machine without sockets, disks
//! or clocks.
//!
//! The program that embeds a replica passes events to [`Replica::on`] and carries
//! out the resulting effects. It must meet these requirements:
//!
//! - [`Effect::Persist`]: writes reach the disk in the order of their tokens. Once
//!   a write and all earlier ones are synced, the program passes
//!   [`Event::Persisted`] with the token of the write. The replica itself holds
//!   back every message that depends on a write, so the other effects need no
//!   order relative to the writes.
//! - After a failed write the replica must not be used any more.
//! - [`Event::Tick`] is passed about every [`TICK_INTERVAL`].
//! - The id of a member is drawn at random when its data folder is created. A
//!   member that lost its disk thus returns under a new id, never under the old id
//!   without the vote that it gave.
//! - The token of a proposal or read is never reused, not even after a restart
//!   under the same id: the program starts from a random token and counts up.

mod barrier;
mod check;
mod dedup;
mod election;
mod event;
mod follower;
mod leader;
mod log;
mod membership;
mod read;
mod replica;
mod standby;

use base::prelude::*;

pub use barrier::{Hard, Write};
pub use event::{Change, Effect, Event, Flaw, Leadership, Settings, Stored};
pub use log::Snapshot;
pub use membership::quorum_size;
pub use replica::Replica;

/// Interval of [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval of a leader's heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time without contact from a leader after which a member starts an election.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(150);

/// Maximum time without contact from a leader after which a member starts an election.
pub const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(300);

/// Minimum time after which a rejected candidate starts another election.
pub const ELECTION_RETRY_MIN: Duration = Duration::from_millis(20);

/// Maximum time after which a rejected candidate starts another election.
pub const ELECTION_RETRY_MAX: Duration = Duration::from_millis(100);

/// Time without contact from a quorum after which a leader steps down.
pub const QUORUM_TIMEOUT: Duration = ELECTION_TIMEOUT_MAX;

/// Gap between ticks above which the process counts as stalled. Silence of other
/// members during a stall is no sign of their failure.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(100);

/// Maximum length of the entries in one message, in bytes; a longer entry is sent alone.
pub const BATCH_BYTES: usize = 512 << 10;

/// Default maximum number of entries in one message.
pub const BATCH_ENTRIES: usize = 512;

/// Number of unacknowledged entries to one member from which on a leader sends no more.
pub const WINDOW_ENTRIES: u64 = 4_096;

/// Default length of a piece of a snapshot, in bytes.
pub const PIECE_BYTES: usize = 256 << 10;

/// Number of recent proposals of each member for which a leader detects duplicates.
pub const SEEN_PROPOSALS: usize = 1_024;

/// Default number of entries kept before the index of a snapshot, for members that
/// lag slightly.
pub const KEPT_ENTRIES: u64 = 1_024;

/// Maximum length of the entries kept before the index of a snapshot, in bytes. Entries may
/// contain whole configurations.
pub const KEPT_BYTES: usize = 2 << 20;

//! A replicated log among a few members, as a state machine without sockets,
//! disks or clocks.
//!
//! The host feeds [`Replica::on`] with events and carries out the effects. Its
//! duties:
//!
//! - [`Effect::Persist`]: writes reach the disk in the order of their tokens;
//!   once a write and all before it are synced, the host gives
//!   [`Event::Persisted`] with its token. The replica itself holds back every
//!   message that rests on a write, so other effects need no order among them.
//! - After a failed write the replica must not be used any more.
//! - [`Event::Tick`] comes about every [`TICK`].
//! - A data folder's id is drawn at random when the folder is made: a member
//!   that lost its disk comes back as another one, never with a forgotten vote.
//! - Numbers of proposals rise, also over restarts of the same id.

mod change;
mod elect;
mod follow;
mod hold;
mod lead;
mod log;
mod read;
mod replica;

use base::prelude::*;

pub use change::quorum;
pub use hold::{Hard, Write};
pub use log::Snapshot;
pub use replica::{Change, Effect, Event, Flaw, Part, Replica, Settings, Stored};

/// Pace of [`Event::Tick`].
pub const TICK: Duration = Duration::from_millis(10);

/// Pace of heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(50);

/// Shortest silence of a leader before a member campaigns.
pub const ELECTION_MIN: Duration = Duration::from_millis(150);

/// Longest silence of a leader before a member campaigns.
pub const ELECTION_MAX: Duration = Duration::from_millis(300);

/// Shortest wait of a refused candidate before it stands again.
pub const RETRY_MIN: Duration = Duration::from_millis(20);

/// Longest wait of a refused candidate before it stands again.
pub const RETRY_MAX: Duration = Duration::from_millis(100);

/// Time without word of a quorum after which a leader steps down.
pub const QUORUM_TIMEOUT: Duration = ELECTION_MAX;

/// A gap between ticks after which silence proves nothing: this process was
/// not running itself.
pub const STALL: Duration = Duration::from_millis(100);

/// Entries in one message, in bytes.
pub const BATCH_BYTES: usize = 512 << 10;

/// Entries in one message.
pub const BATCH_ENTRIES: usize = 512;

/// Entries that may be under way to one member.
pub const WINDOW_ENTRIES: u64 = 4_096;

/// A piece of a snapshot, in bytes.
pub const PIECE_BYTES: usize = 256 << 10;

/// Entries kept behind a snapshot for members that are a little behind.
pub const KEPT_ENTRIES: u64 = 1_024;

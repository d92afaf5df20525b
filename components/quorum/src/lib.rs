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
//! - [`Event::Tick`] comes about every [`TICK_INTERVAL`].
//! - A data folder's id is drawn at random when the folder is made: a member
//!   that lost its disk comes back as another one, never with a forgotten vote.
//! - A number of a proposal or read is never used again, also over restarts of
//!   the same id: the host counts on from a random one.

mod change;
mod elect;
mod event;
mod follow;
mod hold;
mod lead;
mod log;
mod read;
mod replica;
mod seen;

use base::prelude::*;

pub use change::quorum_size;
pub use event::{Change, Effect, Event, Flaw, Leadership, Settings, Stored};
pub use hold::{Hard, Write};
pub use log::Snapshot;
pub use replica::Replica;

/// Pace of [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Pace of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest silence of a leader before a member campaigns.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(150);

/// Longest silence of a leader before a member campaigns.
pub const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(300);

/// Shortest wait of a refused candidate before it stands again.
pub const ELECTION_RETRY_MIN: Duration = Duration::from_millis(20);

/// Longest wait of a refused candidate before it stands again.
pub const ELECTION_RETRY_MAX: Duration = Duration::from_millis(100);

/// Time without word of a quorum after which a leader steps down.
pub const QUORUM_TIMEOUT: Duration = ELECTION_TIMEOUT_MAX;

/// A gap between ticks after which silence proves nothing: this process was
/// not running itself.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(100);

/// Entries in one message, in bytes.
pub const BATCH_BYTES: usize = 512 << 10;

/// Entries in one message.
pub const BATCH_ENTRIES: usize = 512;

/// Entries that may be under way to one member.
pub const WINDOW_ENTRIES: u64 = 4_096;

/// A piece of a snapshot, in bytes.
pub const PIECE_BYTES: usize = 256 << 10;

/// Proposals of one member that a leader knows again when they come twice.
pub const SEEN_PROPOSALS: usize = 1_024;

/// Entries kept behind a snapshot for members that are a little behind.
pub const KEPT_ENTRIES: u64 = 1_024;

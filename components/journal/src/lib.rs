//! A checksummed, append-only journal on disk, which stores the log entries, term,
//! vote and snapshots of a member.
//!
//! Each [`Journal::write`] appends one frame with one checksum and syncs it before
//! the call returns. The next frame is written only after that, so an invalid frame
//! followed by a valid one is corruption, while an invalid frame at the end of the
//! newest segment is a write interrupted by a crash, and is dropped.
//!
//! Files of a data folder:
//! - `identity`: the id of the member, generated when the folder was created.
//! - `NNNNNNNNNNNNNNNNNNNN.log`: segments, by number.
//! - `NNNNNNNNNNNNNNNNNNNN.snap`: snapshots, by the index of their last entry; only
//!   the newest is needed.
//!
//! After a failed write, the journal refuses all further writes: the state of the
//! disk is unknown until the journal is opened again.

pub mod disk;
mod frame;
mod identity;
mod open;
mod store;

pub use disk::{Disk, Folder};
pub use identity::identity;
pub use open::{Recovered, inspect};
pub use store::{Batch, Entry, Failure, Hard, Journal, Snapshot};

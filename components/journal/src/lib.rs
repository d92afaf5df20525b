//! A checksummed, append-only journal on disk: entries, a term and vote, and
//! snapshots.
//!
//! Each [`Journal::write`] is one frame with one checksum and is synced before
//! the call returns. The next frame is written only after that, so a bad frame
//! with a good one after it is corruption, while a bad frame at the very end
//! is a write that a crash cut off, and is dropped.
//!
//! Files of a data folder:
//! - `identity`: the member's id, drawn when the folder was made.
//! - `NNNNNNNNNNNNNNNNNNNN.log`: segments, by number.
//! - `NNNNNNNNNNNNNNNNNNNN.snap`: snapshots, by the index they stand at; only
//!   the newest is needed.
//!
//! After a failed write the journal refuses all further ones: what the disk
//! holds then is known only by opening it again.

pub mod disk;
mod frame;
mod identity;
mod open;
mod store;

pub use disk::{Disk, Folder};
pub use identity::identity;
pub use open::{Recovered, inspect};
pub use store::{Batch, Entry, Failure, Hard, Journal, Snapshot};

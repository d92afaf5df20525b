//! Messages between the processes of the system, and their encoding.
//!
//! Messages are structs that derive `prost::Message`, so no code generator is
//! needed. A receiver skips fields that it does not know, so processes of two
//! consecutive releases work together.
//!
//! Two kinds of processes exchange messages. Control members replicate the control
//! log by consensus. An entry is a proxy: its front serves the connections of callers,
//! and its keeper holds the connections to the backend servers of each group on
//! which the entry has a lease. A front may send a request to the keeper of another
//! entry.
//!
//! - [`data`]: requests of a front to a keeper.
//! - [`control`]: control log and lease renewal, between an entry and a control
//!   member.
//! - [`log`]: commands of the control log.
//! - [`mark`]: log marks.
//! - [`pack`]: compression of long texts.
//! - [`plain`]: payload of [`data`] requests in the plain protocol.
//! - [`quorum`]: consensus between control members.

pub mod control;
pub mod data;
pub mod log;
pub mod mark;
pub mod pack;
pub mod plain;
pub mod quorum;

pub use prost::Message;

//! Framed TCP links between the system's own processes.
//!
//! A frame is a length of four bytes, big-endian, and that many bytes of one
//! message. Before the first message both ends prove that they hold the shared
//! key, each over a number that the other end drew, and name themselves. Links
//! never send anything again: a message that may have left is the business of
//! the layer that sent it.

pub mod frame;
pub mod key;
pub mod peer;
pub mod socket;

pub use frame::{Reader, Writer};
pub use key::Key;
pub use peer::{Failure, Peer, Purpose, accept, dial};

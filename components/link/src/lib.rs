//! Framed TCP links between the system's own processes.
//!
//! A frame is a length of four bytes, big-endian, and that many bytes of one
//! message. Before the first message, both ends name themselves and prove that they
//! hold the shared key, each over a nonce of the other end. Links never resend a
//! message: whether one that may have been delivered is retried is decided by the
//! layer that sent it.

pub mod frame;
pub mod key;
pub mod peer;
pub mod socket;

pub use frame::{Reader, Writer};
pub use key::Key;
pub use peer::{Failure, Peer, Purpose, accept, dial};

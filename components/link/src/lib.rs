//! Framed TCP links between the system's own processes.
//!
//! A frame is a length of four bytes, big-endian, and that many bytes of one
//! message. Before the first message, both ends name themselves and prove that they
//! hold the shared key, each by a MAC that covers a nonce of the other end. Links
//! never resend a message: the layer that sent a message decides whether to retry it
//! when its delivery is uncertain.

pub mod frame;
pub mod key;
pub mod peer;
pub mod socket;

pub use frame::{Frame, Reader, Writer};
pub use key::Key;
pub use peer::{Failure, Peer, Purpose, accept, dial};

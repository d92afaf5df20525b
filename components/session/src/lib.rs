//! Session consistency: the floors of a caller's reads, and the token that carries them.
//!
//! The system stores no sessions. A caller holds its [`Floors`] in a token that
//! any entry can verify, so the caller may connect to any entry at any time.

pub mod floors;
pub mod token;

pub use floors::Floors;
pub use token::{Failure, Keys};

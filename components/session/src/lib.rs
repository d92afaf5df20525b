//! Sessions: what a caller must be shown, and the token that carries it.
//!
//! The system keeps no session. A caller holds its [`Floors`] in a token that
//! any entry can check, so it may go to any entry at any time.

pub mod floors;
pub mod token;

pub use floors::Floors;
pub use token::{Failure, Keys};

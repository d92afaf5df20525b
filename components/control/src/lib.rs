//! The state that the control log builds, and the leader's decisions on it.
//!
//! - [`state`]: what is decided; members and entries hold the same.
//! - [`mod@apply`]: how one command changes it.
//! - [`image`]: the whole of it as bytes.
//! - [`leader`]: what the leading member does about it: leases, failovers,
//!   announcements.

pub mod apply;
pub mod changes;
pub mod image;
pub mod leader;
pub mod lease;
pub mod state;

pub use apply::{Outcome, Refusal};
pub use changes::Answer;
pub use leader::{Ask, Effect, Event, Leader, Unreached};
pub use state::{Entry, Group, Phase, Server, State};

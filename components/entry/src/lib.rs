//! The host of an entry: callers on one side, backend servers on the other.
//!
//! - [`follow`]: its link to control.
//! - [`front`]: callers and their sessions.
//! - [`keep`]: the keeper, which owns connections to backend servers.
//! - [`view`]: what this entry knows of the control log, and its lease.

pub mod follow;
pub mod front;
pub mod keep;
pub mod view;

pub use view::View;

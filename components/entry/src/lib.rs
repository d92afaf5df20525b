//! The host of an entry: callers on one side, backend servers on the other.
//!
//! - [`host`]: starting and stopping all of it.
//! - [`front`]: callers and their sessions.
//! - [`keep`]: connections to backend servers.
//! - [`follow`]: its link to control.
//! - [`view`]: what this entry knows of the control log, and its lease.

pub mod follow;
pub mod front;
pub mod host;
pub mod keep;
pub mod view;

pub use host::{Addresses, Bound, Failure, Handle, Settings, Stop, bind};
pub use view::View;

//! An entry process: callers on one side, backend servers on the other.
//!
//! - [`host`]: starts and stops an entry.
//! - [`front`]: callers and their sessions.
//! - [`keep`]: connections to backend servers.
//! - [`follow`]: the entry's link to control.
//! - [`view`]: the control state that this entry has applied, and its lease.

pub mod follow;
pub mod front;
pub mod host;
pub mod keep;
pub mod view;

pub use host::{Addresses, Bound, Failure, Handle, Settings, Stop, bind};
pub use view::View;

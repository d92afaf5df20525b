//! The host of an entry: callers on one side, backend servers on the other.
//!
//! - [`keep`]: the keeper, which owns connections to backend servers.
//! - [`view`]: what this entry knows of the control log, and its lease.

pub mod keep;
pub mod view;

pub use view::View;

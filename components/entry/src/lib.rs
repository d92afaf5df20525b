//! The host of an entry: callers on one side, backend servers on the other.
//!
<<<<<<< HEAD
//! - [`follow`]: its link to control.
//! - [`view`]: what this entry knows of the control log, and its lease.

pub mod follow;
=======
//! - [`front`]: callers and their sessions.
//! - [`view`]: what this entry knows of the control log, and its lease.

pub mod front;
>>>>>>> front
pub mod view;

pub use view::View;

//! One request's path through the logs of several processes.
//!
//! [`Logs`] reads the lines. The hosts' clocks are apart, so [`Clocks`] compares
//! them by what must have come before what: a keeper ends a request before the
//! front answers it, and a command is applied by the leader before anyone learns
//! of it. [`Path`] picks the lines that tell what became of a request and why,
//! in the order of one clock.

pub mod clock;
pub mod line;
pub mod path;

pub use clock::Clocks;
pub use line::{Line, Logs, Source};
pub use path::Path;

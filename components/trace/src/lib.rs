//! The path of a request through the logs of several processes.
//!
//! [`Logs`] parses the log lines. The clocks of the hosts differ, so [`Clocks`]
//! estimates their offsets from the order of causes and effects: a keeper ends a
//! request before the front end answers it, and the leader applies a command before
//! another process learns of it. [`Path`] selects the lines that explain the outcome
//! of a request, in the order of one clock.

pub mod clock;
pub mod line;
pub mod path;

pub use clock::Clocks;
pub use line::{Line, Logs, Source};
pub use path::Path;

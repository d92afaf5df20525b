//! How much work a backend server gets, judged by its answers alone.
//!
//! - [`Window`]: the number of concurrent statements of a server that has just started,
//!   recovered or been promoted. It grows from one while the server answers as before.
//! - [`Gauge`]: run times of a server's statements and failures of its reads, compared with
//!   those of its peers. A server that fails more of them than its peers is on probation and gets
//!   single requests only.
//! - [`Usual`]: the usual run time of one kind of request, which makes the run times of
//!   different kinds comparable.
//!
//! All of them are state machines with the time as an argument. Each keeper sees only
//! its own answers, and exchanges nothing with other keepers.

mod gauge;
mod recent;
mod usual;
mod window;

pub use gauge::{Gauge, MIN_FAILURES};
pub use usual::Usual;
pub use window::{Answer, Window};

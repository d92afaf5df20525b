//! Decisions about connections to backend servers that belong to teams.
//!
//! A connection runs requests of one team only, and the number of connections to a server
//! is limited. The connections are therefore a cache, keyed by team, and this crate decides
//! what the cache does:
//!
//! - [`place`]: the server for a read, and whether an idle connection serves it;
//! - [`should_open`]: whether a waiting request gets a new connection;
//! - [`choose_victim`]: the idle connection that is closed for a new one;
//! - [`Usage`]: the request rate of a team, which says what a connection is worth.
//!
//! All functions take plain values and have no effects. The caller counts connections and
//! slots, and performs what was decided.

mod evict;
mod open;
mod place;
mod usage;

pub use evict::{Gain, Idle, choose_victim};
pub use open::{Holding, should_open};
pub use place::{Choice, Load, place};
pub use usage::{Usage, urgency};

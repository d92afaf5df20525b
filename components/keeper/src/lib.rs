//! The keeper: the half of an entry (a proxy process) that owns the connections
//! to backend servers. The other half, the front, owns the connections of
//! callers.
//!
//! A [`Group`] makes the decisions for one database group: which request runs
//! next and on which server, when its answer may be released, and the outcome
//! of a request whose connection was lost. A group performs no I/O: the driver,
//! which is the code that embeds the group, feeds it [`Event`]s and performs
//! its [`Effect`]s.
//!
//! - `admission`: requests, credit and callers that disconnect.
//! - `place`: the order of waiting requests, by priority, objective, team and service.
//! - `estimate`: estimates of run times.
//! - `shedding`: requests refused under overload.
//! - `reads`: verified samples and the choice of a replica.
//! - `dispatch`: sending of queued requests, and the number of connections.
//! - `cycle`: events of connections.
//! - `resolve`: acknowledgement by a majority, and requests in doubt.
//! - `finish`: ends of requests, and retries.
//! - `pace`: slow start, probation and the cost of a read on a server.
//! - `health`: symptoms of a failed primary.
//! - `teams`: connections of teams.
//! - `opening`: the time that opening a connection takes.
//! - `full`: servers that have too many connections.
//! - `setup`: servers, leases and declarations from the control log.
//! - `request`, `conn`, `server` and `service`: state of one of each.
//! - `uptime`: suspensions of the process.
//! - `unfenced`: groups whose servers acknowledge by themselves.

mod admission;
mod conn;
mod cycle;
mod dispatch;
mod estimate;
pub mod event;
mod finish;
mod flaw;
mod full;
mod group;
mod health;
mod opening;
mod pace;
mod place;
mod reads;
mod request;
mod resolve;
mod server;
mod service;
mod setup;
mod shedding;
mod teams;
mod unfenced;
mod uptime;

pub use conn::Connection;
pub use event::{
    Cause, Count, Effect, Ended, Event, Front, Kind, Lease, Outage, Pace, Piece, Reported, Setup,
    Shed, Unfenced,
};
#[cfg(feature = "fault")]
pub use flaw::Flaw;
pub use group::Group;

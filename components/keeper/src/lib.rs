//! The half of an entry that owns connections to backend servers.
//!
//! One [`Group`] decides for one database group: which request runs next and
//! where, when its answer may be released, and what became of a request whose
//! connection broke. It holds no socket: the host feeds it [`Event`]s and
//! carries out its [`Effect`]s.
//!
//! - `admission`: requests, credit and callers that leave.
//! - `reads`: verified samples and the choice of a replica.
//! - `dispatch`: what is sent next, and how many connections stand open.
//! - `cycle`: what connections report.
//! - `resolve`: acknowledgement, and requests in doubt.
//! - `finish`: ends of requests, and repeats.
//! - `health`: symptoms of a primary.
//! - `unfenced`: groups whose servers acknowledge by themselves.

mod admission;
mod conn;
mod cycle;
mod dispatch;
pub mod event;
mod finish;
mod flaw;
mod group;
mod health;
mod reads;
mod request;
mod resolve;
mod server;
mod service;
mod setup;
mod shedding;
mod unfenced;

pub use conn::Connection;
pub use event::{
    Cause, Count, Effect, Ended, Event, Front, Kind, Lease, Outage, Piece, Reported, Setup,
    Unfenced,
};
#[cfg(feature = "fault")]
pub use flaw::Flaw;
pub use group::Group;

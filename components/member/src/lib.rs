//! The host of a control member: sockets, disk and timers around the state
//! machines of `quorum` and `control`.
//!
//! - [`host`]: binding, starting, stopping.
//! - `core`: one task that owns every state machine of the member. It waits
//!   for nothing but its inputs and its timer.
//! - `disk`: a thread that makes writes durable, many with one sync.
//! - `link`, `peers`, `boot`: links between members, and the first membership.
//! - `entry`, `follow`: what entries are served, at the link and in the core.
//! - `probe`: questions to backend servers on standing connections.
//! - `beacon`: how far each member is, published over nng.
//! - `web`, `status`, `meter`: HTTP, what it shows, and metrics.

pub mod api;
mod apply;
mod beacon;
mod bootstrap;
mod core;
mod disk;
mod effects;
mod entry;
mod event;
mod follower;
pub mod host;
mod input;
mod join;
mod leader;
mod link;
mod meter;
mod peers;
mod pending;
mod probe;
pub mod roster;
pub mod standby;
mod status;
mod web;

pub use api::{Api, Edition, Replaced, RequestError};
pub use disk::{StoredSnapshot, inspect};
pub use host::{Addresses, Bound, Failure, Handle, Origin, Peer, Seeds, Settings, bind};

//! Runtime of a control member: sockets, disk and timers around the state
//! machines of `quorum` and `control`.
//!
//! An entry is a proxy process, which follows the replicated log through a member;
//! its keeper is the half that owns the connections to backend servers. An item of
//! the log is called a log entry. The control leader is the state machine of
//! `control` that assigns leases and selects primaries; it runs only at the leader
//! of the quorum.
//!
//! - [`host`]: binding, starting and stopping.
//! - [`api`]: requests of the hosting program to the member.
//! - `core`: one task that owns every state machine of the member and waits only
//!   for its inputs and its timer.
//! - `input`: inputs of the core.
//! - `pending`: proposals and reads that wait for the quorum.
//! - `disk`: a thread that makes writes durable, with one sync for many of them.
//! - `link`, `peers`: links between members.
//! - `bootstrap`, `join`: the first membership, and joining an existing one.
//! - `roster`: automatic changes of the membership.
//! - `effects`, `apply`, `leader`: effects of the quorum, committed log entries, and
//!   the control leader.
//! - `entry`, `follower`, `updates`, [`outbox`]: the link of an entry, its state in the
//!   core, what it is sent, and its send queue.
//! - [`seal`]: encryption of the operators' documents.
//! - `probe`: requests to backend servers on persistent connections.
//! - `beacon`: progress of each member, published over nng.
//! - `web`, `status`, `meter`, `event`: the HTTP interface, its status document,
//!   metrics, and log lines about applied commands.
//! - [`standby`]: a control host without a disk, which is not a member.

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
mod leaves;
mod link;
mod meter;
pub mod outbox;
mod peers;
mod pending;
pub mod permit;
mod probe;
pub mod roster;
pub mod seal;
pub mod standby;
mod status;
mod updates;
mod waits;
mod web;

pub use api::{Api, Edition, Replaced, RequestError};
pub use disk::{StoredSnapshot, inspect};
pub use host::{Addresses, Bound, Failure, Handle, Origin, Peer, Seeds, Settings, bind};

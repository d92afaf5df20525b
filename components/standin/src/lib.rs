//! A stand-in of a database group, for tests and benches.
//!
//! All servers of a group run in this process and listen on loopback. They
//! speak the PostgreSQL protocol over an embedded SQLite database each, copy
//! their primary's log asynchronously, and offer the functions that a group
//! must: status, fence, promote, follow and mark.
//!
//! - [`log`]: the replication log and its terms, a plain state machine.
//! - [`sqlite`]: the SQLite database of one server.
//! - [`storage`]: log and database of one server under one lock.
//! - [`server`]: one server: listener, limits and faults.
//! - [`session`]: one caller's connection.
//! - [`replication`]: replication, from the replica's side.
//! - [`announce`]: how a server makes itself known to control.
//! - [`group`]: the servers of a group, and the faults put on them.

pub mod announce;
pub mod answer;
pub mod counters;
pub mod failure;
pub mod fault;
pub mod function;
pub mod group;
pub mod infer;
pub mod log;
pub mod replication;
pub mod server;
pub mod session;
pub mod settings;
pub mod sql;
pub mod sqlite;
pub mod storage;
pub mod transaction;
pub mod value;

pub use failure::Failure;
pub use fault::Fault;
pub use group::Group;
pub use log::Log;
pub use settings::Settings;

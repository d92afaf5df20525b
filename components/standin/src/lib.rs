//! Stand-in for a database group, for tests and benchmarks.
//!
//! All servers of a group run in this process and listen on loopback. Each
//! serves the PostgreSQL protocol from an embedded SQLite database, replicates
//! its primary's log asynchronously, and has the SQL functions that a group must
//! provide: status, fence, promote, follow and mark.
//!
//! - [`log`]: the replication log and its terms, a state machine without I/O.
//! - [`sqlite`]: the SQLite database of a server.
//! - [`storage`]: log and database of a server under one lock.
//! - [`server`]: listener, limits and faults of a server.
//! - [`session`]: a client's connection.
//! - [`replication`]: the replica's side of replication.
//! - [`announce`]: announcements of a server to the control members.
//! - [`group`]: the servers of a group, and the faults injected into them.

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

//! The whole path in one process on loopback: control members, entries and
//! stand-in groups, for a newcomer, for tests and for the load tool.
//!
//! - [`scenario`]: places, sizes and declarations of the examples.
//! - [`admin`]: what is asked of control members over HTTP.
//! - [`cluster`]: starts all parts and stops or breaks them.
//! - [`fault`]: the HTTP route that breaks stand-ins.

pub mod admin;
pub mod cluster;
pub mod fault;
pub mod scenario;

pub use cluster::{Cluster, Failure, Settings};
pub use scenario::Scenario;

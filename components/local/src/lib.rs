//! Control members, entries and stand-in groups in one process on the loopback
//! interface, for a first look at the system, for tests and for the load tool.
//!
//! - [`scenario`]: zones, sizes and declarations of the examples.
//! - [`admin`]: HTTP requests to control members and to health endpoints.
//! - [`cluster`]: starts all components, and stops, kills or isolates them.
//! - [`fault`]: the stand-in groups, and the HTTP route that injects faults into them.

pub mod admin;
pub mod cluster;
pub mod fault;
pub mod scenario;

pub use cluster::{Cluster, Failure, Settings};
pub use scenario::Scenario;

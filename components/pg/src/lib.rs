//! Server side of the PostgreSQL protocol for the front, which accepts callers.
//!
//! Messages and their codec come from `pgwire`, tokens of SQL from `sqlparser`.
//! This crate decides what the messages of a caller mean.
//!
//! - [`frame`]: splits a stream of bytes into messages.
//! - [`startup`]: packets that a caller sends before login.
//! - [`client`]: validates and decodes the messages of a caller.
//! - [`scan`]: classifies SQL statements by their tokens, without parsing them.
//! - [`setting`]: session settings that the front answers without a backend server.
//! - [`cycle`]: groups messages up to each Query or Sync.
//! - [`prepared`]: prepared statements of a caller, and the messages that a backend
//!   server gets in their place.
//! - [`filter`]: removes messages from an answer that the caller must not see.
//! - [`answer`]: messages that the front writes itself.
//! - [`code`]: errors that are sent to a caller, and their SQLSTATE codes.
//! - [`scram`][mod@scram]: password authentication.

pub mod answer;
pub mod client;
pub mod code;
pub mod cycle;
pub mod filter;
pub mod frame;
pub mod prepared;
pub mod scan;
pub mod scram;
pub mod setting;
pub mod startup;

pub use client::Message;
pub use code::{Code, Problem};
pub use cycle::{Caller, Cycle};
pub use filter::Filter;
pub use prepared::Prepared;
pub use scan::Scan;

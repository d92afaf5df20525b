//! The PostgreSQL protocol as a front needs it.
//!
//! Messages and their codec come from `pgwire`, tokens of SQL from
//! `sqlparser`. What stands here decides what a caller's messages mean.
//!
//! - [`frame`]: whole messages out of a stream of bytes.
//! - [`startup`]: the packets before login.
//! - [`client`]: a caller's messages, checked and decoded.
//! - [`scan`]: what a text of SQL asks for, without parsing it.
//! - [`setting`]: the settings that hold, answered without a backend server.
//! - [`cycle`]: messages grouped up to each Query or Sync.
//! - [`prepared`]: statements that a caller prepared, and the cycle as a
//!   backend server is to get it.
//! - [`filter`]: the answer as the caller is to get it.
//! - [`answer`]: messages that the front writes itself.
//! - [`scram`][mod@scram]: passwords.

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

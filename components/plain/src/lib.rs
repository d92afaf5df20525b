//! Protocol-independent types of statements, answers and backend requests.
//!
//! - [`statement`]: messages of callers.
//! - [`answer`]: messages to callers.
//! - [`server`]: messages to and from backend servers.
//! - [`dialect`]: trait of a protocol that encodes and decodes these types.

pub mod answer;
pub mod dialect;
pub mod server;
pub mod statement;

pub use answer::{Answer, Problem, Status};
pub use dialect::{Dialect, Malformed};
pub use server::{ErrorKind, Order, Reply};
pub use statement::{Access, Query, Request, Statement};

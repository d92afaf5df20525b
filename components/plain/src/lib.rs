//! Plain statements: what a caller may ask and how it is answered, free of any
//! protocol.
//!
//! - [`statement`]: what callers ask.
//! - [`answer`]: what they are told.
//! - [`server`]: what is asked of a backend server, and what it replies.
//! - [`dialect`]: the edge where these types become bytes.

pub mod answer;
pub mod dialect;
pub mod server;
pub mod statement;

pub use answer::{Answer, Problem, Status};
pub use dialect::{Dialect, Malformed};
pub use server::{Fault, Order, Reply};
pub use statement::{Access, Query, Request, Statement};

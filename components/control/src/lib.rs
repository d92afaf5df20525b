//! The state that the control log builds, and the leader's decisions on it.

pub mod state;

pub use state::{Entry, Group, Phase, Server, State};

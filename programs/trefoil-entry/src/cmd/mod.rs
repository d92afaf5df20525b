//! The commands.

pub mod run;
pub mod user;

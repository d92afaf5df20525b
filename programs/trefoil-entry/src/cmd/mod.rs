//! Commands of the program.

pub mod run;
pub mod user;

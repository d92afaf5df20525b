//! Commands of the program.

pub mod serve;

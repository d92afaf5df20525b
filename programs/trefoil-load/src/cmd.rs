//! Commands of the program.

pub mod run;

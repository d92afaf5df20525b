//! What the program does.

pub mod serve;

//! What the program does.

pub mod run;

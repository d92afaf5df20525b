//! One file a command.

pub(crate) mod run;

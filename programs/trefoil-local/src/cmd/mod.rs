//! Commands, one module each.

pub(crate) mod run;

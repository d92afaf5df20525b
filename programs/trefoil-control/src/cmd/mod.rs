//! Commands of the program.

mod inspect;
mod run;

pub(crate) use inspect::inspect;
pub(crate) use run::run;

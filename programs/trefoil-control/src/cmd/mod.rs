//! The program's commands.

mod inspect;
mod run;

pub(crate) use inspect::inspect;
pub(crate) use run::run;

//! A randomized soak of the real programs, each a process of its own, with
//! faults from outside of them.
//!
//! The programs of control and of entries run on loopback, with proxies in front
//! of them; the database groups are stand-ins of this process. Callers check the
//! promises while faults are drawn from a seed, several at a time.
//!
//! - [`plan`]: which faults, from a seed alone.
//! - [`process`]: programs, and signals to them.
//! - [`proxy`]: connections that are delayed, held, silenced and reset.
//! - [`bench`]: all parts together, as the load's bench.
//! - [`chaos`]: puts the faults on the parts and takes them back.
//! - [`run`]: one soak and what came of it.

pub mod bench;
pub mod chaos;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod run;

pub use run::{Outcome, Settings, run};

/// Why a soak could not be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// A part could not be started.
    #[strum(to_string = "a part could not be started")]
    Start,
    /// Not all parts were of use again once the faults were over.
    #[strum(to_string = "not all parts were of use again once the faults were over")]
    Heal,
    /// The load failed.
    #[strum(to_string = "the load failed")]
    Load,
}

impl std::error::Error for Failure {}

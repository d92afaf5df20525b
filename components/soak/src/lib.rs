//! Randomized soak test of the real programs. Each runs as a process of its own,
//! and faults are injected from outside.
//!
//! Control members and entries run on the loopback interface, with a
//! fault-injecting proxy in front of each; the database groups are stand-ins in
//! this process. Callers check the consistency guarantees while concurrent faults
//! are drawn from a seed.
//!
//! - [`plan`]: the sequence of faults, determined by a seed alone.
//! - [`process`]: program processes, and the signals sent to them.
//! - [`proxy`]: a proxy that delays, holds, silences and resets connections.
//! - [`bench`]: the processes, proxies and groups, as a system under load.
//! - [`chaos`]: injects the faults and removes them.
//! - [`run`]: runs a soak and reports its outcome.

pub mod bench;
pub mod chaos;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod run;

pub use run::{Outcome, Settings, run};

/// Why a soak could not be completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// A process, a proxy or a group could not be started, or the declarations
    /// could not be applied.
    #[strum(to_string = "a component could not be started")]
    Start,
    /// A component was not ready in time, at the start or after the faults were
    /// removed, or the faults of a group could not be removed.
    #[strum(to_string = "a component was not ready in time or could not be healed")]
    Heal,
    /// The load could not be run to its end.
    #[strum(to_string = "the load failed")]
    Load,
}

impl std::error::Error for Failure {}

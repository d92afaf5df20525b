//! Why a run failed as such; broken promises are no failure of the run.

/// A failure of the bench.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// The groups could not be started.
    Start,
    /// The tables could not be made in time.
    Schema,
    /// The fault could not be put on the bench.
    Fault,
    /// The groups did not come to rest after all faults were healed.
    Convergence,
    /// The tables could not be read at the end.
    Audit,
}

impl std::error::Error for Failure {}

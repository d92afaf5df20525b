//! Failures that prevent a run from completing. A violated guarantee is not a
//! failure of the run; the verdict reports violations.

/// The step of a run that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// The groups, the entries or the control members could not be started, or the
    /// declarations could not be applied.
    Start,
    /// The tables could not be created in time.
    Schema,
    /// A fault could not be injected or removed.
    Fault,
    /// The servers of a group did not converge after all faults were removed.
    Convergence,
    /// The tables could not be read at the end of the run.
    Audit,
}

impl std::error::Error for Failure {}

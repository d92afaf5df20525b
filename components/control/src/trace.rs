//! Times at which the steps of a failover were taken.

use base::prelude::*;

use crate::detector::Cause;

/// Timeline of one failover. All times are read from the leader's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The group that fails over.
    pub group: Name,
    /// Newest term that was intended for the group.
    pub term: Term,
    /// Cause of the failover.
    pub cause: Cause,
    /// When the leader detected the cause.
    pub noticed: Instant,
    /// When a majority was fenced or, in an unfenced group, no keeper worked for the
    /// old primary any more.
    pub fenced: Option<Instant>,
    /// When the new primary was promoted.
    pub promoted: Option<Instant>,
    /// When the leader found the term established in the log.
    pub established: Option<Instant>,
}

impl Trace {
    /// Creates the timeline of a failover that was detected at `now`.
    pub fn new(now: Instant, group: Name, term: Term, cause: Cause) -> Self {
        Self { group, term, cause, noticed: now, fenced: None, promoted: None, established: None }
    }
}

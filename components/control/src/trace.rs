//! When the steps of a failover were taken.

use base::prelude::*;

use crate::detector::Cause;

/// One failover as its leader saw it. Times are of the leader's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The group.
    pub group: Name,
    /// Newest term that was intended for it.
    pub term: Term,
    /// Why it began.
    pub cause: Cause,
    /// When the need for it was seen.
    pub noticed: Instant,
    /// When a majority was fenced.
    pub fenced: Option<Instant>,
    /// When the new primary was promoted.
    pub promoted: Option<Instant>,
    /// When a majority had followed and that was committed.
    pub established: Option<Instant>,
}

impl Trace {
    /// Starts with the need for a failover.
    pub fn new(now: Instant, group: Name, term: Term, cause: Cause) -> Self {
        Self { group, term, cause, noticed: now, fenced: None, promoted: None, established: None }
    }
}

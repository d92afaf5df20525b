//! Input of one step of a group's failover.

use base::mechanism::Without;
use base::prelude::*;

use crate::flaw::Flaw;
use crate::liveness::Liveness;
use crate::state::{Group, State};

/// Facts that a leader is given at its election.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// Term of the quorum in which the member leads, used as the fencing token of
    /// its designations.
    pub token: u64,
    /// When the member last applied a choice of a primary, or may have skipped one
    /// in a snapshot.
    pub last_chosen: Option<Instant>,
    /// Mechanisms that are turned off.
    pub without: Without,
}

/// Input of one step of a group's failover.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Current time.
    pub now: Instant,
    /// The applied control state.
    pub state: &'a State,
    /// Name of the group.
    pub name: &'a Name,
    /// Applied state of the group.
    pub group: &'a Group,
    /// Which entries are alive, and whose leases may still be in force.
    pub liveness: &'a Liveness,
    /// Facts that the leader was given at its election.
    pub leadership: Leadership,
    /// Safety rule that the leader breaks; for tests only.
    pub flaw: Flaw,
}

impl Context<'_> {
    pub(crate) fn majority(&self) -> usize {
        self.state.majority(self.name.as_str())
    }

    pub(crate) fn elects(&self) -> bool {
        self.state.declarations.groups.get(self.name).is_some_and(|group| group.elects)
    }
}

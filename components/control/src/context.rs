//! What a step of one group goes by.

use base::prelude::*;

use crate::flaw::Flaw;
use crate::liveness::Liveness;
use crate::state::{Group, State};

/// What a leader must know of the time before it led.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// Term of the quorum in which it leads; the token of its designations.
    pub token: u64,
    /// When a server was last seen to be chosen.
    pub last_chosen: Option<Instant>,
}

/// What a step of a group goes by.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The present time.
    pub now: Instant,
    /// The state as applied.
    pub state: &'a State,
    /// The group's name.
    pub name: &'a Name,
    /// The group.
    pub group: &'a Group,
    /// Which entries live, and whose leases may still run.
    pub liveness: &'a Liveness,
    /// What the leader knows of the time before it led.
    pub leadership: Leadership,
    /// A rule to break, in tests.
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

//! Mechanisms that can be turned off one by one, so that it can be measured what each is worth.
//!
//! Only mechanisms that improve how callers are served are listed: what guards a promise can't
//! be turned off.

use std::str::FromStr;

use strum::{EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

/// A mechanism that can be turned off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Mechanism {
    /// A server that has started gets work through a growing window.
    SlowStart,
    /// The server of a read is chosen by the answers of the servers.
    ReadChoice,
    /// A server that fails more than its peers gets single requests only.
    Probation,
    /// A failed read is tried on another server.
    ReadRetry,
    /// Retries are limited to a share of the requests.
    RetryBudget,
    /// Reads use free slots of the primary.
    PrimaryReads,
    /// Requests that could not end within their objective are refused at once.
    Admission,
    /// Waiting requests are ordered by priority, objective and fairness.
    Order,
    /// A keeper leaves room on a full server for the probes of control.
    ControlRoom,
    /// A read leaves a silent keeper after half of its objective.
    EarlyMove,
    /// An entry that is probably cut off refuses at once.
    CutOffRefusal,
    /// An entry is unready as soon as its heartbeats are not confirmed.
    EarlyUnready,
    /// Idle callers are disconnected when no lease is to be expected.
    IdleDisconnect,
    /// A member that starts calls its first election early.
    EarlyElection,
    /// The servers of a suspected keeper are probed.
    SuspectProbes,
    /// Keepers that have joined again get their leases at once.
    LastKeepers,
}

/// Set of the mechanisms that are turned off; empty by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Without(u32);

/// A name in a list of mechanisms that is not one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownMechanism(String);

impl std::fmt::Display for UnknownMechanism {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let names: Vec<&str> = Mechanism::iter().map(<&str>::from).collect();
        write!(f, "`{}` is not one of {}", self.0, names.join(", "))
    }
}

impl std::error::Error for UnknownMechanism {}

impl Without {
    /// Whether a mechanism is turned off.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.0 & (1 << mechanism as u32) != 0
    }

    /// The set with a further mechanism.
    #[must_use]
    pub fn and(self, mechanism: Mechanism) -> Self {
        Self(self.0 | 1 << mechanism as u32)
    }
}

impl FromStr for Without {
    type Err = UnknownMechanism;

    /// Parses names separated by commas; an empty list turns nothing off.
    fn from_str(list: &str) -> Result<Self, UnknownMechanism> {
        let names = list.split(',').map(str::trim).filter(|name| !name.is_empty());
        names.into_iter().try_fold(Self::default(), |set, name| {
            let mechanism = name.parse().map_err(|_unknown| UnknownMechanism(name.to_owned()))?;
            Ok(set.and(mechanism))
        })
    }
}

impl std::fmt::Display for Without {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let names = Mechanism::iter().filter(|mechanism| self.has(*mechanism));
        let names: Vec<&str> = names.map(<&str>::from).collect();
        f.write_str(&names.join(","))
    }
}

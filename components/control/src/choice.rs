//! Which of the fenced servers becomes the primary.
//!
//! What was acknowledged is held by a majority in its term, so among any
//! fenced majority the highest `(log_term, received)` has it all. A server
//! that had better not be primary (it is leaving, or its replicas can't reach
//! it) is passed over only where the others are a majority by themselves, or
//! one of them has as much.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::flaw::Flaw;
use crate::state::{Group, State};

/// A server's report after it was fenced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced {
    /// Last record of its log.
    pub last: Mark,
    /// Last position that reads see.
    pub applied: Position,
}

/// The choice of a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub server: Name,
    /// Last record of its log.
    pub start: Mark,
}

/// Chooses among fenced servers, at least a majority. `avoided` had better not
/// be chosen, and neither had servers that are leaving.
pub fn choose(
    state: &State,
    group: &Group,
    fenced: &BTreeMap<Name, Fenced>,
    majority: usize,
    avoided: Option<&Name>,
    flaw: Flaw,
) -> Option<Choice> {
    let suits = |name: &Name| Some(name) != avoided && !leaves(state, name);
    let suited = fenced.keys().filter(|name| suits(name)).count();
    let zone = group.primary.as_ref().and_then(|primary| state.servers.get(primary));
    let near = |name: &Name| {
        let server = state.servers.get(name);
        server.zip(zone).is_some_and(|(server, zone)| server.zone == zone.zone)
    };
    let rank = |name: &Name, fenced: &Fenced| {
        let last = match flaw {
            Flaw::IgnoreLogTerm => Mark { term: Term(0), ..fenced.last },
            _ => fenced.last,
        };
        (last, suits(name), near(name), fenced.applied)
    };
    let pool = fenced.iter().filter(|(name, _)| suited < majority || suits(name));
    let (server, best) = pool.max_by_key(|(name, fenced)| rank(name, fenced))?;
    Some(Choice { server: server.clone(), start: best.last })
}

fn leaves(state: &State, name: &Name) -> bool {
    state.servers.get(name).is_none_or(|server| server.leaving)
}

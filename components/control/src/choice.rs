//! Chooses the primary among the fenced servers.
//!
//! Each acknowledged record is held by a majority in its term, so in any fenced
//! majority the server with the highest `(log_term, received)` has all of them.
//! An unsuitable server (one that is leaving, or that the failover avoids) is
//! passed over only if the suitable servers are a majority by themselves, or if
//! one of them has an equal log.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::flaw::Flaw;
use crate::state::{Group, State};

/// A server's report after it was fenced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced {
    /// Last record of the server's log.
    pub last: Mark,
    /// Last log position that is visible to reads.
    pub applied: Position,
}

/// The chosen primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Server to promote.
    pub server: Name,
    /// Last record of the server's log, where the new term starts.
    pub start: Mark,
}

/// Chooses among the fenced servers, which must be at least a majority. Prefers
/// not to choose `avoided` or a server that is leaving.
pub fn choose(
    state: &State,
    group: &Group,
    fenced: &BTreeMap<Name, Fenced>,
    majority: usize,
    avoided: Option<&Name>,
    flaw: Flaw,
) -> Option<Choice> {
    let is_suitable = |name: &Name| Some(name) != avoided && !is_leaving(state, name);
    let suitable = fenced.keys().filter(|name| is_suitable(name)).count();
    let primary = group.primary.as_ref().and_then(|primary| state.servers.get(primary));
    let is_same_zone = |name: &Name| {
        let server = state.servers.get(name);
        server.zip(primary).is_some_and(|(server, primary)| server.zone == primary.zone)
    };
    let rank = |name: &Name, fenced: &Fenced| {
        let last = match flaw {
            Flaw::IgnoreLogTerm => Mark { term: Term(0), ..fenced.last },
            _ => fenced.last,
        };
        (last, is_suitable(name), is_same_zone(name), fenced.applied)
    };
    let pool = fenced.iter().filter(|(name, _)| suitable < majority || is_suitable(name));
    let (server, best) = pool.max_by_key(|(name, fenced)| rank(name, fenced))?;
    Some(Choice { server: server.clone(), start: best.last })
}

fn is_leaving(state: &State, name: &Name) -> bool {
    state.servers.get(name).is_none_or(|server| server.leaving)
}

//! The order in which the keepers of a group are tried.

use std::net::SocketAddr;

use base::prelude::*;
use base::rendezvous;
use control::State;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A keeper of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keeper {
    /// Name of the entry that runs the keeper.
    pub name: Name,
    /// Address of the keeper's listener.
    pub address: SocketAddr,
}

/// What decides between the keepers of a group for the requests of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Affinity {
    /// The own host, then the own zone, as without a team. Saves bytes between zones, and
    /// needs connections for every team at every keeper.
    Location,
    /// The own zone, then the hash of the team.
    Zone,
    /// The hash of the team: all requests of a team reach one keeper.
    Team,
}

/// Affinity of the requests of a team. With fewer connections than teams, a request that
/// reaches another keeper costs an opening, which occupies a slot.
pub const TEAM_AFFINITY: Affinity = Affinity::Team;

/// The caller that a keeper is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// Session number.
    pub number: u64,
    /// Name of the team; empty if callers have no team.
    pub team: &'a str,
    /// What decides between the keepers. Ignored if the caller has no team.
    pub affinity: Affinity,
}

/// Keepers of a group that accept new requests, in the order in which they are to
/// be tried: the `own` entry, then keepers in the same availability zone, then the
/// others. Keepers of equal rank are ordered by a hash of name and session number, which
/// spreads callers evenly. For callers with a team, [`Affinity`] decides which of these
/// preferences apply, and a hash of keeper and team orders the rest, so that the loss of a
/// keeper moves only its own teams. Draining entries are last.
pub fn rank_keepers(
    state: &State,
    group: &str,
    own: &Name,
    zone: &Name,
    caller: Caller<'_>,
) -> SmallVec<[Keeper; 2]> {
    let Some(group) = state.groups.get(group) else {
        return SmallVec::new();
    };
    let leases = group.leases.iter().filter(|lease| !lease.returning);
    let mut found: SmallVec<[_; 2]> = leases
        .filter_map(|lease| {
            let (name, entry) = state.entries.get_key_value(lease.entry.as_str())?;
            if entry.incarnation != lease.incarnation {
                return None;
            }
            let (other_host, other_zone) = (name != own, entry.zone != *zone);
            let rank = (entry.draining, caller.rank(name, other_host, other_zone));
            Some((rank, Keeper { name: name.clone(), address: entry.address }))
        })
        .collect();
    found.sort_by_key(|(rank, _)| *rank);
    found.into_iter().map(|(_, keeper)| keeper).collect()
}

impl Caller<'_> {
    /// Rank of a keeper for the caller; the lowest comes first.
    fn rank(&self, keeper: &Name, other_host: bool, other_zone: bool) -> (bool, bool, u64) {
        let affinity = if self.team.is_empty() { Affinity::Location } else { self.affinity };
        let by_team = u64::MAX - rendezvous::score(self.team, keeper.as_str());
        match affinity {
            Affinity::Location => {
                let spread = xxh3_64_with_seed(keeper.as_str().as_bytes(), self.number);
                (other_host, other_zone, spread)
            }
            Affinity::Zone => (false, other_zone, by_team),
            Affinity::Team => (false, false, by_team),
        }
    }
}

//! The order in which the keepers of a group are tried.

use std::net::SocketAddr;

use base::prelude::*;
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

/// Keepers of a group that accept new requests, in the order in which they are to
/// be tried: the `own` entry, then keepers in the same availability zone, then the
/// others. Keepers of equal rank are ordered by a hash of name and session number
/// `caller`, which spreads callers evenly. Draining entries are last.
pub fn rank_keepers(
    state: &State,
    group: &str,
    own: &Name,
    zone: &Name,
    caller: u64,
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
            let spread = xxh3_64_with_seed(name.as_str().as_bytes(), caller);
            let rank = (entry.draining, name != own, entry.zone != *zone, spread);
            Some((rank, Keeper { name: name.clone(), address: entry.address }))
        })
        .collect();
    found.sort_by_key(|(rank, _)| *rank);
    found.into_iter().map(|(_, keeper)| keeper).collect()
}

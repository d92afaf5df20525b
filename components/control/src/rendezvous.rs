//! Rendezvous hashing: selects the entries that keep a group.
//!
//! Each entry has a score for each group, and the entries with the highest
//! scores keep the group, so that an entry that joins or leaves moves only its
//! own groups. The second keeper is in another availability zone than the
//! first, where possible.

use base::prelude::*;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::state::Entry;

/// Number of entries that keep a group.
pub const KEEPERS_PER_GROUP: usize = 2;

/// The entries that keep a group, highest score first.
pub fn keepers<'a>(
    group: &Name,
    entries: impl Iterator<Item = (&'a Name, &'a Entry)> + Clone,
) -> SmallVec<[&'a Name; KEEPERS_PER_GROUP]> {
    let group = hash(group);
    let best = |one: &(&'a Name, &Entry)| (score(group, hash(one.0)), one.0);
    let Some(first) = entries.clone().max_by_key(best) else {
        return SmallVec::new();
    };
    let others = entries.filter(|other| other.0 != first.0);
    let second = others.max_by_key(|other| (other.1.zone != first.1.zone, best(other)));
    std::iter::once(first.0).chain(second.map(|second| second.0)).collect()
}

fn hash(name: &Name) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

fn score(group: u64, entry: u64) -> u64 {
    let [group, entry] = [group, entry].map(u64::to_le_bytes);
    let mut key = [0; 16];
    key[..8].copy_from_slice(&group);
    key[8..].copy_from_slice(&entry);
    xxh3_64(&key)
}

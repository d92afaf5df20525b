//! Rendezvous hashing: selects the entries that keep a group.
//!
//! Each entry has a score for each group, and the entries with the highest
//! scores keep the group, so that an entry that joins or leaves moves only its
//! own groups. The second keeper is in another availability zone than the
//! first, where possible.

use base::prelude::*;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

/// Number of entries that keep a group.
pub const KEEPERS_PER_GROUP: usize = 2;

/// An entry that may keep groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the entry.
    pub name: Name,
    /// Availability zone of the entry.
    pub zone: Name,
    hash: u64,
}

impl Candidate {
    /// Makes a candidate of an entry.
    pub fn new(name: Name, zone: Name) -> Self {
        let hash = hash(&name);
        Self { name, zone, hash }
    }
}

/// The entries that keep a group, highest score first.
pub fn keepers(group: &Name, candidates: &[Candidate]) -> SmallVec<[Name; KEEPERS_PER_GROUP]> {
    let group = hash(group);
    let ranked = candidates.iter().map(|one| (score(group, one.hash), &one.name, one));
    let Some((_, _, first)) = ranked.clone().max_by_key(|&(score, name, _)| (score, name)) else {
        return SmallVec::new();
    };
    let others = ranked.filter(|(_, name, _)| **name != first.name);
    let second = others.max_by_key(|&(score, name, one)| (one.zone != first.zone, score, name));
    let second = second.map(|(_, _, second)| second);
    std::iter::once(first).chain(second).map(|found| found.name.clone()).collect()
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

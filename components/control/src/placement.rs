//! Placement: which entries should keep each group.
//!
//! Hosts with at least half of the greatest weight keep the groups, as long as each of
//! them keeps few. With more groups all hosts keep some, since a group costs its keeper
//! connections, memory and processor time also while it is idle.
//!
//! A group that has lost a keeper is placed anew at once. Groups move to hosts that have
//! come only once no host has come or gone for a while: many hosts that start together
//! then move each group once.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use smallvec::SmallVec;

use crate::rendezvous::{Candidate, KEEPERS_PER_GROUP, keepers};
use crate::state::{Entry, State};

/// Number of groups that each of the strong hosts keeps before all hosts keep groups.
pub const GROUPS_PER_STRONG_HOST: usize = 24;

/// Time without a change of hosts after which groups move to hosts that have come.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Keepers that a group should have.
pub type Keepers = SmallVec<[Name; KEEPERS_PER_GROUP]>;

/// The keepers that each group should have, among the entries that may keep groups.
#[derive(Debug, Default)]
pub struct Placement {
    candidates: Vec<Candidate>,
    /// When the candidates changed last, while some groups are not placed among them.
    changed: Option<Instant>,
    by_group: BTreeMap<Name, Keepers>,
}

impl Placement {
    /// Keepers that a group should have; `None` before the group was first placed.
    pub fn keepers(&self, group: &Name) -> Option<&Keepers> {
        self.by_group.get(group)
    }

    /// Places the groups of a state among the entries that may keep groups.
    pub fn update<'a>(
        &mut self,
        now: Instant,
        state: &State,
        entries: impl Iterator<Item = (&'a Name, &'a Entry)> + Clone,
    ) {
        let least = least_weight(entries.clone().map(|(_, entry)| entry.weight), state);
        let strong = entries.filter(|(_, entry)| entry.weight >= least);
        let candidates: Vec<_> =
            strong.map(|(name, entry)| Candidate::new(name.clone(), entry.zone.clone())).collect();
        if candidates != self.candidates {
            let names: BTreeSet<&Name> = candidates.iter().map(|found| &found.name).collect();
            let complete = |keepers: &Keepers| {
                keepers.len() == KEEPERS_PER_GROUP
                    && keepers.iter().all(|name| names.contains(name))
            };
            self.by_group.retain(|_, keepers| complete(keepers));
            self.candidates = candidates;
            self.changed = Some(now);
        }
        if self.changed.is_some_and(|changed| now.since(changed) >= SETTLE_TIME) {
            self.changed = None;
            self.by_group.clear();
        }
        self.by_group.retain(|name, _| state.groups.contains_key(name));
        for name in state.groups.keys() {
            let place = || keepers(name, &self.candidates);
            self.by_group.entry(name.clone()).or_insert_with(place);
        }
    }
}

/// Least weight with which an entry may keep groups: half of the greatest weight, or
/// zero if too few entries reach that for the number of groups.
fn least_weight(weights: impl Iterator<Item = u32> + Clone, state: &State) -> u32 {
    let most = weights.clone().max().unwrap_or_default();
    let strong = weights.filter(|&weight| weight >= most / 2).count();
    let places = state.groups.len() * KEEPERS_PER_GROUP;
    let few = strong < KEEPERS_PER_GROUP || places > strong * GROUPS_PER_STRONG_HOST;
    if few { 0 } else { most / 2 }
}

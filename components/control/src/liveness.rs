//! Tracks which entries are alive, by their heartbeats.
//!
//! A lease of an entry may be in force until [`LEASE_DURATION`] after the entry
//! sent the heartbeat that renewed it, so a silent incarnation is removed only once
//! [`LEASE_DURATION`] plus [`LEASE_MARGIN`] passed since its last heartbeat. A new
//! leader knows nothing of earlier heartbeats and counts from its own start. The
//! state lists the incarnations that were removed and may not know it yet.
//!
//! A heartbeat may still be confirmed while the command that removes its entry is
//! in flight. The shares of that entry are not free before the lease of this
//! heartbeat is over too, unless the entry is known to have applied the command.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use wire::log::{Leave, command};

use crate::flaw::Flaw;
use crate::leader::{Effect, PROPOSAL_TIMEOUT};
use crate::lease::{LEASE_DURATION, LEASE_MARGIN};
use crate::state::{Group, State};

/// Silence from which on an entry is suspected: two heartbeats, and the time that one
/// usually takes to arrive.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(900);

/// An entry and its incarnation.
type Incarnation = (Name, u64);

#[derive(Clone, Copy, Debug)]
struct Record {
    /// When the last heartbeat arrived that may still renew a lease.
    heard: Instant,
    /// Last index that the incarnation is known to have applied.
    applied: u64,
    /// Whether the incarnation has stopped and holds no lease any more.
    left: bool,
    /// Whether the state has ever contained this incarnation.
    known: bool,
    /// Index of the state at which the incarnation was found to be removed.
    removed: Option<u64>,
    /// When the removal was proposed last.
    proposed: Option<Instant>,
}

/// Incarnations of entries from which the leader received heartbeats, or that
/// the state contains.
#[derive(Debug)]
pub struct Liveness {
    started: Instant,
    incarnations: BTreeMap<Incarnation, Record>,
    /// Incarnations in the state, as of the index in `scanned`.
    known: BTreeSet<Incarnation>,
    scanned: Option<u64>,
    flaw: Flaw,
}

impl Liveness {
    /// Creates a tracker that knows no entry yet.
    pub fn new(now: Instant, flaw: Flaw) -> Self {
        let (incarnations, known) = (BTreeMap::new(), BTreeSet::new());
        Self { started: now, incarnations, known, scanned: None, flaw }
    }

    fn record(&mut self, now: Instant, entry: Name, incarnation: u64) -> &mut Record {
        let fresh = Record {
            heard: now,
            applied: 0,
            left: false,
            known: false,
            removed: None,
            proposed: None,
        };
        self.incarnations.entry((entry, incarnation)).or_insert(fresh)
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, now: Instant, entry: Name, incarnation: u64, applied: u64) {
        let record = self.record(now, entry, incarnation);
        // a heartbeat after the removal renews a lease only once the entry has
        // applied the removal
        if record.removed.is_none() {
            record.heard = now;
        }
        record.applied = record.applied.max(applied);
    }

    /// Records that an incarnation has stopped and holds no lease any more.
    pub fn mark_left(&mut self, now: Instant, entry: Name, incarnation: u64) {
        self.record(now, entry, incarnation).left = true;
    }

    /// Whether an incarnation has stopped and holds no lease any more.
    pub fn has_left(&self, entry: &Name, incarnation: u64) -> bool {
        self.incarnations.get(&(entry.clone(), incarnation)).is_some_and(|record| record.left)
    }

    /// Last index that an incarnation is known to have applied.
    pub fn applied(&self, entry: &Name, incarnation: u64) -> u64 {
        self.incarnations.get(&(entry.clone(), incarnation)).map_or(0, |record| record.applied)
    }

    /// Whether an incarnation has missed heartbeats, so that it may be removed soon.
    pub fn is_suspected(&self, now: Instant, entry: &Name, incarnation: u64) -> bool {
        let record = self.incarnations.get(&(entry.clone(), incarnation));
        record.is_some_and(|record| !record.left && now.since(record.heard) > SUSPICION_TIMEOUT)
    }

    /// Whether the leases of all entries that this leader or an earlier one
    /// removed are over. Valid only after [`Liveness::tick`] at the state's index.
    pub fn removed_leases_expired(&self, now: Instant) -> bool {
        self.scanned.is_some() && !self.has_running_removed(now)
    }

    /// Whether the free shares of a group can be granted, since no entry can still
    /// believe that it holds them: each holder has applied the last reduction of
    /// its lease, and the leases of removed entries are over, as
    /// [`Liveness::removed_leases_expired`] returned. A group at generation 0 never
    /// had a lease.
    pub fn can_grant(&self, group: &Group, removed_expired: bool) -> bool {
        group.generation == 0 || (removed_expired && self.holders_are_aware(group))
    }

    /// Whether a removed incarnation that may not know of its removal may still hold
    /// a lease.
    fn has_running_removed(&self, now: Instant) -> bool {
        self.incarnations.values().any(|record| record.is_unaware() && !record.is_expired(now))
    }

    fn holders_are_aware(&self, group: &Group) -> bool {
        group.leases.iter().all(|lease| {
            Name::new(&lease.entry)
                .is_ok_and(|entry| self.applied(&entry, lease.incarnation) >= group.reduced_index)
        })
    }

    /// Proposes to remove the incarnations that have stopped or were silent for
    /// longer than a lease can last.
    pub fn tick(&mut self, now: Instant, state: &State, out: &mut Vec<Effect>) {
        if self.scanned != Some(state.index) {
            self.scanned = Some(state.index);
            self.known = incarnations(state);
            self.add_departed(state);
        }
        // moved out of `self`, since the loop borrows `self` to look up each record
        let known = std::mem::take(&mut self.known);
        for (entry, incarnation) in &known {
            let ended = state.has_ended(entry.as_str(), *incarnation);
            let record = self.record(now, entry.clone(), *incarnation);
            record.left |= ended;
            record.known = true;
            if record.removed.take().is_some() {
                record.heard = now;
            }
            let silent = now.since(record.heard) > LEASE_DURATION + LEASE_MARGIN;
            let waits =
                record.proposed.is_some_and(|proposed| now.since(proposed) < PROPOSAL_TIMEOUT);
            if (silent || record.left) && !waits {
                record.proposed = Some(now);
                let over = record.left;
                let departure = Leave { entry: entry.to_string(), incarnation: *incarnation, over };
                out.push(Effect::propose(command::Body::Leave(departure)));
            }
        }
        self.drop_departed(now, state, out);
        let removed = self.incarnations.iter_mut().filter(|(key, _)| !known.contains(key));
        for ((entry, incarnation), record) in removed.filter(|(_, record)| record.known) {
            record.left |= state.has_ended(entry.as_str(), *incarnation);
            record.removed.get_or_insert(state.index);
        }
        self.incarnations.retain(|key, record| {
            let departed = state.departed.contains_key(key);
            known.contains(key) || departed || !record.is_expired(now)
        });
        self.known = known;
    }

    /// Adds the incarnations that an earlier leader removed. When their last
    /// heartbeat arrived is unknown, so the start of this leader is assumed.
    fn add_departed(&mut self, state: &State) {
        if self.flaw == Flaw::ForgetDeparted {
            return;
        }
        let started = self.started;
        let departed = state.departed.iter().filter(|(key, _)| !self.known.contains(*key));
        let departed: Vec<_> = departed.map(|(key, index)| (key.clone(), *index)).collect();
        for ((entry, incarnation), index) in &departed {
            let record = self.record(started, entry.clone(), *incarnation);
            record.known = true;
            record.removed.get_or_insert(*index);
        }
    }

    /// Proposes to drop the removed incarnations whose leases are certainly over
    /// from the state.
    fn drop_departed(&mut self, now: Instant, state: &State, out: &mut Vec<Effect>) {
        for (entry, incarnation) in state.departed.keys() {
            let record = self.record(now, entry.clone(), *incarnation);
            let waits =
                record.proposed.is_some_and(|proposed| now.since(proposed) < PROPOSAL_TIMEOUT);
            if waits || (record.is_unaware() && !record.is_expired(now)) {
                continue;
            }
            record.proposed = Some(now);
            let (entry, incarnation) = (entry.to_string(), *incarnation);
            out.push(Effect::propose(command::Body::Leave(Leave {
                entry,
                incarnation,
                over: true,
            })));
        }
    }
}

impl Record {
    /// Whether the incarnation was removed and may not know it.
    fn is_unaware(&self) -> bool {
        !self.left && self.removed.is_some_and(|removed| self.applied < removed)
    }

    /// Whether each lease that the incarnation may have held is over.
    fn is_expired(&self, now: Instant) -> bool {
        now.since(self.heard) > LEASE_DURATION + LEASE_MARGIN
    }
}

/// Incarnations in the state, as an entry or as the holder of a lease.
fn incarnations(state: &State) -> BTreeSet<Incarnation> {
    let entries = state.entries.iter().map(|(name, entry)| (name.clone(), entry.incarnation));
    let leases = state.groups.values().flat_map(|group| &group.leases);
    let holders =
        leases.filter_map(|lease| Some((Name::new(&lease.entry).ok()?, lease.incarnation)));
    entries.chain(holders).collect()
}

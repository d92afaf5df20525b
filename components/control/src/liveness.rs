//! Which entries live, by their beats.
//!
//! A lease of an entry may be in force until [`LEASE_DURATION`] after the beat that
//! renewed it was sent, so an incarnation is given up only once [`LEASE_DURATION`] and
//! [`LEASE_MARGIN`] passed since it was heard of. Of beats that came before it began, a
//! leader knows nothing, and counts from its own beginning. Which incarnations
//! were given up and may not know it yet, the state tells.
//!
//! A beat may still be confirmed while the command that gives its entry up is
//! on its way: what that entry held is not free before this beat's lease is
//! over too, unless the entry is known to have applied the command.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use wire::log::{Part, command};

use crate::flaw::Flaw;
use crate::leader::{Effect, PROPOSAL_TIMEOUT};
use crate::lease::{LEASE_DURATION, LEASE_MARGIN};
use crate::state::{Group, State};

/// One start of an entry.
type Start = (Name, u64);

#[derive(Clone, Copy, Debug)]
struct Life {
    heard: Instant,
    applied: u64,
    left: bool,
    /// Whether the state has known it.
    known: bool,
    /// Index by which it was found to be given up.
    parted: Option<u64>,
    asked: Option<Instant>,
}

/// Entries as the leader hears of them.
#[derive(Debug)]
pub struct Liveness {
    began: Instant,
    starts: BTreeMap<Start, Life>,
    /// The starts that the state knows, and the index that it stood at.
    known: BTreeSet<Start>,
    looked: Option<u64>,
    flaw: Flaw,
}

impl Liveness {
    /// Knows of no entry yet.
    pub fn new(now: Instant, flaw: Flaw) -> Self {
        let (starts, known) = (BTreeMap::new(), BTreeSet::new());
        Self { began: now, starts, known, looked: None, flaw }
    }

    fn life(&mut self, now: Instant, entry: Name, incarnation: u64) -> &mut Life {
        let fresh =
            Life { heard: now, applied: 0, left: false, known: false, parted: None, asked: None };
        self.starts.entry((entry, incarnation)).or_insert(fresh)
    }

    /// Takes a beat.
    pub fn beat(&mut self, now: Instant, entry: Name, incarnation: u64, applied: u64) {
        let life = self.life(now, entry, incarnation);
        // once it is given up, a beat is confirmed beyond that only
        if life.parted.is_none() {
            life.heard = now;
        }
        life.applied = life.applied.max(applied);
    }

    /// Notes that an incarnation holds nothing any more.
    pub fn mark_left(&mut self, now: Instant, entry: Name, incarnation: u64) {
        self.life(now, entry, incarnation).left = true;
    }

    /// Whether an incarnation said that it left.
    pub fn has_left(&self, entry: &Name, incarnation: u64) -> bool {
        self.starts.get(&(entry.clone(), incarnation)).is_some_and(|life| life.left)
    }

    /// Last index that an incarnation is known to have applied.
    pub fn applied(&self, entry: &Name, incarnation: u64) -> u64 {
        self.starts.get(&(entry.clone(), incarnation)).map_or(0, |life| life.applied)
    }

    /// Whether no lease of an entry that was given up, by this leader or an
    /// earlier one, still runs. Due after [`Liveness::tick`] at the state's index.
    pub fn removed_leases_expired(&self, now: Instant) -> bool {
        self.looked.is_some() && !self.lingers(now)
    }

    /// Whether no entry can believe that it still holds what is free of a
    /// group: each holder knows what was taken from it, and the leases of
    /// entries that were given up `are_over`.
    pub fn can_grant(&self, group: &Group, are_over: bool) -> bool {
        group.generation == 0 || (are_over && self.know(group))
    }

    fn lingers(&self, now: Instant) -> bool {
        self.starts.values().any(|life| life.is_unaware() && !life.is_late(now))
    }

    fn know(&self, group: &Group) -> bool {
        group.leases.iter().all(|lease| {
            Name::new(&lease.entry)
                .is_ok_and(|entry| self.applied(&entry, lease.incarnation) >= group.reduced_index)
        })
    }

    /// Gives up the incarnations that left or were silent for too long.
    pub fn tick(&mut self, now: Instant, state: &State, out: &mut Vec<Effect>) {
        if self.looked != Some(state.index) {
            self.looked = Some(state.index);
            self.known = starts(state);
            self.recall(state);
        }
        // taken out for the loop, since a life is found by all of the lives
        let known = std::mem::take(&mut self.known);
        for (entry, incarnation) in &known {
            let ended = state.has_ended(entry.as_str(), *incarnation);
            let life = self.life(now, entry.clone(), *incarnation);
            life.left |= ended;
            life.known = true;
            if life.parted.take().is_some() {
                life.heard = now;
            }
            let silent = now.since(life.heard) > LEASE_DURATION + LEASE_MARGIN;
            let waits = life.asked.is_some_and(|asked| now.since(asked) < PROPOSAL_TIMEOUT);
            if (silent || life.left) && !waits {
                life.asked = Some(now);
                let over = life.left;
                let part = Part { entry: entry.to_string(), incarnation: *incarnation, over };
                out.push(Effect::propose(command::Body::Part(part)));
            }
        }
        self.forget(now, state, out);
        let gone = self.starts.iter_mut().filter(|(start, _)| !known.contains(start));
        for ((entry, incarnation), life) in gone.filter(|(_, life)| life.known) {
            life.left |= state.has_ended(entry.as_str(), *incarnation);
            life.parted.get_or_insert(state.index);
        }
        self.starts.retain(|start, life| {
            let departed = state.departed.contains_key(start);
            known.contains(start) || departed || !life.is_late(now)
        });
        self.known = known;
    }

    /// Takes over the starts that an earlier leader gave up; when it heard of
    /// them last, this one can't know.
    fn recall(&mut self, state: &State) {
        if self.flaw == Flaw::ForgetDeparted {
            return;
        }
        let began = self.began;
        let departed = state.departed.iter().filter(|(start, _)| !self.known.contains(*start));
        let departed: Vec<_> = departed.map(|(start, index)| (start.clone(), *index)).collect();
        for ((entry, incarnation), index) in &departed {
            let life = self.life(began, entry.clone(), *incarnation);
            life.known = true;
            life.parted.get_or_insert(*index);
        }
    }

    /// Lets the state forget the starts whose leases are over for certain.
    fn forget(&mut self, now: Instant, state: &State, out: &mut Vec<Effect>) {
        for (entry, incarnation) in state.departed.keys() {
            let life = self.life(now, entry.clone(), *incarnation);
            let waits = life.asked.is_some_and(|asked| now.since(asked) < PROPOSAL_TIMEOUT);
            if waits || (life.is_unaware() && !life.is_late(now)) {
                continue;
            }
            life.asked = Some(now);
            let (entry, incarnation) = (entry.to_string(), *incarnation);
            out.push(Effect::propose(command::Body::Part(Part { entry, incarnation, over: true })));
        }
    }
}

impl Life {
    /// Whether it was given up and may not know it.
    fn is_unaware(&self) -> bool {
        !self.left && self.parted.is_some_and(|parted| self.applied < parted)
    }

    /// Whether each lease that it may have had is over.
    fn is_late(&self, now: Instant) -> bool {
        now.since(self.heard) > LEASE_DURATION + LEASE_MARGIN
    }
}

/// Each start of an entry that the state knows, by itself or by its leases.
fn starts(state: &State) -> BTreeSet<Start> {
    let entries = state.entries.iter().map(|(name, entry)| (name.clone(), entry.incarnation));
    let leases = state.groups.values().flat_map(|group| &group.leases);
    let holders =
        leases.filter_map(|lease| Some((Name::new(&lease.entry).ok()?, lease.incarnation)));
    entries.chain(holders).collect()
}

//! Which server may serve a read, and which of those is best.
//!
//! A replica qualifies by its report alone: it shows the session's floor, and a
//! verified sample that is young enough. The [`Ring`] keeps such samples for a
//! short while, so the age of a replica is known without asking it again.

use std::collections::VecDeque;

use base::prelude::*;

/// Samples that a [`Ring`] keeps.
pub const MAX_SAMPLES: usize = 128;

/// Least time between two samples of a [`Ring`].
pub const MIN_SPACING: Duration = Duration::from_millis(5);

/// The position of a primary that a majority confirmed as current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When the first of its requests was sent.
    pub taken: Instant,
    /// The primary's last record; all that was acknowledged before `taken` lies at or under it.
    pub mark: Mark,
}

/// Samples of the last moments, oldest first.
#[derive(Clone, Debug)]
pub struct Ring {
    samples: VecDeque<Sample>,
    spacing: Duration,
}

impl Default for Ring {
    fn default() -> Self {
        Self::with_spacing(MIN_SPACING)
    }
}

impl Ring {
    /// Makes an empty ring with another spacing.
    pub fn with_spacing(spacing: Duration) -> Self {
        Self { samples: VecDeque::new(), spacing }
    }

    /// Takes a sample in; one that is no younger than the last is ignored.
    pub fn push(&mut self, sample: Sample) {
        let last = self.samples.back().copied();
        if last.is_some_and(|last| sample.taken <= last.taken) {
            return;
        }
        let close = |a: Sample, b: Sample| b.taken.since(a.taken) < self.spacing;
        let before = self.samples.iter().rev().nth(1).copied();
        if let (Some(before), Some(last)) = (before, last)
            && close(before, last)
            && close(last, sample)
        {
            self.samples.pop_back();
        }
        self.samples.push_back(sample);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The youngest sample.
    pub fn last(&self) -> Option<Sample> {
        self.samples.back().copied()
    }

    /// The oldest sample taken at or after `since`.
    pub fn first_since(&self, since: Instant) -> Option<Sample> {
        self.samples.iter().copied().find(|sample| sample.taken >= since)
    }

    /// The youngest sample that a server shows.
    pub fn last_shown(&self, status: &Status) -> Option<Sample> {
        self.samples.iter().rev().copied().find(|sample| status.shows(sample.mark))
    }
}

/// What a read must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// What the session has written or seen.
    pub floor: Option<Mark>,
    /// Samples taken at or after this show enough; none when the floor is enough.
    pub since: Option<Instant>,
}

/// Whether a server's reads see what is needed; returns the mark that the read is sure to see.
pub fn qualify(status: &Status, need: Need, ring: &Ring) -> Option<Option<Mark>> {
    if need.floor.is_some_and(|floor| !status.shows(floor)) {
        return None;
    }
    let Some(since) = need.since else {
        return Some(need.floor);
    };
    let sample = ring.last_shown(status).filter(|sample| sample.taken >= since)?;
    Some(need.floor.max(Some(sample.mark)))
}

/// A server that qualifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<K> {
    /// The server.
    pub server: K,
    /// Whether it stands in the keeper's own availability zone.
    pub same_zone: bool,
    /// Slots that are free.
    pub free: u32,
    /// Statements that wait for it.
    pub waiting: u32,
    /// What a read on it is sure to see.
    pub mark: Option<Mark>,
}

/// The best of the servers with a free slot: near ones first, then the one with
/// most free slots, then the one where fewest wait.
pub fn choose<K: Copy>(candidates: impl IntoIterator<Item = Candidate<K>>) -> Option<Candidate<K>> {
    let free = candidates.into_iter().filter(|candidate| candidate.free > 0);
    free.max_by_key(|candidate| {
        (candidate.same_zone, candidate.free, std::cmp::Reverse(candidate.waiting))
    })
}

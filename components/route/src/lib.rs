//! Selection of the server for a read.
//!
//! A replica qualifies by its status report alone: the report shows that the
//! replica has applied the session's floor and the mark of a verified sample that
//! is recent enough. The [`Ring`] keeps recent samples, so that the staleness of
//! a replica is known without another request to it.

use std::cmp::Reverse;
use std::collections::VecDeque;

use base::prelude::*;

/// Maximum number of samples in a [`Ring`].
pub const MAX_SAMPLES: usize = 128;

/// Default time between two samples of a [`Ring`]. Denser samples are thinned out, so
/// that frequent samples don't push out older ones.
pub const MIN_SPACING: Duration = Duration::from_millis(5);

/// Log position of a primary that a majority confirmed as the current primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Time at which the first request of the sample was sent.
    pub taken: Instant,
    /// Mark of the primary's last record. Every write acknowledged before `taken` is at or
    /// below this mark.
    pub mark: Mark,
}

/// Recent samples, oldest first.
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
    /// Creates an empty ring with the given time between samples.
    pub fn with_spacing(spacing: Duration) -> Self {
        Self { samples: VecDeque::new(), spacing }
    }

    /// Adds a sample. A sample that is not newer than the last one is ignored.
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

    /// The newest sample.
    pub fn last(&self) -> Option<Sample> {
        self.samples.back().copied()
    }

    /// The oldest sample taken at or after `since`.
    pub fn first_since(&self, since: Instant) -> Option<Sample> {
        self.samples.iter().copied().find(|sample| sample.taken >= since)
    }

    /// The newest sample whose mark a server has applied, according to its status.
    pub fn last_shown(&self, status: &Status) -> Option<Sample> {
        self.samples.iter().rev().copied().find(|sample| status.shows(sample.mark))
    }
}

/// Freshness that a read requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Newest mark that the session has written or read.
    pub floor: Option<Mark>,
    /// Earliest time of a sample that is fresh enough; `None` if the floor suffices.
    pub since: Option<Instant>,
}

/// Checks whether reads on a server meet a requirement. Returns `None` if they don't, and
/// otherwise the mark up to which a read is guaranteed to see all writes, if one is known.
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

/// A server that qualifies for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<K> {
    /// The server.
    pub server: K,
    /// Whether the server is in the availability zone of the host that routes the read.
    pub same_zone: bool,
    /// Number of free slots for statements on the server.
    pub free: u32,
    /// Number of statements that wait for the server.
    pub waiting: u32,
    /// Expected time until a read is answered, in thousandths of the usual run time; 0 if
    /// servers are not compared by it.
    pub cost: u32,
    /// Time since the server was last used, which decides between equal servers.
    pub unused: Duration,
    /// Whether a read is due that shows how the server answers.
    pub probe: bool,
    /// Mark up to which a read on the server is guaranteed to see all writes.
    pub mark: Option<Mark>,
}

/// Selects the best server among those with a free slot: first one that is due for a
/// probe, then by availability zone, by the lowest cost, by the most free slots, by the
/// fewest waiting statements, and by the longest time without use.
pub fn choose<K: Copy>(candidates: impl IntoIterator<Item = Candidate<K>>) -> Option<Candidate<K>> {
    let free = candidates.into_iter().filter(|candidate| candidate.free > 0);
    free.max_by_key(|candidate| {
        let load = (Reverse(candidate.cost), candidate.free, Reverse(candidate.waiting));
        (candidate.probe, candidate.same_zone, load, candidate.unused)
    })
}

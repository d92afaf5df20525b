//! The order of items of several priorities.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use crate::Verdict;
use crate::fair::{INITIAL_COST, NO_OBJECTIVE, Order, Queue};

/// Part of the run time that the waiting bands below the first one get together, as a
/// divisor. Without a minimum share, a lasting overload of one priority would stop all
/// lower ones; a tenth leaves the first one nearly its full throughput.
pub const LOWER_SHARE_DIVISOR: u32 = 10;

/// Limit of the run time that a band can be owed, so that a band whose items could not
/// run for a while takes no long turn afterwards.
const OWED_LIMIT: Duration = Duration::from_millis(100);

/// Priority of an item; the lowest value is the highest priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Declared priority of the kind of request.
    pub priority: u32,
    /// Priority of the team among those with the same `priority`.
    pub team: u32,
}

/// What determines when an item is served.
#[derive(Clone, Copy, Debug)]
pub struct Place<K> {
    /// Priority of the item.
    pub rank: Rank,
    /// Flow with which the item is queued.
    pub flow: K,
    /// Weight of the flow.
    pub weight: u32,
    /// End of the objective; `None` without an objective.
    pub until: Option<Instant>,
    /// Latest start that still meets the objective.
    pub latest_start: Option<Instant>,
    /// Expected run time.
    pub work: Duration,
}

/// Class of items that share one fair queue; the lowest value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Band {
    /// Items that can meet their objectives, or have none.
    Timely(Rank),
    /// Items that can no longer meet their objectives.
    Late(Rank),
}

impl Band {
    pub(crate) fn of(now: Instant, rank: Rank, latest_start: Option<Instant>) -> Self {
        let late = latest_start.is_some_and(|latest| latest < now);
        if late { Self::Late(rank) } else { Self::Timely(rank) }
    }
}

/// The waiting items of a band.
#[derive(Clone, Debug)]
pub(crate) struct Line<K, T> {
    pub(crate) queue: Queue<K, T>,
    /// Run time that the band is owed as its minimum share.
    owed: Duration,
}

impl<K, T> Default for Line<K, T> {
    fn default() -> Self {
        Self { queue: Queue::default(), owed: Duration::ZERO }
    }
}

/// Where a queued item is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry<K> {
    pub(crate) band: Band,
    pub(crate) order: Order,
    pub(crate) place: Place<K>,
}

/// Queue of items with priorities and objectives.
///
/// Items of a higher rank go first, and items that can no longer meet their objective go
/// after all that can. Within one rank the flows share fairly. The ranks below the first
/// get a minimum share together, of one part in [`LOWER_SHARE_DIVISOR`].
#[derive(Clone, Debug)]
pub struct Schedule<K, T> {
    pub(crate) lines: BTreeMap<Band, Line<K, T>>,
    pub(crate) entries: BTreeMap<T, Entry<K>>,
    /// Items that can meet their objectives, by their latest start.
    due: BTreeSet<(Instant, T)>,
    /// Whether lower bands get no minimum share.
    without_share: bool,
}

impl<K, T> Default for Schedule<K, T> {
    fn default() -> Self {
        Self {
            lines: BTreeMap::new(),
            entries: BTreeMap::new(),
            due: BTreeSet::new(),
            without_share: false,
        }
    }
}

impl<K: Copy + Ord, T: Copy + Ord> Schedule<K, T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives lower ranks no minimum share from now on, so that tests can show what it is
    /// for.
    pub fn drop_minimum_share(&mut self) {
        self.without_share = true;
    }

    /// Number of items in the queue.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the queue has no items.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an item, which is not queued yet.
    pub fn push(&mut self, place: Place<K>, item: T) {
        self.insert(Band::Timely(place.rank), place, item);
    }

    fn insert(&mut self, band: Band, place: Place<K>, item: T) {
        let until = place.until.unwrap_or(NO_OBJECTIVE);
        let line = self.lines.entry(band).or_default();
        let order = line.queue.insert(place.flow, place.weight, until, place.work, item);
        self.entries.insert(item, Entry { band, order, place });
        if let (Band::Timely(_), Some(latest)) = (band, place.latest_start) {
            self.due.insert((latest, item));
        }
    }

    /// Removes an item. Returns false if it is not queued.
    pub fn remove(&mut self, item: T) -> bool {
        let Some(entry) = self.forget(item) else {
            return false;
        };
        if let Some(line) = self.lines.get_mut(&entry.band) {
            line.queue.remove_at(entry.place.flow, entry.order);
            if line.queue.is_empty() {
                line.owed = Duration::ZERO;
            }
        }
        true
    }

    fn forget(&mut self, item: T) -> Option<Entry<K>> {
        let entry = self.entries.remove(&item)?;
        if let Some(latest) = entry.place.latest_start {
            self.due.remove(&(latest, item));
        }
        Some(entry)
    }

    /// Offers items in order, the first of each flow, until every flow has been skipped
    /// or is empty, or the decision is to stop.
    pub fn offer(&mut self, now: Instant, mut decide: impl FnMut(T) -> Verdict) {
        self.demote(now);
        let mut skipped: BTreeMap<Band, (u64, Option<K>)> = BTreeMap::new();
        let mut ended: BTreeSet<Band> = BTreeSet::new();
        while let Some((band, owed)) = self.next_band(&ended) {
            let from = skipped.get(&band).copied().unwrap_or_default();
            let queue = &self.lines[&band].queue;
            let next = queue.next_ready(from);
            let Some(((tag, key), (item, work))) =
                next.and_then(|next| Some((next, queue.first(next.1)?)))
            else {
                ended.insert(band);
                continue;
            };
            match decide(item) {
                Verdict::Take => self.take(now, (band, owed), (tag, key), (item, work)),
                Verdict::Skip => drop(skipped.insert(band, (tag, Some(key)))),
                Verdict::Stop => return,
            }
        }
        for line in self.lines.values_mut() {
            line.queue.remove_idle_flows();
        }
    }

    /// Charges a flow for the run time of an item beyond [`INITIAL_COST`].
    pub fn charge(&mut self, rank: Rank, flow: K, run: Duration) {
        for band in [Band::Timely(rank), Band::Late(rank)] {
            if let Some(line) = self.lines.get_mut(&band) {
                line.queue.charge(flow, run);
            }
        }
    }

    /// For the given rank and each below it, lowest first, the last item of the flow with
    /// the most work, among the items that can meet their objectives.
    pub fn tails_from(&self, rank: Rank) -> impl Iterator<Item = T> {
        let lower = self.lines.iter().rev().filter(move |(band, _)| match band {
            Band::Timely(other) => *other >= rank,
            Band::Late(_) => false,
        });
        lower.filter_map(|(_, line)| line.queue.longest_tail())
    }

    /// Moves items that can no longer meet their objectives behind all that can.
    fn demote(&mut self, now: Instant) {
        while let Some((latest, item)) = self.due.first().copied()
            && latest < now
        {
            let Some(place) = self.entries.get(&item).map(|entry| entry.place) else {
                self.due.pop_first();
                continue;
            };
            self.remove(item);
            self.insert(Band::Late(place.rank), place, item);
        }
    }

    /// Returns the band to offer next, and whether its minimum share is the reason.
    fn next_band(&self, ended: &BTreeSet<Band>) -> Option<(Band, bool)> {
        let mut waiting = self
            .lines
            .iter()
            .filter(|(band, line)| !line.queue.is_empty() && !ended.contains(band));
        let (first, _) = waiting.next()?;
        let owed = waiting.max_by_key(|(_, line)| line.owed).filter(|(_, line)| line.is_due());
        Some(owed.map_or((*first, false), |(band, _)| (*band, true)))
    }

    fn take(
        &mut self,
        now: Instant,
        (band, owed): (Band, bool),
        (tag, key): (u64, K),
        (item, work): (T, Duration),
    ) {
        self.forget(item);
        let work = work.max(INITIAL_COST);
        if let Some(line) = self.lines.get_mut(&band) {
            line.queue.take(tag, key);
            line.queue.record_served(now, key, work);
            line.owed = line.owed.saturating_sub(if owed { work } else { Duration::ZERO });
            if line.queue.is_empty() {
                line.owed = Duration::ZERO;
            }
        }
        if !owed && !self.without_share {
            self.grant_shares(band, work);
        }
    }

    /// Adds the minimum shares of the bands that wait while a band before them is served.
    fn grant_shares(&mut self, served: Band, work: Duration) {
        let waits = |line: &Line<K, T>| !line.queue.is_empty();
        let lower = (std::ops::Bound::Excluded(served), std::ops::Bound::Unbounded);
        let count = self.lines.range(lower).filter(|(_, line)| waits(line)).count() as u32;
        for (_, line) in self.lines.range_mut(lower).filter(|(_, line)| waits(line)) {
            line.owed = (line.owed + work / LOWER_SHARE_DIVISOR / count).min(OWED_LIMIT);
        }
    }
}

impl<K: Copy + Ord, T: Copy + Ord> Line<K, T> {
    /// Whether the minimum share pays for the first item.
    fn is_due(&self) -> bool {
        let first = self.queue.next_ready((0, None)).and_then(|(_, key)| self.queue.first(key));
        let cost = first.map_or(OWED_LIMIT, |(_, work)| work.clamp(INITIAL_COST, OWED_LIMIT));
        self.owed >= cost
    }
}

//! Estimate of the time until an item is served.
//!
//! An item waits for the work that goes before it, and for work of other items that
//! arrives meanwhile and goes first: that of higher ranks and of other flows. The latter
//! is estimated from what was served recently.

use base::prelude::*;

use crate::fair::NO_OBJECTIVE;
use crate::schedule::{Band, Entry, LOWER_SHARE_DIVISOR, Place, Schedule};

/// Work that goes before an item.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Before {
    /// Work of the item's own flow.
    pub(crate) own: Duration,
    /// Work of other flows of the same rank.
    pub(crate) others: Duration,
}

impl<K: Copy + Ord, T: Copy + Ord> Schedule<K, T> {
    /// Whether no work goes before a queued item: none of its flow or of higher bands, and no
    /// other flow of its band waits.
    pub fn is_first(&self, item: T) -> bool {
        let Some(entry) = self.entries.get(&item) else {
            return false;
        };
        let before = self.before(entry);
        before.own.is_zero() && before.others.is_zero() && self.work_of_higher(entry.band).is_zero()
    }

    /// Expected time until a queued item is served, on `slots` slots that also have to do
    /// the work `besides` first.
    pub fn wait(&self, now: Instant, item: T, besides: Duration, slots: u32) -> Option<Duration> {
        let entry = self.entries.get(&item)?;
        Some(self.wait_of(now, entry, besides, slots))
    }

    /// Expected time until an item that is not queued would be served, as
    /// [`Schedule::wait`].
    pub fn wait_new(
        &self,
        now: Instant,
        place: &Place<K>,
        besides: Duration,
        slots: u32,
    ) -> Duration {
        let band = Band::of(now, place.rank, place.latest_start);
        let order = (place.until.unwrap_or(NO_OBJECTIVE), u64::MAX);
        self.wait_of(now, &Entry { band, order, place: *place }, besides, slots)
    }

    fn wait_of(&self, now: Instant, entry: &Entry<K>, besides: Duration, slots: u32) -> Duration {
        let before = self.before(entry);
        let within = before.own + before.others + besides;
        let higher = self.work_of_higher(entry.band);
        let (left, share) = self.capacity(now, entry.band, slots);
        // a band is served by what higher ones leave, and at least by its minimum share
        let by_rank = seconds((higher + within).max(Duration::from_micros(1)), left)
            .max(seconds(before.own, self.capacity_of_flow(now, entry, left)));
        // the minimum share is granted in arrears
        let by_share = seconds(within + entry.place.work, share)
            .max(seconds(before.own, self.capacity_of_flow(now, entry, share)));
        Duration::try_from_secs_f64(by_rank.min(by_share)).unwrap_or(Duration::MAX)
    }

    fn before(&self, entry: &Entry<K>) -> Before {
        let Entry { band, order, place } = entry;
        let queue = self.lines.get(band).map(|line| &line.queue);
        queue.map_or_else(Before::default, |queue| {
            queue.work_before(place.flow, place.weight, *order, place.work)
        })
    }

    fn work_of_higher(&self, band: Band) -> Duration {
        self.lines.range(..band).map(|(_, line)| line.queue.work()).sum()
    }

    /// Slots that serve a band if work of higher bands goes on as recently, and those that
    /// its minimum share gives it.
    fn capacity(&self, now: Instant, band: Band, slots: u32) -> (f64, f64) {
        let slots = f64::from(slots);
        let higher: f64 =
            self.lines.range(..band).map(|(_, line)| line.queue.served_per_second(now)).sum();
        let after = (std::ops::Bound::Excluded(band), std::ops::Bound::Unbounded);
        let lower = self.lines.range(after).any(|(_, line)| !line.queue.is_empty());
        let shares = slots / f64::from(LOWER_SHARE_DIVISOR);
        let left = slots - higher - if lower { shares } else { 0.0 };
        let waiting = self.lines.values().filter(|line| !line.queue.is_empty()).count();
        (left.max(0.0), shares / waiting.saturating_sub(1).max(1) as f64)
    }

    /// Slots that serve a flow while work of other flows goes on as recently.
    fn capacity_of_flow(&self, now: Instant, entry: &Entry<K>, capacity: f64) -> f64 {
        let Some(queue) = self.lines.get(&entry.band).map(|line| &line.queue) else {
            return capacity;
        };
        let own = queue.flow_served_per_second(now, entry.place.flow);
        let others = (queue.served_per_second(now) - own).max(0.0);
        let fair = capacity / queue.flows_waiting().max(1) as f64;
        (capacity - others).max(fair)
    }
}

/// Time in seconds that some work takes on a number of slots; infinite without slots.
fn seconds(work: Duration, slots: f64) -> f64 {
    if work.is_zero() { 0.0 } else { work.as_secs_f64() / slots }
}

//! Fair queueing between flows.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use base::rate::Rate;

use crate::Verdict;
use crate::wait::Before;

/// Cost that is charged for an item when it leaves the queue, before its run time is known.
pub const INITIAL_COST: Duration = Duration::from_millis(1);

/// Units of virtual time for one microsecond of run time at weight one.
const UNITS_PER_MICRO: u64 = 1_000;

/// Number of idle flows above which those are removed whose start tag has passed.
const IDLE_FLOW_LIMIT: usize = 1_024;

/// Time constant over which the run time served per second is averaged: long enough to hold
/// some tens of requests of a busy group, and shorter than the bursts that admission must
/// follow.
const SERVED_WINDOW: Duration = Duration::from_millis(500);

/// End of the objective of an item in a [`Queue`], and a number in the order of arrival.
pub(crate) type Order = (Instant, u64);

/// End of the objective of an item without an objective.
pub(crate) const NO_OBJECTIVE: Instant = Instant::from_micros(u64::MAX);

#[derive(Clone, Debug)]
struct Flow<T> {
    /// Items with their expected run times.
    items: BTreeMap<Order, (T, Duration)>,
    weight: u64,
    start_tag: u64,
    /// Sum of the expected run times.
    work: Duration,
    /// Expected run times of the items served.
    served: Rate,
}

/// Queue of items of many flows, in the order of fair queueing. Within a flow, the item
/// whose objective ends first goes first; items without an objective follow in the order
/// of their arrival.
#[derive(Clone, Debug)]
pub struct Queue<K, T> {
    flows: BTreeMap<K, Flow<T>>,
    ready: BTreeSet<(u64, K)>,
    virtual_time: u64,
    len: usize,
    /// Number of items that were ever appended.
    count: u64,
    work: Duration,
    /// Expected run times of the items served.
    served: Rate,
}

impl<K, T> Default for Queue<K, T> {
    fn default() -> Self {
        Self {
            flows: BTreeMap::new(),
            ready: BTreeSet::new(),
            virtual_time: 0,
            len: 0,
            count: 0,
            work: Duration::ZERO,
            served: Rate::new(SERVED_WINDOW),
        }
    }
}

impl<K: Copy + Ord, T: Copy + PartialEq> Queue<K, T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of items in the queue.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue has no items.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Expected run time of all items.
    pub(crate) fn work(&self) -> Duration {
        self.work
    }

    /// Appends an item without an objective to its flow, and sets the weight of the flow.
    pub fn push(&mut self, key: K, weight: u32, item: T) {
        self.insert(key, weight, NO_OBJECTIVE, INITIAL_COST, item);
    }

    /// Adds an item to its flow, and sets the weight of the flow. Returns the item's place
    /// in the flow.
    pub(crate) fn insert(
        &mut self,
        key: K,
        weight: u32,
        until: Instant,
        work: Duration,
        item: T,
    ) -> Order {
        let time = self.virtual_time;
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            items: BTreeMap::new(),
            weight: 1,
            start_tag: time,
            work: Duration::ZERO,
            served: Rate::new(SERVED_WINDOW),
        });
        flow.weight = u64::from(weight.max(1));
        if flow.items.is_empty() {
            flow.start_tag = flow.start_tag.max(time);
            self.ready.insert((flow.start_tag, key));
        }
        self.count += 1;
        let order = (until, self.count);
        flow.items.insert(order, (item, work));
        flow.work += work;
        self.work += work;
        self.len += 1;
        order
    }

    /// Removes an item at any position of its flow. Returns false if it is not queued.
    pub fn remove(&mut self, key: K, item: T) -> bool {
        let items = self.flows.get(&key).map(|flow| &flow.items);
        let found = items.and_then(|items| items.iter().find(|(_, (other, _))| *other == item));
        let order = found.map(|(order, _)| *order);
        order.is_some_and(|order| self.remove_at(key, order))
    }

    /// Removes the item at a place of its flow. Returns false if there is none.
    pub(crate) fn remove_at(&mut self, key: K, order: Order) -> bool {
        let Some(flow) = self.flows.get_mut(&key) else {
            return false;
        };
        let Some((_, work)) = flow.items.remove(&order) else {
            return false;
        };
        flow.work = flow.work.saturating_sub(work);
        self.work = self.work.saturating_sub(work);
        self.len -= 1;
        if flow.items.is_empty() {
            self.ready.remove(&(flow.start_tag, key));
        }
        true
    }

    /// Expected run time of the items that are served before the place of an item with
    /// the given run time: those before it in its flow, and of each other flow what fair
    /// queueing serves meanwhile.
    pub(crate) fn work_before(&self, key: K, weight: u32, order: Order, run: Duration) -> Before {
        let own = self.flows.get(&key).map_or(Duration::ZERO, |flow| flow.work_before(order));
        let weight = f64::from(weight.max(1));
        let turn = (own + run).as_secs_f64() / weight;
        let others = self.ready.iter().filter(|(_, other)| *other != key);
        let others = others.filter_map(|(_, other)| self.flows.get(other));
        let share =
            |flow: &Flow<T>| flow.work.min(Duration::from_secs_f64(turn * flow.weight as f64));
        Before { own, others: others.map(share).sum() }
    }

    /// Records the expected run time of an item that was taken.
    pub(crate) fn record_served(&mut self, now: Instant, key: K, work: Duration) {
        self.served.add(now, work.as_secs_f64());
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.served.add(now, work.as_secs_f64());
        }
    }

    /// Seconds of run time that were served per second recently.
    pub(crate) fn served_per_second(&self, now: Instant) -> f64 {
        self.served.per_second(now)
    }

    /// Seconds of run time of one flow that were served per second recently.
    pub(crate) fn flow_served_per_second(&self, now: Instant, key: K) -> f64 {
        self.flows.get(&key).map_or(0.0, |flow| flow.served.per_second(now))
    }

    /// Number of flows with items.
    pub(crate) fn flows_waiting(&self) -> usize {
        self.ready.len()
    }

    /// The last item of the flow with the most work.
    pub(crate) fn longest_tail(&self) -> Option<T> {
        let flows = self.ready.iter().filter_map(|(_, key)| self.flows.get(key));
        let longest = flows.max_by_key(|flow| flow.work)?;
        longest.items.last_key_value().map(|(_, (item, _))| *item)
    }

    /// Offers the first item of each flow, in fair order, until every flow has been
    /// skipped or is empty, or the decision is to stop.
    pub fn offer(&mut self, mut decide: impl FnMut(T) -> Verdict) {
        let mut from = (0, None);
        while let Some((tag, key)) = self.next_ready(from) {
            let Some((item, _)) = self.first(key) else {
                return;
            };
            match decide(item) {
                Verdict::Take => self.take(tag, key),
                Verdict::Skip => from = (tag, Some(key)),
                Verdict::Stop => return,
            }
        }
        self.remove_idle_flows();
    }

    /// The first item of a flow and its expected run time.
    pub(crate) fn first(&self, key: K) -> Option<(T, Duration)> {
        self.flows.get(&key)?.items.first_key_value().map(|(_, item)| *item)
    }

    /// Charges a flow for the run time of an item beyond [`INITIAL_COST`].
    pub fn charge(&mut self, key: K, run: Duration) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let cost = virtual_cost(run.saturating_sub(INITIAL_COST), flow.weight);
        if self.ready.remove(&(flow.start_tag, key)) {
            self.ready.insert((flow.start_tag + cost, key));
        }
        flow.start_tag += cost;
    }

    /// The next flow after `from` in fair order, with its start tag.
    pub(crate) fn next_ready(&self, from: (u64, Option<K>)) -> Option<(u64, K)> {
        let next = match from {
            (_, None) => self.ready.first(),
            (tag, Some(key)) => {
                let bounds = (std::ops::Bound::Excluded((tag, key)), std::ops::Bound::Unbounded);
                self.ready.range(bounds).next()
            }
        };
        next.copied()
    }

    /// Removes the first item of a flow that [`Queue::next_ready`] returned.
    pub(crate) fn take(&mut self, tag: u64, key: K) {
        self.ready.remove(&(tag, key));
        self.virtual_time = self.virtual_time.max(tag);
        self.len -= 1;
        let flow = self.flows.get_mut(&key).expect("every ready flow exists");
        if let Some((_, (_, work))) = flow.items.pop_first() {
            flow.work = flow.work.saturating_sub(work);
            self.work = self.work.saturating_sub(work);
        }
        flow.start_tag = tag + virtual_cost(INITIAL_COST, flow.weight);
        if !flow.items.is_empty() {
            self.ready.insert((flow.start_tag, key));
        }
    }

    pub(crate) fn remove_idle_flows(&mut self) {
        if self.flows.len() > self.ready.len() + IDLE_FLOW_LIMIT {
            let time = self.virtual_time;
            self.flows.retain(|_, flow| !flow.items.is_empty() || flow.start_tag > time);
        }
    }
}

impl<T> Flow<T> {
    /// Expected run time of the items before a place.
    fn work_before(&self, order: Order) -> Duration {
        let after = self.items.range(order..).map(|(_, (_, work))| *work);
        self.work.saturating_sub(after.sum())
    }
}

fn virtual_cost(run: Duration, weight: u64) -> u64 {
    (run.as_micros() as u64).saturating_mul(UNITS_PER_MICRO) / weight
}

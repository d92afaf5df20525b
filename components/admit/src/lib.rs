//! Weighted fair queueing between services.
//!
//! Each service has a flow. The start tag of a flow is the virtual time at which
//! its next item starts. The flow with the lowest start tag goes first, and each
//! item advances the tag of its flow by the cost of the item divided by the
//! weight (start-time fair queueing). A flow that was idle resumes at the current
//! virtual time, so that idle time earns no credit.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Cost that is charged for an item when it leaves the queue, before its run time is known.
pub const INITIAL_COST: Duration = Duration::from_millis(1);

/// Units of virtual time for one microsecond of run time at weight one.
const UNITS_PER_MICRO: u64 = 1_000;

/// Number of idle flows above which those are removed whose start tag has passed.
const IDLE_FLOW_LIMIT: usize = 1_024;

/// Decision on an item that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The item leaves the queue.
    Take,
    /// The item stays, and so do the later items of its flow.
    Skip,
    /// The item stays, and no further items are offered.
    Stop,
}

#[derive(Clone, Debug)]
struct Flow<T> {
    items: VecDeque<T>,
    weight: u64,
    start_tag: u64,
}

/// Queue of items of many flows, in the order of fair queueing.
#[derive(Clone, Debug)]
pub struct Queue<K, T> {
    flows: BTreeMap<K, Flow<T>>,
    ready: BTreeSet<(u64, K)>,
    virtual_time: u64,
    len: usize,
}

impl<K, T> Default for Queue<K, T> {
    fn default() -> Self {
        Self { flows: BTreeMap::new(), ready: BTreeSet::new(), virtual_time: 0, len: 0 }
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

    /// Appends an item to its flow and sets the weight of the flow.
    pub fn push(&mut self, key: K, weight: u32, item: T) {
        let time = self.virtual_time;
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            items: VecDeque::new(),
            weight: 1,
            start_tag: time,
        });
        flow.weight = u64::from(weight.max(1));
        if flow.items.is_empty() {
            flow.start_tag = flow.start_tag.max(time);
            self.ready.insert((flow.start_tag, key));
        }
        flow.items.push_back(item);
        self.len += 1;
    }

    /// Removes an item at any position of its flow. Returns false if it is not queued.
    pub fn remove(&mut self, key: K, item: T) -> bool {
        let Some(flow) = self.flows.get_mut(&key) else {
            return false;
        };
        let Some(place) = flow.items.iter().position(|other| *other == item) else {
            return false;
        };
        flow.items.remove(place);
        self.len -= 1;
        if flow.items.is_empty() {
            self.ready.remove(&(flow.start_tag, key));
        }
        true
    }

    /// Offers the first item of each flow, in fair order, until every flow has been
    /// skipped or is empty, or the decision is to stop.
    pub fn offer(&mut self, mut decide: impl FnMut(T) -> Verdict) {
        let mut from = (0, None);
        while let Some((tag, key)) = self.next_ready(from) {
            let Some(item) = self.flows.get(&key).and_then(|flow| flow.items.front().copied())
            else {
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

    fn next_ready(&self, from: (u64, Option<K>)) -> Option<(u64, K)> {
        let next = match from {
            (_, None) => self.ready.first(),
            (tag, Some(key)) => {
                let bounds = (std::ops::Bound::Excluded((tag, key)), std::ops::Bound::Unbounded);
                self.ready.range(bounds).next()
            }
        };
        next.copied()
    }

    fn take(&mut self, tag: u64, key: K) {
        self.ready.remove(&(tag, key));
        self.virtual_time = self.virtual_time.max(tag);
        self.len -= 1;
        let flow = self.flows.get_mut(&key).expect("every ready flow exists");
        flow.items.pop_front();
        flow.start_tag = tag + virtual_cost(INITIAL_COST, flow.weight);
        if !flow.items.is_empty() {
            self.ready.insert((flow.start_tag, key));
        }
    }

    fn remove_idle_flows(&mut self) {
        if self.flows.len() > self.ready.len() + IDLE_FLOW_LIMIT {
            let time = self.virtual_time;
            self.flows.retain(|_, flow| !flow.items.is_empty() || flow.start_tag > time);
        }
    }
}

fn virtual_cost(run: Duration, weight: u64) -> u64 {
    (run.as_micros() as u64).saturating_mul(UNITS_PER_MICRO) / weight
}

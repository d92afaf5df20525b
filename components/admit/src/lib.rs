//! Weighted fair queueing between services.
//!
//! Each service has a flow. A flow's tag is the virtual time at which its next
//! item starts; the lowest tag goes first, and each item moves its flow's tag
//! on by its cost over the weight (start-time fair queueing). A flow that was
//! idle starts at the present virtual time, so it can't save up.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Cost that an item is charged before its run time is known.
pub const INITIAL_COST: Duration = Duration::from_millis(1);

/// Virtual time that one microsecond costs at weight one.
const SCALE: u64 = 1_000;

/// Idle flows that are kept before old ones are swept out.
const IDLE_FLOWS: usize = 1_024;

/// What becomes of an item that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It leaves the queue.
    Take,
    /// It stays, and so do those of its flow behind it.
    Skip,
    /// It stays, and no more items are offered.
    Stop,
}

#[derive(Clone, Debug)]
struct Flow<T> {
    items: VecDeque<T>,
    weight: u64,
    tag: u64,
}

/// Items of many flows, in fair order.
#[derive(Clone, Debug)]
pub struct Queue<K, T> {
    flows: BTreeMap<K, Flow<T>>,
    ready: BTreeSet<(u64, K)>,
    time: u64,
    len: usize,
}

impl<K, T> Default for Queue<K, T> {
    fn default() -> Self {
        Self { flows: BTreeMap::new(), ready: BTreeSet::new(), time: 0, len: 0 }
    }
}

impl<K: Copy + Ord, T: Copy + PartialEq> Queue<K, T> {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Puts an item at the end of its flow.
    pub fn push(&mut self, key: K, weight: u32, item: T) {
        let time = self.time;
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            items: VecDeque::new(),
            weight: 1,
            tag: time,
        });
        flow.weight = u64::from(weight.max(1));
        if flow.items.is_empty() {
            flow.tag = flow.tag.max(time);
            self.ready.insert((flow.tag, key));
        }
        flow.items.push_back(item);
        self.len += 1;
    }

    /// Takes an item out, wherever it stands; false when it is not there.
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
            self.ready.remove(&(flow.tag, key));
        }
        true
    }

    /// Offers the first item of each flow, in fair order, until each flow was
    /// skipped or is empty.
    pub fn offer(&mut self, mut judge: impl FnMut(T) -> Verdict) {
        let mut from = (0, None);
        while let Some((tag, key)) = self.after(from) {
            let Some(item) = self.flows.get(&key).and_then(|flow| flow.items.front().copied())
            else {
                return;
            };
            match judge(item) {
                Verdict::Take => self.take(tag, key),
                Verdict::Skip => from = (tag, Some(key)),
                Verdict::Stop => return,
            }
        }
        self.sweep();
    }

    /// Charges a flow for run time beyond [`INITIAL_COST`].
    pub fn charge(&mut self, key: K, run: Duration) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let cost = price(run.saturating_sub(INITIAL_COST), flow.weight);
        if self.ready.remove(&(flow.tag, key)) {
            self.ready.insert((flow.tag + cost, key));
        }
        flow.tag += cost;
    }

    fn after(&self, from: (u64, Option<K>)) -> Option<(u64, K)> {
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
        self.time = self.time.max(tag);
        self.len -= 1;
        let flow = self.flows.get_mut(&key).expect("a ready flow is known");
        flow.items.pop_front();
        flow.tag = tag + price(INITIAL_COST, flow.weight);
        if !flow.items.is_empty() {
            self.ready.insert((flow.tag, key));
        }
    }

    fn sweep(&mut self) {
        if self.flows.len() > self.ready.len() + IDLE_FLOWS {
            let time = self.time;
            self.flows.retain(|_, flow| !flow.items.is_empty() || flow.tag > time);
        }
    }
}

fn price(run: Duration, weight: u64) -> u64 {
    (run.as_micros() as u64).saturating_mul(SCALE) / weight
}

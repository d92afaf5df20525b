//! How far the clocks of processes are apart.
//!
//! Where one line was written because of another, the clock of the first process
//! is at most ahead by the time between them. The least such time over all pairs
//! is taken for the difference: some message took next to no time.

use std::collections::{BTreeMap, HashMap, VecDeque};

use base::prelude::*;
use telemetry::event::{Answered, Applied, Ended, INDEX, Learned, REQUEST, Sealed};

use crate::line::{Line, Logs, Source};

/// Milliseconds to add to each process' clock to have that of one of them.
#[derive(Debug)]
pub struct Clocks {
    offsets: BTreeMap<Key<Source>, i64>,
}

/// Least time from a line of the first process to one that it led to.
type Delays = HashMap<(Key<Source>, Key<Source>), i64>;

impl Clocks {
    /// Compares the clocks of all processes with that of `reference`.
    pub fn new(logs: &Logs, reference: Key<Source>) -> Self {
        let mut delays = Delays::new();
        compare(logs, &mut delays, |line| match line.message.as_str() {
            Ended::MESSAGE => Some((line.text(REQUEST)?.to_owned(), Side::Cause)),
            Answered::MESSAGE => Some((line.text(REQUEST)?.to_owned(), Side::Effect)),
            _ => None,
        });
        compare(logs, &mut delays, |line| match line.message.as_str() {
            Applied::MESSAGE => Some((line.number(INDEX)?, Side::Cause)),
            Learned::MESSAGE | Sealed::MESSAGE => Some((line.number(INDEX)?, Side::Effect)),
            _ => None,
        });
        Self { offsets: spread(&delays, reference) }
    }

    /// The time of a line by the reference's clock, if its own was compared.
    pub fn time(&self, line: &Line) -> Option<i64> {
        Some(line.time + self.offsets.get(&line.source)?)
    }
}

/// Where a line stands in a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Cause,
    Effect,
}

/// Adds the delays between lines of one key.
fn compare<K: Eq + std::hash::Hash>(
    logs: &Logs,
    delays: &mut Delays,
    key: impl Fn(&Line) -> Option<(K, Side)>,
) {
    let mut pairs: HashMap<K, (Vec<&Line>, Vec<&Line>)> = HashMap::new();
    for line in &logs.lines {
        if let Some((key, side)) = key(line) {
            let (causes, effects) = pairs.entry(key).or_default();
            if side == Side::Cause { causes } else { effects }.push(line);
        }
    }
    for (causes, effects) in pairs.values() {
        for (cause, effect) in causes.iter().flat_map(|c| effects.iter().map(move |e| (c, e))) {
            let delay = effect.time - cause.time;
            let least = delays.entry((cause.source, effect.source)).or_insert(delay);
            *least = delay.min(*least);
        }
    }
}

/// The offset of each process that a chain of delays joins to the reference.
fn spread(delays: &Delays, reference: Key<Source>) -> BTreeMap<Key<Source>, i64> {
    let mut offsets = BTreeMap::from([(reference, 0)]);
    let mut due = VecDeque::from([reference]);
    while let Some(known) = due.pop_front() {
        let offset = offsets[&known];
        for ((cause, effect), delay) in delays {
            let (other, found) = match (*cause == known, *effect == known) {
                (true, false) => (*effect, offset - delay),
                (false, true) => (*cause, offset + delay),
                _ => continue,
            };
            offsets.entry(other).or_insert_with(|| {
                due.push_back(other);
                found
            });
        }
    }
    offsets
}

//! Offsets between the clocks of processes.
//!
//! If one line was written because of another, the difference between their times
//! is the delay of the message plus the offset between the two clocks. The delay is
//! never negative, so each difference is an upper bound on the offset. The least
//! difference over all pairs is taken as the offset, on the assumption that some
//! message took next to no time.

use std::collections::{BTreeMap, HashMap, VecDeque};

use base::prelude::*;
use telemetry::event::{Answered, Applied, Ended, INDEX, Learned, REQUEST, Sealed};

use crate::line::{Line, Logs, Source};

/// Offset of each process: the milliseconds to add to the process's clock to get the
/// clock of the reference process.
#[derive(Debug)]
pub struct Clocks {
    offsets: BTreeMap<Key<Source>, i64>,
}

/// Least delay for each pair of processes, in milliseconds: from a line of the first
/// process to a line of the second process that was written because of the first line.
type Delays = HashMap<(Key<Source>, Key<Source>), i64>;

impl Clocks {
    /// Compares the clocks of all processes with that of `reference`.
    pub fn new(logs: &Logs, reference: Key<Source>) -> Self {
        let mut delays = Delays::new();
        collect_delays(logs, &mut delays, |line| match line.message.as_str() {
            Ended::MESSAGE => Some((line.text(REQUEST)?.to_owned(), Side::Cause)),
            Answered::MESSAGE => Some((line.text(REQUEST)?.to_owned(), Side::Effect)),
            _ => None,
        });
        collect_delays(logs, &mut delays, |line| match line.message.as_str() {
            Applied::MESSAGE => Some((line.number(INDEX)?, Side::Cause)),
            Learned::MESSAGE | Sealed::MESSAGE => Some((line.number(INDEX)?, Side::Effect)),
            _ => None,
        });
        Self { offsets: propagate_offsets(&delays, reference) }
    }

    /// The time of a line by the clock of the reference process, in milliseconds; `None`
    /// if the clock of the line's process could not be compared.
    pub fn time(&self, line: &Line) -> Option<i64> {
        Some(line.time + self.offsets.get(&line.source)?)
    }
}

/// Role of a line in a pair of cause and effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Cause,
    Effect,
}

/// Adds the least delays between causes and effects that have the same key.
fn collect_delays<K: Eq + std::hash::Hash>(
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
            let shortest = delays.entry((cause.source, effect.source)).or_insert(delay);
            *shortest = delay.min(*shortest);
        }
    }
}

/// The offset of each process that a chain of delays connects with the reference.
fn propagate_offsets(delays: &Delays, reference: Key<Source>) -> BTreeMap<Key<Source>, i64> {
    let mut offsets = BTreeMap::from([(reference, 0)]);
    let mut queue = VecDeque::from([reference]);
    while let Some(known) = queue.pop_front() {
        let offset = offsets[&known];
        for ((cause, effect), delay) in delays {
            let (other, other_offset) = match (*cause == known, *effect == known) {
                (true, false) => (*effect, offset - delay),
                (false, true) => (*cause, offset + delay),
                _ => continue,
            };
            offsets.entry(other).or_insert_with(|| {
                queue.push_back(other);
                other_offset
            });
        }
    }
    offsets
}

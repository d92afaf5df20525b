//! Which faults come when, from a seed alone.

use base::prelude::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::process::Signal;
use crate::proxy::{Direction, Mode};

/// Shortest and longest time between two faults, in milliseconds. Most last for
/// longer, so that they overlap.
const PAUSE_MS: (u64, u64) = (50, 900);

/// Shortest and longest time that a fault lasts, in milliseconds.
const LENGTH_MS: (u64, u64) = (100, 3_000);

/// Longest delay of a proxy, in milliseconds.
const DELAY_MS: u64 = 150;

/// Number of parts of each kind.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Control members.
    pub controls: usize,
    /// Entries.
    pub entries: usize,
    /// Database groups.
    pub groups: usize,
}

/// A program that runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A control member.
    Control(usize),
    /// All control members at once.
    Controls,
    /// An entry.
    Entry(usize),
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A process gets a signal; afterwards it goes on or is started again.
    Signal(Target, Signal),
    /// The connections to a process are harmed.
    Connections(Target, Mode),
    /// A fault of a database group.
    Group(usize, standin::Fault),
    /// The declarations change.
    Change,
}

/// A fault and its times.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Time since the step before.
    pub pause: Duration,
    /// The fault.
    pub fault: Fault,
    /// Time after which it is taken back.
    pub length: Duration,
}

/// Steps without end.
#[derive(Debug)]
pub struct Plan {
    random: ChaCha8Rng,
    sizes: Sizes,
}

impl Plan {
    /// The plan of a seed.
    pub fn new(seed: u64, sizes: Sizes) -> Self {
        Self { random: ChaCha8Rng::seed_from_u64(seed), sizes }
    }

    fn millis(&mut self, (least, most): (u64, u64)) -> Duration {
        Duration::from_millis(self.random.random_range(least..=most))
    }

    fn target(&mut self) -> Target {
        match self.random.random_range(0..10) {
            0 => Target::Controls,
            1..4 => Target::Control(self.random.random_range(0..self.sizes.controls)),
            _ => Target::Entry(self.random.random_range(0..self.sizes.entries)),
        }
    }

    fn mode(&mut self) -> Mode {
        match self.random.random_range(0..6) {
            0 => Mode::Delay(self.millis((1, DELAY_MS))),
            1 => Mode::Reset,
            2 => Mode::Hold(Direction::In),
            3 => Mode::Hold(Direction::Out),
            4 => Mode::Silence,
            _ => Mode::Mute,
        }
    }

    fn signal(&mut self) -> Signal {
        match self.random.random_range(0..3) {
            0 => Signal::Kill,
            1 => Signal::Terminate,
            _ => Signal::Pause,
        }
    }

    fn group_fault(&mut self) -> standin::Fault {
        match self.random.random_range(0..3) {
            0 => standin::Fault::PrimaryCrash,
            1 => standin::Fault::PrimaryPartition,
            _ => standin::Fault::ReplicaLag(self.millis(LENGTH_MS)),
        }
    }

    fn fault(&mut self) -> Fault {
        match self.random.random_range(0..10) {
            0..4 => Fault::Signal(self.target(), self.signal()),
            4..7 => Fault::Connections(self.target(), self.mode()),
            7..9 => {
                let group = self.random.random_range(0..self.sizes.groups);
                Fault::Group(group, self.group_fault())
            }
            _ => Fault::Change,
        }
    }
}

impl Iterator for Plan {
    type Item = Step;

    fn next(&mut self) -> Option<Step> {
        let pause = self.millis(PAUSE_MS);
        let fault = self.fault();
        let length = self.millis(LENGTH_MS);
        Some(Step { pause, fault, length })
    }
}

//! The sequence and the times of faults, determined by a seed alone.

use base::prelude::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::process::Signal;
use crate::proxy::{Direction, Mode};

/// Shortest and longest time between the starts of two faults, in milliseconds.
/// Most faults last longer than that, so that they overlap.
const PAUSE_MS: (u64, u64) = (50, 900);

/// Shortest and longest duration of a fault, in milliseconds.
const LENGTH_MS: (u64, u64) = (100, 3_000);

/// Longest delay that a proxy adds, in milliseconds.
const DELAY_MS: u64 = 150;

/// Number of components of each kind.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Number of control members.
    pub controls: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of database groups.
    pub groups: usize,
}

/// The processes that a fault hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The control member with this index.
    Control(usize),
    /// All control members at once.
    Controls,
    /// The entry with this index.
    Entry(usize),
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The processes get a signal; at the end of the fault they are resumed or
    /// started again.
    Signal(Target, Signal),
    /// The proxies in front of the processes disturb their connections.
    Connections(Target, Mode),
    /// The database group with this index has a fault.
    Group(usize, standin::Fault),
    /// The current declarations are submitted again, as a new version.
    Change,
}

/// A fault with the time of its start and its duration.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Time between the start of the previous fault and the start of this one.
    pub pause: Duration,
    /// Fault to inject.
    pub fault: Fault,
    /// Time after which the fault is removed.
    pub length: Duration,
}

/// An infinite sequence of steps.
#[derive(Debug)]
pub struct Plan {
    random: ChaCha8Rng,
    sizes: Sizes,
}

impl Plan {
    /// Creates the plan of a seed.
    pub fn new(seed: u64, sizes: Sizes) -> Self {
        Self { random: ChaCha8Rng::seed_from_u64(seed), sizes }
    }

    fn draw_time(&mut self, (least, most): (u64, u64)) -> Duration {
        Duration::from_millis(self.random.random_range(least..=most))
    }

    fn draw_target(&mut self) -> Target {
        match self.random.random_range(0..10) {
            0 => Target::Controls,
            1..4 => Target::Control(self.random.random_range(0..self.sizes.controls)),
            _ => Target::Entry(self.random.random_range(0..self.sizes.entries)),
        }
    }

    fn draw_mode(&mut self) -> Mode {
        match self.random.random_range(0..6) {
            0 => Mode::Delay(self.draw_time((1, DELAY_MS))),
            1 => Mode::Reset,
            2 => Mode::Hold(Direction::In),
            3 => Mode::Hold(Direction::Out),
            4 => Mode::Silence,
            _ => Mode::Mute,
        }
    }

    fn draw_signal(&mut self) -> Signal {
        match self.random.random_range(0..3) {
            0 => Signal::Kill,
            1 => Signal::Terminate,
            _ => Signal::Pause,
        }
    }

    fn draw_group_fault(&mut self) -> standin::Fault {
        match self.random.random_range(0..3) {
            0 => standin::Fault::PrimaryCrash,
            1 => standin::Fault::PrimaryPartition,
            _ => standin::Fault::ReplicaLag(self.draw_time(LENGTH_MS)),
        }
    }

    fn draw_fault(&mut self) -> Fault {
        match self.random.random_range(0..10) {
            0..4 => Fault::Signal(self.draw_target(), self.draw_signal()),
            4..7 => Fault::Connections(self.draw_target(), self.draw_mode()),
            7..9 => {
                let group = self.random.random_range(0..self.sizes.groups);
                Fault::Group(group, self.draw_group_fault())
            }
            _ => Fault::Change,
        }
    }
}

impl Iterator for Plan {
    type Item = Step;

    fn next(&mut self) -> Option<Step> {
        let pause = self.draw_time(PAUSE_MS);
        let fault = self.draw_fault();
        let length = self.draw_time(LENGTH_MS);
        Some(Step { pause, fault, length })
    }
}

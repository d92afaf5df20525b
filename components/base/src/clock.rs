//! Monotonic time as a plain value.
//!
//! State machines take the current time as an argument, so an [`Instant`] must be
//! cheap to copy and easy to construct in a test. Only the I/O layer of a process
//! owns a [`Clock`] and reads it.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A point in time, in microseconds since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// Creates an instant from microseconds since the process started.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates an instant from milliseconds since the process started.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the process started.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`; zero when `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, rhs: Duration) {
        *self = *self + rhs;
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// The source of [`Instant`]s in a process. The clock includes the time for which
/// the host was suspended, so that leases expire during a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock at [`Instant::ZERO`].
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        Instant::ZERO + since_boot().saturating_sub(self.start)
    }

    /// Converts an instant to the clock of the runtime's timers. That clock stops while
    /// the host is suspended, so the result is too late by the length of any suspension
    /// between this call and the instant.
    pub fn at(&self, instant: Instant) -> std::time::Instant {
        std::time::Instant::now() + instant.since(self.now())
    }
}

/// Time since the host booted, including suspensions.
fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

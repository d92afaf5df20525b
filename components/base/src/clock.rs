//! Monotonic time as a plain value.
//!
//! Every function that decides takes the present time as an argument, so this
//! type must be cheap to copy and easy to make in a test. Only the edge of a
//! process owns a [`Clock`] and asks it.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// Microseconds since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// Makes an instant from microseconds since the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Makes an instant from milliseconds since the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`, zero when `earlier` lies ahead.
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

/// The source of [`Instant`]s at the edge of a process. It counts the time in
/// which the host was suspended, so that a lease runs out meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock at [`Instant::ZERO`].
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// The present time.
    pub fn now(&self) -> Instant {
        Instant::ZERO + since_boot().saturating_sub(self.start)
    }

    /// The same moment as the runtime's timers know it, as far as the host is
    /// not suspended before it.
    pub fn at(&self, instant: Instant) -> std::time::Instant {
        std::time::Instant::now() + instant.since(self.now())
    }
}

/// Time since the host started, with all suspension.
fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

//! The time that opening a connection takes.

use base::prelude::*;

/// Time assumed for opening a connection if none was opened lately.
const INITIAL: Duration = Duration::from_millis(10);

/// Time after the last opening for which the average counts. An average that is too long
/// would prevent the openings that correct it.
const LIFETIME: Duration = Duration::from_secs(10);

/// Multiple of the expected time after which an opening is late.
const LATE_FACTOR: u32 = 4;

/// Shortest time after which an opening is late: two ticks of a group.
const MIN_LATE: Duration = Duration::from_millis(20);

/// Moving average of the time that an opening takes.
#[derive(Debug, Default)]
pub(crate) struct OpeningTime {
    /// The average, and when it was last updated.
    average: Option<(Duration, Instant)>,
}

impl OpeningTime {
    /// Records the time that an opening took.
    pub(crate) fn record(&mut self, now: Instant, time: Duration) {
        let average = self.known(now).map_or(time, |known| (known * 7 + time) / 8);
        self.average = Some((average, now));
    }

    /// Expected time of an opening.
    pub(crate) fn expected(&self, now: Instant) -> Duration {
        self.known(now).unwrap_or(INITIAL)
    }

    /// Time after which an opening takes much longer than usual.
    pub(crate) fn late_after(&self, now: Instant) -> Duration {
        (self.expected(now) * LATE_FACTOR).max(MIN_LATE)
    }

    fn known(&self, now: Instant) -> Option<Duration> {
        let (average, at) = self.average?;
        (now.since(at) <= LIFETIME).then_some(average)
    }
}

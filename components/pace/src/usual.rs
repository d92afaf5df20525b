//! Usual run time of one kind of request.

use base::prelude::*;

/// Weight of a new run time in the moving average.
const WEIGHT: f64 = 1.0 / 32.0;

/// Moving average of the run times of one kind of request on servers that are not
/// slower than their peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    seconds: Option<f64>,
}

impl Usual {
    /// The usual run time; `None` before the first one is known.
    pub fn time(&self) -> Option<Duration> {
        self.seconds.map(Duration::from_secs_f64)
    }

    /// Run time as a multiple of the usual one; 1 if none is known.
    pub fn slowness(&self, run: Duration) -> f64 {
        self.seconds.map_or(1.0, |seconds| run.as_secs_f64() / seconds.max(1e-6))
    }

    /// Adds the run time of a statement.
    pub fn learn(&mut self, run: Duration) {
        let run = run.as_secs_f64();
        let seconds = self.seconds.get_or_insert(run);
        *seconds += (run - *seconds) * WEIGHT;
    }
}

//! How long a read waits for a silent keeper before it moves to another one.
//!
//! A keeper that is alive answers pings. One that has sent nothing for half of the
//! objective of a read, not even the answer to a ping, is left then, so that another
//! keeper can still answer in time. Such early moves are limited to a share of all
//! requests: if many keepers are slow at once, moved reads would only add load.

use base::prelude::*;
use retry::Budget;

/// Time without a message after which a keeper with open requests is considered frozen
/// or unreachable, whatever the objective.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Shortest time without a message after which a read leaves a keeper. A host that
/// shares a slow processor may take some tens of milliseconds to answer.
const PATIENCE_MIN: Duration = Duration::from_millis(100);

/// Share of requests that may leave a keeper before [`RESPONSE_TIMEOUT`].
pub const EARLY_SHARE: f64 = 0.1;

/// Time limits of one request towards its keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    limit: Duration,
}

impl Patience {
    /// Patience of a request with the given objective; zero if it has none.
    pub fn new(objective: Duration) -> Self {
        if objective.is_zero() {
            return Self { limit: RESPONSE_TIMEOUT };
        }
        Self { limit: (objective / 2).clamp(PATIENCE_MIN, RESPONSE_TIMEOUT) }
    }

    /// Time without a message after which the keeper is pinged, and the interval at
    /// which its silence is checked.
    pub fn ping_after(self) -> Duration {
        self.limit / 2
    }

    /// Whether a keeper that was silent for the given time is tried after others.
    pub fn is_exceeded(self, silence: Duration) -> bool {
        silence > self.limit
    }

    /// Whether a read leaves a keeper that was silent for the given time. `early` is the
    /// budget of the reads that leave before [`RESPONSE_TIMEOUT`].
    pub fn leaves(self, silence: Duration, early: &mut Budget) -> bool {
        silence > RESPONSE_TIMEOUT || (self.is_exceeded(silence) && early.withdraw())
    }
}

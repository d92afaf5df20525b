//! The request rate of a team, and what its connections are worth.

use base::prelude::*;
use base::rate::Rate;

/// Time over which the rate of a team is averaged. Equal to the time for which an idle
/// connection is kept beyond the last one of its team.
pub const MEMORY: Duration = Duration::from_secs(10);

/// Objective assumed for requests whose database declares none.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

/// Priority from which on all requests count the same.
const MAX_PRIORITY: u8 = 8;

/// Returns the weight of a request that has to wait for a new connection: the wait as a part
/// of the objective, halved for each step of priority. Zero is the highest priority.
pub fn urgency(priority: u32, objective: Option<Duration>) -> f64 {
    let objective = objective.filter(|objective| !objective.is_zero()).unwrap_or(DEFAULT_OBJECTIVE);
    let halvings = priority.min(u32::from(MAX_PRIORITY));
    0.5_f64.powf(f64::from(halvings)) / objective.as_secs_f64()
}

/// Requests of a team to a server, averaged over [`MEMORY`] with exponential decay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    requests: Rate,
    /// Urgencies of the requests.
    urgencies: Rate,
}

impl Default for Usage {
    fn default() -> Self {
        Self { requests: Rate::new(MEMORY), urgencies: Rate::new(MEMORY) }
    }
}

impl Usage {
    /// Records a request with the given [`urgency`].
    pub fn record(&mut self, now: Instant, urgency: f64) {
        self.requests.add(now, 1.0);
        self.urgencies.add(now, urgency);
    }

    /// Requests per second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.requests.per_second(now)
    }

    /// What the last of `held` connections saves: the requests of one second, weighted by
    /// their urgency, that would find no connection without it. `run` is the mean time for
    /// which a request occupies a connection.
    ///
    /// Requests that find all connections of the team in use are taken as the blocked part
    /// of Poisson arrivals (Erlang's loss formula).
    pub fn value(&self, now: Instant, held: u32, run: Duration) -> f64 {
        let Some(others) = held.checked_sub(1) else { return 0.0 };
        let load = self.rate(now) * run.as_secs_f64();
        self.urgencies.per_second(now) * (blocked(others, load) - blocked(held, load))
    }
}

/// Part of Poisson arrivals that find `count` connections in use, at a load of `load`
/// connections.
fn blocked(count: u32, load: f64) -> f64 {
    (1..=count).fold(1.0, |part, number| {
        let offered = load * part;
        offered / (f64::from(number) + offered)
    })
}

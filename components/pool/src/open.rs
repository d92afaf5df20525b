//! The decision to open a connection for a waiting request.

use base::prelude::*;

/// Connections of a team to a server, without those that a transaction holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Connections that run a request.
    pub busy: u32,
    /// Connections that are being opened, or for which room is being made.
    pub opening: u32,
}

/// Whether a team without an idle connection gets a new one. A team that has connections in
/// use gets a further one if it would be open before the present ones have served the
/// requests that wait: an opening occupies a slot for as long as it takes.
///
/// `waiting` is the number of the team's requests that wait, `run` the typical time for
/// which a request occupies its connection, and `opening` the time that an opening takes.
pub fn should_open(holding: Holding, waiting: u32, run: Duration, opening: Duration) -> bool {
    let held = holding.busy + holding.opening;
    if held == 0 {
        return true;
    }
    holding.opening < waiting && run * waiting / held > opening
}

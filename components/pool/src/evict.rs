//! The choice of the connection that is closed for a new one.

use base::prelude::*;

/// Factor by which the value of a further connection of a team must exceed that of the
/// connection that is closed for it. An opening costs slot time, and two teams of equal
/// rate must not take turns in closing each other's connections.
const ADVANTAGE: f64 = 2.0;

/// An idle connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Idle<C, T> {
    /// Connection.
    pub conn: C,
    /// Team that the connection belongs to.
    pub team: T,
    /// Time since which the connection is idle.
    pub since: Instant,
    /// What the connection saves, see [`Usage::value`](crate::Usage::value).
    pub value: f64,
    /// Whether a request of the team waits and the team has no other connection.
    pub awaited: bool,
}

/// What a new connection is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Gain {
    /// The waiting request can't run without it.
    Required,
    /// The team has other connections, and a further one has this value.
    Further(f64),
}

/// Returns the connection of least value that belongs to another team; among equal ones
/// the one that is idle for longest. For a further connection of a team, only connections
/// of clearly less value are closed, so that a team with many requests at once can't take
/// the connections of all others.
pub fn choose_victim<C: Copy, T: Copy + PartialEq>(
    team: T,
    gain: Gain,
    idle: impl IntoIterator<Item = Idle<C, T>>,
) -> Option<C> {
    let is_offered = |idle: &Idle<C, T>| {
        let gains = match gain {
            Gain::Required => true,
            Gain::Further(value) => value > idle.value * ADVANTAGE,
        };
        idle.team != team && !idle.awaited && gains
    };
    let offered = idle.into_iter().filter(is_offered);
    let least =
        offered.min_by(|a, b| a.value.total_cmp(&b.value).then_with(|| a.since.cmp(&b.since)));
    least.map(|idle| idle.conn)
}

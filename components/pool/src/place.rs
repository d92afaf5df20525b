//! The choice of the server for a read of a team.

use std::cmp::Reverse;

/// Multiple of the mean load up to which a server is used before the next one in the order
/// of the team, as a fraction. With few slots, a lower bound moves reads for differences
/// of one statement.
const BALANCE: (u32, u32) = (5, 4);

/// A server that may serve a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load<S> {
    /// Server.
    pub server: S,
    /// Score of the server for the team, see [`base::rendezvous`]. The highest comes first.
    pub rank: u64,
    /// Slots in use.
    pub used: u32,
    /// Free slots.
    pub free: u32,
    /// Whether a connection of the team is idle.
    pub ready: bool,
}

/// The server for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice<S> {
    /// Send the read on the team's idle connection.
    Use(S),
    /// Open a connection of the team.
    Open(S),
}

/// Chooses among the servers with an idle connection of the team, or else among all with a
/// free slot: the first by rank whose load is within the bound (consistent hashing with
/// bounded load), or else the one with the least load. Returns `None` if no slot is free.
pub fn place<S: Copy>(loads: &[Load<S>]) -> Option<Choice<S>> {
    let total: u32 = loads.iter().map(|load| load.used).sum();
    let bound = ((total + 1) * BALANCE.0).div_ceil(BALANCE.1 * (loads.len() as u32).max(1));
    let best = |ready: bool| {
        let open = loads.iter().filter(|load| load.free > 0 && load.ready >= ready);
        let key = |load: &&Load<S>| {
            let within = load.used < bound;
            (within, Reverse(if within { 0 } else { load.used }), load.rank)
        };
        open.max_by_key(key).map(|load| load.server)
    };
    best(true).map(Choice::Use).or_else(|| best(false).map(Choice::Open))
}

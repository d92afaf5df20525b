//! What a group is started with.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use slog::Logger;

/// Time that a data connection takes to open.
pub const CONNECT_TIME: Duration = Duration::from_millis(12);

/// Time that each statement holds a slot beyond its own work.
pub const STATEMENT_TIME: Duration = Duration::from_millis(1);

/// Settings of a group.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the group; servers are named after it and their number.
    pub name: Name,
    /// Availability zones, given to the servers in turn.
    pub zones: Vec<Name>,
    /// Number of servers.
    pub servers: usize,
    /// Statements that a server runs at once.
    pub slots: usize,
    /// Data connections that a server accepts.
    pub connections: usize,
    /// Time that a data connection takes to open.
    pub connect_time: Duration,
    /// Time between the receipt of a record and its sight by reads.
    pub lag: Duration,
    /// Web addresses of the control members to announce to; none for no
    /// announcements.
    pub controls: Vec<SocketAddr>,
    /// Labels that the servers announce.
    pub labels: BTreeMap<Name, Name>,
    /// Seed of what is drawn.
    pub seed: u64,
    /// Whether server 0 starts as the primary of term 1 and the others follow
    /// it; else all start as replicas of term 0.
    pub settled: bool,
    /// Time that each statement holds a slot beyond its own work.
    pub statement_time: Duration,
    /// Where events are logged.
    pub log: Logger,
}

impl Settings {
    /// Settings of a small group that announces itself to nobody.
    pub fn new(name: Name) -> Self {
        Self {
            zones: vec![name.clone()],
            name,
            servers: 3,
            slots: 2,
            connections: 16,
            connect_time: CONNECT_TIME,
            lag: Duration::from_millis(20),
            controls: Vec::new(),
            labels: BTreeMap::new(),
            seed: 0,
            settled: false,
            statement_time: STATEMENT_TIME,
            log: Logger::root(slog::Discard, slog::o!()),
        }
    }
}

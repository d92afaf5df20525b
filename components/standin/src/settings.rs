//! Settings of a group.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use slog::Logger;

/// Default time that a data connection takes to open.
pub const CONNECT_TIME: Duration = Duration::from_millis(12);

/// Default time that each statement holds a slot in addition to its execution.
pub const STATEMENT_TIME: Duration = Duration::from_millis(1);

/// Settings of a group.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the group; a server's name is this name, a hyphen and the server's
    /// number.
    pub name: Name,
    /// Availability zones, assigned to the servers in rotation.
    pub zones: Vec<Name>,
    /// Number of servers in the group.
    pub servers: usize,
    /// Largest number of statements that a server runs concurrently; further ones wait.
    pub slots: usize,
    /// Largest number of concurrent data connections that a server accepts; connections
    /// of probes do not count.
    pub connections: usize,
    /// Time that a data connection takes to open.
    pub connect_time: Duration,
    /// Time from the receipt of an entry to its application, after which reads see
    /// it.
    pub lag: Duration,
    /// HTTP addresses of the control members to announce to; if empty, the servers
    /// do not announce themselves.
    pub controls: Vec<SocketAddr>,
    /// Labels in the servers' announcements.
    pub labels: BTreeMap<Name, Name>,
    /// Seed for the random choice of the control member that is tried first.
    pub seed: u64,
    /// Whether server 0 starts as the primary of term 1 and the others follow it;
    /// otherwise all start as replicas of term 0.
    pub settled: bool,
    /// Time that each statement holds a slot in addition to its execution.
    pub statement_time: Duration,
    /// Logger of the group.
    pub log: Logger,
}

impl Settings {
    /// Defaults: three servers in one availability zone, without announcements.
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

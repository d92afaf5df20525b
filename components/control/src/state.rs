//! The state that the control log builds.
//!
//! Members and entries hold the same state at the same index. Applying a
//! command asks no clock and no other host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use config::{Declarations, Labels};
use smallvec::SmallVec;
use wire::log::Lease;

/// All that the control log has decided, up to an index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// Index of the last command applied.
    pub index: u64,
    /// Version of the declarations; raised by one by each accepted change.
    pub version: u64,
    /// The declarations in force.
    pub declarations: Arc<Declarations>,
    /// Database groups, declared or announced, by name.
    pub groups: BTreeMap<Name, Group>,
    /// Backend servers, by name.
    pub servers: BTreeMap<Name, Server>,
    /// Entries that live, by name.
    pub entries: BTreeMap<Name, Entry>,
}

/// A database group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Group {
    /// Servers that have a seat, in the order they came. A seat outlives its
    /// server's announcements: a majority is counted over the declared number.
    pub seats: SmallVec<[Name; 3]>,
    /// Highest term that was intended or established.
    pub term: Term,
    /// How far the newest failover is.
    pub phase: Phase,
    /// Primary of the newest established term.
    pub primary: Option<Name>,
    /// Where the ordered terms began.
    pub history: History,
    /// Leases of entries on its servers.
    pub leases: SmallVec<[Lease; 2]>,
    /// Raised by each change of the leases.
    pub generation: u64,
}

/// How far a failover is.
#[derive(Clone, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Phase {
    /// No term is known yet, or none is open.
    #[default]
    Settled,
    /// A term is intended; its fence may be under way.
    Intended,
    /// The primary of the term is chosen.
    Chosen {
        /// Server to promote.
        server: Name,
        /// Last record of its log when it was fenced.
        start: Mark,
    },
}

/// A backend server as it announced itself last.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Raised by each start of the server.
    pub incarnation: u64,
    /// Its group.
    pub group: Name,
    /// Where it takes statements and probes.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Its labels.
    pub labels: Labels,
    /// Connections that it accepts in all.
    pub connections: u32,
    /// Statements that it runs at once.
    pub slots: u32,
    /// Whether it is to get no new work.
    pub leaving: bool,
    /// Whether its announcements stopped.
    pub expired: bool,
}

/// An entry that lives.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Raised by each start of the entry.
    pub incarnation: u64,
    /// Where its keeper listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Whether an operator drains it.
    pub draining: bool,
}

impl Group {
    /// The lease of an entry on this group, if it has one.
    pub fn lease(&self, entry: &str) -> Option<&Lease> {
        self.leases.iter().find(|lease| lease.entry == entry)
    }
}

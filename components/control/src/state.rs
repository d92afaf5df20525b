//! The state that the control log builds.
//!
//! Members and entries hold the same state at the same index. Applying a
//! command asks no clock and no other host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use config::{Declarations, Labels};
use smallvec::SmallVec;
use wire::log::{self, Lease};

use crate::changes::Changes;
use crate::lease::RESERVED_CONNECTIONS;

/// All that the control log has decided, up to an index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// Index of the last command applied.
    pub index: u64,
    /// Version of the declarations; raised by one by each accepted change.
    pub version: u64,
    /// Edition of the declarations, where they come as whole editions.
    pub edition: u64,
    /// The document that the edition was read from, packed; entries lack it.
    pub document: Bytes,
    /// The declarations in force.
    pub declarations: Arc<Declarations>,
    /// Database groups, declared or announced, by name.
    pub groups: BTreeMap<Name, Group>,
    /// Backend servers, by name.
    pub servers: BTreeMap<Name, Server>,
    /// Entries that live, by name.
    pub entries: BTreeMap<Name, Entry>,
    /// Starts of entries that were given up while they held leases, each with
    /// the index of that: they may not know it yet.
    pub departed: BTreeMap<(Name, u64), u64>,
    /// Entries that an operator drains, whether they live or not.
    pub drained: BTreeSet<Name>,
    /// Answers to the newest changes of the declarations.
    pub changes: Changes,
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
    /// Index of the command that last took something from a holder of a lease.
    pub reduced_index: u64,
    /// Index of the command that last ended a lease: what its holder had
    /// acknowledged is not known from it any more.
    pub ended_index: u64,
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
    /// Whether it takes itself for the primary, where it tells.
    pub primary: bool,
}

/// An entry that lives.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Raised by each start of the entry.
    pub incarnation: u64,
    /// Where its keeper listens.
    pub address: SocketAddr,
    /// Where its web server listens; `None` when it told no address.
    pub web: Option<SocketAddr>,
    /// Availability zone.
    pub zone: Name,
    /// Whether its earlier incarnations are known to be gone.
    pub sole: bool,
    /// How much its host can carry beside others.
    pub weight: u32,
    /// Whether an operator drains it.
    pub draining: bool,
}

impl Group {
    /// The lease of an entry on this group, if it has one; it may be that of an
    /// earlier incarnation of the entry.
    pub fn lease(&self, entry: &str) -> Option<&Lease> {
        self.leases.iter().find(|lease| lease.entry == entry)
    }
}

impl State {
    /// Moves over an index that holds no command.
    pub fn skip_to(&mut self, index: u64) {
        self.index = self.index.max(index);
    }

    /// Whether an incarnation of an entry is known to be gone.
    pub fn has_ended(&self, entry: &str, incarnation: u64) -> bool {
        self.entries.get(entry).is_some_and(|known| known.sole && known.incarnation > incarnation)
    }

    /// Whether the declarations name a group.
    pub fn declares(&self, group: &str) -> bool {
        self.declarations.groups.contains_key(group)
    }

    /// Whether the servers of a group acknowledge by themselves.
    pub fn acknowledges(&self, group: &str) -> bool {
        self.declarations.groups.get(group).is_some_and(|group| group.acknowledges)
    }

    /// Connections of a server that may be granted to entries.
    pub fn grantable(&self, server: &Server) -> u32 {
        let declared = self.declarations.groups.get(&server.group);
        let limit = declared.map(|group| group.connections).filter(|&limit| limit > 0);
        limit.unwrap_or(server.connections).saturating_sub(RESERVED_CONNECTIONS)
    }

    /// Servers that make a majority of a group; zero when it is not declared.
    pub fn majority(&self, group: &str) -> usize {
        self.declarations.groups.get(group).map_or(0, |group| group.servers as usize / 2 + 1)
    }
}

impl Server {
    /// A server as its announcement gives it; `None` when a part can't be read.
    pub fn from_announce(announce: &log::Announce) -> Option<(Name, Self)> {
        let mut labels = Labels::new();
        for label in &announce.labels {
            labels.insert(Name::new(&label.key).ok()?, Name::new(&label.value).ok()?);
        }
        let server = Self {
            incarnation: announce.incarnation,
            group: Name::new(&announce.group).ok()?,
            address: announce.address.parse().ok()?,
            zone: Name::new(&announce.zone).ok()?,
            labels,
            connections: announce.connections,
            slots: announce.slots,
            leaving: announce.leaving,
            expired: false,
            primary: announce.primary,
        };
        Some((Name::new(&announce.server).ok()?, server))
    }

    /// The announcement that gives this server.
    pub fn to_announce(&self, name: &Name) -> log::Announce {
        let label = |(key, value): (&Name, &Name)| log::Label {
            key: key.to_string(),
            value: value.to_string(),
        };
        log::Announce {
            server: name.to_string(),
            incarnation: self.incarnation,
            group: self.group.to_string(),
            address: self.address.to_string(),
            zone: self.zone.to_string(),
            labels: self.labels.iter().map(label).collect(),
            connections: self.connections,
            slots: self.slots,
            leaving: self.leaving,
            primary: self.primary,
            sequence: 0,
        }
    }
}

impl Entry {
    /// An entry as its command gives it; `None` when a part can't be read.
    pub fn from_join(join: &log::Join) -> Option<(Name, Self)> {
        let entry = Self {
            incarnation: join.incarnation,
            address: join.address.parse().ok()?,
            web: join.web.parse().ok(),
            zone: Name::new(&join.zone).ok()?,
            sole: join.sole,
            weight: join.weight.max(1),
            draining: false,
        };
        Some((Name::new(&join.entry).ok()?, entry))
    }

    /// The command that gives this entry.
    pub fn to_join(&self, name: &Name) -> log::Join {
        log::Join {
            entry: name.to_string(),
            incarnation: self.incarnation,
            address: self.address.to_string(),
            zone: self.zone.to_string(),
            web: self.web.map(|web| web.to_string()).unwrap_or_default(),
            sole: self.sole,
            weight: self.weight,
        }
    }
}

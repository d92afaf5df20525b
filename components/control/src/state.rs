//! The replicated state of the control log.
//!
//! Members and entries hold the same state at the same index. Applying a
//! command is deterministic: it reads no clock and contacts no other host.

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

/// Number of servers that left for good and are remembered.
const MAX_RETIRED: usize = 1_024;

/// Result of all commands of the control log up to an index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// Index of the last applied command.
    pub index: u64,
    /// Version of the declarations; each accepted change increments it.
    pub version: u64,
    /// Edition of the declarations, if they are replaced as whole editions.
    pub edition: u64,
    /// Compressed document from which the edition was read; empty on entries.
    pub document: Bytes,
    /// The declarations in force.
    pub declarations: Arc<Declarations>,
    /// Database groups that are or were declared, by name.
    pub groups: BTreeMap<Name, Group>,
    /// Backend servers, by name.
    pub servers: BTreeMap<Name, Server>,
    /// Servers that left for good, by name. A leader proposes no announcement of theirs, so
    /// that a late one doesn't bring a server back.
    pub retired: BTreeMap<Name, Retired>,
    /// Entries that are alive, by name.
    pub entries: BTreeMap<Name, Entry>,
    /// Incarnations of entries that were removed while they held leases and may not
    /// know of their removal yet, each with the index of the removal.
    pub departed: BTreeMap<(Name, u64), u64>,
    /// Entries that an operator drains, whether they are alive or not.
    pub drained: BTreeSet<Name>,
    /// Answers to the newest changes of the declarations.
    pub changes: Changes,
}

/// A database group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Group {
    /// Servers that have a seat, in the order in which they took it. A server keeps
    /// its seat after its announcements expire, because a majority is counted over
    /// the declared number of servers.
    pub seats: SmallVec<[Name; 3]>,
    /// Highest term that was intended or established.
    pub term: Term,
    /// Phase of the newest failover.
    pub phase: Phase,
    /// Primary of the newest established term.
    pub primary: Option<Name>,
    /// Log position at which each term began, for the terms whose primary a failover
    /// chose.
    pub history: History,
    /// Leases of entries on the servers of the group.
    pub leases: SmallVec<[Lease; 2]>,
    /// Version of the leases; each change of the leases and each removal of an entry
    /// increments it.
    pub generation: u64,
    /// Index of the last command that reduced a lease.
    pub reduced_index: u64,
    /// Index of the last command that ended a lease. The holder of that lease no
    /// longer reports what it has acknowledged.
    pub ended_index: u64,
    /// Index of the last command since which the primary of an unfenced group may be the only
    /// server that holds some acknowledged records: another server took over as the primary,
    /// or the log of a replica left the group. Zero once another server is known to hold what
    /// was acknowledged until then.
    pub uncovered_index: u64,
    /// Server of an unfenced group that was chosen or established last.
    pub candidate: Option<Candidate>,
}

/// A server of an unfenced group that was chosen or established last. No other server was
/// designated since then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the server.
    pub server: Name,
    /// The server's own term before its promotion: it leads if it reports the role of the
    /// primary in a higher term. An old primary that was not stepped down has that role too.
    /// `None` if the server was established without a choice.
    pub above: Option<Term>,
}

/// Phase of a failover.
#[derive(Clone, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Phase {
    /// No term is known yet, or the newest one is established.
    #[default]
    Settled,
    /// A term is intended; servers may be fenced at it already.
    Intended,
    /// The primary of the term is chosen but not established.
    Chosen {
        /// Server to promote.
        server: Name,
        /// Last record of the server's log when it was chosen.
        start: Mark,
        /// Incarnation of the server with that log; zero in a fenced group.
        incarnation: u64,
    },
}

/// A backend server, from its last announcement.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Incarnation of the server; each start increments it.
    pub incarnation: u64,
    /// Group of the server.
    pub group: Name,
    /// Address for statements and probes.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub zone: Name,
    /// Labels of the server.
    pub labels: Labels,
    /// Total number of connections that the server accepts.
    pub connections: u32,
    /// Number of statements that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is leaving and gets no new work.
    pub leaving: bool,
    /// Whether the announcements of the server have stopped.
    pub expired: bool,
    /// Whether the server announces itself as the primary; `false` if it does not
    /// announce a role.
    pub primary: bool,
}

/// A backend server that left for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retired {
    /// Incarnation that left.
    pub incarnation: u64,
    /// Index of the command that removed it.
    pub index: u64,
}

/// An entry that is alive.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Incarnation of the entry; each start increments it.
    pub incarnation: u64,
    /// Address on which the entry's keeper listens.
    pub address: SocketAddr,
    /// Address on which the entry's web server listens; `None` if it announced none.
    pub web: Option<SocketAddr>,
    /// Availability zone of the entry.
    pub zone: Name,
    /// Whether all earlier incarnations of the entry are known to have ended.
    pub sole: bool,
    /// Capacity of the entry's host, relative to other hosts.
    pub weight: u32,
    /// Whether an operator drains the entry.
    pub draining: bool,
}

impl Group {
    /// The lease of an entry on this group, if any. The lease may belong to an
    /// earlier incarnation of the entry.
    pub fn lease(&self, entry: &str) -> Option<&Lease> {
        self.leases.iter().find(|lease| lease.entry == entry)
    }
}

impl State {
    /// Skips to an index that holds no command.
    pub fn skip_to(&mut self, index: u64) {
        self.index = self.index.max(index);
    }

    /// Whether an incarnation of an entry is known to have ended.
    pub fn has_ended(&self, entry: &str, incarnation: u64) -> bool {
        self.entries.get(entry).is_some_and(|known| known.sole && known.incarnation > incarnation)
    }

    /// Whether an incarnation of a server, or a later one, left for good.
    pub fn has_retired(&self, server: &Name, incarnation: u64) -> bool {
        self.retired.get(server).is_some_and(|retired| retired.incarnation >= incarnation)
    }

    /// Records that an incarnation of a server left for good. Incarnation zero is that of
    /// all starts of a server that numbers none, so it is not recorded.
    pub(crate) fn retire(&mut self, server: Name, incarnation: u64, index: u64) {
        if incarnation == 0 {
            return;
        }
        self.retired.insert(server, Retired { incarnation, index });
        if self.retired.len() > MAX_RETIRED {
            let oldest = self.retired.iter().min_by_key(|(_, retired)| retired.index);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.retired.remove(&oldest);
            }
        }
    }

    /// Whether a group is declared.
    pub fn declares(&self, group: &str) -> bool {
        self.declarations.groups.contains_key(group)
    }

    /// Whether a group is unfenced: its servers acknowledge commits by themselves
    /// and can't be fenced.
    pub fn acknowledges(&self, group: &str) -> bool {
        self.declarations.groups.get(group).is_some_and(|group| group.acknowledges)
    }

    /// Number of connections of a server that may be granted to entries.
    pub fn grantable(&self, server: &Server) -> u32 {
        let declared = self.declarations.groups.get(&server.group);
        let limit = declared.map(|group| group.connections).filter(|&limit| limit > 0);
        limit.unwrap_or(server.connections).saturating_sub(RESERVED_CONNECTIONS)
    }

    /// Number of servers that make a majority of a group; zero if it is not declared.
    pub fn majority(&self, group: &str) -> usize {
        self.declarations.groups.get(group).map_or(0, |group| group.servers as usize / 2 + 1)
    }
}

impl Server {
    /// Reads a server from its announcement; `None` if a field is malformed.
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

    /// Announcement from which this server can be read again.
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
    /// Reads an entry from its join command; `None` if a required field is malformed.
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

    /// Join command from which this entry can be read again.
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

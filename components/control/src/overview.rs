//! What a member tells operators: the body of `GET /v1/status`.
//!
//! The host adds what it knows of the quorum. What only the leader sees (lag,
//! applied indexes, failovers) is missing where it does not lead.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::detector::Cause;
use crate::leader::Leader;
use crate::state::{self, Phase, State};
use crate::trace::Trace;

/// The whole of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Overview {
    /// Last index applied.
    pub index: u64,
    /// Version of the declarations.
    pub version: u64,
    /// Member that leads, as far as is known.
    pub leader: Option<String>,
    /// Whether the member that tells this leads.
    pub leads: bool,
    /// Term of the quorum.
    pub term: u64,
    /// Members of the quorum.
    pub members: Vec<Member>,
    /// Database groups.
    pub groups: Vec<Group>,
    /// Entries that live.
    pub entries: Vec<Entry>,
    /// Newest failovers, oldest first.
    pub failovers: Vec<Failover>,
}

/// A member of the quorum.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Address of its links.
    pub link: String,
    /// Address of its web port.
    pub web: String,
    /// Whether it votes.
    pub voter: bool,
}

/// A database group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Primary of the newest established term.
    pub primary: Option<String>,
    /// Highest term intended or established.
    pub term: u64,
    /// How far the newest failover is: `settled`, `intended` or `chosen`.
    pub phase: String,
    /// Its servers.
    pub servers: Vec<Server>,
    /// Leases of its keepers.
    pub leases: Vec<Lease>,
}

/// A backend server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for statements.
    pub address: String,
    /// Connections that it accepts in all.
    pub connections: u32,
    /// Statements that it runs at once.
    pub slots: u32,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Whether its announcements stopped.
    pub expired: bool,
    /// Part that it reported last.
    pub role: Option<Role>,
    /// Term that it reported last.
    pub term: Option<u64>,
    /// Last position that it keeps durably.
    pub received: Option<u64>,
    /// Last position that its reads see.
    pub applied: Option<u64>,
    /// Positions that it lies behind the primary.
    pub lag: Option<u64>,
}

/// A keeper's lease.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// The entry.
    pub entry: String,
    /// Whether it is being taken back.
    pub returning: bool,
    /// Connections, over all servers.
    pub connections: u32,
    /// Statements at once, over all servers.
    pub slots: u32,
}

/// An entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Address of its keeper.
    pub address: String,
    /// Address of its web port, where it told one.
    pub web: Option<String>,
    /// Whether it is drained.
    pub draining: bool,
    /// Last index that it is known to have applied.
    pub applied: Option<u64>,
}

/// A failover. A leader tells how long after it was noticed each step was
/// taken; a member that only applied the steps tells when, by its wall clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Failover {
    /// The group.
    pub group: String,
    /// Its term.
    pub term: u64,
    /// The new primary.
    pub server: Option<String>,
    /// Why it began.
    pub cause: Option<String>,
    /// How long ago it was noticed, in milliseconds.
    pub noticed_ms_ago: Option<u64>,
    /// Time until a majority was fenced, in milliseconds.
    pub fenced_after_ms: Option<u64>,
    /// Time until the new primary was promoted, in milliseconds.
    pub promoted_after_ms: Option<u64>,
    /// Time until a majority had followed, in milliseconds.
    pub established_after_ms: Option<u64>,
    /// When its term was intended, in milliseconds since 1970.
    pub intended_ms: Option<u64>,
    /// When the new primary was chosen, in milliseconds since 1970.
    pub chosen_ms: Option<u64>,
    /// When it was established, in milliseconds since 1970.
    pub established_ms: Option<u64>,
}

impl Overview {
    /// Tells of the state, and of what the leader sees where one is given.
    pub fn new(now: Instant, state: &State, leader: Option<&Leader>) -> Self {
        let groups = state.groups.iter();
        let entries = state.entries.iter();
        let traces = leader.into_iter().flat_map(Leader::traces);
        Self {
            index: state.index,
            version: state.version,
            groups: groups
                .map(|(name, group)| tell_group(now, state, leader, name, group))
                .collect(),
            entries: entries.map(|(name, entry)| tell_entry(leader, name, entry)).collect(),
            failovers: traces.map(|trace| tell_failover(now, trace)).collect(),
            ..Self::default()
        }
    }
}

impl Failover {
    /// Takes what its leader saw of it.
    pub fn observe(&mut self, seen: Self) {
        self.cause = seen.cause;
        self.noticed_ms_ago = seen.noticed_ms_ago;
        self.fenced_after_ms = seen.fenced_after_ms;
        self.promoted_after_ms = seen.promoted_after_ms;
        self.established_after_ms = seen.established_after_ms;
    }
}

fn tell_group(
    now: Instant,
    state: &State,
    leader: Option<&Leader>,
    name: &Name,
    group: &state::Group,
) -> Group {
    let status = |server: &Name| leader.and_then(|l| l.status(now, name.as_str(), server));
    let head = group.primary.as_ref().and_then(status).map(|status| status.received);
    let servers = state.servers.iter().filter(|(_, server)| server.group == *name);
    let servers = servers.map(|(name, server)| {
        let mut server = tell_server(name, server);
        if let Some(status) = status(name) {
            server.role = Some(status.role);
            server.term = Some(status.term.0);
            server.received = Some(status.received.0);
            server.applied = Some(status.applied.0);
            server.lag = head.map(|head| head.0.saturating_sub(status.applied.0));
        }
        server
    });
    let phase = match group.phase {
        Phase::Settled => "settled",
        Phase::Intended => "intended",
        Phase::Chosen { .. } => "chosen",
    };
    Group {
        name: name.to_string(),
        primary: group.primary.as_ref().map(Name::to_string),
        term: group.term.0,
        phase: phase.to_owned(),
        servers: servers.collect(),
        leases: group.leases.iter().map(tell_lease).collect(),
    }
}

fn tell_server(name: &Name, server: &state::Server) -> Server {
    Server {
        name: name.to_string(),
        zone: server.zone.to_string(),
        address: server.address.to_string(),
        connections: server.connections,
        slots: server.slots,
        leaving: server.leaving,
        expired: server.expired,
        ..Server::default()
    }
}

fn tell_lease(lease: &wire::log::Lease) -> Lease {
    Lease {
        entry: lease.entry.clone(),
        returning: lease.returning,
        connections: lease.shares.iter().map(|share| share.connections).sum(),
        slots: lease.shares.iter().map(|share| share.slots).sum(),
    }
}

fn tell_entry(leader: Option<&Leader>, name: &Name, entry: &state::Entry) -> Entry {
    let applied = leader.map(|leader| leader.applied(name, entry.incarnation));
    Entry {
        name: name.to_string(),
        incarnation: entry.incarnation,
        zone: entry.zone.to_string(),
        address: entry.address.to_string(),
        web: entry.web.map(|web| web.to_string()),
        draining: entry.draining,
        applied: applied.filter(|&applied| applied > 0),
    }
}

fn tell_failover(now: Instant, trace: &Trace) -> Failover {
    let millis = |at: Instant| at.since(trace.noticed).as_millis() as u64;
    let cause: Cause = trace.cause;
    Failover {
        group: trace.group.to_string(),
        term: trace.term.0,
        cause: Some(cause.to_string()),
        noticed_ms_ago: Some(now.since(trace.noticed).as_millis() as u64),
        fenced_after_ms: trace.fenced.map(millis),
        promoted_after_ms: trace.promoted.map(millis),
        established_after_ms: trace.established.map(millis),
        ..Failover::default()
    }
}

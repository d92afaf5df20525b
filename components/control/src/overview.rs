//! Status report for operators: the body of `GET /v1/status`.
//!
//! The driver adds the data of the quorum. Data that only the leader has (lag,
//! applied indexes, causes and durations of failovers) is missing in the report of
//! other members.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::detector::Cause;
use crate::leader::Leader;
use crate::state::{self, Phase, State};
use crate::trace::Trace;

/// Status report of one member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Overview {
    /// Last index that the member has applied.
    pub index: u64,
    /// Version of the declarations.
    pub version: u64,
    /// Name of the leading member, if known.
    pub leader: Option<String>,
    /// Whether the reporting member leads.
    pub leads: bool,
    /// Term of the quorum.
    pub term: u64,
    /// Members of the quorum.
    pub members: Vec<Member>,
    /// Database groups.
    pub groups: Vec<Group>,
    /// Entries that are alive.
    pub entries: Vec<Entry>,
    /// Newest failovers, oldest first.
    pub failovers: Vec<Failover>,
}

/// A member of the quorum.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Member {
    /// Name of the member.
    pub name: String,
    /// Address of the member's links to other hosts.
    pub link: String,
    /// Address of the member's web port.
    pub web: String,
    /// Whether the member votes.
    pub voter: bool,
}

/// A database group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Group {
    /// Name of the group.
    pub name: String,
    /// Primary of the newest established term.
    pub primary: Option<String>,
    /// Highest term intended or established.
    pub term: u64,
    /// Phase of the newest failover: `settled`, `intended` or `chosen`.
    pub phase: String,
    /// Servers of the group.
    pub servers: Vec<Server>,
    /// Leases of the group's keepers.
    pub leases: Vec<Lease>,
}

/// A backend server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Server {
    /// Name of the server.
    pub name: String,
    /// Availability zone of the server.
    pub zone: String,
    /// Address for statements.
    pub address: String,
    /// Total number of connections that the server accepts.
    pub connections: u32,
    /// Number of statements that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is leaving and gets no new work.
    pub leaving: bool,
    /// Whether the announcements of the server have stopped.
    pub expired: bool,
    /// Role that the server reported last.
    pub role: Option<Role>,
    /// Term that the server reported last.
    pub term: Option<u64>,
    /// Last log position that the server has stored durably.
    pub received: Option<u64>,
    /// Last log position that is visible to reads on the server.
    pub applied: Option<u64>,
    /// Number of log positions by which the server lags behind the primary.
    pub lag: Option<u64>,
}

/// A keeper's lease on a group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Name of the keeper's entry.
    pub entry: String,
    /// Whether the lease is being returned.
    pub returning: bool,
    /// Leased connections, summed over all servers.
    pub connections: u32,
    /// Leased concurrent statements, summed over all servers.
    pub slots: u32,
}

/// An entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Entry {
    /// Name of the entry.
    pub name: String,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Availability zone of the entry.
    pub zone: String,
    /// Address of the entry's keeper.
    pub address: String,
    /// Address of the entry's web port, if it announced one.
    pub web: Option<String>,
    /// Whether the entry is drained.
    pub draining: bool,
    /// Last index that the entry is known to have applied.
    pub applied: Option<u64>,
}

/// A failover. The leader reports the time from detection to each step; a member
/// that only applied the steps reports when it did so, by its wall clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Failover {
    /// Name of the group.
    pub group: String,
    /// Term of the failover.
    pub term: u64,
    /// Name of the new primary.
    pub server: Option<String>,
    /// Cause of the failover.
    pub cause: Option<String>,
    /// Time since the cause was detected, in milliseconds.
    pub noticed_ms_ago: Option<u64>,
    /// Time from detection until a majority was fenced or, in an unfenced group, no
    /// keeper worked for the old primary any more, in milliseconds.
    pub fenced_after_ms: Option<u64>,
    /// Time from detection until the new primary was promoted, in milliseconds.
    pub promoted_after_ms: Option<u64>,
    /// Time from detection until the new primary was established, in milliseconds.
    pub established_after_ms: Option<u64>,
    /// When the term was intended, in milliseconds since the Unix epoch.
    pub intended_ms: Option<u64>,
    /// When the new primary was chosen, in milliseconds since the Unix epoch.
    pub chosen_ms: Option<u64>,
    /// When the new primary was established, in milliseconds since the Unix epoch.
    pub established_ms: Option<u64>,
}

impl Overview {
    /// Reports the state, and the data of the leader if one is given.
    pub fn new(now: Instant, state: &State, leader: Option<&Leader>) -> Self {
        let groups = state.groups.iter();
        let entries = state.entries.iter();
        let traces = leader.into_iter().flat_map(Leader::traces);
        Self {
            index: state.index,
            version: state.version,
            groups: groups
                .map(|(name, group)| report_group(now, state, leader, name, group))
                .collect(),
            entries: entries.map(|(name, entry)| report_entry(leader, name, entry)).collect(),
            failovers: traces.map(|trace| report_failover(now, trace)).collect(),
            ..Self::default()
        }
    }
}

impl Failover {
    /// Copies the cause and the durations that the leader observed.
    pub fn observe(&mut self, seen: Self) {
        self.cause = seen.cause;
        self.noticed_ms_ago = seen.noticed_ms_ago;
        self.fenced_after_ms = seen.fenced_after_ms;
        self.promoted_after_ms = seen.promoted_after_ms;
        self.established_after_ms = seen.established_after_ms;
    }
}

fn report_group(
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
        let mut server = report_server(name, server);
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
        leases: group.leases.iter().map(report_lease).collect(),
    }
}

fn report_server(name: &Name, server: &state::Server) -> Server {
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

fn report_lease(lease: &wire::log::Lease) -> Lease {
    Lease {
        entry: lease.entry.clone(),
        returning: lease.returning,
        connections: lease.shares.iter().map(|share| share.connections).sum(),
        slots: lease.shares.iter().map(|share| share.slots).sum(),
    }
}

fn report_entry(leader: Option<&Leader>, name: &Name, entry: &state::Entry) -> Entry {
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

fn report_failover(now: Instant, trace: &Trace) -> Failover {
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

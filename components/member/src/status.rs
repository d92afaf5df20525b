//! What a member shows of itself and of the state.

use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use config::{Declarations, Patch};
use control::{Phase, State};
use serde::Serialize;

use crate::core::Core;

/// Failovers that are remembered.
const FAILOVERS: usize = 32;

/// The declarations and where they stand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Config {
    version: u64,
    index: u64,
    content: String,
}

impl Config {
    /// The text of the patch that leads from here to `declared`.
    ///
    /// A change with another base is a repeat or too late, whatever it holds,
    /// so it goes into the log empty.
    pub(crate) fn patch(&self, base: u64, declared: &Declarations) -> String {
        let from = (base == self.version).then(|| Declarations::parse(&self.content).ok());
        let patch = from.flatten().map(|from| Patch::between(&from, declared));
        patch.unwrap_or_default().text()
    }

    pub(crate) fn of(state: &State) -> Self {
        let content = state.declarations.canonical();
        Self { version: state.version, index: state.index, content }
    }
}

/// What a member knows.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Status {
    member: String,
    id: String,
    leader: Option<String>,
    leads: bool,
    term: u64,
    commit: u64,
    index: u64,
    version: u64,
    members: Vec<Member>,
    groups: Vec<Group>,
    entries: Vec<Entry>,
    failovers: Vec<Failover>,
}

impl Status {
    /// Id of the member of a name; of two, the older one.
    pub(crate) fn id_of(&self, name: &str) -> Option<u64> {
        let member = self.members.iter().find(|member| member.name == name)?;
        u64::from_str_radix(&member.id, 16).ok()
    }
}

#[derive(Clone, Debug, Serialize)]
struct Member {
    name: String,
    id: String,
    link: String,
    web: String,
    voter: bool,
    /// Last index known to be on its disk; told by the leader only.
    matched: Option<u64>,
    beacon: Option<Heard>,
}

/// The newest beacon of a member.
#[derive(Clone, Debug, Serialize)]
struct Heard {
    index: u64,
    term: u64,
    leader: Option<String>,
    age_ms: u64,
}

#[derive(Clone, Debug, Serialize)]
struct Group {
    name: String,
    term: u64,
    phase: String,
    primary: Option<String>,
    leases: Vec<Lease>,
    servers: Vec<Server>,
}

#[derive(Clone, Debug, Serialize)]
struct Lease {
    entry: String,
    returning: bool,
    connections: u32,
    slots: u32,
}

#[derive(Clone, Debug, Serialize)]
struct Server {
    name: String,
    address: String,
    zone: String,
    connections: u32,
    slots: u32,
    leaving: bool,
    expired: bool,
}

#[derive(Clone, Debug, Serialize)]
struct Entry {
    name: String,
    incarnation: u64,
    address: String,
    web: Option<String>,
    zone: String,
    draining: bool,
    /// Last index that it is known to have applied.
    applied: Option<u64>,
}

/// The steps of a failover as this member applied them, in milliseconds of
/// the wall clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Failover {
    group: String,
    term: u64,
    server: Option<String>,
    intended_ms: Option<u64>,
    chosen_ms: Option<u64>,
    established_ms: Option<u64>,
}

impl Failover {
    pub(crate) fn intended(list: &mut VecDeque<Self>, group: &str, term: u64) {
        let failover = Self::find(list, group, term);
        failover.intended_ms = Some(wall_ms());
    }

    pub(crate) fn chosen(list: &mut VecDeque<Self>, group: &str, term: u64, server: &str) {
        let failover = Self::find(list, group, term);
        failover.server = Some(server.to_owned());
        failover.chosen_ms = Some(wall_ms());
    }

    pub(crate) fn established(list: &mut VecDeque<Self>, group: &str, term: u64, server: &str) {
        let failover = Self::find(list, group, term);
        failover.server = Some(server.to_owned());
        failover.established_ms = Some(wall_ms());
    }

    fn find<'a>(list: &'a mut VecDeque<Self>, group: &str, term: u64) -> &'a mut Self {
        let place = list.iter().position(|known| known.group == group && known.term == term);
        let place = place.unwrap_or_else(|| {
            if list.len() == FAILOVERS {
                list.pop_front();
            }
            list.push_back(Self {
                group: group.to_owned(),
                term,
                server: None,
                intended_ms: None,
                chosen_ms: None,
                established_ms: None,
            });
            list.len() - 1
        });
        &mut list[place]
    }
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Core {
    /// What this member knows at present.
    pub(crate) fn status(&self) -> Status {
        Status {
            member: self.own.name.clone(),
            id: id(self.own.id),
            leader: self.part.leader.and_then(|leader| self.name_of(leader)),
            leads: self.part.leads,
            term: self.part.term,
            commit: self.replica.commit(),
            index: self.state.index,
            version: self.state.version,
            members: self.show_members(),
            groups: show_groups(&self.state),
            entries: self.show_entries(),
            failovers: self.failovers.iter().cloned().collect(),
        }
    }

    fn show_members(&self) -> Vec<Member> {
        let progress = self.replica.progress();
        let members = self.replica.members().members.iter();
        let member = |member: &wire::quorum::Member| Member {
            name: member.name.clone(),
            id: id(member.id),
            link: member.link.clone(),
            web: member.web.clone(),
            voter: member.voter,
            matched: progress.get(&member.id).copied(),
            beacon: self.show_beacon(member.id),
        };
        members.map(member).collect()
    }

    fn show_beacon(&self, id: u64) -> Option<Heard> {
        let (beacon, at) = self.heard.get(&id)?;
        Some(Heard {
            index: beacon.index,
            term: beacon.term,
            leader: self.name_of(beacon.leader),
            age_ms: self.now().since(*at).as_millis() as u64,
        })
    }

    fn show_entries(&self) -> Vec<Entry> {
        let entry = |(name, entry): (&base::name::Name, &control::Entry)| Entry {
            name: name.to_string(),
            incarnation: entry.incarnation,
            address: entry.address.to_string(),
            web: entry.web.map(|web| web.to_string()),
            zone: entry.zone.to_string(),
            draining: entry.draining,
            applied: self.seen.get(name.as_str()).copied(),
        };
        self.state.entries.iter().map(entry).collect()
    }
}

/// Ids pass the range that JSON numbers keep exactly.
fn id(id: u64) -> String {
    format!("{id:016x}")
}

fn show_groups(state: &State) -> Vec<Group> {
    let mut groups = Vec::with_capacity(state.groups.len());
    for (name, group) in &state.groups {
        let phase = match &group.phase {
            Phase::Chosen { server, .. } => format!("chosen {server}"),
            phase @ (Phase::Settled | Phase::Intended) => phase.to_string(),
        };
        let servers = state.servers.iter().filter(|(_, server)| server.group == *name);
        groups.push(Group {
            name: name.to_string(),
            term: group.term.0,
            phase,
            primary: group.primary.as_ref().map(ToString::to_string),
            leases: group.leases.iter().map(show_lease).collect(),
            servers: servers.map(|(name, server)| show_server(name.as_str(), server)).collect(),
        });
    }
    groups
}

fn show_lease(lease: &wire::log::Lease) -> Lease {
    Lease {
        entry: lease.entry.clone(),
        returning: lease.returning,
        connections: lease.shares.iter().map(|share| share.connections).sum(),
        slots: lease.shares.iter().map(|share| share.slots).sum(),
    }
}

fn show_server(name: &str, server: &control::Server) -> Server {
    Server {
        name: name.to_owned(),
        address: server.address.to_string(),
        zone: server.zone.to_string(),
        connections: server.connections,
        slots: server.slots,
        leaving: server.leaving,
        expired: server.expired,
    }
}

//! What a member shows of itself and of the state.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use config::{Declarations, Patch};
use control::overview::{Entry, Failover, Group};
use control::{Overview, State};
use serde::{Serialize, Serializer};

use crate::api::Edition;
use crate::core::Core;

/// Failovers that are remembered.
const MAX_FAILOVERS: usize = 32;

/// The declarations and where they stand.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Config {
    version: u64,
    index: u64,
    #[serde(rename = "content", serialize_with = "canonical")]
    declarations: Arc<Declarations>,
    /// Edition and document, where declarations come as whole editions.
    #[serde(skip)]
    pub(crate) edition: Edition,
}

impl Config {
    /// The text of the patch that leads from here to `declared`.
    ///
    /// A change with another base is a repeat or too late, whatever it holds,
    /// so it goes into the log empty.
    pub(crate) fn patch(&self, base: u64, declared: &Declarations) -> String {
        let patch = (base == self.version).then(|| Patch::between(&self.declarations, declared));
        patch.unwrap_or_default().text()
    }

    pub(crate) fn of(state: &State) -> Self {
        Self {
            version: state.version,
            index: state.index,
            declarations: Arc::clone(&state.declarations),
            edition: Edition { number: state.edition, packed: state.document.clone() },
        }
    }
}

/// Declarations as their canonical text.
fn canonical<S: Serializer>(declarations: &Declarations, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&declarations.canonical())
}

/// What a member knows; [`Overview`] reads it.
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
    beacon: Option<BeaconStatus>,
}

/// The newest beacon of a member.
#[derive(Clone, Debug, Serialize)]
struct BeaconStatus {
    index: u64,
    term: u64,
    leader: Option<String>,
    age_ms: u64,
}

/// The steps of a failover as this member applied them, in milliseconds of
/// the wall clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Steps {
    group: String,
    term: u64,
    server: Option<String>,
    intended_ms: Option<u64>,
    chosen_ms: Option<u64>,
    established_ms: Option<u64>,
}

impl Steps {
    fn show(&self) -> Failover {
        Failover {
            group: self.group.clone(),
            term: self.term,
            server: self.server.clone(),
            intended_ms: self.intended_ms,
            chosen_ms: self.chosen_ms,
            established_ms: self.established_ms,
            ..Failover::default()
        }
    }

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
        let index = list.iter().position(|known| known.group == group && known.term == term);
        let index = index.unwrap_or_else(|| {
            if list.len() == MAX_FAILOVERS {
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
        &mut list[index]
    }
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Core {
    /// What this member knows at present.
    ///
    /// What only the leader sees (roles, lag, when it noticed a failover) is
    /// missing where this member does not lead.
    pub(crate) fn status(&self) -> Status {
        let Overview { groups, entries, failovers, .. } =
            Overview::new(self.now(), &self.state, self.leader.as_ref());
        Status {
            member: self.own.name.clone(),
            id: id(self.own.id),
            leader: self.leadership.leader.and_then(|leader| self.name_of(leader)),
            leads: self.leadership.leads,
            term: self.leadership.term,
            commit: self.replica.commit(),
            index: self.state.index,
            version: self.state.version,
            members: self.show_members(),
            groups,
            entries: self.show_entries(entries),
            failovers: self.show_failovers(failovers),
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

    fn show_beacon(&self, id: u64) -> Option<BeaconStatus> {
        let (beacon, at) = self.beacons_received.get(&id)?;
        Some(BeaconStatus {
            index: beacon.index,
            term: beacon.term,
            leader: self.name_of(beacon.leader),
            age_ms: self.now().since(*at).as_millis() as u64,
        })
    }

    /// The entries; where no leader tells what they applied, as was heard here.
    fn show_entries(&self, entries: Vec<Entry>) -> Vec<Entry> {
        let entry = |entry: Entry| Entry {
            applied: entry.applied.or_else(|| self.entry_indexes.get(&entry.name).copied()),
            ..entry
        };
        entries.into_iter().map(entry).collect()
    }

    /// The steps that were applied here, each with what its leader saw. A
    /// failover that has no term yet is known to the leader alone.
    fn show_failovers(&self, seen: Vec<Failover>) -> Vec<Failover> {
        let mut shown: Vec<Failover> = self.failovers.iter().map(Steps::show).collect();
        for failover in seen {
            let same = |known: &&mut Failover| {
                known.group == failover.group && known.term == failover.term
            };
            match shown.iter_mut().find(same) {
                Some(known) => known.observe(failover),
                None => shown.push(failover),
            }
        }
        shown
    }
}

/// Ids pass the range that JSON numbers keep exactly.
fn id(id: u64) -> String {
    format!("{id:016x}")
}

//! Status of a member and of the replicated state, as served over HTTP.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use config::{Declarations, Patch};
use control::overview::{Entry, Failover, Group};
use control::{Overview, State};
use serde::{Serialize, Serializer};

use crate::api::Edition;
use crate::core::Core;

/// Largest number of recent failovers whose steps are kept.
const MAX_FAILOVERS: usize = 32;

/// The declarations, with their version and the index at which they were read.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Config {
    version: u64,
    index: u64,
    #[serde(rename = "content", serialize_with = "canonical")]
    declarations: Arc<Declarations>,
    /// Edition and its document, if declarations are replaced by complete editions.
    #[serde(skip)]
    pub(crate) edition: Edition,
}

impl Config {
    /// Text of the patch from these declarations to `declared`.
    ///
    /// A change with another base is either a retry or outdated regardless of its
    /// content, so an empty patch goes into the log.
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

/// Serializes declarations as their canonical text.
fn canonical<S: Serializer>(declarations: &Declarations, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&declarations.canonical())
}

/// Status document of a member, read by [`Overview`].
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
    /// Id of the member with this name; if two members share the name, the older one.
    pub(crate) fn id_of(&self, name: &str) -> Option<u64> {
        let member = self.members.iter().find(|member| member.name == name)?;
        u64::from_str_radix(&member.id, 16).ok()
    }
}

/// A member in the status document.
#[derive(Clone, Debug, Serialize)]
struct Member {
    name: String,
    id: String,
    link: String,
    web: String,
    voter: bool,
    /// Last index known to be on the member's disk; present at the leader only.
    matched: Option<u64>,
    beacon: Option<BeaconStatus>,
}

/// Newest beacon of a member.
#[derive(Clone, Debug, Serialize)]
struct BeaconStatus {
    index: u64,
    term: u64,
    leader: Option<String>,
    age_ms: u64,
}

/// Times at which this member applied the steps of a failover, in milliseconds of
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
        let failover = Self::find_or_insert(list, group, term);
        failover.intended_ms = Some(wall_ms());
    }

    pub(crate) fn chosen(list: &mut VecDeque<Self>, group: &str, term: u64, server: &str) {
        let failover = Self::find_or_insert(list, group, term);
        failover.server = Some(server.to_owned());
        failover.chosen_ms = Some(wall_ms());
    }

    pub(crate) fn established(list: &mut VecDeque<Self>, group: &str, term: u64, server: &str) {
        let failover = Self::find_or_insert(list, group, term);
        failover.server = Some(server.to_owned());
        failover.established_ms = Some(wall_ms());
    }

    fn find_or_insert<'a>(list: &'a mut VecDeque<Self>, group: &str, term: u64) -> &'a mut Self {
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
    /// Current status of this member.
    ///
    /// Observations of the leader (roles, lag, when it noticed a failover) are
    /// missing if this member does not lead.
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

    /// Entries with their applied index; where the leader's figure is missing, the last
    /// index reported to this member.
    fn show_entries(&self, entries: Vec<Entry>) -> Vec<Entry> {
        let entry = |entry: Entry| Entry {
            applied: entry.applied.or_else(|| self.entry_indexes.get(&entry.name).copied()),
            ..entry
        };
        entries.into_iter().map(entry).collect()
    }

    /// Failover steps that this member applied, merged with the leader's observations.
    /// A failover without a term is known only to the leader.
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

/// Formats an id as text, since ids exceed the range of exact JSON numbers.
fn id(id: u64) -> String {
    format!("{id:016x}")
}

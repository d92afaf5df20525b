//! What changed in the state and when, so that each entry that follows the log gets an
//! update of what concerns it.
//!
//! Most entries keep no group and have a link of low bandwidth, which the log in full would
//! occupy. A feed records when objects changed, instead of passing commands on: several
//! changes of an object between two updates are sent as one, and a command that changes
//! nothing is not sent.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use config::{Declarations, Edit};
use smallvec::SmallVec;
use wire::control::Update;
use wire::log::{Command, Lease, command::Body};
use wire::pack;

use crate::flaw::Flaw;
use crate::image::{write_group, write_server};
use crate::state::{Entry, Group, Server, State};
use crate::update::{Content, Declared, Holders, KeptGroup, Present, without_shares};

/// Time for which an entry whose lease on a group has ended still gets the whole group: its
/// keeper may have to find out the outcome of writes that were running.
pub const FORMER_KEEPER_TIME: Duration = Duration::from_mins(1);

/// Number of versions of the declarations from which an edit can be made. Each is a whole
/// copy in memory.
const MAX_VERSIONS: usize = 3;

/// Number of removed entries that are remembered.
const MAX_GONE: usize = 4_096;

/// What an entry knows already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Known {
    /// Index that the entry has reached.
    pub index: u64,
    /// Version of the declarations that the entry has.
    pub version: u64,
}

/// A group as of its last change.
#[derive(Debug, Default)]
struct Record {
    /// The group, without its generation, which only the leader needs.
    group: Group,
    /// Servers with a seat in the group.
    servers: Vec<(Name, Server)>,
    /// Index of the last change.
    changed: u64,
    /// Index of the last change of the leases' holders.
    holders_changed: u64,
    /// Entries whose lease has ended, and when.
    former: SmallVec<[(String, Instant); 2]>,
}

/// An entry, if it is alive, and the index of its last change.
type Status = (Option<Entry>, u64);

/// Changes of the state since an index.
#[derive(Debug)]
pub struct Feed {
    /// Index after which all changes are known.
    since: u64,
    /// Index of the state.
    index: u64,
    groups: BTreeMap<Name, Record>,
    entries: BTreeMap<Name, Status>,
    /// Newest versions of the declarations, oldest first.
    versions: VecDeque<(u64, Arc<Declarations>)>,
    /// Newest edit: the versions between which it leads, and its compressed text.
    edit: Option<((u64, u64), Bytes)>,
    /// The declarations, compressed, and their version.
    whole: Option<(u64, Bytes)>,
    flaw: Flaw,
}

impl Feed {
    /// Creates a feed that knows no change before the state's index.
    pub fn new(now: Instant, state: &State) -> Self {
        Self::with_flaw(now, state, Flaw::None)
    }

    /// Creates a feed that breaks a rule, for a test that must detect it.
    #[doc(hidden)]
    pub fn with_flaw(now: Instant, state: &State, flaw: Flaw) -> Self {
        let mut feed = Self {
            since: state.index,
            index: 0,
            groups: BTreeMap::new(),
            entries: BTreeMap::new(),
            versions: VecDeque::new(),
            edit: None,
            whole: None,
            flaw,
        };
        feed.compare_groups(now, state);
        feed.add_version(state);
        state.entries.keys().for_each(|name| feed.compare_entry(state, name.as_str()));
        feed.index = state.index;
        feed
    }

    /// Whether all changes after an index are known.
    pub fn covers(&self, index: u64) -> bool {
        index >= self.since
    }

    /// Whether an edit can be made from a version of the declarations.
    pub fn has_version(&self, version: u64) -> bool {
        self.versions.iter().any(|(known, _)| *known == version)
    }

    /// Records what an applied command changed; `None` for a log entry without a command.
    /// To be called for each log entry, with the state after it: an object that changes and
    /// changes back has changed for an entry that was sent the state between.
    pub fn observe(&mut self, now: Instant, state: &State, command: Option<&Command>) {
        self.index = state.index;
        match command.and_then(|command| command.body.as_ref()) {
            Some(Body::Configure(_) | Body::Replace(_)) => {
                self.compare_groups(now, state);
                self.add_version(state);
            }
            Some(Body::Announce(_) | Body::Expire(_)) if self.flaw == Flaw::ForgetServers => {}
            Some(Body::Announce(announce)) => {
                let address = announce.address.parse().ok();
                self.compare_groups_where(now, state, |group, record| {
                    // an announcement removes the servers whose address it takes
                    let is_affected = |(name, server): &(Name, Server)| {
                        name.as_str() == announce.server || Some(server.address) == address
                    };
                    group.as_str() == announce.group || record.servers.iter().any(is_affected)
                });
            }
            Some(Body::Expire(expire)) => {
                self.compare_groups_where(now, state, |_, record| {
                    record.group.seats.iter().any(|seat| seat.as_str() == expire.server)
                });
            }
            Some(Body::Leave(leave)) => {
                self.compare_groups_where(now, state, |_, record| {
                    record.group.lease(&leave.entry).is_some()
                });
                self.compare_entry(state, &leave.entry);
            }
            Some(Body::Join(join)) => self.compare_entry(state, &join.entry),
            Some(Body::Drain(drain)) => self.compare_entry(state, &drain.entry),
            Some(Body::Assign(assign)) => self.compare_group(now, state, &assign.group),
            Some(Body::Intend(intend)) => self.compare_group(now, state, &intend.group),
            Some(Body::Choose(choose)) => self.compare_group(now, state, &choose.group),
            Some(Body::Establish(establish)) => self.compare_group(now, state, &establish.group),
            Some(Body::Cover(cover)) => self.compare_group(now, state, &cover.group),
            None => {}
        }
    }

    fn add_version(&mut self, state: &State) {
        if self.has_version(state.version) {
            return;
        }
        self.versions.push_back((state.version, Arc::clone(&state.declarations)));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    fn compare_groups(&mut self, now: Instant, state: &State) {
        state.groups.keys().for_each(|name| self.compare_group(now, state, name.as_str()));
    }

    fn compare_groups_where(
        &mut self,
        now: Instant,
        state: &State,
        is_affected: impl Fn(&Name, &Record) -> bool,
    ) {
        let affected = self.groups.iter().filter(|(name, record)| is_affected(name, record));
        let affected: SmallVec<[Name; 2]> = affected.map(|(name, _)| name.clone()).collect();
        for name in affected {
            self.compare_group(now, state, name.as_str());
        }
    }

    fn compare_group(&mut self, now: Instant, state: &State, name: &str) {
        let Some((name, group)) = state.groups.get_key_value(name) else { return };
        let server = |seat: &Name| Some((seat.clone(), state.servers.get(seat)?.clone()));
        let servers: Vec<_> = group.seats.iter().filter_map(server).collect();
        if !self.groups.contains_key(name) {
            self.groups.insert(name.clone(), Record::default());
        }
        let Some(record) = self.groups.get_mut(name) else { return };
        let group = Group { generation: 0, ..group.clone() };
        if record.group == group && record.servers == servers {
            return;
        }
        record.changed = state.index;
        if !have_same_holders(&record.group.leases, &group.leases) {
            record.holders_changed = state.index;
        }
        record.former.retain(|(_, ended)| now.since(*ended) < FORMER_KEEPER_TIME);
        for old in &record.group.leases {
            if group.lease(&old.entry).is_none() {
                record.former.push((old.entry.clone(), now));
            }
        }
        (record.group, record.servers) = (group, servers);
    }

    fn compare_entry(&mut self, state: &State, name: &str) {
        let Ok(name) = Name::new(name) else { return };
        let entry = state.entries.get(&name);
        if self.entries.get(&name).and_then(|(known, _)| known.as_ref()) == entry {
            return;
        }
        let gone = entry.is_none();
        self.entries.insert(name, (entry.cloned(), state.index));
        if gone {
            self.limit_gone();
        }
    }

    /// Forgets the removed entry whose removal is oldest, if there are too many.
    fn limit_gone(&mut self) {
        let gone = || self.entries.iter().filter(|(_, (entry, _))| entry.is_none());
        if gone().count() <= MAX_GONE {
            return;
        }
        let oldest = gone().min_by_key(|(_, (_, index))| *index);
        if let Some((name, index)) = oldest.map(|(name, (_, index))| (name.clone(), *index)) {
            self.entries.remove(&name);
            self.since = self.since.max(index);
        }
    }

    /// Entries that need an update of their own, because changes after an index concern
    /// only them.
    pub fn concerned(&self, index: u64) -> BTreeSet<String> {
        let entries = self.entries.iter().filter(|(_, (_, changed))| *changed > index);
        let groups = self.groups.values().filter(|record| record.changed > index);
        let keepers = groups.flat_map(Record::keepers);
        let entries = entries.map(|(name, _)| name.as_str());
        entries.chain(keepers).map(str::to_owned).collect()
    }

    /// The update of all entries that [`Feed::concerned`] doesn't list.
    pub fn shared_update(&mut self, state: &State, known: Known) -> Update {
        self.update(state, known, "", false)
    }

    /// The update of one entry. If `complete`, the update includes all that concerns only
    /// this entry, whether it changed or not.
    pub fn update(&mut self, state: &State, known: Known, entry: &str, complete: bool) -> Update {
        let declared = self.declared(state, known.version);
        let mut content = Content { declared, ..Content::default() };
        let keepers = self.keepers();
        let mut needed = BTreeSet::new();
        for (name, record) in &self.groups {
            let reassigned = record.holders_changed > known.index;
            if record.is_kept_by(entry) {
                if complete || record.changed > known.index {
                    content.kept.push(record.to_kept(name));
                }
            } else if reassigned {
                content.others.push(record.to_holders(name));
            }
            if reassigned {
                needed.extend(record.group.leases.iter().map(|lease| lease.entry.as_str()));
            }
        }
        let changed = self.entries.iter().filter(|(_, (_, index))| *index > known.index);
        for (name, (present, _)) in changed {
            let is_keeper = keepers.contains(name.as_str());
            if present.is_none() {
                content.gone.push(name.to_string());
            } else if is_keeper || name.as_str() == entry {
                needed.insert(name.as_str());
            }
        }
        if complete {
            needed.insert(entry);
        }
        content.entries = needed.into_iter().filter_map(|name| self.present(name)).collect();
        content.into_update(known.index, self.index)
    }

    fn keepers(&self) -> BTreeSet<&str> {
        let leases = self.groups.values().flat_map(|record| &record.group.leases);
        leases.map(|lease| lease.entry.as_str()).collect()
    }

    fn present(&self, name: &str) -> Option<Present> {
        let (name, (entry, _)) = self.entries.get_key_value(name)?;
        let entry = entry.as_ref()?;
        Some(Present { join: Some(entry.to_join(name)), draining: entry.draining })
    }

    /// The declarations for an entry that has another version of them.
    fn declared(&mut self, state: &State, known: u64) -> Option<Declared> {
        let (version, edition) = (state.version, state.edition);
        if version == known {
            return None;
        }
        let from = self.versions.iter().find(|(version, _)| *version == known);
        if let Some((_, from)) = from {
            let key = (known, version);
            if self.edit.as_ref().is_none_or(|(cached, _)| *cached != key) {
                let edit = Edit::between(from, &state.declarations);
                self.edit = Some((key, pack::pack(edit.text().as_bytes())));
            }
            let edit = self.edit.as_ref().map(|(_, edit)| edit.clone())?;
            return Some(Declared { version, edition, whole: Bytes::new(), edit, from: known });
        }
        if self.whole.as_ref().is_none_or(|(cached, _)| *cached != version) {
            let whole = pack::pack(state.declarations.canonical().as_bytes());
            self.whole = Some((version, whole));
        }
        let whole = self.whole.as_ref().map(|(_, whole)| whole.clone())?;
        Some(Declared { version, edition, whole, edit: Bytes::new(), from: 0 })
    }
}

impl Record {
    /// Entries that hold a lease on the group, or held one recently.
    fn keepers(&self) -> impl Iterator<Item = &str> {
        let holders = self.group.leases.iter().map(|lease| lease.entry.as_str());
        holders.chain(self.former.iter().map(|(entry, _)| entry.as_str()))
    }

    fn is_kept_by(&self, entry: &str) -> bool {
        self.keepers().any(|keeper| keeper == entry)
    }

    fn to_kept(&self, name: &Name) -> KeptGroup {
        let servers = self.servers.iter().map(|(name, server)| write_server((name, server)));
        let group = Some(write_group((name, &self.group)));
        KeptGroup { group, servers: servers.collect() }
    }

    fn to_holders(&self, name: &Name) -> Holders {
        let leases = self.group.leases.iter().map(without_shares).collect();
        Holders { group: name.to_string(), leases }
    }
}

fn have_same_holders(one: &[Lease], other: &[Lease]) -> bool {
    one.len() == other.len()
        && one.iter().zip(other).all(|(one, other)| {
            let key = |lease: &Lease| (lease.incarnation, lease.returning);
            one.entry == other.entry && key(one) == key(other)
        })
}

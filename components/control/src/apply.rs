//! Applies one command of the log to the state.

mod leases;
mod primary;

use std::collections::BTreeMap;
use std::collections::btree_map::Entry as Slot;
use std::sync::Arc;

use base::prelude::*;
use config::{Declarations, Patch};
use smallvec::SmallVec;
use wire::log::command::Body;
use wire::log::{self, Command};
use wire::pack;

use crate::changes::Answer;
use crate::state::{Entry, Group, Server, State};

/// Outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The command changed the state.
    Applied,
    /// The command repeated what the state already contains.
    Unchanged,
    /// The command was a change of the declarations; carries the first answer to its id.
    Answered(Answer),
    /// The command was refused and has no effect.
    Refused(Refusal),
}

/// Reason for which a command was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The index of the command was applied before.
    Index,
    /// A field of the command, such as a name or an address, is malformed.
    Malformed,
    /// A later incarnation is known, or the server to expire has another incarnation
    /// than the command names.
    Incarnation,
    /// The same incarnation is known with other data, such as another address, or
    /// another server of the same or a later incarnation has the address.
    Address,
    /// All seats of the group are taken.
    Seats,
    /// The server has a seat in another group.
    Group,
    /// The group, server or entry is unknown.
    Unknown,
    /// The generation of the group's leases has changed since the command was proposed.
    Generation,
    /// The shares of a server would exceed its limit.
    Limit,
    /// The term is too low, no failover has intended it, or its failover is in
    /// another phase.
    Term,
}

impl std::error::Error for Refusal {}

impl State {
    /// Applies the command at an index. A command whose index is not above the
    /// last applied one changes nothing.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        if index <= self.index {
            return Outcome::Refused(Refusal::Index);
        }
        self.index = index;
        let applied = match &command.body {
            Some(Body::Configure(configure)) => Ok(self.configure(index, configure)),
            Some(Body::Announce(announce)) => self.announce(announce),
            Some(Body::Expire(expire)) => self.expire(index, expire),
            Some(Body::Join(join)) => self.join(join),
            Some(Body::Leave(departure)) => self.leave(index, departure),
            Some(Body::Assign(assign)) => self.assign(index, assign),
            Some(Body::Intend(intend)) => self.intend(intend),
            Some(Body::Choose(choose)) => self.choose(choose),
            Some(Body::Establish(establish)) => self.establish(establish),
            Some(Body::Drain(drain)) => self.drain(drain),
            Some(Body::Replace(replace)) => self.replace(replace),
            Some(Body::Cover(cover)) => self.cover(cover),
            None => Ok(Outcome::Unchanged),
        };
        applied.unwrap_or_else(Outcome::Refused)
    }

    fn configure(&mut self, index: u64, configure: &log::Configure) -> Outcome {
        if let Some(answer) = self.changes.get(&configure.change) {
            return Outcome::Answered(answer.clone());
        }
        let answer = self.change(index, configure);
        self.changes.insert(configure.change.clone(), answer.clone());
        Outcome::Answered(answer)
    }

    fn change(&mut self, index: u64, configure: &log::Configure) -> Answer {
        if configure.base != self.version {
            return Answer::Conflict { version: self.version };
        }
        let declarations = match self.declared(configure) {
            Ok(declarations) => declarations,
            Err(faults) => return Answer::Invalid(faults),
        };
        self.version += 1;
        self.declarations = Arc::new(declarations);
        self.seat();
        Answer::Accepted { version: self.version, index }
    }

    /// Replaces the declarations by a whole edition, unless the same or a newer
    /// edition is in force.
    fn replace(&mut self, replace: &log::Replace) -> Result<Outcome, Refusal> {
        if replace.edition <= self.edition {
            return Ok(Outcome::Unchanged);
        }
        let content = pack::unpack_text(&replace.content);
        let content = content.map_err(|_malformed| Refusal::Malformed)?;
        let declarations = Declarations::parse(&content);
        let declarations = declarations.map_err(|_faults| Refusal::Malformed)?;
        self.edition = replace.edition;
        self.document = replace.document.clone();
        self.version += 1;
        self.declarations = Arc::new(declarations);
        self.seat();
        Ok(Outcome::Applied)
    }

    /// The declarations that result from a change.
    fn declared(&self, configure: &log::Configure) -> Result<Declarations, Vec<config::Violation>> {
        if configure.patch.is_empty() {
            return Declarations::parse(&configure.content);
        }
        let patch = Patch::parse(&configure.patch).map_err(|fault| vec![fault])?;
        patch.apply(&self.declarations)
    }

    /// Adds each declared group, drops its seats beyond the declared number of
    /// servers, and gives free seats to servers that announced themselves.
    fn seat(&mut self) {
        let mut wanting: BTreeMap<&Name, SmallVec<[&Name; 3]>> = BTreeMap::new();
        for (server, known) in self.servers.iter().filter(|(_, known)| !known.expired) {
            wanting.entry(&known.group).or_default().push(server);
        }
        for (name, declared) in &self.declarations.groups {
            let group = self.groups.entry(name.clone()).or_default();
            let seats = declared.servers as usize;
            let held = group.seats.len();
            group.shrink(seats, |seat| self.servers.get(seat).is_none_or(|server| server.expired));
            if declared.acknowledges && group.seats.len() < held {
                group.uncovered_index = self.index;
            }
            for &server in wanting.get(name).into_iter().flatten() {
                if group.seats.len() < seats && !group.seats.contains(server) {
                    group.seats.push(server.clone());
                }
            }
        }
    }

    fn announce(&mut self, announce: &log::Announce) -> Result<Outcome, Refusal> {
        let Some((name, server)) = self.check_announce(announce)? else {
            return Ok(Outcome::Unchanged);
        };
        if self.acknowledges(server.group.as_str()) {
            self.evict(&name, &server);
        }
        if self.declares(server.group.as_str()) {
            let group = self.groups.entry(server.group.clone()).or_default();
            if !group.seats.contains(&name) {
                group.seats.push(name.clone());
            }
        }
        let known = self.servers.get(&name);
        if known.is_some_and(|known| known.incarnation != server.incarnation) {
            // the other incarnation may have started without the log of this one
            self.record_lost_log(&name);
        }
        self.servers.insert(name, server);
        Ok(Outcome::Applied)
    }

    /// Removes the servers whose address a later server has taken.
    fn evict(&mut self, name: &Name, server: &Server) {
        let taken = |(other, known): (&Name, &Server)| {
            (other != name && known.address == server.address).then(|| other.clone())
        };
        let evicted: Vec<_> = self.servers.iter().filter_map(taken).collect();
        for other in evicted {
            self.servers.remove(&other);
            self.unseat(&other);
        }
    }

    fn unseat(&mut self, server: &Name) {
        self.record_lost_log(server);
        for group in self.groups.values_mut() {
            group.seats.retain(|seat| seat != server);
        }
    }

    /// The server that an announcement would store; `None` if it changes nothing.
    ///
    /// # Errors
    /// The reason for which the announcement would be refused.
    pub fn check_announce(
        &self,
        announce: &log::Announce,
    ) -> Result<Option<(Name, Server)>, Refusal> {
        let (name, mut server) = Server::from_announce(announce).ok_or(Refusal::Malformed)?;
        let acknowledges = self.acknowledges(server.group.as_str());
        if acknowledges && self.is_taken(&name, &server) {
            return Err(Refusal::Address);
        }
        if let Some(known) = self.servers.get(&name) {
            // a delayed announcement must not bring a leaving server back
            let later = known.incarnation >= server.incarnation;
            server.leaving |= acknowledges && later && known.leaving;
            // a later incarnation that announces itself no more may never have been there
            let gone = acknowledges && known.expired;
            if known.incarnation > server.incarnation && !gone {
                return Err(Refusal::Incarnation);
            }
            if known.incarnation == server.incarnation && known.address != server.address {
                return Err(Refusal::Address);
            }
            if *known == server {
                return Ok(None);
            }
        }
        self.check_seat(&name, &server.group)?;
        Ok(Some((name, server)))
    }

    /// Whether another server of the same or a later incarnation has the address.
    fn is_taken(&self, name: &Name, server: &Server) -> bool {
        self.servers.iter().any(|(other, known)| {
            other != name
                && known.address == server.address
                && known.incarnation >= server.incarnation
        })
    }

    fn check_seat(&self, name: &Name, group: &Name) -> Result<(), Refusal> {
        let seats = |known: &Group| known.seats.contains(name);
        if self.groups.iter().any(|(other, known)| other != group && seats(known)) {
            return Err(Refusal::Group);
        }
        let declared = self.declarations.groups.get(group);
        let known = self.groups.get(group);
        let (Some(declared), Some(known)) = (declared, known) else {
            return Ok(());
        };
        let free = known.seats.len() < declared.servers as usize;
        if free || seats(known) { Ok(()) } else { Err(Refusal::Seats) }
    }

    fn expire(&mut self, index: u64, expire: &log::Expire) -> Result<Outcome, Refusal> {
        let server = self.servers.get_mut(expire.server.as_str()).ok_or(Refusal::Unknown)?;
        if server.incarnation != expire.incarnation {
            return Err(Refusal::Incarnation);
        }
        if expire.left {
            self.servers.remove(expire.server.as_str());
            let name = Name::new(&expire.server).map_err(|_malformed| Refusal::Malformed)?;
            self.unseat(&name);
            self.retire(name, expire.incarnation, index);
            return Ok(Outcome::Applied);
        }
        server.expired = true;
        let group = self.groups.get(&server.group);
        let seated = group.is_some_and(|g| g.seats.iter().any(|s| s.as_str() == expire.server));
        if !seated {
            self.servers.remove(expire.server.as_str());
        }
        Ok(Outcome::Applied)
    }

    fn join(&mut self, join: &log::Join) -> Result<Outcome, Refusal> {
        let (name, mut entry) = Entry::from_join(join).ok_or(Refusal::Malformed)?;
        entry.draining = self.drained.contains(&name);
        if entry.sole {
            self.departed.retain(|(known, incarnation), _| {
                *known != name || *incarnation >= entry.incarnation
            });
        }
        match self.entries.entry(name) {
            Slot::Occupied(known) if known.get().incarnation > entry.incarnation => {
                Err(Refusal::Incarnation)
            }
            Slot::Occupied(known) if *known.get() == entry => Ok(Outcome::Unchanged),
            Slot::Occupied(known) if known.get().incarnation == entry.incarnation => {
                Err(Refusal::Address)
            }
            Slot::Occupied(mut known) => {
                known.insert(entry);
                Ok(Outcome::Applied)
            }
            Slot::Vacant(free) => {
                free.insert(entry);
                Ok(Outcome::Applied)
            }
        }
    }

    fn drain(&mut self, drain: &log::Drain) -> Result<Outcome, Refusal> {
        let name = Name::new(&drain.entry).map_err(|_malformed| Refusal::Malformed)?;
        let changed =
            if drain.on { self.drained.insert(name.clone()) } else { self.drained.remove(&name) };
        if let Some(entry) = self.entries.get_mut(&name) {
            entry.draining = drain.on;
        }
        Ok(if changed { Outcome::Applied } else { Outcome::Unchanged })
    }
}

impl Group {
    /// Drops the seats beyond `seats`: those of servers that are `gone` (unknown or
    /// expired) first, and that of the primary last.
    fn shrink(&mut self, seats: usize, gone: impl Fn(&Name) -> bool) {
        let primary = self.primary.clone();
        let replica = |seat: &Name| Some(seat) != primary.as_ref();
        while self.seats.len() > seats {
            let last = self.seats.len() - 1;
            let spare = self.seats.iter().rposition(|seat| replica(seat) && gone(seat));
            let drop = spare.or_else(|| self.seats.iter().rposition(replica)).unwrap_or(last);
            self.seats.remove(drop);
        }
    }
}

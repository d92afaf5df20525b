//! Teams, and the connections that belong to them.
//!
//! A server of an unfenced group learns the name of a team when a session is started,
//! so a connection runs requests of this team only. Connections of teams are opened on
//! demand. Where callers have no teams, all requests and connections belong to one team
//! without a name, and connections are opened ahead of demand.

use std::collections::{HashMap, HashSet};

use admit::Verdict;
use base::prelude::*;

use crate::conn::{Connection, Work};
use crate::dispatch::IDLE_LIMIT;
use crate::event::Effect;
use crate::group::Group;
use crate::request::Request;
use crate::server::Server;

/// A team of callers.
#[derive(Debug)]
pub(crate) struct Team {
    /// `None` if callers have no team.
    pub(crate) name: Option<Name>,
}

/// Teams that have sent requests to a group.
#[derive(Debug)]
pub(crate) struct Teams {
    known: Arena<Team>,
    by_name: HashMap<Name, Key<Team>>,
    /// Team of callers that have no team.
    unnamed: Key<Team>,
    /// Team of the last request.
    pub(crate) last: Key<Team>,
}

impl Default for Teams {
    fn default() -> Self {
        let mut known = Arena::new();
        let unnamed = known.insert(Team { name: None });
        Self { known, by_name: HashMap::new(), unnamed, last: unnamed }
    }
}

impl Teams {
    /// Returns the key of the team with the given name; `None` if the name is invalid.
    fn intern(&mut self, name: &str) -> Option<Key<Team>> {
        if name.is_empty() {
            return Some(self.unnamed);
        }
        if let Some(key) = self.by_name.get(name) {
            return Some(*key);
        }
        let name = Name::new(name).ok()?;
        let key = self.known.insert(Team { name: Some(name.clone()) });
        self.by_name.insert(name, key);
        Some(key)
    }
}

impl Group {
    /// Returns the team of a request; `None` if the name is invalid.
    pub(crate) fn team_named(&mut self, name: &str) -> Option<Key<Team>> {
        let key = self.teams.intern(name)?;
        self.teams.last = key;
        Some(key)
    }

    /// Whether connections for the team are opened only for waiting requests.
    pub(crate) fn opens_on_demand(&self, team: Key<Team>) -> bool {
        self.has_teams() || (self.is_unfenced() && team != self.teams.unnamed)
    }

    /// Whether teams are declared for the group's callers.
    pub(crate) fn has_teams(&self) -> bool {
        self.is_unfenced() && self.declarations.teams.is_some()
    }

    /// Closes connections of teams that were idle for long, except the last one of each
    /// team. Closes all idle connections of teams if teams are no longer declared.
    pub(crate) fn close_surplus_of_teams(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let (has_teams, unnamed) = (self.has_teams(), self.teams.unnamed);
        if self.teams.by_name.is_empty() {
            return;
        }
        let idle = self.conns.iter().filter_map(|(key, conn)| match conn.work {
            Work::Idle(since) => Some((since, key, (conn.server, conn.team))),
            _ => None,
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort_unstable();
        let mut kept: HashSet<(Key<Server>, Key<Team>)> = HashSet::new();
        for (since, conn, owner) in idle.into_iter().rev() {
            let surplus = has_teams && kept.contains(&owner) && now.since(since) > IDLE_LIMIT;
            let undeclared = !has_teams && owner.1 != unnamed;
            if surplus || undeclared {
                self.close_conn(conn, out);
            } else {
                kept.insert(owner);
            }
        }
    }

    /// Returns the most recently used idle connection of a team to a server.
    pub(crate) fn idle_of(&self, server: Key<Server>, team: Key<Team>) -> Option<Key<Connection>> {
        self.idle_where(server, |conn| conn.team == team)
    }

    /// Whether the server has a connection that is idle, that runs a request, or that
    /// will be idle soon.
    pub(crate) fn has_usable_connection(&self, server: Key<Server>) -> bool {
        let is_usable = |conn: &Connection| {
            conn.server == server && !matches!(conn.work, Work::Pinned(_) | Work::Closing { .. })
        };
        self.conns.iter().any(|(_, conn)| is_usable(conn))
    }

    /// Whether a server has a free slot, and an idle connection unless connections are
    /// opened on demand.
    pub(crate) fn has_ready_server(&self) -> bool {
        let on_demand = self.has_teams() || !self.teams.by_name.is_empty();
        let ready = |key| self.free_slots(key) > 0 && (on_demand || self.idle(key).is_some());
        self.servers.iter().any(|(key, _)| ready(key))
    }

    /// Opens a connection of a team.
    pub(crate) fn open(&mut self, server: Key<Server>, team: Key<Team>, out: &mut Vec<Effect>) {
        let Some(known) = self.servers.get(server) else { return };
        let (name, address) = (known.name.clone(), known.address);
        let uses_slot = self.opens_on_demand(team);
        let conn = self.conns.insert(Connection::new(server, team, uses_slot));
        let team = self.teams.known.get(team).and_then(|team| team.name.clone());
        out.push(Effect::Connect { conn, server: name, address, team });
    }

    /// Opens a connection for a waiting request of a team without an idle connection to
    /// the server. If all connections are in use, closes an idle connection of another
    /// team first; the new connection is opened only after that close was observed, since
    /// the server counts both until then.
    pub(crate) fn open_for(
        &mut self,
        now: Instant,
        server: Key<Server>,
        team: Key<Team>,
        out: &mut Vec<Effect>,
    ) {
        if self.free_slots(server) == 0 || self.is_awaited(server, team) {
            return;
        }
        let Some(known) = self.servers.get(server).filter(|known| now >= known.connect_at) else {
            return;
        };
        if self.connection_count(server) < known.connections {
            return self.open(server, team, out);
        }
        let Some(victim) = self.least_recently_used(server, team) else {
            return;
        };
        if let Some(conn) = self.conns.get_mut(victim) {
            conn.room_for = Some(team);
        }
        self.close_conn(victim, out);
    }

    /// Whether a connection of the team is being opened, or room is being made for one.
    fn is_awaited(&self, server: Key<Server>, team: Key<Team>) -> bool {
        let awaited = |conn: &Connection| {
            let opens = conn.work == Work::Opening && conn.team == team;
            conn.server == server && (opens || conn.room_for == Some(team))
        };
        self.conns.iter().any(|(_, conn)| awaited(conn))
    }

    /// Returns the least recently used idle connection that belongs to another team.
    fn least_recently_used(&self, server: Key<Server>, team: Key<Team>) -> Option<Key<Connection>> {
        let idle = self.conns.iter().filter_map(|(key, conn)| match conn.work {
            Work::Idle(since) if conn.server == server && conn.team != team => Some((since, key)),
            _ => None,
        });
        idle.min().map(|(_, key)| key)
    }

    /// Opens a connection for a read whose team has no idle connection to a server that
    /// qualifies and has a free slot.
    pub(crate) fn open_for_read(
        &mut self,
        now: Instant,
        key: Key<Request>,
        out: &mut Vec<Effect>,
    ) -> Verdict {
        let Some(request) = self.requests.get(key) else {
            return Verdict::Take;
        };
        let team = request.team;
        if !self.opens_on_demand(team) {
            return Verdict::Skip;
        }
        if !self.has_ready_server() {
            return Verdict::Stop;
        }
        let accepts = |key: Key<Server>| {
            let full = self.servers.get(key).is_none_or(|server| now < server.full_until);
            !full && self.free_slots(key) > 0
        };
        let found = self.candidates(now, request).filter(|found| accepts(found.server));
        let primary = self.control_named_primary().map(|(key, _)| key);
        let best = found
            .max_by_key(|found| (Some(found.server) != primary, self.free_slots(found.server)));
        let server = best.map(|found| found.server);
        if let Some(server) = server {
            self.open_for(now, server, team, out);
        }
        Verdict::Skip
    }
}

//! Teams, and the connections that belong to them.
//!
//! A server of an unfenced group learns the name of a team when a session is started,
//! so a connection runs requests of this team only. Connections of teams are opened on
//! demand. Where callers have no teams, all requests and connections belong to one team
//! without a name, and connections are opened ahead of demand.

use std::collections::{HashMap, HashSet};

use admit::Verdict;
use base::prelude::*;
use base::rendezvous;
use config::Declarations;
use pool::{Choice, Gain, Holding, Idle, Load, Usage, choose_victim, place, should_open};
use route::Candidate;
use smallvec::SmallVec;

use crate::conn::{Connection, Session, Work};
use crate::dispatch::IDLE_LIMIT;
use crate::event::{Count, Effect};
use crate::flaw::Flaw;
use crate::group::Group;
use crate::opening::OpeningTime;
use crate::request::{Request, Stage};
use crate::server::Server;

/// A team of callers.
#[derive(Debug)]
pub(crate) struct Team {
    /// `None` if callers have no team.
    pub(crate) name: Option<Name>,
    /// Priority among the teams whose requests have the same priority.
    priority: u32,
}

/// Teams that have sent requests to a group.
#[derive(Debug)]
pub(crate) struct Teams {
    known: Arena<Team>,
    by_name: HashMap<Name, Key<Team>>,
    /// Team of callers that have no team.
    unnamed: Key<Team>,
    /// Requests of each team to each server.
    usage: HashMap<(Key<Server>, Key<Team>), Usage>,
    /// Time that opening a connection takes.
    pub(crate) opening_time: OpeningTime,
    /// Team of the last request, for which connections are opened while none waits.
    pub(crate) last: Key<Team>,
}

impl Default for Teams {
    fn default() -> Self {
        let mut known = Arena::new();
        let unnamed = known.insert(Team { name: None, priority: 0 });
        Self {
            known,
            by_name: HashMap::new(),
            unnamed,
            usage: HashMap::new(),
            opening_time: OpeningTime::default(),
            last: unnamed,
        }
    }
}

impl Teams {
    /// Returns the key of the team with the given name, which is added if it is new; `None`
    /// if the name is invalid.
    fn intern(&mut self, name: &str, priority: u32) -> Option<Key<Team>> {
        if name.is_empty() {
            return Some(self.unnamed);
        }
        if let Some(key) = self.by_name.get(name) {
            return Some(*key);
        }
        let name = Name::new(name).ok()?;
        let key = self.known.insert(Team { name: Some(name.clone()), priority });
        self.by_name.insert(name, key);
        Some(key)
    }

    /// Priority of a team among the teams whose requests have the same priority; `None` for
    /// callers that have no team.
    pub(crate) fn priority(&self, team: Key<Team>) -> Option<u32> {
        self.known.get(team).filter(|team| team.name.is_some()).map(|team| team.priority)
    }
}

fn declared_priority(declarations: &Declarations, team: &str) -> u32 {
    let declared = declarations.teams.as_ref().and_then(|teams| teams.get(team));
    declared.map_or(0, |team| team.priority)
}

impl Group {
    /// Returns the team of a request, which becomes the last one; `None` if the name is
    /// invalid. Servers of a fenced group learn no team, so all its requests use the same
    /// connections.
    pub(crate) fn team_named(&mut self, name: &str) -> Option<Key<Team>> {
        let name = if self.is_unfenced() { name } else { "" };
        let key = self.teams.intern(name, declared_priority(&self.declarations, name))?;
        self.teams.last = key;
        Some(key)
    }

    /// Applies the declared priorities of the teams.
    pub(crate) fn update_teams(&mut self) {
        for (_, team) in self.teams.known.iter_mut() {
            if let Some(name) = &team.name {
                team.priority = declared_priority(&self.declarations, name.as_str());
            }
        }
    }

    /// Whether connections for the team are opened only for waiting requests.
    pub(crate) fn opens_on_demand(&self, team: Key<Team>) -> bool {
        self.has_teams() || (self.is_unfenced() && team != self.teams.unnamed)
    }

    /// Whether teams are declared for the group's callers.
    pub(crate) fn has_teams(&self) -> bool {
        self.is_unfenced() && self.declarations.teams.is_some()
    }

    /// Closes connections of teams that were idle for longer than [`IDLE_LIMIT`], except the
    /// last one of each team to each server. Closes all idle connections of named teams if
    /// teams are no longer declared. Also removes connection caps that have expired, and the
    /// usage of removed servers.
    pub(crate) fn close_surplus_of_teams(&mut self, now: Instant, out: &mut Vec<Effect>) {
        for (_, server) in self.servers.iter_mut() {
            server.cap = server.cap.filter(|(_, until)| now < *until);
        }
        let (has_teams, unnamed) = (self.has_teams(), self.teams.unnamed);
        if !has_teams && self.teams.by_name.is_empty() {
            return;
        }
        let idle = self.conns.iter().filter_map(|(key, conn)| match conn.work {
            Work::Idle(since) => Some((since, key, (conn.server, conn.team))),
            _ => None,
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort_unstable();
        let servers = &self.servers;
        self.teams.usage.retain(|(server, _), _| servers.get(*server).is_some());
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
        let any = self.has_flaw(Flaw::ForeignTeam);
        self.idle_where(server, |conn| any || conn.team == team)
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
    pub(crate) fn open(
        &mut self,
        now: Instant,
        server: Key<Server>,
        team: Key<Team>,
        out: &mut Vec<Effect>,
    ) {
        let Some(known) = self.servers.get(server) else { return };
        let (name, address) = (known.name.clone(), known.address);
        let uses_slot = self.opens_on_demand(team);
        let conn = self.conns.insert(Connection::new(now, server, team, uses_slot));
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
        key: Key<Request>,
        out: &mut Vec<Effect>,
    ) {
        let free = self.free_slots(server);
        let Some(request) = self.requests.get(key).filter(|_| free > 0) else { return };
        let (team, stage) = (request.team, request.stage);
        let Some(known) = self.servers.get(server).filter(|known| now >= known.connect_at) else {
            return;
        };
        let limit = known.connection_limit();
        let (holding, pinned) = self.holding(server, team);
        let has_none = holding == Holding::default();
        let waiting = if has_none { 1 } else { self.waiting_of(team, stage) };
        let opening = self.teams.opening_time.expected(now);
        if !should_open(holding, waiting, self.typical_run_time, opening) {
            return;
        }
        if self.connection_count(server) < limit {
            return self.open(now, server, team, out);
        }
        let evicted = self.conns.iter().filter(|(_, conn)| conn.server == server);
        let evicted = evicted.filter(|(_, conn)| conn.evicted_for.is_some()).count() as u32;
        if evicted >= free {
            return;
        }
        let held = holding.busy + holding.opening + pinned;
        let further = Gain::Further(self.value_of(now, server, team, held + 1));
        let gain = if has_none { Gain::Required } else { further };
        self.evict(now, server, team, gain, out);
    }

    /// Closes an idle connection of another team.
    fn evict(
        &mut self,
        now: Instant,
        server: Key<Server>,
        team: Key<Team>,
        gain: Gain,
        out: &mut Vec<Effect>,
    ) {
        let Some(victim) = choose_victim(team, gain, self.idle_connections(now, server)) else {
            return;
        };
        if let Some(conn) = self.conns.get_mut(victim) {
            conn.evicted_for = Some(team);
        }
        self.close_conn(victim, out);
        out.push(Effect::Count(Count::Evicted));
    }

    /// The idle connections to a server, with what the choice of one to close depends on.
    fn idle_connections(
        &self,
        now: Instant,
        server: Key<Server>,
    ) -> Vec<Idle<Key<Connection>, Key<Team>>> {
        let queued = self.requests.iter().filter(|(_, r)| matches!(r.stage, Stage::Queued(_)));
        let queued: HashSet<_> = queued.map(|(_, request)| request.team).collect();
        let mut held: HashMap<Key<Team>, u32> = HashMap::new();
        let here = self.conns.iter().filter(|(_, conn)| conn.server == server);
        for (_, conn) in here.filter(|(_, conn)| !conn.is_closing()) {
            *held.entry(conn.team).or_default() += 1;
        }
        let idle = self.conns.iter().filter_map(|(key, conn)| match conn.work {
            Work::Idle(since) if conn.server == server => {
                let (team, held) = (conn.team, held.get(&conn.team).copied().unwrap_or(1));
                let awaited = held == 1 && queued.contains(&team);
                let value = self.value_of(now, server, team, held);
                Some(Idle { conn: key, team, since, value, awaited })
            }
            _ => None,
        });
        idle.collect()
    }

    /// What the last of `held` connections of a team to a server saves.
    fn value_of(&self, now: Instant, server: Key<Server>, team: Key<Team>, held: u32) -> f64 {
        let usage = self.teams.usage.get(&(server, team)).copied().unwrap_or_default();
        usage.value(now, held, self.typical_run_time)
    }

    /// Connections of a team to a server that will serve its waiting requests, and the
    /// number of those that a transaction holds.
    fn holding(&self, server: Key<Server>, team: Key<Team>) -> (Holding, u32) {
        let mut holding = Holding::default();
        let mut pinned = 0;
        for (_, conn) in self.conns.iter().filter(|(_, conn)| conn.server == server) {
            let is_own = conn.team == team;
            match conn.work {
                Work::Closing { .. } if conn.evicted_for == Some(team) => holding.opening += 1,
                Work::Opening if is_own => holding.opening += 1,
                Work::Pinned(_) if is_own => pinned += 1,
                Work::Closing { .. } => {}
                _ if is_own => holding.busy += 1,
                _ => {}
            }
        }
        (holding, pinned)
    }

    /// Number of requests of a team in the given stage.
    fn waiting_of(&self, team: Key<Team>, stage: Stage) -> u32 {
        let waits = |request: &Request| request.team == team && request.stage == stage;
        self.requests.iter().filter(|(_, request)| waits(request)).count() as u32
    }

    /// Sends a read of a team, or opens a connection for it.
    pub(crate) fn offer_read_of_team(
        &mut self,
        now: Instant,
        key: Key<Request>,
        out: &mut Vec<Effect>,
    ) -> Verdict {
        if !self.has_ready_server() {
            return Verdict::Stop;
        }
        let Some(request) = self.requests.get(key) else {
            return Verdict::Take;
        };
        let team = request.team;
        let found: SmallVec<[_; 4]> = self.candidates(now, request).collect();
        match self.place_read(now, team, &found) {
            Some(Choice::Use(server)) => {
                let mark = found.iter().find(|found| found.server == server);
                let mark = mark.and_then(|found| found.mark);
                let Some(conn) = self.idle_of(server, team) else {
                    return Verdict::Skip;
                };
                self.send(now, key, conn, mark, out);
                Verdict::Take
            }
            Some(Choice::Open(server)) => {
                self.open_for(now, server, key, out);
                Verdict::Skip
            }
            None => Verdict::Skip,
        }
    }

    /// Chooses the server for a read of a team. A connection to the primary is opened only
    /// if no replica has a free slot.
    fn place_read(
        &self,
        now: Instant,
        team: Key<Team>,
        found: &[Candidate<Key<Server>>],
    ) -> Option<Choice<Key<Server>>> {
        let primary = self.control_named_primary().map(|(key, _)| key);
        let name = self.teams.known.get(team).and_then(|team| team.name.as_ref());
        let name = name.map_or("", Name::as_str);
        let probed = found.iter().any(|found| found.probe);
        let load = |found: &Candidate<Key<Server>>| {
            let server = self.servers.get(found.server)?;
            let full = now < server.full_until || self.opens_late(now, found.server, team);
            Some(Load {
                server: found.server,
                rank: rendezvous::score(name, server.name.as_str()),
                used: self.running(found.server),
                free: if full { 0 } else { self.free_slots(found.server) },
                ready: self.idle_of(found.server, team).is_some(),
            })
        };
        // a due probe of a slow server or of one on probation goes there; any other read avoids
        // servers on probation
        let chosen = found
            .iter()
            .filter(|one| if probed { one.probe } else { !self.is_ejected(one.server, found) });
        let loads: SmallVec<[_; 4]> = chosen.filter_map(load).collect();
        let preferred = loads.iter().filter(|load| load.ready || Some(load.server) != primary);
        let preferred: SmallVec<[_; 4]> = preferred.copied().collect();
        place(&preferred).or_else(|| place(&loads))
    }

    /// Whether an opening of the team takes much longer than usual, so that a read of the
    /// team uses another server.
    fn opens_late(&self, now: Instant, server: Key<Server>, team: Key<Team>) -> bool {
        let limit = self.teams.opening_time.late_after(now);
        let late = |conn: &Connection| {
            let age = self.uptime.awake_since(now, conn.opened_at);
            let opens = conn.work == Work::Opening && age > limit;
            conn.server == server && conn.team == team && opens
        };
        self.conns.iter().any(|(_, conn)| late(conn))
    }

    /// Records that a request is sent on a connection.
    pub(crate) fn record_use(
        &mut self,
        now: Instant,
        key: Key<Request>,
        conn: Key<Connection>,
        out: &mut Vec<Effect>,
    ) {
        let Some(connection) = self.conns.get_mut(conn) else { return };
        let (server, team) = (connection.server, connection.team);
        let last = std::mem::replace(&mut connection.session, Session::Used);
        if !self.opens_on_demand(team) {
            return;
        }
        let service = self.requests.get(key).and_then(|r| self.services.get(r.service));
        let urgency = service.map_or(1.0, |service| service.urgency);
        self.teams.usage.entry((server, team)).or_default().record(now, urgency);
        if last == Session::Used {
            out.push(Effect::Count(Count::Hit));
        }
    }
}

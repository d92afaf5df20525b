//! Dispatch of queued requests to connections, and the number of open
//! connections.

use admit::Verdict;
use base::prelude::*;
use route::choose;
use wire::data::{Class, Outcome, Reason};

use crate::conn::{Connection, Work};
use crate::estimate::Kind;
use crate::event::{Count, Effect};
use crate::flaw::Flaw;
use crate::group::Group;
use crate::request::{Attempt, Request, Stage};
use crate::server::Server;

/// Idle connections kept per server in addition to one for each slot.
const SPARE_CONNECTIONS: u32 = 1;

/// Maximum number of connections to one server that are being opened at the
/// same time.
const MAX_OPENING: u32 = 4;

/// Time after which an idle connection beyond the number to keep is closed.
pub(crate) const IDLE_LIMIT: Duration = Duration::from_secs(10);

impl Group {
    /// Sends all requests that can run now, then opens and closes connections
    /// to match demand.
    pub(crate) fn dispatch(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let servers: Vec<_> = self.servers.iter().map(|(key, _)| key).collect();
        for server in &servers {
            self.dispatch_urgent(now, *server, out);
        }
        if self.may_start() {
            self.dispatch_primary(now, out);
            self.dispatch_replicas(now, out);
        }
        for server in &servers {
            self.connect(now, *server, out);
            self.trim(now, *server, out);
        }
    }

    /// Sends statements of open transactions, which have precedence over all
    /// other work.
    fn dispatch_urgent(&mut self, now: Instant, key: Key<Server>, out: &mut Vec<Effect>) {
        // a transaction that has begun is not delayed by slow start
        while self.slots_left(key).max(self.min_slots(key)) > 0 {
            let next = self.servers.get_mut(key).and_then(|server| server.urgent.pop_front());
            let Some(request) = next else {
                return;
            };
            if let Some(conn) = self.pinned_for(request) {
                self.send(now, request, conn, None, out);
            }
        }
    }

    /// Returns the connection that holds the request's open transaction, if it
    /// is idle.
    fn pinned_for(&self, key: Key<Request>) -> Option<Key<Connection>> {
        let request = self.requests.get(key)?;
        let Stage::Urgent(key) = request.stage else {
            return None;
        };
        let conn = self.conns.get(key)?;
        let free = matches!(conn.work, Work::Pinned(_)) && conn.owner == Some(request.owner());
        free.then_some(key)
    }

    /// Allows one statement at a time on a server without slots, so that open
    /// transactions can finish after its slots were withdrawn.
    fn min_slots(&self, key: Key<Server>) -> u32 {
        let shared = self.servers.get(key).is_some_and(|server| server.slots > 0);
        u32::from(!shared && self.running(key) == 0)
    }

    fn dispatch_primary(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let Some((server, term)) = self.usable_primary(now) else {
            return;
        };
        let mut queue = std::mem::take(&mut self.lanes.primary);
        queue.offer(now, |key| self.offer_primary(now, server, term, key, out));
        self.lanes.primary = queue;
        if !self.lanes.primary.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut self.lanes.spare);
        queue.offer(now, |key| self.offer_primary(now, server, term, key, out));
        self.lanes.spare = queue;
    }

    fn offer_primary(
        &mut self,
        now: Instant,
        server: Key<Server>,
        term: Term,
        key: Key<Request>,
        out: &mut Vec<Effect>,
    ) -> Verdict {
        let Some(request) = self.requests.get(key) else {
            return Verdict::Take;
        };
        let reached = self.services.get(request.service).is_some_and(|s| s.reaches(server));
        if !reached && request.class != Class::Read {
            self.finish(now, key, Outcome::NotRun, Reason::Refused, out);
            return Verdict::Take;
        }
        if !reached || request.floor.is_some_and(|floor| floor.term > term) {
            return Verdict::Skip;
        }
        let caller_team = request.team;
        if self.free_slots(server) == 0 {
            return Verdict::Stop;
        }
        if let Some(conn) = self.idle_of(server, caller_team) {
            self.send(now, key, conn, None, out);
            return Verdict::Take;
        }
        if !self.opens_on_demand(caller_team) {
            return Verdict::Stop;
        }
        self.open_for(now, server, key, out);
        Verdict::Skip
    }

    fn dispatch_replicas(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.lanes.replica.is_empty() || !self.has_ready_server() {
            return;
        }
        let mut queue = std::mem::take(&mut self.lanes.replica);
        queue.offer(now, |key| self.offer_replica(now, key, out));
        self.lanes.replica = queue;
    }

    fn offer_replica(&mut self, now: Instant, key: Key<Request>, out: &mut Vec<Effect>) -> Verdict {
        let Some(request) = self.requests.get(key) else {
            return Verdict::Take;
        };
        let mut found = self.candidates(now, request).peekable();
        if found.peek().is_none() {
            drop(found);
            self.park(key);
            return Verdict::Take;
        }
        let team = request.team;
        if self.opens_on_demand(team) {
            drop(found);
            return self.offer_read_of_team(now, key, out);
        }
        let Some(best) = choose(found) else {
            return Verdict::Skip;
        };
        let Some(conn) = self.idle_of(best.server, team) else {
            return Verdict::Skip;
        };
        self.send(now, key, conn, best.mark, out);
        Verdict::Take
    }

    /// Parks a read again until a replica qualifies.
    fn park(&mut self, key: Key<Request>) {
        if let Some(request) = self.requests.get_mut(key) {
            request.stage = Stage::Parked;
            self.parked.push(key);
        }
    }

    /// Sends a request on an idle connection.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        key: Key<Request>,
        conn: Key<Connection>,
        mark: Option<Mark>,
        out: &mut Vec<Effect>,
    ) {
        let Some(server) = self.conns.get(conn).map(|conn| conn.server) else {
            return;
        };
        let attempt = self.new_attempt(now, key, conn, server, mark);
        self.record_use(now, key, conn, out);
        let (Some(request), Some(connection)) =
            (self.requests.get_mut(key), self.conns.get_mut(conn))
        else {
            return;
        };
        if let Some(since) = attempt.verify_since {
            self.sampling.request_since(since);
        }
        connection.work = Work::Busy(key);
        request.attempt = attempt;
        request.may_move = self.starts.judges && request.is_read() && !request.is_fresh();
        request.stage = Stage::Running(conn);
        let wait = mark.filter(|_| self.unfenced.is_some() && !request.attempt.primary);
        out.push(Effect::Send { conn, bytes: request.run.payload.clone(), wait });
        if request.is_read() {
            let count = if request.attempt.primary {
                Count::PrimaryRead(request.cause)
            } else {
                Count::ReplicaRead
            };
            out.push(Effect::Count(count));
        }
        if request.window == 0 {
            connection.paused = true;
            out.push(Effect::Pause { conn });
        }
        self.note_sent(now, server);
    }

    fn new_attempt(
        &self,
        now: Instant,
        key: Key<Request>,
        conn: Key<Connection>,
        server: Key<Server>,
        mark: Option<Mark>,
    ) -> Attempt {
        let mut attempt =
            Attempt { server: Some(server), sent_at: now, mark, ..Attempt::default() };
        let Some(request) = self.requests.get(key) else {
            return attempt;
        };
        if let Some(server) = self.servers.get(server)
            && let Some(status) = server.status()
        {
            attempt.incarnation = status.incarnation;
            attempt.term = status.term;
            let marked = Some(server.last_mark).filter(|marked| marked.term == status.term);
            attempt.position_before =
                status.received.max(marked.map_or(Position(0), |m| m.position));
        }
        let pinned = self.conns.get(conn).filter(|_| request.run.in_transaction);
        if let Some(pinned) = pinned.filter(|pinned| pinned.term != attempt.term) {
            attempt.term = pinned.term;
            attempt.position_before = Position::default();
        }
        let leads = self.primary().is_some_and(|(key, _)| key == server);
        attempt.primary = leads || pinned.is_some_and(|pinned| pinned.primary);
        if let Some(unfenced) = &self.unfenced {
            attempt.index = unfenced.index;
            return attempt;
        }
        if attempt.primary && !request.run.in_transaction {
            let blind_write = request.class != Class::Read && request.floor.is_none();
            let since =
                if blind_write { Some(request.arrived) } else { request.sampled_since(now) };
            attempt.verify_since = since;
        }
        attempt
    }

    /// Opens connections ahead of demand. In an unfenced group, a server that
    /// could not be reached gets one trial connection: no requests are sent to
    /// such a server, so nothing else would show that it has recovered.
    fn connect(&mut self, now: Instant, key: Key<Server>, out: &mut Vec<Effect>) {
        if !self.may_keep_idle(key) {
            return;
        }
        let Some(server) = self.servers.get(key) else {
            return;
        };
        if now < server.connect_at || !(self.is_unfenced() || server.is_responsive(now)) {
            return;
        }
        let (limit, warm) = (server.connection_limit(), server.slots + SPARE_CONNECTIONS);
        let probes = self.is_unfenced() && server.outage.is_some();
        let opening = self.conns.iter().filter(|(_, conn)| conn.server == key);
        let mut opening = opening.filter(|(_, conn)| conn.work == Work::Opening).count() as u32;
        if probes && opening == 0 && self.connection_count(key) >= limit {
            return self.close_idle(key, out);
        }
        let team = self.teams.last;
        let on_demand = self.opens_on_demand(team);
        let wanted = |group: &Self, opening| {
            let few = if on_demand {
                !group.has_usable_connection(key)
            } else {
                let room = opening < MAX_OPENING && group.window_room(key) > 0;
                group.idle_count(key) < warm && room
            };
            (probes && opening == 0) || few
        };
        while self.connection_count(key) < limit && wanted(self, opening) {
            self.open(now, key, team, out);
            opening += 1;
        }
    }

    /// Closes an idle connection to make room for a new one.
    pub(crate) fn close_idle(&mut self, server: Key<Server>, out: &mut Vec<Effect>) {
        if let Some(conn) = self.idle(server) {
            self.close_conn(conn, out);
        }
    }

    /// Closes surplus idle connections.
    fn trim(&mut self, now: Instant, key: Key<Server>, out: &mut Vec<Effect>) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let (limit, warm) = (server.connections, server.slots + SPARE_CONNECTIONS);
        let keeps = self.may_keep_idle(key);
        let pooled = self.has_teams();
        let idle = self.conns.iter().filter_map(|(conn, connection)| match connection.work {
            Work::Idle(since) if connection.server == key => Some((since, conn)),
            _ => None,
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort_unstable();
        let (mut total, mut ready) = (self.connection_count(key), self.idle_count(key));
        if pooled {
            total = total.saturating_sub(self.closing_count(key));
        }
        for (since, conn) in idle {
            let old = !pooled && ready > warm && now.since(since) > IDLE_LIMIT;
            if keeps && total <= limit && !old {
                break;
            }
            self.close_conn(conn, out);
            total -= 1;
            ready -= 1;
        }
    }

    /// Charges the run time of a request to its flow in the queues, and updates the
    /// typical run time. A time that includes a suspension of the process is no run time.
    /// `ran` adds the time to the estimates of the service: false for a request that the
    /// server refused, and in fenced groups, which use no estimates.
    pub(crate) fn charge(&mut self, now: Instant, key: Key<Request>, ran: bool) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let (rank, flow, service) = (request.rank, request.flow, request.service);
        let (primary, sent_at) = (request.attempt.primary, request.attempt.sent_at);
        let kind = Kind::new(request.class == Class::Read, primary);
        if self.uptime.was_suspended_since(sent_at) && !self.has_flaw(Flaw::CountSuspension) {
            return;
        }
        let run = now.since(sent_at);
        if primary {
            self.lanes.primary.charge(rank, flow, run);
            self.lanes.spare.charge(rank, flow, run);
        } else {
            self.lanes.replica.charge(rank, flow, run);
        }
        self.typical_run_time = (self.typical_run_time * 7 + run) / 8;
        if let Some(service) = self.services.get_mut(service).filter(|_| ran) {
            service.estimates.record(now, kind, run);
        }
    }
}

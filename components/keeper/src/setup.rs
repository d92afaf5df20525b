//! Changes of servers, leases and declarations in the control log, and the
//! release of a lease.

use base::mechanism::Mechanism;
use base::prelude::*;
use wire::data::{Outcome, Reason};

use crate::conn::{Connection, Work};
use crate::event::{Effect, Lease, Pace, Setup};
use crate::group::Group;
use crate::request::Stage;
use crate::server::Server;
use crate::unfenced::Lag;

/// Time for which open transactions may continue after the lease on the group
/// was lost or has to be returned, or the shutdown began.
const TRANSACTION_GRACE: Duration = Duration::from_secs(10);

/// Time after the beginning of slow start within which a new incarnation does not begin it
/// again: the end of the outage, seen before the incarnation, has begun it.
const KNOWN_START: Duration = Duration::from_secs(2);

impl Group {
    pub(crate) fn set_up(&mut self, now: Instant, setup: Setup, out: &mut Vec<Effect>) {
        self.follow_control(now, &setup);
        self.declared = setup.declared;
        let promoted = setup.primary.clone().filter(|name| self.replaces_primary(name));
        self.control_primary = setup.primary;
        self.declarations = setup.declarations;
        self.without = setup.without;
        self.set_slow_start(!setup.without.has(Mechanism::SlowStart));
        self.update_servers(now, setup.servers, out);
        self.update_teams();
        if let Some(server) = promoted.and_then(|name| self.server_named(&name)) {
            self.begin_slow_start(now, server);
        }
        let services = self.services.iter_mut();
        for (_, service) in services {
            service.update(&self.name, &self.declarations, &self.servers);
        }
        self.set_lease(now, setup.lease, out);
    }

    pub(crate) fn set_leased(&mut self, now: Instant, leased: bool, out: &mut Vec<Effect>) {
        self.leased = leased;
        if !leased {
            self.refuse_waiting(now, Reason::Lease, out);
        }
    }

    pub(crate) fn close(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.closing = true;
        self.closing_since.get_or_insert(now);
        self.refuse_waiting(now, Reason::Closing, out);
    }

    /// Releases the lease on the group during its return or the shutdown, once
    /// no connection is open.
    pub(crate) fn release_lease(&mut self, out: &mut Vec<Effect>) {
        let due = self.lease == Lease::Returning || self.closing;
        if due && self.conns.is_empty() && !self.lease_released {
            self.lease_released = true;
            out.push(Effect::ReleaseLease);
        }
    }

    /// Whether the grace period of open transactions has passed.
    pub(crate) fn is_grace_over(&self, now: Instant) -> bool {
        self.closing_since.is_some_and(|from| now.since(from) > TRANSACTION_GRACE)
    }

    fn set_lease(&mut self, now: Instant, lease: Lease, out: &mut Vec<Effect>) {
        self.lease = lease;
        if lease == Lease::Held {
            self.lease_released = false;
            self.closing_since = if self.closing { self.closing_since } else { None };
            return;
        }
        self.closing_since.get_or_insert(now);
        self.refuse_waiting(now, Reason::WrongKeeper, out);
    }

    fn update_servers(
        &mut self,
        now: Instant,
        setups: Vec<crate::event::Server>,
        out: &mut Vec<Effect>,
    ) {
        for (_, server) in self.servers.iter_mut() {
            server.configured = setups.iter().any(|setup| setup.name == server.name);
        }
        // nothing tells whether the servers of a group that is new to this entry are cold
        let joins = !self.servers.is_empty();
        for setup in setups {
            if let Some(key) = self.server_named(&setup.name) {
                self.update_server(now, key, setup);
                continue;
            }
            let mut server = Server::new(now, setup, self.is_unfenced());
            server.slow_start = self.starts.slow;
            if joins {
                server.begin_slow_start(now);
            }
            self.servers.insert(server);
        }
        let gone = |(key, server): (Key<Server>, &Server)| {
            let used = self.conns.iter().any(|(_, conn)| conn.server == key);
            (!server.configured && !used).then_some(key)
        };
        let gone: Vec<_> = self.servers.iter().filter_map(gone).collect();
        for server in gone.into_iter().filter_map(|key| self.servers.remove(key)) {
            if server.reported_pace != Pace::default() {
                let (before, now) = (server.reported_pace, Pace::default());
                out.push(Effect::Pace { server: server.setup.name, before, now });
            }
        }
    }

    /// Records the primary that control names. Returns whether it replaces another one.
    fn replaces_primary(&mut self, name: &Name) -> bool {
        let known = self.starts.last_primary.replace(name.clone());
        known.is_some_and(|known| known != *name)
    }

    /// Turns slow start on or off. Without an objective, nothing says which run times are bad
    /// for callers, so servers are not judged by their answers.
    fn set_slow_start(&mut self, on: bool) {
        let databases = self.declarations.databases.values();
        let mut own = databases.filter(|database| database.group == self.name);
        self.starts.judges = self.is_unfenced() && own.any(|database| database.objective_ms > 0);
        self.starts.slow = on && self.starts.judges;
        for (_, server) in self.servers.iter_mut() {
            server.slow_start = self.starts.slow;
            if !self.starts.slow {
                server.window.end();
            }
            if !self.starts.judges {
                server.gauge.reset();
            }
        }
    }

    fn begin_slow_start(&mut self, now: Instant, key: Key<Server>) {
        if let Some(server) = self.servers.get_mut(key) {
            server.begin_slow_start(now);
        }
    }

    fn update_server(&mut self, now: Instant, key: Key<Server>, setup: crate::event::Server) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        if server.address != setup.address {
            server.connect_at = now;
            server.failures = 0;
        }
        if server.incarnation != setup.incarnation {
            server.outage = None;
            server.gauge.reset();
            if server.unfenced && now.since(server.started_at) > KNOWN_START {
                server.begin_slow_start(now);
            }
            server.lag = Lag::default();
        }
        server.leaving_since =
            if setup.leaving { server.leaving_since.or(Some(now)) } else { None };
        server.setup = setup;
    }

    /// Refuses all requests that wait outside of a transaction.
    fn refuse_waiting(&mut self, now: Instant, reason: Reason, out: &mut Vec<Effect>) {
        let waits = |stage| matches!(stage, Stage::Parked | Stage::Queued(_) | Stage::Backoff(_));
        let waiting = self.requests.iter().filter(|(_, request)| waits(request.stage));
        let waiting: Vec<_> = waiting.map(|(key, _)| key).collect();
        for key in waiting {
            self.finish(now, key, Outcome::NotRun, reason, out);
        }
    }

    /// Whether idle connections to a server may be kept.
    pub(crate) fn may_keep_idle(&self, server: Key<Server>) -> bool {
        let known = self.servers.get(server);
        let leads = self.is_unfenced() && self.is_control_primary(server);
        self.may_start() && known.is_some_and(|known| known.configured && (!known.leaving || leads))
    }

    /// Number of connections to a server, including those being opened or
    /// closed.
    pub(crate) fn connection_count(&self, server: Key<Server>) -> u32 {
        self.conns.iter().filter(|(_, conn)| conn.server == server).count() as u32
    }

    /// Number of connections to a server that are being closed.
    pub(crate) fn closing_count(&self, server: Key<Server>) -> u32 {
        let closing = |conn: &Connection| conn.server == server && conn.is_closing();
        self.conns.iter().filter(|(_, conn)| closing(conn)).count() as u32
    }

    /// Number of connections to a server that are idle or being opened.
    pub(crate) fn idle_count(&self, server: Key<Server>) -> u32 {
        let ready = |work| matches!(work, Work::Idle(_) | Work::Opening);
        let of = self.conns.iter().filter(|(_, conn)| conn.server == server && ready(conn.work));
        of.count() as u32
    }
}

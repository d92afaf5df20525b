//! State of one database group, and the dispatch of events to the modules that
//! handle them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use base::mechanism::{Mechanism, Without};
use base::prelude::*;
use config::Declarations;
use retry::Backoff;
use route::Ring;

use crate::conn::{Connection, Owner, Work};
use crate::event::{Effect, Event, Front, Lease};
use crate::flaw::Flaw;
use crate::health::Health;
use crate::pace::Starts;
use crate::place::Lanes;
use crate::reads::Sampling;
use crate::request::Request;
use crate::server::Server;
use crate::service::Service;
use crate::teams::Teams;
use crate::unfenced::Unfenced;
use crate::uptime::Uptime;

/// Time between ticks while requests or samples are pending.
const TICK: Duration = Duration::from_millis(10);

/// Time between ticks while nothing is pending.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// Initial and maximum backoff before a retry or a reconnect after a failure.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// State of one database group.
#[derive(Debug)]
pub struct Group {
    pub(crate) name: Name,
    pub(crate) zone: Name,
    pub(crate) declared: u32,
    /// Primary named by the control log.
    pub(crate) control_primary: Option<Name>,
    pub(crate) starts: Starts,
    /// Mechanisms that are turned off.
    pub(crate) without: Without,
    /// Lease of the entry on the group.
    pub(crate) lease: Lease,
    /// Whether the entry holds its own lease.
    pub(crate) leased: bool,
    pub(crate) closing: bool,
    /// When the lease on the group was lost or had to be returned, or the
    /// shutdown began.
    pub(crate) closing_since: Option<Instant>,
    pub(crate) lease_released: bool,
    pub(crate) declarations: Arc<Declarations>,
    pub(crate) servers: Arena<Server>,
    pub(crate) conns: Arena<Connection>,
    pub(crate) requests: Arena<Request>,
    pub(crate) by_number: HashMap<(Front, u64), Key<Request>>,
    pub(crate) pins: HashMap<Owner, Key<Connection>>,
    pub(crate) services: Arena<Service>,
    pub(crate) services_by_name: BTreeMap<Name, Key<Service>>,
    pub(crate) teams: Teams,
    pub(crate) lanes: Lanes,
    /// Requests in [`Stage::Parked`](crate::request::Stage::Parked).
    pub(crate) parked: Vec<Key<Request>>,
    /// Requests that wait for status reports, to be acknowledged or to have
    /// their outcome determined.
    pub(crate) unresolved: Vec<Key<Request>>,
    pub(crate) ring: Ring,
    pub(crate) sampling: Sampling,
    pub(crate) health: Health,
    pub(crate) backoff: Backoff,
    /// Moving average of the run time of a cycle.
    pub(crate) typical_run_time: Duration,
    pub(crate) uptime: Uptime,
    wake_at: Instant,
    flaw: Option<Flaw>,
    /// Set if the servers acknowledge commits by themselves and can't be
    /// fenced.
    pub(crate) unfenced: Option<Unfenced>,
}

impl Group {
    /// Creates a group without a lease. `seed` seeds the jitter of backoff
    /// delays.
    pub fn new(name: Name, zone: Name, seed: u64) -> Self {
        Self {
            name,
            zone,
            declared: 0,
            control_primary: None,
            starts: Starts::default(),
            without: Without::default(),
            lease: Lease::None,
            leased: false,
            closing: false,
            closing_since: None,
            lease_released: false,
            declarations: Arc::default(),
            servers: Arena::new(),
            conns: Arena::new(),
            requests: Arena::new(),
            by_number: HashMap::new(),
            pins: HashMap::new(),
            services: Arena::new(),
            services_by_name: BTreeMap::new(),
            teams: Teams::default(),
            lanes: Lanes::default(),
            parked: Vec::new(),
            unresolved: Vec::new(),
            ring: Ring::default(),
            sampling: Sampling::default(),
            health: Health::default(),
            backoff: Backoff::new(BACKOFF.0, BACKOFF.1, seed),
            typical_run_time: Duration::from_millis(1),
            uptime: Uptime::default(),
            wake_at: Instant::ZERO,
            flaw: None,
            unfenced: None,
        }
    }

    /// Makes the group violate a rule from now on.
    #[cfg(feature = "fault")]
    pub fn inject_flaw(&mut self, flaw: Flaw) {
        self.flaw = Some(flaw);
        if flaw == Flaw::NoMinimumShare {
            self.lanes.primary.drop_minimum_share();
            self.lanes.replica.drop_minimum_share();
        }
    }

    pub(crate) fn has_flaw(&self, flaw: Flaw) -> bool {
        cfg!(feature = "fault") && self.flaw == Some(flaw)
    }

    /// Whether a mechanism is turned on.
    pub(crate) fn uses(&self, mechanism: Mechanism) -> bool {
        !self.without.has(mechanism)
    }

    /// Whether no request is pending and no connection is open.
    pub fn is_drained(&self) -> bool {
        self.requests.is_empty() && self.conns.is_empty()
    }

    /// Whether requests are pending or transactions are open.
    pub fn is_busy(&self) -> bool {
        !self.requests.is_empty() || !self.pins.is_empty()
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Effect>) {
        self.uptime.record(now);
        let mut admitted = None;
        match event {
            Event::Run { front, run } => admitted = self.run(now, front, run, out),
            Event::Credit { front, request, bytes } => self.credit(front, request, bytes, out),
            Event::Cancel { front, request } => self.cancel(now, front, request, out),
            Event::Leave { front, caller } => self.leave(now, front, Some(caller), out),
            Event::Disconnected { front } => self.leave(now, front, None, out),
            Event::Opened { conn } => self.opened(now, conn),
            Event::Refused { conn, error_kind } => self.session_refused(now, conn, error_kind, out),
            Event::Closed { conn } => self.closed(now, conn, out),
            Event::Piece { conn, piece } => self.piece(now, conn, piece, out),
            Event::Cycle { conn, status, failed } => self.cycle(now, conn, status, failed, out),
            Event::Reported { conn, reported } => self.reported(now, conn, reported, out),
            Event::Marked { conn, mark } => self.marked(now, conn, mark, out),
            Event::Status { status, sent } => self.status(now, status, sent, out),
            Event::Unreachable { server, outage } => self.unreachable(now, &server, outage, out),
            Event::Setup(setup) => self.set_up(now, setup, out),
            Event::Leased(leased) => self.set_leased(now, leased, out),
            Event::Close => self.close(now, out),
            Event::Tick => self.tick(now, out),
        }
        self.dispatch(now, out);
        if let Some(key) = admitted {
            self.shed(now, key, out);
        }
        self.sample(now, out);
        self.seal(now, out);
        self.release_lease(out);
        self.report_pace(out);
        self.wake(now, out);
    }

    /// Number of servers that make a majority.
    pub(crate) fn majority(&self) -> usize {
        self.declared as usize / 2 + 1
    }

    /// Whether new work may start in this group.
    pub(crate) fn may_start(&self) -> bool {
        self.leased && self.lease == Lease::Held && !self.closing
    }

    pub(crate) fn server_named(&self, name: &Name) -> Option<Key<Server>> {
        self.servers.iter().find(|(_, server)| server.name == *name).map(|(key, _)| key)
    }

    /// Returns the configured server that reports the primary role in the
    /// highest term, and that term. In an unfenced group, returns the primary
    /// that control names, and the last term that its answers reported.
    pub(crate) fn primary(&self) -> Option<(Key<Server>, Term)> {
        if self.is_unfenced() {
            return self.control_named_primary();
        }
        let primaries = self.servers.iter().filter_map(|(key, server)| {
            let status = server.status().filter(|status| status.role == Role::Primary)?;
            server.configured.then_some((key, status.term))
        });
        primaries.max_by_key(|(_, term)| *term)
    }

    /// Returns the primary if it accepts new work and its term can still have a
    /// majority.
    pub(crate) fn usable_primary(&self, now: Instant) -> Option<(Key<Server>, Term)> {
        if self.is_unfenced() {
            return self.usable_control_primary(now);
        }
        let (key, term) = self.primary()?;
        let open = self.servers.get(key).is_some_and(|server| server.is_available(now));
        let statuses = self.servers.iter().filter_map(|(_, server)| server.status());
        let above = statuses.filter(|status| status.term > term).count();
        let possible = (self.declared as usize).saturating_sub(above) >= self.majority();
        (open && possible).then_some((key, term))
    }

    /// Number of statements that run on a server.
    pub(crate) fn running(&self, server: Key<Server>) -> u32 {
        let on = self.conns.iter().filter(|(_, conn)| conn.server == server && conn.uses_slot());
        on.count() as u32
    }

    /// Number of free slots on a server, without regard to slow start.
    pub(crate) fn slots_left(&self, server: Key<Server>) -> u32 {
        let slots = self.servers.get(server).map_or(0, |server| server.slots);
        slots.saturating_sub(self.running(server))
    }

    /// Number of free slots on a server, within the window of its slow start.
    pub(crate) fn free_slots(&self, server: Key<Server>) -> u32 {
        self.slots_left(server).min(self.window_room(server))
    }

    /// Returns the most recently used idle connection to a server, of any team.
    pub(crate) fn idle(&self, server: Key<Server>) -> Option<Key<Connection>> {
        self.idle_where(server, |_| true)
    }

    /// Returns the most recently used idle connection to a server that satisfies a
    /// condition.
    pub(crate) fn idle_where(
        &self,
        server: Key<Server>,
        accepts: impl Fn(&Connection) -> bool,
    ) -> Option<Key<Connection>> {
        let idle = self.conns.iter().filter_map(|(key, conn)| match conn.work {
            Work::Idle(since) if conn.server == server && accepts(conn) => Some((since, key)),
            _ => None,
        });
        idle.max().map(|(_, key)| key)
    }

    fn wake(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let soon = !self.requests.is_empty() || self.sampling.is_busy(now);
        let at = now + if soon { TICK } else { IDLE_TICK };
        if self.wake_at <= now || at < self.wake_at {
            self.wake_at = at;
            out.push(Effect::Wake(at));
        }
    }
}

//! Slow start of servers, probation, and the cost of a read: decisions by the run times and
//! failures that this keeper observed, compared with those of the server's peers.
//!
//! Applies only to unfenced groups with a database that declares an objective.

use base::mechanism::Mechanism;
use base::prelude::*;
use pace::Answer;
use plain::ErrorKind;
use route::Candidate;
use smallvec::SmallVec;
use wire::data::Class;

use crate::conn::{Connection, Work};
use crate::event::{Count, Effect, Pace};
use crate::flaw::Flaw;
use crate::group::Group;
use crate::request::Request;
use crate::server::Server;
use crate::service::{Kind, Service};

/// Slowness, compared with the fastest peer, above which the run times of a server are not
/// taken for usual ones.
const SLOW_FACTOR: f64 = 1.5;

/// Slowness, compared with the fastest candidate, up to which servers count as equally
/// fast. Otherwise chance would send all reads of a small load to one server.
const EQUAL_FACTOR: f64 = 1.25;

/// Parts of the usual run time in which costs are counted.
const COST_UNITS: f64 = 1_000.0;

/// Time without an answer from which on the end of an outage begins slow start. A server
/// that refuses some connections and answers on others meanwhile is not cold.
const MIN_OUTAGE: Duration = Duration::from_millis(100);

/// What decides whether servers are judged by their answers, and begin with slow start.
#[derive(Debug, Default)]
pub(crate) struct Starts {
    /// Whether servers are judged by their answers.
    pub(crate) judges: bool,
    /// Whether slow start is turned on.
    pub(crate) slow: bool,
    /// Last server that control named as primary.
    pub(crate) last_primary: Option<Name>,
}

impl Group {
    /// Number of statements and openings that slow start still allows on a server.
    pub(crate) fn window_room(&self, key: Key<Server>) -> u32 {
        let Some(server) = self.servers.get(key) else {
            return 0;
        };
        if self.has_flaw(Flaw::FixedRamp) && server.started_at > Instant::ZERO {
            let age = self.uptime.last_event().since(server.started_at);
            let limit = 1 + age.as_millis() as u32 / 250;
            return limit.saturating_sub(self.open_work(key));
        }
        match server.window.limit() {
            u32::MAX => u32::MAX,
            limit => limit.saturating_sub(self.open_work(key)),
        }
    }

    /// Number of statements on a server and of connections to it that are being opened.
    fn open_work(&self, key: Key<Server>) -> u32 {
        let counts = |conn: &Connection| conn.uses_slot() || conn.work == Work::Opening;
        let open = self.conns.iter().filter(|(_, conn)| conn.server == key && counts(conn));
        open.count() as u32
    }

    /// Records that a statement was sent.
    pub(crate) fn note_sent(&mut self, now: Instant, key: Key<Server>) {
        let open = self.open_work(key);
        if let Some(server) = self.servers.get_mut(key) {
            server.window.on_sent(open);
            server.gauge.on_sent(now);
        }
    }

    /// Records the answer to a statement.
    pub(crate) fn note_answered(
        &mut self,
        now: Instant,
        key: Key<Request>,
        error_kind: Option<ErrorKind>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let (read, sent_at) = (request.is_read(), request.attempt.sent_at);
        let (service, kind) = (request.service, Kind::of(request));
        let Some(server) = request.attempt.server else {
            return;
        };
        match error_kind {
            Some(ErrorKind::Failed | ErrorKind::Busy) if read => {
                return self.note_failed(now, server, sent_at);
            }
            Some(ErrorKind::Busy) => return self.note_refused(now, server, sent_at),
            Some(_) => return,
            None => {}
        }
        if self.uptime.was_suspended_since(sent_at) {
            return;
        }
        let run = now.since(sent_at);
        let Some(usual) = self.services.get(service).map(|service| service.usual(kind)) else {
            return;
        };
        let slowness = usual.slowness(run);
        let fastest = self.fastest_peer(now, server);
        let Some(ramping) = self.servers.get(server).map(|server| server.window.is_ramping())
        else {
            return;
        };
        if !ramping || usual.time().is_none() {
            self.learn(server, service, kind, run, fastest);
        }
        self.judge(now, server, sent_at, Some(slowness));
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        if !read {
            server.gauge.observe(run, slowness);
        } else if server.gauge.on_answered(now, run, slowness) {
            server.begin_slow_start(now);
        }
    }

    /// Adds a run time to the usual ones of its kind, unless the server is slower than its
    /// fastest peer.
    fn learn(
        &mut self,
        server: Key<Server>,
        service: Key<Service>,
        kind: Kind,
        run: Duration,
        fastest: Option<f64>,
    ) {
        let own = self.servers.get(server).map_or(1.0, |server| server.gauge.slowness());
        if fastest.is_some_and(|fastest| own > fastest * SLOW_FACTOR) {
            return;
        }
        if let Some(service) = self.services.get_mut(service) {
            service.usual_mut(kind).learn(run);
        }
    }

    /// Passes the end of a statement or of an opening, sent at `sent`, to the slow start window
    /// of its server. `slowness` is the run time as a multiple of the usual one; without one,
    /// the server failed or refused the work.
    fn judge(&mut self, now: Instant, key: Key<Server>, sent: Instant, slowness: Option<f64>) {
        let peers = self.reference(now, key).filter(|_| !self.is_control_primary(key));
        let error = slowness.is_none() && !self.has_flaw(Flaw::NoBackoff);
        if let Some(server) = self.servers.get_mut(key) {
            let answer = Answer { sent, slowness, peers, error, full: server.setup.slots };
            server.window.on_answered(now, &answer);
        }
    }

    /// Records that a server refused a statement or an opening.
    pub(crate) fn note_refused(&mut self, now: Instant, key: Key<Server>, sent: Instant) {
        self.judge(now, key, sent, None);
    }

    /// Records that a read failed on a server, and puts the server on probation if it
    /// fails more of them than a peer.
    pub(crate) fn note_failed(&mut self, now: Instant, key: Key<Server>, sent: Instant) {
        // a statement that ran and failed is no reason to hold the last replica back
        if self.fastest_peer(now, key).is_some() {
            self.note_refused(now, key, sent);
        }
        if let Some(server) = self.servers.get_mut(key) {
            server.gauge.on_failed(now);
        }
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let gauge = &server.gauge;
        let mut peers = self.peers(now, key);
        let worse = peers.any(|peer| gauge.fails_more_than(now, &peer.gauge));
        drop(peers);
        if (worse || self.has_flaw(Flaw::EjectByRate))
            && !gauge.is_on_probation()
            && self.starts.judges
            && let Some(server) = self.servers.get_mut(key)
        {
            server.gauge.eject(now);
        }
    }

    /// Records that a read was lost with its connection or was given up. While the process
    /// was suspended, connections are lost that the server did not fail.
    pub(crate) fn note_lost(&mut self, now: Instant, key: Key<Request>) {
        let request = self.requests.get(key).filter(|request| request.is_read());
        let attempt = request.map(|request| (request.attempt.server, request.attempt.sent_at));
        let Some((Some(server), sent)) = attempt else {
            return;
        };
        if !self.uptime.was_suspended_since(sent) {
            self.note_failed(now, server, sent);
        }
    }

    /// Usable servers that are not on probation, without the given one.
    fn peers(&self, now: Instant, key: Key<Server>) -> impl Iterator<Item = &Server> {
        let peers = self.servers.iter().filter(move |(other, _)| *other != key);
        peers
            .map(|(_, server)| server)
            .filter(move |s| s.is_available(now) && !s.gauge.is_on_probation())
    }

    /// Slowness of the fastest replica that can do the work of a server; `None` if there is
    /// none.
    fn fastest_peer(&self, now: Instant, key: Key<Server>) -> Option<f64> {
        self.replicas_beside(now, key).map(|server| server.gauge.slowness()).reduce(f64::min)
    }

    /// Slowness of the replicas that can do the work of a server in slow start. A peer that is
    /// not cold counts as fast as usual: if it is slower, statements queue there, which is no
    /// reason to send more of them to a cold server.
    fn reference(&self, now: Instant, key: Key<Server>) -> Option<f64> {
        let slowness = |server: &Server| {
            if server.window.is_ramping() { server.gauge.slowness() } else { 1.0 }
        };
        self.replicas_beside(now, key).map(slowness).reduce(f64::min)
    }

    /// Usable replicas without a given server.
    fn replicas_beside(&self, now: Instant, key: Key<Server>) -> impl Iterator<Item = &Server> {
        let primary = self.control_named_primary().and_then(|(key, _)| self.servers.get(key));
        let primary = primary.map(|primary| primary.name.clone());
        self.peers(now, key).filter(move |server| primary.as_ref() != Some(&server.name))
    }

    /// Expected time until a read on a server is answered, in thousandths of the usual
    /// run time.
    fn cost(&self, now: Instant, key: Key<Server>, fastest: f64) -> u32 {
        let Some(server) = self.servers.get(key) else {
            return 0;
        };
        let slowness = server.gauge.slowness().max(self.oldest_wait(now, key) / 2.0);
        let slowness = if slowness <= fastest * EQUAL_FACTOR { fastest } else { slowness };
        let load = f64::from(self.running(key)) / f64::from(server.slots.max(1));
        (slowness * (1.0 + load) * COST_UNITS) as u32
    }

    /// Longest time that a statement has run on a server without an answer, as a
    /// multiple of its usual run time.
    fn oldest_wait(&self, now: Instant, key: Key<Server>) -> f64 {
        let open = self.conns.iter().filter_map(|(_, conn)| match conn.work {
            Work::Busy(request) if conn.server == key => self.requests.get(request),
            _ => None,
        });
        let wait = |request: &Request| {
            let usual = self.services.get(request.service)?.usual(Kind::of(request));
            usual.time()?;
            Some(usual.slowness(self.uptime.awake_since(now, request.attempt.sent_at)))
        };
        open.filter_map(wait).fold(0.0, f64::max)
    }

    /// Sets the costs of the candidates, and which of them get a probe: a server on probation
    /// or a slow one, when a probe is due. Those on probation get no other reads, unless no
    /// other server qualifies.
    pub(crate) fn rate_candidates(
        &self,
        now: Instant,
        found: &mut SmallVec<[Candidate<Key<Server>>; 4]>,
    ) {
        let gauge = |key| self.servers.get(key).map(|server| &server.gauge);
        let trusted = |key| gauge(key).is_some_and(|gauge| !gauge.is_on_probation());
        if self.has_flaw(Flaw::MostFree) || !self.starts.judges {
            return;
        }
        let (chooses, ejects) = (self.uses(Mechanism::ReadChoice), self.uses(Mechanism::Probation));
        let alone = !found.iter().any(|found| trusted(found.server));
        let slowness = |key| gauge(key).map_or(1.0, pace::Gauge::slowness);
        let fastest = found.iter().map(|found| slowness(found.server)).fold(f64::MAX, f64::min);
        for candidate in found.iter_mut() {
            let key = candidate.server;
            let due = gauge(key).is_some_and(|gauge| gauge.is_probe_due(now));
            let idle = self.running(key) == 0;
            let slow = chooses && slowness(key) > fastest * EQUAL_FACTOR;
            let suspect = slow || (ejects && !trusted(key));
            candidate.cost = if chooses { self.cost(now, key, fastest) } else { 0 };
            // only probes end a probation
            candidate.probe = suspect && due && idle && !alone;
            if ejects && !trusted(key) && !alone {
                candidate.free = candidate.free.min(u32::from(candidate.probe));
            }
        }
    }

    /// Whether a candidate is on probation while another candidate is not.
    pub(crate) fn is_ejected(&self, server: Key<Server>, found: &[Candidate<Key<Server>>]) -> bool {
        let trusted = |key| self.servers.get(key).is_some_and(|s| !s.gauge.is_on_probation());
        self.uses(Mechanism::Probation)
            && !trusted(server)
            && found.iter().any(|other| trusted(other.server))
    }

    /// Sends a failed read to another server, once and within the retry budget. Returns
    /// false if the answer has to be passed on.
    pub(crate) fn try_elsewhere(
        &mut self,
        now: Instant,
        key: Key<Request>,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let server = request.attempt.server;
        let tried = request.avoided.is_some() || request.parts > 0 || request.orphan;
        let off = self.has_flaw(Flaw::KeepFailed) || !self.uses(Mechanism::ReadRetry);
        let tried = tried || off || !self.starts.judges;
        if tried || !request.is_read() || request.is_fresh() || now >= request.deadline {
            return false;
        }
        let other = server.is_some_and(|server| self.peers(now, server).next().is_some());
        let service = self.services.get_mut(request.service);
        if !other || !service.is_some_and(|service| service.budget.withdraw()) {
            return false;
        }
        if let Some(request) = self.requests.get_mut(key) {
            request.avoided = server;
        }
        self.resend(now, key, Duration::ZERO);
        out.push(Effect::Count(Count::Retry));
        true
    }

    /// Reports changes of the windows and probations.
    pub(crate) fn report_pace(&mut self, out: &mut Vec<Effect>) {
        for (_, server) in self.servers.iter_mut() {
            let ramping = server.window.is_ramping();
            let pace = Pace {
                window: ramping.then(|| server.window.limit()),
                probation: server.gauge.is_on_probation(),
            };
            if pace != server.reported_pace {
                let before = std::mem::replace(&mut server.reported_pace, pace);
                out.push(Effect::Pace { server: server.name.clone(), before, now: pace });
            }
        }
    }
}

impl Kind {
    pub(crate) fn of(request: &Request) -> Self {
        match (request.run.in_transaction, request.class) {
            (true, _) => Self::Transaction,
            (false, Class::Read) => Self::Read,
            (false, _) => Self::Write,
        }
    }
}

impl Server {
    /// Begins slow start, unless it is turned off.
    pub(crate) fn begin_slow_start(&mut self, now: Instant) {
        if self.slow_start {
            self.window.on_started(now);
            self.started_at = now;
        }
    }

    /// Records that the server has answered or was reached.
    pub(crate) fn recover(&mut self, now: Instant) {
        let silent = now.since(self.last_heard) >= MIN_OUTAGE;
        if self.outage.take().is_some() && silent && self.unfenced {
            self.begin_slow_start(now);
        }
        self.last_heard = now;
    }
}

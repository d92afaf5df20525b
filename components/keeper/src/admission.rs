//! Admission of requests from fronts, flow-control credit, cancels, and callers
//! that disconnect.

use base::prelude::*;
use wire::data::{End, Outcome, Reason, Run};

use crate::conn::{Connection, IDLE, Work};
use crate::event::{Effect, Front, Lease};
use crate::flaw::Flaw;
use crate::group::Group;
use crate::request::{Lane, Request, Stage};
use crate::service::Service;
use crate::teams::Team;

/// Retry delay sent to callers whose request is not admitted because the entry
/// does not hold its own lease.
const LEASE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry delay sent to callers whose service has a full queue, or whose request
/// is refused because it would wait longer than its objective.
pub(crate) const QUEUE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request that is not admitted: the reason, the transaction status and the
/// retry delay sent to the caller.
struct Refusal {
    reason: Reason,
    status: u8,
    retry_after: Duration,
}

impl Refusal {
    fn new(reason: Reason) -> Self {
        Self { reason, status: IDLE, retry_after: Duration::ZERO }
    }

    fn after(reason: Reason, retry_after: Duration) -> Self {
        Self { retry_after, ..Self::new(reason) }
    }
}

impl Group {
    /// Queues a request, or refuses it. Returns the key of a queued request.
    pub(crate) fn run(
        &mut self,
        now: Instant,
        front: Front,
        run: Run,
        out: &mut Vec<Effect>,
    ) -> Option<Key<Request>> {
        if self.by_number.contains_key(&(front, run.request)) {
            return None;
        }
        let owner = (front, run.caller);
        if !run.in_transaction
            && let Some(conn) = self.pins.get(&owner).copied()
        {
            self.abandon(now, conn, out);
        }
        let Some(team) = self.team_named(&run.team) else {
            out.push(Effect::End { front, end: refused(&run, &Refusal::new(Reason::Refused)) });
            return None;
        };
        if let Some(conn) = self.pins.get(&owner).copied()
            && self.conns.get(conn).is_some_and(|conn| conn.team != team)
        {
            self.abandon(now, conn, out);
        }
        let pinned = self.pins.get(&owner).copied();
        let service = match self.admit(now, front, (&run, team), pinned, out) {
            Ok(service) => service,
            Err(refusal) => {
                out.push(Effect::End { front, end: refused(&run, &refusal) });
                return None;
            }
        };
        let (number, repeats) = (run.request, run.repeats && self.is_unfenced());
        let rank = self.rank(service, team);
        let key = self.requests.insert(Request::new(now, front, (service, team), rank, run));
        self.by_number.insert((front, number), key);
        if let Some(service) = self.services.get_mut(service) {
            service.open_requests += 1;
            if !repeats {
                service.budget.deposit();
            }
        }
        self.enqueue(now, key, pinned);
        if self.has_flaw(Flaw::CountSuspension) {
            self.shed(now, key, out);
        }
        Some(key)
    }

    /// Queues a request for its first attempt or for a retry.
    pub(crate) fn enqueue(
        &mut self,
        now: Instant,
        key: Key<Request>,
        pinned: Option<Key<Connection>>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if let Some(conn) = pinned.filter(|_| request.run.in_transaction) {
            request.stage = Stage::Urgent(conn);
            let server = self.conns.get(conn).map(|conn| conn.server);
            if let Some(server) = server.and_then(|server| self.servers.get_mut(server)) {
                server.urgent.push_back(key);
            }
            return;
        }
        if request.is_read() {
            request.stage = Stage::Parked;
            self.request_sample_for(now, key);
            self.park_or_queue(now, key);
            return;
        }
        self.queue(key, Lane::Primary);
    }

    /// Adds a request to its flow in a lane.
    pub(crate) fn queue(&mut self, key: Key<Request>, lane: Lane) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.stage = Stage::Queued(lane);
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let place = self.place(request, lane);
        self.lanes.get_mut(lane).push(place, key);
    }

    pub(crate) fn credit(&mut self, front: Front, request: u64, bytes: u64, out: &mut Vec<Effect>) {
        let Some(key) = self.by_number.get(&(front, request)).copied() else {
            return;
        };
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.window = request.window.saturating_add(bytes);
        if request.stage == Stage::Draining {
            self.drain(key, out);
            return;
        }
        self.resume(key, out);
    }

    pub(crate) fn cancel(
        &mut self,
        now: Instant,
        front: Front,
        request: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.by_number.get(&(front, request)).copied() else {
            return;
        };
        match self.requests.get(key).map(|request| request.stage) {
            Some(Stage::Running(conn)) => out.push(Effect::Cancel { conn }),
            Some(Stage::Parked | Stage::Queued(_) | Stage::Urgent(_) | Stage::Backoff(_)) => {
                self.finish(now, key, Outcome::NotRun, Reason::Cancelled, out);
            }
            _ => {}
        }
    }

    /// Abandons the requests and transactions of one caller of a front, or of
    /// all its callers if `caller` is `None`.
    pub(crate) fn leave(
        &mut self,
        now: Instant,
        front: Front,
        caller: Option<u64>,
        out: &mut Vec<Effect>,
    ) {
        let is_affected = |other: Front, number: u64| {
            other == front && caller.is_none_or(|caller| caller == number)
        };
        let affected = self.requests.iter().filter(|(_, r)| is_affected(r.front, r.run.caller));
        let affected: Vec<_> = affected.map(|(key, _)| key).collect();
        for key in affected {
            self.orphan(now, key, out);
        }
        let pins = self.pins.iter().filter(|((other, number), _)| is_affected(*other, *number));
        let mut pins: Vec<_> = pins.map(|(_, conn)| *conn).collect();
        pins.sort_unstable();
        for conn in pins {
            self.abandon(now, conn, out);
        }
    }

    /// Detaches a request from its caller. A request that was already sent
    /// still runs to its end.
    fn orphan(&mut self, now: Instant, key: Key<Request>, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.orphan = true;
        self.by_number.remove(&(request.front, request.run.request));
        let keeps = matches!(request.stage, Stage::Queued(_)) && self.has_flaw(Flaw::KeepLeft);
        let Some(request) = self.requests.get_mut(key).filter(|_| !keeps) else {
            return;
        };
        match request.stage {
            Stage::Running(_) | Stage::Marking(_) => {
                request.attempt.held.clear();
                self.resume(key, out);
            }
            _ => self.finish(now, key, Outcome::NotRun, Reason::Cancelled, out),
        }
    }

    /// Rolls back an open transaction whose caller has disconnected or started
    /// a new request outside of it, or which may not stay idle any longer.
    pub(crate) fn abandon(&mut self, now: Instant, key: Key<Connection>, out: &mut Vec<Effect>) {
        self.unpin(key);
        if let Some(Work::Pinned(_)) = self.conns.get(key).map(|conn| conn.work) {
            self.roll_back(now, key, out);
        }
    }

    /// Returns the request's service if the request may be queued in this
    /// group.
    fn admit(
        &mut self,
        now: Instant,
        front: Front,
        (run, team): (&Run, Key<Team>),
        pinned: Option<Key<Connection>>,
        out: &mut Vec<Effect>,
    ) -> Result<Key<Service>, Refusal> {
        let refusal =
            if run.in_transaction { self.refusal_within(pinned) } else { self.refusal(run) };
        if let Some(refusal) = refusal {
            return Err(refusal);
        }
        let key = self.service(&run.service).ok_or_else(|| Refusal::new(Reason::Refused))?;
        let full = |service: &Service| service.open_requests >= service.limits.queue;
        if !run.in_transaction && self.services.get(key).is_none_or(full) {
            let retry_after = self.refuse_at_limit(now, front, (key, team), run, out);
            return Err(Refusal::after(Reason::QueueFull, retry_after));
        }
        Ok(key)
    }

    /// Returns the service with the given name. Creates its state at the first
    /// use if the service is declared.
    fn service(&mut self, name: &str) -> Option<Key<Service>> {
        if let Some(key) = self.services_by_name.get(name) {
            return Some(*key);
        }
        let (name, _, _) = self.declarations.limits(name)?;
        let mut service = Service::new(name.clone());
        service.update(&self.name, &self.declarations, &self.servers);
        let key = self.services.insert(service);
        self.services_by_name.insert(name.clone(), key);
        Some(key)
    }

    fn refusal(&self, run: &Run) -> Option<Refusal> {
        if self.closing {
            return Some(Refusal::new(Reason::Closing));
        }
        if self.lease != Lease::Held {
            return Some(Refusal::new(Reason::WrongKeeper));
        }
        if !self.leased {
            return Some(Refusal::after(Reason::Lease, LEASE_RETRY_AFTER));
        }
        let opens = self.declarations.can_access_group(&run.service, self.name.as_str());
        (!opens).then(|| Refusal::new(Reason::Refused))
    }

    fn refusal_within(&self, pinned: Option<Key<Connection>>) -> Option<Refusal> {
        let Some(conn) = pinned.and_then(|key| self.conns.get(key)) else {
            return Some(Refusal::new(Reason::TransactionGone));
        };
        let idle = matches!(conn.work, Work::Pinned(_));
        let waits = pinned.is_some_and(|conn| self.has_waiting_request(conn));
        if idle && !waits {
            return None;
        }
        // a front sends the requests of one session in turn, so a second one within the
        // transaction is an error of the front
        Some(Refusal { status: conn.status, ..Refusal::new(Reason::QueueFull) })
    }

    fn has_waiting_request(&self, conn: Key<Connection>) -> bool {
        let server = self.conns.get(conn).and_then(|conn| self.servers.get(conn.server));
        let waits = |key: &Key<Request>| {
            self.requests.get(*key).is_some_and(|request| request.stage == Stage::Urgent(conn))
        };
        server.is_some_and(|server| server.urgent.iter().any(waits))
    }
}

fn refused(run: &Run, refusal: &Refusal) -> End {
    End {
        request: run.request,
        parts: 0,
        outcome: Outcome::NotRun as i32,
        reason: refusal.reason as i32,
        status: u32::from(refusal.status),
        mark: None,
        replica: false,
        retry_after_ms: refusal.retry_after.as_millis() as u64,
        server: String::new(),
    }
}

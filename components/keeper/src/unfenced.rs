//! Unfenced groups: groups whose servers acknowledge commits by themselves.
//!
//! Such a server answers a commit only after a replica has received it, and
//! each answer reports the server's log position. The keeper therefore does not
//! wait for a majority: the answer itself carries the mark of a commit and a
//! sample for reads. Two rules replace fencing: a keeper acknowledges commits
//! only while its entry holds its own lease, and control replaces a primary
//! only after each keeper has sealed, that is, has ended its work for the old
//! primary.

mod stall;

use base::prelude::*;
use plain::ErrorKind;
use route::Ring;
use wire::data::{Class, Outcome, Reason};

use crate::conn::{Connection, IDLE, Origin, Work};
use crate::event::{Effect, Reported, Setup};
use crate::group::Group;
use crate::request::{Completion, Lane, Request, Stage};
use crate::server::Server;

/// Time that running statements and open transactions have to finish when a
/// leaving primary is replaced.
const SEAL_GRACE: Duration = Duration::from_millis(300);

/// Minimum time between two stored samples.
const SAMPLE_SPACING: Duration = Duration::from_millis(40);

/// Maximum lag of a replica at which a read waits there for the mark that it
/// needs.
const SHORT_LAG: Duration = Duration::from_millis(60);

/// Lag assumed of a replica that refused a read because it was behind.
const ASSUMED_LAG: Duration = Duration::from_millis(200);

/// Time for which an observed lag is considered valid.
const LAG_VALIDITY: Duration = Duration::from_millis(500);

/// Delay before a statement that found no free slot is resent.
const BUSY_PAUSE: Duration = Duration::from_millis(4);

/// Delay before a statement is resent that was refused by a server that is not
/// the primary, or that got no session.
const NO_PRIMARY_PAUSE: Duration = Duration::from_millis(40);

/// Time for which a leaving primary still gets new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(4);

/// Number of samples within the age that reads accept. A sample is requested if
/// the latest is older than the age divided by this number.
const SAMPLES_PER_AGE: u32 = 3;

/// State specific to unfenced groups.
#[derive(Debug, Default)]
pub(crate) struct Unfenced {
    /// Term that control has intended or established.
    pub(crate) term: Term,
    /// Control log index at which the setup was taken.
    pub(crate) index: u64,
    /// Highest mark acknowledged to a caller, and the control log index known
    /// when its statement was sent.
    acked: Option<(Mark, u64)>,
    /// Seal in progress: the replaced primary and the deadline of its remaining
    /// work.
    sealing: Option<Sealing>,
    /// Highest sealed term.
    sealed: Term,
    /// Version of the last report that was derived from an answer.
    report_version: u64,
}

#[derive(Clone, Copy, Debug)]
struct Sealing {
    term: Term,
    old_primary: Option<Key<Server>>,
    until: Instant,
}

/// Times of the last answered and the last stalled commit on a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Commits {
    last_answered: Instant,
    last_stalled: Option<Instant>,
}

/// Observed lag of a replica.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lag {
    pub(crate) estimate: Duration,
    pub(crate) observed_at: Instant,
}

/// Data that a read must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Need {
    /// No sample is recent enough to determine the mark.
    Unknown,
    /// All records up to the mark.
    Mark(Mark),
}

/// Whether a replica shows a mark already or is expected to soon.
pub(crate) fn will_show_soon(now: Instant, server: &Server, mark: Mark) -> bool {
    let shows = server.status().is_some_and(|status| status.applied_mark() >= mark);
    let old = now.since(server.lag.observed_at) > LAG_VALIDITY;
    shows || old || server.lag.estimate <= SHORT_LAG
}

impl Group {
    /// Whether the servers of the group acknowledge commits by themselves.
    pub(crate) fn is_unfenced(&self) -> bool {
        self.unfenced.is_some()
    }

    /// Returns the primary that control names, with the last term that its
    /// answers reported.
    pub(crate) fn control_named_primary(&self) -> Option<(Key<Server>, Term)> {
        let key = self.control_primary.as_ref().and_then(|name| self.server_named(name))?;
        let term = self.servers.get(key)?.status().map(|status| status.term);
        Some((key, term.unwrap_or_default()))
    }

    /// Returns the primary that control names, if it accepts new work.
    pub(crate) fn usable_control_primary(&self, now: Instant) -> Option<(Key<Server>, Term)> {
        let (key, term) = self.control_named_primary()?;
        let usable = |server: &Server| {
            let left = server.leaving_since.is_some_and(|since| now.since(since) > LEAVING_LIMIT);
            server.configured && server.slots > 0 && server.outage.is_none() && !left
        };
        self.servers.get(key).is_some_and(usable).then_some((key, term))
    }

    /// Whether a server is the primary that control names.
    pub(crate) fn is_control_primary(&self, server: Key<Server>) -> bool {
        self.control_named_primary().is_some_and(|(key, _)| key == server)
    }

    /// Starts a seal if the control log names another primary or a newer term.
    /// Must be called before the setup is applied.
    pub(crate) fn follow_control(&mut self, now: Instant, setup: &Setup) {
        let Some(state) = setup.unfenced else {
            self.unfenced = None;
            return;
        };
        let old = self.control_named_primary().map(|(key, _)| key);
        let same = self.control_primary == setup.primary;
        let leaves = old.and_then(|key| self.servers.get(key)).is_some_and(|s| s.leaving);
        if self.unfenced.is_none() {
            self.ring = Ring::with_spacing(SAMPLE_SPACING);
        }
        let unfenced = self.unfenced.get_or_insert_default();
        unfenced.index = state.index;
        let newer = state.term > unfenced.term;
        unfenced.term = unfenced.term.max(state.term);
        if !newer && same {
            return;
        }
        let waits = unfenced.sealing.and_then(|sealing| sealing.old_primary);
        let until = if leaves { now + SEAL_GRACE } else { now };
        unfenced.sealing = Some(Sealing { term: unfenced.term, old_primary: old.or(waits), until });
    }

    /// Aborts the work that remains for a replaced primary and reports the seal
    /// to control.
    pub(crate) fn seal(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let Some(sealing) = self.unfenced.as_ref().and_then(|unfenced| unfenced.sealing) else {
            return;
        };
        let bound = self.connections_using(sealing.old_primary);
        if !bound.is_empty() && now < sealing.until {
            return;
        }
        for conn in bound {
            self.abort_conn(now, conn, out);
        }
        let Some(unfenced) = self.unfenced.as_mut() else { return };
        unfenced.sealing = None;
        if sealing.term > unfenced.sealed {
            unfenced.sealed = sealing.term;
            let (mark, index) =
                unfenced.acked.map_or((None, 0), |(mark, index)| (Some(mark), index));
            out.push(Effect::Seal { term: sealing.term, mark, index });
        }
    }

    /// Connections with a cycle or transaction open on a primary.
    fn connections_using(&self, old: Option<Key<Server>>) -> Vec<Key<Connection>> {
        let bound = |conn: &Connection| match conn.work {
            Work::Busy(_) | Work::Marking(_) | Work::Pinned(_) => Some(conn.server) == old,
            _ => false,
        };
        let found = self.conns.iter().filter(|(_, conn)| bound(conn));
        found.map(|(key, _)| key).collect()
    }

    /// Handles the end of a cycle on a server that reports its position.
    pub(crate) fn reported(
        &mut self,
        now: Instant,
        conn: Key<Connection>,
        reported: Reported,
        out: &mut Vec<Effect>,
    ) {
        let Some(connection) = self.conns.get_mut(conn) else {
            return;
        };
        connection.status = reported.status;
        let (server, work) = (connection.server, connection.work);
        self.record_report(now, server, reported);
        match work {
            Work::RollingBack(_) | Work::Sampling(_) if reported.status == IDLE => {
                self.release_conn(now, conn);
            }
            Work::Busy(key) => self.cycle_answered(now, conn, key, reported, out),
            // the session is established; its first report does not belong to a request
            Work::Opening => self.opened(now, conn),
            Work::Closing { .. } => {}
            _ => self.abort_conn(now, conn, out),
        }
        self.unpark(now);
    }

    /// Stores the position that a server reported.
    fn record_report(&mut self, now: Instant, key: Key<Server>, reported: Reported) {
        let primary = self.control_named_primary().is_some_and(|(named, _)| named == key);
        let (Some(server), Some(unfenced)) = (self.servers.get_mut(key), self.unfenced.as_mut())
        else {
            return;
        };
        server.recover(now);
        let Some(mark) = reported.mark else { return };
        // without the lease, another primary may have been promoted since the answer was sent
        if primary && !self.leased {
            return;
        }
        unfenced.report_version += 1;
        let known = server.status().map(Status::last).unwrap_or_default();
        let mark = mark.max(known);
        let status = Status {
            server: server.name.clone(),
            incarnation: server.incarnation,
            term: mark.term,
            log_term: mark.term,
            received: mark.position,
            applied: mark.position,
            role: if primary { Role::Primary } else { Role::Replica },
            silence: Duration::ZERO,
            history: History::default(),
            version: unfenced.report_version,
        };
        if !primary && let Some(sample) = self.ring.last_shown(&status) {
            let lag = now.since(sample.taken);
            server.lag = Lag { estimate: (server.lag.estimate * 3 + lag) / 4, observed_at: now };
        }
        server.record_status(now, status, reported.sent);
        if primary {
            self.verify();
        }
    }

    /// Handles the end of a request's cycle.
    fn cycle_answered(
        &mut self,
        now: Instant,
        conn: Key<Connection>,
        key: Key<Request>,
        reported: Reported,
        out: &mut Vec<Effect>,
    ) {
        self.resume_conn(conn, out);
        let Some(request) = self.requests.get_mut(key) else {
            return self.abort_conn(now, conn, out);
        };
        let Reported { status, error_kind, mark, .. } = reported;
        let service = request.service;
        let (owner, orphan) = (request.owner(), request.orphan);
        let (within, writes) = (request.run.in_transaction, request.class != Class::Read);
        let attempt = &mut request.attempt;
        let primary = attempt.primary;
        if primary && !self.leased {
            // without the lease, the server may no longer be the primary
            return self.abort_conn(now, conn, out);
        }
        attempt.completion = Some(Completion { at: now, failed: error_kind.is_some() });
        attempt.status = status;
        if writes && primary && status == IDLE && error_kind.is_none() {
            attempt.mark_after = mark;
            attempt.durable = true;
        }
        self.charge(now, key, !error_kind.is_some_and(ErrorKind::is_not_run));
        self.note_answered(now, key, error_kind);
        if status == IDLE {
            self.unpin(conn);
            self.release_conn(now, conn);
        } else if orphan || (!within && error_kind.is_some()) {
            self.unpin(conn);
            self.roll_back(now, conn, out);
        } else {
            let term = self.server_of(conn).and_then(Server::status).map(|status| status.term);
            let origin = Origin { term: term.unwrap_or_default(), primary };
            self.pin(now, conn, owner, origin, service);
        }
        match error_kind {
            Some(error_kind) if error_kind.is_not_run() && !within && !orphan => {
                self.retry_refused(now, conn, key, error_kind, out);
            }
            Some(ErrorKind::Failed) if self.try_elsewhere(now, key, out) => {}
            _ => self.acknowledge(now, key, mark, out),
        }
    }

    fn server_of(&self, conn: Key<Connection>) -> Option<&Server> {
        self.servers.get(self.conns.get(conn)?.server)
    }

    fn acknowledge(
        &mut self,
        now: Instant,
        key: Key<Request>,
        mark: Option<Mark>,
        out: &mut Vec<Effect>,
    ) {
        let attempt = self.requests.get(key).map(|request| &request.attempt);
        let durable = attempt.filter(|attempt| attempt.durable).map(|attempt| attempt.index);
        if let (Some(index), Some(mark), Some(unfenced)) = (durable, mark, self.unfenced.as_mut()) {
            let newer = unfenced.acked.is_none_or(|(known, _)| known < mark);
            if newer {
                unfenced.acked = Some((mark, index));
            }
            let server = self.requests.get(key).and_then(|request| request.attempt.server);
            if let Some(server) = server.and_then(|server| self.servers.get_mut(server)) {
                server.commits = Commits { last_answered: now, last_stalled: None };
            }
        }
        self.finish(now, key, Outcome::Done, Reason::None, out);
    }

    /// Resends a request that its server refused to run.
    fn retry_refused(
        &mut self,
        now: Instant,
        conn: Key<Connection>,
        key: Key<Request>,
        error_kind: ErrorKind,
        out: &mut Vec<Effect>,
    ) {
        let server = self.conns.get(conn).map(|conn| conn.server);
        if let Some(server) = server.and_then(|key| self.servers.get_mut(key)) {
            match error_kind {
                ErrorKind::Behind => server.lag = Lag { estimate: ASSUMED_LAG, observed_at: now },
                ErrorKind::Busy => server.full_until = now + BUSY_PAUSE,
                _ => {}
            }
        }
        let wait = match error_kind {
            ErrorKind::Behind | ErrorKind::Unprepared => Duration::ZERO,
            ErrorKind::Busy => BUSY_PAUSE,
            _ => NO_PRIMARY_PAUSE,
        };
        self.resend(now, key, wait);
        if error_kind == ErrorKind::ReadOnly {
            self.report_health(now, out);
        }
    }

    /// Queues a request that is certain not to have run for another attempt.
    pub(crate) fn resend(&mut self, now: Instant, key: Key<Request>, wait: Duration) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.tries += 1;
        request.attempt = crate::request::Attempt { status: IDLE, ..Default::default() };
        request.stage = Stage::Backoff(now + wait);
    }

    /// Returns the mark that a read must see, as far as the samples determine
    /// it.
    pub(crate) fn need(&self, now: Instant, request: &Request) -> Need {
        let Some(since) = request.sampled_since(now) else {
            return Need::Mark(request.floor.unwrap_or_default());
        };
        match self.ring.first_since(since) {
            Some(sample) => Need::Mark(request.floor.map_or(sample.mark, |f| f.max(sample.mark))),
            None => Need::Unknown,
        }
    }

    /// Chooses the lane of a parked read. Returns `None` while the read must
    /// wait for a sample.
    pub(crate) fn unfenced_lane(&self, now: Instant, request: &Request) -> Option<Lane> {
        if request.is_fresh() {
            return Some(Lane::Primary);
        }
        let known = self.need(now, request) != Need::Unknown;
        known.then_some(Lane::Replica)
    }

    /// Reads the primary's position if reads that accept a bounded age need a
    /// sample and no other answer provides one.
    pub(crate) fn sample_unfenced(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if !self.sampling.needs_sample(now, SAMPLES_PER_AGE) {
            return;
        }
        let Some((server, _)) = self.usable_control_primary(now) else { return };
        let runs = self.conns.iter().any(|(_, conn)| matches!(conn.work, Work::Sampling(_)));
        if runs || self.running(server) > 0 || !self.may_start() {
            return;
        }
        if let Some(conn) = self.idle(server) {
            if let Some(connection) = self.conns.get_mut(conn) {
                connection.work = Work::Sampling(now);
            }
            self.sampling.note_requested(now);
            out.push(Effect::Mark { conn });
        }
    }
}

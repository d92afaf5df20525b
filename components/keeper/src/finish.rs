//! Ends of requests, retries, timeouts, and the release of connections.

use base::prelude::*;
use wire::data::{End, Outcome, Part, Reason};

use crate::admission::QUEUE_RETRY_AFTER;
use crate::conn::{Connection, IDLE, IN_TRANSACTION, Origin, Owner, Work};
use crate::event::{Count, Effect, Ended};
use crate::flaw::Flaw;
use crate::group::Group;
use crate::request::{Attempt, Request, Stage};

/// Time within which a rollback must be confirmed before its connection is
/// closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry delay sent to callers when no server was usable, the deadline passed
/// or the primary was replaced.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Group {
    /// Ends a request. A held-back answer is sent only if the request is done.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        key: Key<Request>,
        outcome: Outcome,
        reason: Reason,
        out: &mut Vec<Effect>,
    ) {
        let outcome = self.reportable_outcome(key, outcome);
        self.log_end(now, key, outcome, reason, out);
        let end = self.build_end(now, key, outcome, reason);
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.end = Some(end);
        if let Stage::Queued(lane) = request.stage {
            self.lanes.get_mut(lane).remove(key);
        }
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.stage = Stage::Draining;
        if outcome != Outcome::Done || request.orphan {
            request.attempt.held.clear();
        }
        self.drain(key, out);
    }

    /// Logs the end of a request whose outcome is not `Done`, that was retried,
    /// or that took longer than its objective.
    fn log_end(
        &self,
        now: Instant,
        key: Key<Request>,
        outcome: Outcome,
        reason: Reason,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        let waited = now.since(request.arrived);
        let objective = self.services.get(request.service).and_then(|service| service.objective);
        let late = objective.is_some_and(|objective| waited > objective);
        if outcome == Outcome::Done && request.tries == 0 && !late {
            return;
        }
        let attempt = &request.attempt;
        let server = attempt.server.and_then(|server| self.servers.get(server));
        out.push(Effect::Log(Ended {
            trace: request.run.trace.clone(),
            outcome,
            reason,
            stage: request.stage.name(),
            server: server.map(|server| server.name.clone()),
            primary: attempt.primary,
            tries: request.tries,
            waited,
            sent: server.map(|_| now.since(attempt.sent_at)),
            term: self.unfenced.as_ref().map_or(attempt.term, |unfenced| unfenced.term),
            led: self.control_primary.is_some(),
            leased: self.leased,
            version: request.run.version,
            sample: self.ring.last().map(|sample| now.since(sample.taken)),
        }));
    }

    /// Downgrades an outcome to `Unknown` if it says that the request was not
    /// run or that it failed, and an earlier attempt may have run.
    fn reportable_outcome(&self, key: Key<Request>, outcome: Outcome) -> Outcome {
        let ran = self.requests.get(key).filter(|request| request.may_have_run);
        match outcome {
            Outcome::NotRun if ran.is_some() => Outcome::Unknown,
            Outcome::Done if ran.is_some_and(Request::is_failed) => Outcome::Unknown,
            outcome => outcome,
        }
    }

    /// A random time up to the given one, so that callers don't come back together.
    fn spread(&mut self, longest: Duration) -> Duration {
        if self.has_flaw(Flaw::FixedReturn) { longest } else { self.backoff.jitter(longest) }
    }

    fn build_end(
        &mut self,
        now: Instant,
        key: Key<Request>,
        outcome: Outcome,
        reason: Reason,
    ) -> End {
        let drain_time = match reason {
            Reason::QueueFull | Reason::RetryBudget => self.drain_time(now, key),
            _ => None,
        };
        let Some(request) = self.requests.get(key) else {
            return End::default();
        };
        let attempt = &request.attempt;
        let done = outcome == Outcome::Done;
        let status = if done { attempt.status } else { self.status_of(request) };
        let seen = match (attempt.primary, &self.unfenced) {
            (true, _) => attempt.mark_after,
            // a read does not raise the mark that the session must see later
            (false, Some(_)) => None,
            (false, None) => attempt.mark,
        };
        let mark = if done { seen.max(request.floor) } else { None };
        let server = attempt.server.and_then(|server| self.servers.get(server));
        let retry_after = match reason {
            Reason::Deadline | Reason::Replaced | Reason::Unavailable => UNAVAILABLE_RETRY_AFTER,
            Reason::QueueFull | Reason::RetryBudget => drain_time.unwrap_or(QUEUE_RETRY_AFTER),
            _ => Duration::ZERO,
        };
        let reason = match reason {
            Reason::Deadline if attempt.server.is_none() && self.usable_primary(now).is_none() => {
                Reason::Unavailable
            }
            reason => reason,
        };
        End {
            request: request.run.request,
            parts: request.parts,
            outcome: outcome as i32,
            reason: reason as i32,
            status: u32::from(status),
            mark: mark.map(Into::into),
            replica: done && !attempt.primary,
            server: server.map_or_else(String::new, |server| server.name.to_string()),
            retry_after_ms: self.spread(retry_after).as_millis() as u64,
        }
    }

    /// Transaction status byte reported to the caller of a request whose
    /// outcome is not `Done`.
    fn status_of(&self, request: &Request) -> u8 {
        let pinned = self.pins.get(&request.owner()).and_then(|key| self.conns.get(*key));
        let waits = matches!(request.stage, Stage::Urgent(_));
        pinned.filter(|_| waits).map_or(IDLE, |conn| conn.status)
    }

    /// Sends the held-back answer of an ended request as far as its window
    /// allows, then its end.
    pub(crate) fn drain(&mut self, key: Key<Request>, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        while request.window > 0
            && let Some(payload) = request.attempt.held.pop_front()
        {
            request.window = request.window.saturating_sub(payload.len() as u64);
            let sequence = request.parts;
            request.parts += 1;
            let part = Part { request: request.run.request, sequence, payload };
            out.push(Effect::Part { front: request.front, part });
        }
        if !request.attempt.held.is_empty() {
            return;
        }
        let parts = request.parts;
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        if let Some(service) = self.services.get_mut(request.service) {
            service.open_requests = service.open_requests.saturating_sub(1);
        }
        if request.orphan {
            return;
        }
        self.by_number.remove(&(request.front, request.run.request));
        if let Some(end) = request.end {
            out.push(Effect::End { front: request.front, end: End { parts, ..end } });
        }
    }

    /// Schedules a retry of a request. Returns false if part of its answer was
    /// already sent, the deadline passed, or the retry budget is spent.
    pub(crate) fn retry(&mut self, now: Instant, key: Key<Request>, out: &mut Vec<Effect>) -> bool {
        let Some(request) = self.requests.get_mut(key) else {
            return false;
        };
        if request.parts > 0 || now >= request.deadline {
            return false;
        }
        let spent = self.services.get_mut(request.service).is_none_or(|s| !s.budget.withdraw());
        if spent {
            return false;
        }
        let wait = self.backoff.delay(request.tries);
        request.tries += 1;
        request.attempt = Attempt { status: IDLE, ..Attempt::default() };
        request.stage = Stage::Backoff(now + wait);
        out.push(Effect::Count(Count::Retry));
        true
    }

    /// Handles the passing of time: deadlines, backoff delays and idle
    /// transactions.
    pub(crate) fn tick(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.expire(now, out);
        self.requeue_retries(now, out);
        self.expire_conns(now, out);
        self.close_surplus_of_teams(now, out);
        self.resolve(now, out);
        self.unpark(now);
        self.spill_to_primary(now);
        self.abort_stalled(now, out);
        self.report_health(now, out);
    }

    fn expire(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let typical = self.typical_run_time;
        let unread = self.uptime.has_just_resumed(now);
        let is_expired = |request: &Request| match request.stage {
            Stage::Draining => false,
            Stage::Running(_) if unread => false,
            Stage::Running(_) | Stage::Marking(_) | Stage::Acking | Stage::Doubt => {
                now >= request.deadline
            }
            _ => now + request.margin(typical) >= request.deadline,
        };
        let late = self.requests.iter().filter(|(_, request)| is_expired(request));
        let late: Vec<_> = late.map(|(key, request)| (key, request.stage)).collect();
        for (key, stage) in late {
            self.expire_request(now, key, stage, out);
        }
    }

    fn expire_request(
        &mut self,
        now: Instant,
        key: Key<Request>,
        stage: Stage,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let cannot_commit = !request.may_commit();
        let was_running = matches!(stage, Stage::Running(_));
        let unconfirmed = stage == Stage::Acking && !request.attempt.durable;
        let outcome = match stage {
            Stage::Running(_) | Stage::Marking(_) if cannot_commit => Outcome::NotRun,
            Stage::Acking if unconfirmed => Outcome::NotRun,
            Stage::Running(_) | Stage::Marking(_) | Stage::Acking | Stage::Doubt => {
                Outcome::Unknown
            }
            _ => Outcome::NotRun,
        };
        if unconfirmed {
            self.end_transaction(now, key, out);
        }
        if was_running {
            self.note_lost(now, key);
        }
        self.finish(now, key, outcome, Reason::Deadline, out);
        if let Stage::Running(conn) | Stage::Marking(conn) = stage {
            out.push(Effect::Cancel { conn });
            self.close_conn(conn, out);
        }
    }

    fn requeue_retries(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let due = self
            .requests
            .iter()
            .filter(|(_, request)| matches!(request.stage, Stage::Backoff(until) if until <= now));
        let due: Vec<_> = due.map(|(key, _)| key).collect();
        for key in due {
            if self.may_start() {
                self.enqueue(now, key, None);
            } else {
                self.finish(now, key, Outcome::NotRun, Reason::Lease, out);
            }
        }
    }

    fn expire_conns(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let grace_over = self.is_grace_over(now);
        let keys: Vec<_> = self.conns.iter().map(|(key, conn)| (key, conn.work)).collect();
        for (key, work) in keys {
            match work {
                Work::RollingBack(until) if until <= now => self.close_conn(key, out),
                Work::Pinned(since) if grace_over || now.since(since) > self.idle_limit(key) => {
                    self.abandon(now, key, out);
                }
                _ => {}
            }
        }
    }

    fn idle_limit(&self, key: Key<Connection>) -> Duration {
        let waits = self.requests.iter().any(|(_, request)| match request.stage {
            Stage::Urgent(conn) => conn == key,
            Stage::Acking | Stage::Draining => self.pins.get(&request.owner()) == Some(&key),
            _ => false,
        });
        let service = self.conns.get(key).and_then(|conn| conn.service);
        let limits = service.and_then(|key| self.services.get(key)).map(|s| &s.limits);
        let limit = limits.map_or(60_000, |limits| limits.idle_transaction_ms);
        if waits { Duration::MAX } else { Duration::from_millis(limit) }
    }

    /// Reserves a connection for the transaction that is open on it.
    pub(crate) fn pin(
        &mut self,
        now: Instant,
        key: Key<Connection>,
        owner: Owner,
        origin: Origin,
        service: Key<crate::service::Service>,
    ) {
        if let Some(conn) = self.conns.get_mut(key) {
            conn.work = Work::Pinned(now);
            conn.owner = Some(owner);
            conn.term = origin.term;
            conn.primary = origin.primary;
            conn.service = Some(service);
            self.pins.insert(owner, key);
        }
    }

    pub(crate) fn unpin(&mut self, key: Key<Connection>) {
        let owner = self.conns.get_mut(key).and_then(|conn| conn.owner.take());
        if let Some(owner) = owner
            && self.pins.get(&owner) == Some(&key)
        {
            self.pins.remove(&owner);
        }
    }

    /// Makes a connection available to all requests.
    pub(crate) fn release_conn(&mut self, now: Instant, key: Key<Connection>) {
        if let Some(conn) = self.conns.get_mut(key) {
            conn.work = Work::Idle(now);
        }
    }

    pub(crate) fn roll_back(&mut self, now: Instant, key: Key<Connection>, out: &mut Vec<Effect>) {
        let early = self.has_flaw(Flaw::EarlyReuse);
        if let Some(conn) = self.conns.get_mut(key) {
            conn.work =
                if early { Work::Idle(now) } else { Work::RollingBack(now + ROLLBACK_TIMEOUT) };
            conn.status = IN_TRANSACTION;
            out.push(Effect::RollBack { conn: key });
        }
        self.drop_urgent(now, key, out);
    }

    /// Closes a connection. The connection counts against the limits until the
    /// driver confirms the close.
    pub(crate) fn close_conn(&mut self, key: Key<Connection>, out: &mut Vec<Effect>) {
        self.unpin(key);
        let Some(conn) = self.conns.get_mut(key).filter(|conn| !conn.is_closing()) else {
            return;
        };
        conn.work = Work::Closing { uses_slot: conn.uses_slot() };
        out.push(Effect::Close { conn: key });
    }

    /// Resumes reading for a request whose caller granted credit.
    pub(crate) fn resume(&mut self, key: Key<Request>, out: &mut Vec<Effect>) {
        let stage = self.requests.get(key).map(|request| request.stage);
        if let Some(Stage::Running(conn) | Stage::Marking(conn)) = stage {
            self.resume_conn(conn, out);
        }
    }

    pub(crate) fn resume_conn(&mut self, key: Key<Connection>, out: &mut Vec<Effect>) {
        if let Some(conn) = self.conns.get_mut(key).filter(|conn| conn.paused) {
            conn.paused = false;
            out.push(Effect::Resume { conn: key });
        }
    }
}

//! Events of connections: pieces of answers, ends of cycles, marks, opening and
//! closing.

use base::prelude::*;
use wire::data::{Class, Outcome, Part, Reason};

use crate::conn::{Connection, IDLE, Origin, Session, Work};
use crate::event::{Effect, Kind, Outage, Piece};
use crate::group::Group;
use crate::request::{Completion, MAX_HELD_BYTES, Request, Stage};

/// Contents of the ReadyForQuery that ended a cycle: its status byte, and
/// whether an error preceded it.
#[derive(Clone, Copy, Debug)]
struct Ready {
    status: u8,
    failed: bool,
}

impl Group {
    pub(crate) fn opened(&mut self, now: Instant, key: Key<Connection>) {
        let Some(conn) = self.conns.get_mut(key).filter(|conn| conn.work == Work::Opening) else {
            return;
        };
        conn.work = Work::Idle(now);
        // an opening across a suspension says nothing about the server
        if conn.opening_uses_slot && !self.uptime.was_suspended_since(conn.opened_at) {
            self.teams.opening_time.record(now, now.since(conn.opened_at));
        }
        if let Some(server) = self.servers.get_mut(conn.server) {
            server.failures = 0;
            if self.unfenced.is_some() {
                server.recover(now);
            }
        }
    }

    pub(crate) fn closed(&mut self, now: Instant, key: Key<Connection>, out: &mut Vec<Effect>) {
        self.unpin(key);
        let Some(conn) = self.conns.remove(key) else {
            return;
        };
        let wait = self.servers.get(conn.server).map_or(0, |server| server.failures);
        let wait = self.backoff.delay(wait);
        if let Some(server) = self.servers.get_mut(conn.server) {
            let refused = conn.session == Session::Refused;
            if !refused && !conn.is_closing() {
                server.cap = None;
            }
            if conn.work == Work::Opening && !refused {
                server.failures += 1;
                server.connect_at = now + wait;
            }
            if !conn.is_closing() && !refused {
                server.distrusted_at = now;
            }
        }
        if conn.work == Work::Opening {
            self.note_refused(now, conn.server, conn.opened_at);
        }
        if let Work::Busy(request) = conn.work {
            self.note_lost(now, request);
        }
        match conn.work {
            Work::Busy(request) | Work::Marking(request) => self.connection_lost(now, request, out),
            _ => self.drop_urgent(now, key, out),
        }
    }

    pub(crate) fn unreachable(
        &mut self,
        now: Instant,
        name: &Name,
        outage: Outage,
        out: &mut Vec<Effect>,
    ) {
        let Some(server) = self.server_named(name).and_then(|key| self.servers.get_mut(key)) else {
            return;
        };
        server.outage = Some(outage);
        server.distrusted_at = now;
        self.report_health(now, out);
    }

    pub(crate) fn piece(
        &mut self,
        now: Instant,
        conn: Key<Connection>,
        piece: Piece,
        out: &mut Vec<Effect>,
    ) {
        let Some(connection) = self.conns.get_mut(conn) else {
            return;
        };
        let key = match connection.work {
            Work::Busy(key) => key,
            Work::RollingBack(_) | Work::Closing { .. } => return,
            _ => return self.abort_conn(now, conn, out),
        };
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.attempt.committed |= piece.kind == Kind::Commit;
        if request.orphan {
            return;
        }
        if request.holds_back(&piece) {
            return self.hold(now, key, conn, piece, out);
        }
        let bytes = piece.bytes.len() as u64;
        request.window = request.window.saturating_sub(bytes);
        if request.window == 0 && !connection.paused {
            connection.paused = true;
            out.push(Effect::Pause { conn });
        }
        let part =
            Part { request: request.run.request, sequence: request.parts, payload: piece.bytes };
        request.parts += 1;
        out.push(Effect::Part { front: request.front, part });
    }

    fn hold(
        &mut self,
        now: Instant,
        key: Key<Request>,
        conn: Key<Connection>,
        piece: Piece,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.attempt.held_bytes += piece.bytes.len();
        request.attempt.held.push_back(piece.bytes);
        if request.attempt.held_bytes > MAX_HELD_BYTES {
            self.finish(now, key, Outcome::Unknown, Reason::TooLarge, out);
            self.close_conn(conn, out);
        }
    }

    pub(crate) fn cycle(
        &mut self,
        now: Instant,
        conn: Key<Connection>,
        status: u8,
        failed: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(connection) = self.conns.get_mut(conn) else {
            return;
        };
        connection.status = status;
        match connection.work {
            Work::RollingBack(_) if status == IDLE && !failed => {
                connection.work = Work::Idle(now);
            }
            Work::Busy(key) => self.cycle_ended(now, conn, key, Ready { status, failed }, out),
            Work::Closing { .. } => {}
            _ => self.abort_conn(now, conn, out),
        }
    }

    fn cycle_ended(
        &mut self,
        now: Instant,
        conn: Key<Connection>,
        key: Key<Request>,
        ready: Ready,
        out: &mut Vec<Effect>,
    ) {
        let Ready { status, failed } = ready;
        self.resume_conn(conn, out);
        let Some(request) = self.requests.get_mut(key) else {
            return self.abort_conn(now, conn, out);
        };
        let service = request.service;
        let (owner, orphan) = (request.owner(), request.orphan);
        let holds = request.holds_answer();
        let attempt = &mut request.attempt;
        attempt.completion = Some(Completion { at: now, failed });
        attempt.status = if attempt.primary { status } else { IDLE };
        attempt.durable = attempt.primary && (attempt.committed || (holds && status == IDLE));
        let (durable, primary, term) = (attempt.durable, attempt.primary, attempt.term);
        self.charge(now, key, false);
        if status == IDLE {
            self.unpin(conn);
            if durable && !orphan {
                return self.request_mark(conn, key, out);
            }
            self.release_conn(now, conn);
        } else if primary && !orphan {
            self.pin(now, conn, owner, Origin { term, primary }, service);
        } else {
            self.unpin(conn);
            self.roll_back(now, conn, out);
        }
        self.complete_request(now, key, out);
    }

    fn request_mark(&mut self, conn: Key<Connection>, key: Key<Request>, out: &mut Vec<Effect>) {
        if let Some(connection) = self.conns.get_mut(conn) {
            connection.work = Work::Marking(key);
        }
        if let Some(request) = self.requests.get_mut(key) {
            request.stage = Stage::Marking(conn);
        }
        out.push(Effect::Mark { conn });
    }

    /// Finishes a request whose cycle has ended, or makes it wait until a
    /// majority confirms it.
    fn complete_request(&mut self, now: Instant, key: Key<Request>, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.orphan || !(request.attempt.durable || request.attempt.verify_since.is_some()) {
            return self.finish(now, key, Outcome::Done, Reason::None, out);
        }
        request.stage = Stage::Acking;
        self.unresolved.push(key);
        self.sampling.request_since(now);
        self.resolve(now, out);
    }

    pub(crate) fn marked(
        &mut self,
        now: Instant,
        conn: Key<Connection>,
        mark: Mark,
        out: &mut Vec<Effect>,
    ) {
        let work = self.conns.get(conn).map(|conn| conn.work);
        let key = match work {
            Some(Work::Marking(key)) => key,
            Some(Work::Closing { .. }) | None => return,
            Some(_) => return self.abort_conn(now, conn, out),
        };
        self.release_conn(now, conn);
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.orphan {
            return self.finish(now, key, Outcome::Done, Reason::None, out);
        }
        if let Some(server) = request.attempt.server.and_then(|key| self.servers.get_mut(key)) {
            server.last_mark = server.last_mark.max(mark);
        }
        if mark.term == request.attempt.term {
            request.attempt.mark_after = Some(mark);
            request.stage = Stage::Acking;
        } else {
            request.attempt.lost_at = Some(now);
            request.attempt.completion = None;
            request.stage = Stage::Doubt;
        }
        self.unresolved.push(key);
        self.resolve(now, out);
    }

    /// Closes a connection during its cycle or transaction: after a message out
    /// of order, or because its primary was replaced, its statement stalled or
    /// the outcome of its cycle is unconfirmed.
    pub(crate) fn abort_conn(
        &mut self,
        now: Instant,
        conn: Key<Connection>,
        out: &mut Vec<Effect>,
    ) {
        let work = self.conns.get(conn).map(|conn| conn.work);
        self.close_conn(conn, out);
        self.drop_urgent(now, conn, out);
        if let Some(Work::Busy(request) | Work::Marking(request)) = work {
            self.connection_lost(now, request, out);
        }
    }

    /// Determines the outcome of a request whose connection was lost.
    fn connection_lost(&mut self, now: Instant, key: Key<Request>, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.orphan {
            return self.finish(now, key, Outcome::Unknown, Reason::Broken, out);
        }
        if !request.may_commit() {
            return self.finish(now, key, Outcome::NotRun, Reason::TransactionGone, out);
        }
        let read = request.class == Class::Read && !request.run.in_transaction;
        if self.unfenced.is_some() && !read {
            // an unfenced server keeps no history of terms, so the outcome stays unknown
            return self.finish(now, key, Outcome::Unknown, Reason::Broken, out);
        }
        if read || !request.attempt.primary {
            request.may_have_run = true;
            request.avoided = request.attempt.server.filter(|_| self.starts.judges);
            if !self.retry(now, key, out) {
                self.finish(now, key, Outcome::Unknown, Reason::Broken, out);
            }
            return;
        }
        request.attempt.lost_at = Some(now);
        request.attempt.status = IDLE;
        request.stage = Stage::Doubt;
        self.unresolved.push(key);
        self.sampling.request_since(now);
        self.resolve(now, out);
    }

    /// Finishes requests that waited for an open transaction whose connection
    /// was closed or rolled back.
    pub(crate) fn drop_urgent(
        &mut self,
        now: Instant,
        conn: Key<Connection>,
        out: &mut Vec<Effect>,
    ) {
        let waits = self.requests.iter().filter(|(_, r)| r.stage == Stage::Urgent(conn));
        let waits: Vec<_> = waits.map(|(key, _)| key).collect();
        for key in waits {
            self.finish(now, key, Outcome::NotRun, Reason::TransactionGone, out);
        }
    }
}

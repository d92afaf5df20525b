//! What connections report: pieces of answers, ends of cycles, marks, and
//! their own opening and closing.

use base::prelude::*;
use wire::data::{Class, Outcome, Part, Reason};

use crate::conn::{Connection, IDLE, Origin, Work};
use crate::event::{Effect, Kind, Piece, Trouble};
use crate::group::Group;
use crate::request::{HELD_BYTES, Over, Request, Stage};

/// What ReadyForQuery closed a cycle with.
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
        if let Some(server) = self.servers.get_mut(conn.server) {
            server.failures = 0;
            if self.solo.is_some() {
                server.trouble = None;
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
            if conn.work == Work::Opening {
                server.failures += 1;
                server.connect_at = now + wait;
            }
            if !conn.is_closing() {
                server.distrusted = now;
            }
        }
        match conn.work {
            Work::Busy(request) | Work::Marking(request) => self.broke(now, request, out),
            _ => self.drop_urgent(now, key, out),
        }
    }

    pub(crate) fn unreached(
        &mut self,
        now: Instant,
        name: &Name,
        trouble: Trouble,
        out: &mut Vec<Effect>,
    ) {
        let Some(server) = self.server_named(name).and_then(|key| self.servers.get_mut(key)) else {
            return;
        };
        server.trouble = Some(trouble);
        server.distrusted = now;
        self.watch(now, out);
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
            _ => return self.cut(now, conn, out),
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
        if request.attempt.held_bytes > HELD_BYTES {
            self.finish(now, key, Outcome::Unknown, Reason::TooLarge, out);
            self.shut(conn, out);
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
            Work::Busy(key) => self.cycle_over(now, conn, key, Ready { status, failed }, out),
            Work::Closing { .. } => {}
            _ => self.cut(now, conn, out),
        }
    }

    fn cycle_over(
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
            return self.cut(now, conn, out);
        };
        let (service, owner, orphan) = (request.service, request.owner(), request.orphan);
        let holds = request.holds();
        let attempt = &mut request.attempt;
        attempt.over = Some(Over { at: now, failed });
        attempt.status = if attempt.primary { status } else { IDLE };
        attempt.durable = attempt.primary && (attempt.committed || (holds && status == IDLE));
        let (durable, primary, term) = (attempt.durable, attempt.primary, attempt.term);
        let sent_at = attempt.sent_at;
        self.charge(service, primary, now.since(sent_at));
        if status == IDLE {
            self.unpin(conn);
            if durable && !orphan {
                return self.ask_mark(conn, key, out);
            }
            self.rest(now, conn);
        } else if primary && !orphan {
            self.pin(now, conn, owner, Origin { term, primary }, service);
        } else {
            self.unpin(conn);
            self.roll_back(now, conn, out);
        }
        self.judge_over(now, key, out);
    }

    fn ask_mark(&mut self, conn: Key<Connection>, key: Key<Request>, out: &mut Vec<Effect>) {
        if let Some(connection) = self.conns.get_mut(conn) {
            connection.work = Work::Marking(key);
        }
        if let Some(request) = self.requests.get_mut(key) {
            request.stage = Stage::Marking(conn);
        }
        out.push(Effect::Mark { conn });
    }

    /// Ends a request whose cycle is over, or lets it wait for a majority.
    fn judge_over(&mut self, now: Instant, key: Key<Request>, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.orphan || !(request.attempt.durable || request.attempt.verify.is_some()) {
            return self.finish(now, key, Outcome::Done, Reason::None, out);
        }
        request.stage = Stage::Acking;
        self.open.push(key);
        self.sampling.want(now);
        self.settle(now, out);
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
            Some(_) => return self.cut(now, conn, out),
        };
        self.rest(now, conn);
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.orphan {
            return self.finish(now, key, Outcome::Done, Reason::None, out);
        }
        if let Some(server) = request.attempt.server.and_then(|key| self.servers.get_mut(key)) {
            server.marked = server.marked.max(mark);
        }
        if mark.term == request.attempt.term {
            request.attempt.hi = Some(mark);
            request.stage = Stage::Acking;
        } else {
            request.attempt.broken = Some(now);
            request.attempt.over = None;
            request.stage = Stage::Doubt;
        }
        self.open.push(key);
        self.settle(now, out);
    }

    /// Closes a connection in the middle: something came out of order on it, or
    /// its primary was replaced.
    pub(crate) fn cut(&mut self, now: Instant, conn: Key<Connection>, out: &mut Vec<Effect>) {
        let work = self.conns.get(conn).map(|conn| conn.work);
        self.shut(conn, out);
        self.drop_urgent(now, conn, out);
        if let Some(Work::Busy(request) | Work::Marking(request)) = work {
            self.broke(now, request, out);
        }
    }

    /// Decides on a request whose connection broke.
    fn broke(&mut self, now: Instant, key: Key<Request>, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.orphan {
            return self.finish(now, key, Outcome::Unknown, Reason::Broken, out);
        }
        if !request.may_commit() {
            return self.finish(now, key, Outcome::NotRun, Reason::TransactionGone, out);
        }
        let read = request.class == Class::Read && !request.run.within;
        if self.solo.is_some() && !read {
            // no history tells what became of it
            return self.finish(now, key, Outcome::Unknown, Reason::Broken, out);
        }
        if read || !request.attempt.primary {
            request.ran = true;
            if !self.again(now, key, out) {
                self.finish(now, key, Outcome::Unknown, Reason::Broken, out);
            }
            return;
        }
        request.attempt.broken = Some(now);
        request.attempt.status = IDLE;
        request.stage = Stage::Doubt;
        self.open.push(key);
        self.sampling.want(now);
        self.settle(now, out);
    }

    /// Ends requests that waited for a connection that is gone.
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

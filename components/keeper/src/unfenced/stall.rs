//! Detection of statements that servers leave unanswered, and the resulting
//! health of the servers.

use base::prelude::*;
use wire::control::Condition;
use wire::data::Class;

use super::Commits;
use crate::conn::{Connection, Work};
use crate::event::{Effect, Outage};
use crate::group::Group;
use crate::request::{Request, Stage};
use crate::server::Server;

/// Time without an answer after which a statement on the primary or in a
/// transaction is aborted, and after which a primary that answers nothing else
/// is considered silent.
const STATEMENT_STALL: Duration = Duration::from_millis(450);

/// Time without an answer after which a read is aborted on its replica and
/// retried, and after which the reading of a position for a sample is aborted. A
/// server with an aborted statement is considered silent if it has answered
/// nothing for this time, so that the retry goes to another server.
const READ_STALL: Duration = Duration::from_millis(400);

/// Multiple of the typical run time within which a read is not aborted.
const SLOW_READ_FACTOR: u32 = 8;

/// Factor by which the time limit of a statement is raised if its server has
/// answered something else since the statement was sent.
const RESPONSIVE_FACTOR: u32 = 3;

/// Time for which an unanswered commit counts as a symptom of the primary.
const COMMIT_STALL_VALIDITY: Duration = Duration::from_secs(2);

/// Time without an answer to a commit, while other statements are answered,
/// after which the primary is considered cut off from its replicas.
const COMMIT_STALL: Duration = Duration::from_millis(500);

impl Group {
    /// Aborts statements that their servers leave unanswered, except those that
    /// may have committed.
    pub(crate) fn abort_stalled(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if !self.is_unfenced() {
            return;
        }
        self.record_stalled_commits(now);
        let stalled = self.conns.iter().filter(|(_, conn)| self.is_stalled(now, conn));
        let stalled: Vec<_> = stalled.map(|(key, conn)| (key, conn.server)).collect();
        for (conn, server) in stalled {
            let silent = self
                .servers
                .get(server)
                .is_some_and(|server| self.uptime.awake_since(now, server.last_heard) > READ_STALL);
            if let Some(Work::Busy(request)) = self.conns.get(conn).map(|conn| conn.work) {
                self.note_lost(now, request);
            }
            self.abort_conn(now, conn, out);
            if silent {
                self.mark_silent(server, out);
            }
        }
    }

    /// Records the servers that leave a commit unanswered.
    fn record_stalled_commits(&mut self, now: Instant) {
        let uptime = self.uptime;
        let stalled = |request: &Request| {
            let commits = request.class != Class::Read && request.may_commit();
            let long = uptime.awake_since(now, request.attempt.sent_at) > COMMIT_STALL;
            let runs = matches!(request.stage, Stage::Running(_));
            (runs && commits && long && request.attempt.primary).then_some(request.attempt.server)
        };
        let found: Vec<_> = self.requests.iter().filter_map(|(_, r)| stalled(r)?).collect();
        for server in found {
            if let Some(server) = self.servers.get_mut(server) {
                server.commits.last_stalled = Some(now);
            }
        }
    }

    /// Marks a server as silent until it answers or a new connection to it
    /// succeeds, and closes its idle connections.
    fn mark_silent(&mut self, key: Key<Server>, out: &mut Vec<Effect>) {
        if let Some(server) = self.servers.get_mut(key) {
            server.outage = Some(Outage::Silent);
        }
        let idle = |conn: &Connection| conn.server == key && matches!(conn.work, Work::Idle(_));
        let idle = self.conns.iter().filter(|(_, conn)| idle(conn));
        let idle: Vec<_> = idle.map(|(key, _)| key).collect();
        for conn in idle {
            self.close_conn(conn, out);
        }
    }

    fn is_stalled(&self, now: Instant, conn: &Connection) -> bool {
        let request = match conn.work {
            Work::Sampling(since) => return self.uptime.awake_since(now, since) > READ_STALL,
            Work::Busy(key) => self.requests.get(key),
            _ => None,
        };
        let Some(request) = request else { return false };
        if request.class != Class::Read && request.may_commit() {
            return false;
        }
        let on_replica = !request.run.in_transaction && !request.attempt.primary;
        let limit = if on_replica {
            READ_STALL.max(self.typical_run_time * SLOW_READ_FACTOR)
        } else {
            STATEMENT_STALL
        };
        let waits = self.uptime.awake_since(now, request.attempt.sent_at);
        let heard =
            self.servers.get(conn.server).is_some_and(|s| s.last_heard > request.attempt.sent_at);
        waits > if heard { limit * RESPONSIVE_FACTOR } else { limit }
    }

    /// Determines the health of the primary from the statements that it runs.
    pub(crate) fn unfenced_condition(&self, now: Instant, key: Key<Server>) -> Condition {
        let Some(server) = self.servers.get(key) else { return Condition::Healthy };
        match server.outage {
            Some(Outage::Refused) => return Condition::Refused,
            Some(Outage::Silent) => return Condition::Silent,
            None => {}
        }
        let mut open = self.requests.iter().filter_map(|(_, request)| match request.stage {
            Stage::Running(_) if request.attempt.server == Some(key) => Some(request),
            _ => None,
        });
        let silent = |request: &Request| {
            let since = request.attempt.sent_at.max(server.last_heard);
            self.uptime.awake_since(now, since) > STATEMENT_STALL
        };
        if open.any(silent) {
            return Condition::Silent;
        }
        let Commits { last_answered, last_stalled } = server.commits;
        let lost = |at: Instant| at > last_answered && now.since(at) < COMMIT_STALL_VALIDITY;
        if last_stalled.is_some_and(lost) { Condition::CutOff } else { Condition::Healthy }
    }
}

//! Statements that their servers leave without an answer, and what they tell of
//! the servers.

use base::prelude::*;
use wire::control::Sight;
use wire::data::Class;

use super::Commits;
use crate::conn::{Connection, Work};
use crate::event::{Effect, Trouble};
use crate::group::Group;
use crate::request::{Request, Stage};
use crate::server::Server;

/// Time without an answer after which a statement's server is taken for silent.
const STALLED: Duration = Duration::from_millis(450);

/// Time after which a read that its replica leaves without an answer is tried
/// on another server.
const READ_STALLED: Duration = Duration::from_millis(400);

/// How much longer than a usual statement a read may take.
const SLOWNESS: u32 = 8;

/// How much longer a statement may take on a server that answers others.
const HEARD: u32 = 3;

/// Time for which a commit that was not answered in time tells of the primary.
const COMMITS_TELL: Duration = Duration::from_secs(2);

/// Time without an answer to a commit, while other statements are answered,
/// after which the primary is taken to have lost its replicas.
const COMMIT_STALLED: Duration = Duration::from_millis(500);

impl Group {
    /// Gives up on statements that their servers leave without an answer, but
    /// for those that may have committed something.
    pub(crate) fn stalled(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if !self.is_solo() {
            return;
        }
        self.note_commits(now);
        let stalled = self.conns.iter().filter(|(_, conn)| self.is_stalled(now, conn));
        let stalled: Vec<_> = stalled.map(|(key, conn)| (key, conn.server)).collect();
        for (conn, server) in stalled {
            let silent =
                self.servers.get(server).is_some_and(|s| now.since(s.heard) > READ_STALLED);
            self.cut(now, conn, out);
            if silent {
                self.distrust(server, out);
            }
        }
    }

    /// Notes the servers that leave a commit without an answer.
    fn note_commits(&mut self, now: Instant) {
        let stalled = |request: &Request| {
            let commits = request.class != Class::Read && request.may_commit();
            let long = now.since(request.attempt.sent_at) > COMMIT_STALLED;
            let runs = matches!(request.stage, Stage::Running(_));
            (runs && commits && long && request.attempt.primary).then_some(request.attempt.server)
        };
        let found: Vec<_> = self.requests.iter().filter_map(|(_, r)| stalled(r)?).collect();
        for server in found {
            if let Some(server) = self.servers.get_mut(server) {
                server.commits.stalled = Some(now);
            }
        }
    }

    /// Takes a server for silent until a new connection to it stands.
    fn distrust(&mut self, key: Key<Server>, out: &mut Vec<Effect>) {
        if let Some(server) = self.servers.get_mut(key) {
            server.trouble = Some(Trouble::Silent);
        }
        let idle = |conn: &Connection| conn.server == key && matches!(conn.work, Work::Idle(_));
        let idle = self.conns.iter().filter(|(_, conn)| idle(conn));
        let idle: Vec<_> = idle.map(|(key, _)| key).collect();
        for conn in idle {
            self.shut(conn, out);
        }
    }

    fn is_stalled(&self, now: Instant, conn: &Connection) -> bool {
        let request = match conn.work {
            Work::Sampling(since) => return now.since(since) > READ_STALLED,
            Work::Busy(key) => self.requests.get(key),
            _ => None,
        };
        let Some(request) = request else { return false };
        if request.class != Class::Read && request.may_commit() {
            return false;
        }
        let spare = !request.run.within && !request.attempt.primary;
        let limit = if spare { READ_STALLED.max(self.typical * SLOWNESS) } else { STALLED };
        let waits = now.since(request.attempt.sent_at);
        let heard =
            self.servers.get(conn.server).is_some_and(|s| s.heard > request.attempt.sent_at);
        waits > if heard { limit * HEARD } else { limit }
    }

    /// What is seen of the primary by the statements that it runs.
    pub(crate) fn sight_solo(&self, now: Instant, key: Key<Server>) -> Sight {
        let Some(server) = self.servers.get(key) else { return Sight::Healthy };
        match server.trouble {
            Some(Trouble::Refused) => return Sight::Refused,
            Some(Trouble::Silent) => return Sight::Silent,
            None => {}
        }
        let mut open = self.requests.iter().filter_map(|(_, request)| match request.stage {
            Stage::Running(_) if request.attempt.server == Some(key) => Some(request),
            _ => None,
        });
        let silent = |request: &Request| {
            let waits = now.since(request.attempt.sent_at);
            waits > STALLED && now.since(server.heard) > STALLED
        };
        if open.any(silent) {
            return Sight::Silent;
        }
        let Commits { answered, stalled } = server.commits;
        let lost = |at: Instant| at > answered && now.since(at) < COMMITS_TELL;
        if stalled.is_some_and(lost) { Sight::CutOff } else { Sight::Healthy }
    }
}

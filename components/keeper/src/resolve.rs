//! Acknowledgement by a majority, and the outcome of requests in doubt.

use base::mark::Inclusion;
use base::prelude::*;
use wire::data::{Class, Outcome, Reason};

use crate::conn::Work;
use crate::event::Effect;
use crate::flaw::Flaw;
use crate::group::Group;
use crate::request::{Attempt, Request, Stage};
use crate::server::Server;

/// A term that a majority has entered and holds records of.
struct Established {
    term: Term,
    primary: Key<Server>,
    history: History,
}

impl Group {
    /// Handles a status report of a server.
    pub(crate) fn status(
        &mut self,
        now: Instant,
        status: Status,
        sent: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.server_named(&status.server) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(key) {
            server.record_status(now, status, sent);
        }
        self.verify();
        self.unpark(now);
        self.abort_replaced(now, out);
        self.resolve(now, out);
    }

    /// Ends all requests whose outcome the reports determine.
    pub(crate) fn resolve(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.unresolved.is_empty() {
            return;
        }
        let established = self.established();
        let open = std::mem::take(&mut self.unresolved);
        for key in open {
            let stage = self.requests.get(key).map(|request| request.stage);
            if !matches!(stage, Some(Stage::Acking | Stage::Doubt)) {
                continue;
            }
            self.update_attempt(key);
            match self.determine_outcome(key, established.as_ref()) {
                None => self.unresolved.push(key),
                Some((outcome, reason)) => self.apply_outcome(now, key, outcome, reason, out),
            }
        }
    }

    /// Updates an attempt with what newer reports show.
    fn update_attempt(&mut self, key: Key<Request>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let attempt = &mut request.attempt;
        let sample = self.sampling.verified;
        let covered = |since: Instant| {
            sample.is_some_and(|s| s.taken >= since && s.mark.term == attempt.term)
        };
        if attempt.verify_since.is_some_and(covered) {
            attempt.verify_since = None;
        }
        let server = attempt.server.and_then(|server| self.servers.get(server));
        let Some(report) = server.and_then(|server| server.report.as_ref()) else {
            return;
        };
        // a later position of the same primary is an upper bound of the cycle's records, and so
        // serves as the mark
        if let (None, Some(completion)) = (attempt.mark_after, attempt.completion)
            && attempt.durable
            && report.requested_at > completion.at
            && is_same_primary(attempt, &report.status)
        {
            attempt.mark_after =
                Some(Mark { term: attempt.term, position: report.status.received });
        }
    }

    fn determine_outcome(
        &self,
        key: Key<Request>,
        established: Option<&Established>,
    ) -> Option<(Outcome, Reason)> {
        let request = self.requests.get(key)?;
        let attempt = &request.attempt;
        if self.has_flaw(Flaw::Resend) && request.stage == Stage::Doubt {
            return Some((Outcome::NotRun, Reason::Broken));
        }
        let held = attempt.mark_after.is_some_and(|mark| self.is_held(attempt.server, mark));
        if attempt.completion.is_some()
            && (held || !attempt.durable)
            && attempt.verify_since.is_none()
        {
            return Some((Outcome::Done, Reason::None));
        }
        let later = established.filter(|found| found.term > attempt.term);
        if let Some(established) = later.filter(|found| self.is_current(attempt, found)) {
            // if the same server leads again, an attempt whose cycle has not ended may still
            // run
            let may_still_run =
                attempt.completion.is_none() && attempt.server == Some(established.primary);
            let reason = if may_still_run { Reason::Broken } else { Reason::Replaced };
            return Some((outcome_by_history(attempt, established), reason));
        }
        let unfinished = attempt.mark_after.is_none() && attempt.completion.is_none();
        if unfinished && self.has_primary_continued(attempt) {
            return Some((Outcome::Unknown, Reason::Broken));
        }
        None
    }

    /// Whether no term beyond the established one had begun when the attempt
    /// ended. Otherwise the attempt may have run in such a later term, unless a
    /// mark names its term.
    fn is_current(&self, attempt: &Attempt, established: &Established) -> bool {
        let ended = attempt.lost_at.or(attempt.completion.map(|completion| completion.at));
        let Some(ended) = ended.filter(|_| attempt.mark_after.is_none()) else {
            return true;
        };
        let sample = self.sampling.verified;
        sample.is_some_and(|s| s.mark.term == established.term && s.taken > ended)
    }

    /// Whether the attempt's primary was still primary in the same term after
    /// the connection was lost.
    fn has_primary_continued(&self, attempt: &Attempt) -> bool {
        let server = attempt.server.and_then(|server| self.servers.get(server));
        let Some(report) = server.and_then(|server| server.report.as_ref()) else {
            return false;
        };
        let after = attempt.lost_at.is_some_and(|lost_at| report.requested_at > lost_at);
        let primary = report.status.role == Role::Primary && report.status.term == attempt.term;
        after && primary
    }

    /// Whether a majority holds a mark, including the primary that wrote it.
    fn is_held(&self, primary: Option<Key<Server>>, mark: Mark) -> bool {
        let holds = |status: &Status| {
            let ignores_term = self.has_flaw(Flaw::Termless) && status.received >= mark.position;
            ignores_term || status.holds(mark)
        };
        let own = primary.and_then(|key| self.servers.get(key)).and_then(Server::status);
        if !own.is_some_and(holds) {
            return false;
        }
        let statuses = self.servers.iter().filter_map(|(_, server)| server.status());
        let count = statuses.filter(|status| holds(status)).count();
        count >= self.majority() || self.has_flaw(Flaw::PrimaryAlone)
    }

    /// Returns the newest term that a majority has entered and holds records
    /// of. No later failover can change the outcome of requests of earlier
    /// terms.
    fn established(&self) -> Option<Established> {
        let (primary, term) = self.primary()?;
        let status = self.servers.get(primary)?.status()?;
        let statuses = self.servers.iter().filter_map(|(_, server)| server.status());
        let in_term = statuses.filter(|s| s.term == term && s.log_term >= term).count();
        let has_records = status.log_term == term && status.history.last_term() == Some(term);
        let history = status.history.clone();
        (has_records && in_term >= self.majority()).then_some(Established {
            term,
            primary,
            history,
        })
    }

    /// Closes connections whose cycle or transaction belongs to a term that a
    /// majority has left.
    fn abort_replaced(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let terms = self.servers.iter().filter_map(|(_, server)| server.status());
        let mut terms: Vec<_> = terms.map(|status| status.term).collect();
        terms.sort_unstable_by(|a, b| b.cmp(a));
        let Some(majority_term) = terms.get(self.majority() - 1).copied() else {
            return;
        };
        let replaced = self.conns.iter().filter(|(_, conn)| match conn.work {
            Work::Busy(key) | Work::Marking(key) => self
                .requests
                .get(key)
                .is_some_and(|r| r.attempt.primary && r.attempt.term < majority_term),
            Work::Pinned(_) => conn.term < majority_term,
            _ => false,
        });
        let replaced: Vec<_> = replaced.map(|(key, _)| key).collect();
        for conn in replaced {
            self.abort_conn(now, conn, out);
        }
    }

    fn apply_outcome(
        &mut self,
        now: Instant,
        key: Key<Request>,
        outcome: Outcome,
        reason: Reason,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.may_have_run |= outcome == Outcome::Unknown;
        let unsuccessful = outcome != Outcome::Done || (request.is_failed() && !request.orphan);
        let repeatable = request.class != Class::Write && reason == Reason::Replaced;
        let repeatable = repeatable || self.has_flaw(Flaw::Resend);
        if unsuccessful && repeatable && self.retry(now, key, out) {
            return;
        }
        if outcome != Outcome::Done {
            self.end_transaction(now, key, out);
        }
        self.finish(now, key, outcome, reason, out);
    }

    /// Closes the transaction that a cycle with an unconfirmed outcome began.
    pub(crate) fn end_transaction(
        &mut self,
        now: Instant,
        key: Key<Request>,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.attempt.status = crate::conn::IDLE;
        let owner = request.owner();
        if let Some(conn) = self.pins.get(&owner).copied() {
            self.abort_conn(now, conn, out);
        }
    }
}

fn is_same_primary(attempt: &Attempt, status: &Status) -> bool {
    let primary = status.role == Role::Primary && status.term == attempt.term;
    primary && status.incarnation == attempt.incarnation
}

/// Derives the outcome of the cycle in `attempt` from the history of an established
/// term: the log positions at which terms start. If the first term after that of the
/// attempt starts at or before the server's position before the attempt, the log
/// kept no write of the cycle from the term of the attempt.
fn outcome_by_history(attempt: &Attempt, established: &Established) -> Outcome {
    let Some(next) = established.history.start_after(attempt.term) else {
        return Outcome::Unknown;
    };
    if attempt.completion.is_some() && !attempt.durable {
        return Outcome::NotRun;
    }
    let truncated = attempt.position_before >= next.position;
    if let Some(mark) = attempt.mark_after {
        return match established.history.inclusion(mark) {
            Inclusion::Included if attempt.verify_since.is_none() => Outcome::Done,
            Inclusion::Truncated if truncated => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
    }
    // without a mark the cycle may have run in a later term of the same server, unless the
    // established term is the only later one and another server leads in it
    let only = next.term == established.term && attempt.server != Some(established.primary);
    if truncated && only { Outcome::NotRun } else { Outcome::Unknown }
}

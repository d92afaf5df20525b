//! The answer to a statement that a keeper ran or refused, and its effect on the session.

use std::sync::Arc;

use ::plain::{Access, Answer, Problem};
use base::prelude::*;
use telemetry::event::Answered;
use wire::data::{End, Outcome, Reason};
use wire::plain::Reply;

use super::caller::{Caller, Transaction, Work};
use crate::front::attempt::Attempt;
use crate::front::conn::Disconnect;
use crate::front::link::Link;

impl Caller {
    /// Records the latency of a statement, and logs the statement if its outcome is not
    /// `Done` or if it exceeded the objective.
    pub(super) fn record(
        &self,
        work: &Work,
        attempt: &Attempt,
        started: Instant,
        group: &Name,
        objective: Duration,
        version: u64,
    ) {
        let now = self.front.clock.now();
        let took = now.since(started);
        let is_done = |end: &End| end.outcome() == Outcome::Done;
        let done = matches!(attempt, Attempt::Ended { end, .. } if is_done(end));
        self.front.metrics.record_statement(took, work.access == Access::Write, done);
        if done && (objective.is_zero() || took <= objective) {
            return;
        }
        let answered = Answered {
            request: &String::from_utf8_lossy(&work.task.id),
            database: &self.login.database,
            group,
            access: &work.access.to_string(),
            done,
            reason: &attempt.reason().to_string(),
            took,
            objective,
            version,
            lease: self.front.view.lease_until().since(now),
            answer: &if done { String::new() } else { problem(work, attempt).to_string() },
        };
        answered.log(&self.front.log);
    }

    /// Writes the answer for the result of an attempt, and updates the session.
    pub(super) async fn finish(
        &mut self,
        work: &Work,
        attempt: &Attempt,
        reply: Option<Reply>,
        link: Option<Arc<Link>>,
        group: Name,
    ) -> Result<(), Report<Disconnect>> {
        let done = match attempt {
            Attempt::Ended { end, .. } if end.outcome() == Outcome::Done => Some(end),
            _ => None,
        };
        let (Some(end), Some(reply)) = (done, reply) else {
            return self.fail_request(work, attempt, link, group).await;
        };
        for row in reply.rows {
            self.conn.put(&Answer::Row(row));
        }
        let failed = reply.error.is_some();
        match (reply.complete, reply.error) {
            (Some(complete), _) => self.conn.put(&Answer::Complete(Some(complete))),
            (None, Some(error)) => self.conn.put(&Answer::Error(error)),
            (None, None) => return self.fail_request(work, attempt, link, group).await,
        }
        if work.commits && !failed {
            self.floor = self.floor.max(end.mark.map(Mark::from));
        }
        self.update_transaction(work, end, failed, link, group).await;
        self.write_ready();
        self.conn.flush().await
    }

    /// Updates the transaction after a statement that ran.
    async fn update_transaction(
        &mut self,
        work: &Work,
        end: &End,
        failed: bool,
        link: Option<Arc<Link>>,
        group: Name,
    ) {
        let is_autocommit = matches!(self.transaction, Transaction::None);
        if is_autocommit {
            return;
        }
        let access = self.access();
        if let (b'T', Some(link)) = (end.status as u8, link.clone()) {
            self.transaction = Transaction::Open { link, access, group };
            return;
        }
        if let (b'E', Some(link)) = (end.status as u8, link) {
            self.transaction = Transaction::Open { link, access, group };
            self.release_session().await;
        }
        let over = work.ends && !failed;
        self.transaction = if over { Transaction::None } else { Transaction::Failed };
    }

    /// Writes the error of a statement whose outcome is not `Done` or that has no valid
    /// reply, and has the keeper roll back the statement's transaction.
    ///
    /// A transaction that the statement does not end stays failed until the caller ends
    /// it.
    async fn fail_request(
        &mut self,
        work: &Work,
        attempt: &Attempt,
        link: Option<Arc<Link>>,
        group: Name,
    ) -> Result<(), Report<Disconnect>> {
        let problem = problem(work, attempt);
        self.conn.put(&Answer::Problem(problem));
        let is_autocommit = matches!(self.transaction, Transaction::None);
        if let (Some(link), false) = (link, is_autocommit) {
            let access = self.access();
            self.transaction = Transaction::Open { link, access, group };
            self.release_session().await;
        } else if matches!(attempt, Attempt::Broken { .. }) {
            self.number = self.front.next_session_number();
        }
        self.transaction =
            if is_autocommit || work.ends { Transaction::None } else { Transaction::Failed };
        self.write_ready();
        self.conn.flush().await
    }
}

/// Returns the error for a statement whose outcome is not `Done` or that has no valid
/// reply.
///
/// Writes that only a later commit would have committed are certainly rolled back.
fn problem(work: &Work, attempt: &Attempt) -> Problem {
    let is_late = |end: &End| end.reason() == Reason::Deadline;
    // a request that was not sent has not committed anything
    let may_have_committed = work.commits && *attempt != Attempt::NotSent;
    match attempt {
        Attempt::Ended { end, .. } if end.outcome() == Outcome::NotRun => match end.reason() {
            Reason::TransactionGone => Problem::Aborted,
            _ => Problem::Busy,
        },
        Attempt::Ended { end, .. } if may_have_committed && is_late(end) => Problem::Timeout,
        _ if may_have_committed => Problem::Unknown,
        _ => Problem::Aborted,
    }
}

//! Runs one cycle of a PostgreSQL caller at a keeper and writes its answer.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use config::model::Class;
use pg::answer::Status;
use pg::prepared::Plan;
use pg::{Filter, Problem};
use telemetry::event::Answered;
use wire::data::{End, Leave, Outcome, Reason, Run, ask};

use super::admit::{self, Admission};
use super::attempt::{self, Attempt};
use super::caller::Caller;
use super::cancels;
use super::conn::{Conn, Disconnect, FLUSH_BYTES};
use super::dispatch::{Dispatch, Sink, millis};
use super::link::Link;
use super::patience::Patience;
use super::session::Transaction;

/// Time in which a cycle may be retried: a lease is expected to move from one keeper
/// to another within it.
const RETRY_WINDOW: Duration = Duration::from_secs(1);

/// A cycle to run.
#[derive(Debug)]
pub struct Work {
    /// Messages for the backend server, and the answers that they lead to.
    pub plan: Plan,
    /// How the cycle is to be run.
    pub admission: Admission,
    /// Whether the cycle may commit a transaction.
    pub commits: bool,
}

impl Caller {
    /// Runs a cycle and writes its answer. Returns whether the cycle failed.
    pub(super) async fn run(&mut self, work: Work) -> Result<bool, Report<Disconnect>> {
        let started = self.front.clock.now();
        let open = match &self.session.transaction {
            Transaction::Open { link, .. } => Some(Arc::clone(link)),
            Transaction::None | Transaction::RolledBack => None,
        };
        let run = self.build_request(&work, open.is_some());
        let front = Arc::clone(&self.front);
        let mut dispatch = Dispatch {
            front: &front,
            number: &mut self.session.number,
            class: work.admission.rule.class,
            started,
            deadline: work.admission.deadline,
            retry_window: RETRY_WINDOW,
            patience: Patience::new(Duration::ZERO),
            run,
            sink: Answer {
                conn: &mut self.conn,
                cancel: &self.session.cancel,
                filter: Filter::new(&work.plan.expected),
            },
        };
        let result = match open {
            Some(link) => dispatch.attempt(&link).await.map(|attempt| (attempt, Some(link))),
            None => dispatch.try_keepers().await,
        };
        let failed = dispatch.sink.filter.has_error();
        let trace = std::mem::take(&mut dispatch.run.trace);
        let running = self.session.cancel.set_running(None);
        match result {
            Ok((attempt, link)) => {
                self.record(&work, &attempt, started);
                let done = self.finish(&work, attempt, link, started, &trace).await;
                Ok(failed || !done)
            }
            Err(report) => {
                // the caller has disconnected, so its running request and its
                // transaction must not stay at the keeper
                self.session.transaction = Transaction::None;
                if let Some((link, _)) = running {
                    self.release_session(&link).await;
                }
                Err(report)
            }
        }
    }

    fn build_request(&self, work: &Work, within: bool) -> Run {
        let (session, rule) = (&self.session, &work.admission.rule);
        let floor = session.floors.get(session.group.as_str());
        // the class of one statement does not hold for its whole transaction
        let class = if within { Class::Write } else { rule.class };
        Run {
            request: 0,
            caller: session.number,
            service: session.service.as_str().to_owned(),
            group: session.group.as_str().to_owned(),
            class: admit::wire_class(class) as i32,
            in_transaction: within,
            floor: floor.map(Into::into),
            fresh: floor.is_none() || (class == Class::Read && rule.age.is_zero()),
            age_ms: millis(rule.age),
            patience_ms: millis(rule.patience),
            deadline_ms: 0,
            payload: work.plan.payload.clone(),
            window: 0,
            version: work.admission.version,
            trace: format!("{}/{}.{}", self.front.name, session.number, session.cycles),
            commits: work.commits,
            team: String::new(),
            repeats: false,
        }
    }

    /// Applies the result of the last attempt to the session and writes its error, if
    /// there is one. Returns whether the request is done.
    async fn finish(
        &mut self,
        work: &Work,
        attempt: Attempt,
        link: Option<Arc<Link>>,
        started: Instant,
        trace: &str,
    ) -> bool {
        let within = self.session.transaction.is_open();
        self.apply_prepared(work, attempt.own_answers());
        if let Attempt::Ended { end, .. } = &attempt {
            self.front.metrics.record_cycle(end);
        }
        let Some(problem) = attempt::problem(&attempt, within, work.commits) else {
            self.update_session(work, &attempt, link, within);
            return true;
        };
        self.log_failure(work, attempt.reason(), &problem, started, trace);
        let held = link.filter(|_| attempt::is_session_held(&attempt, within));
        self.fail_request(work, &problem, held, within).await;
        false
    }

    /// Logs a cycle whose outcome is not `Done`.
    fn log_failure(
        &self,
        work: &Work,
        reason: Reason,
        problem: &Problem,
        started: Instant,
        trace: &str,
    ) {
        let now = self.front.clock.now();
        let group = &self.session.group;
        let read = work.admission.rule.class == Class::Read;
        let answered = Answered {
            request: trace,
            database: group,
            group,
            access: if read { "read" } else { "write" },
            done: false,
            reason: &reason.to_string(),
            took: now.since(started),
            objective: Duration::ZERO,
            version: work.admission.version,
            lease: self.front.view.lease_until().since(now),
            answer: problem.code.as_str(),
        };
        answered.log(&self.front.log);
    }

    /// Counts the request against the objectives of its service.
    fn record(&self, work: &Work, attempt: &Attempt, started: Instant) {
        let now = self.front.clock.now();
        let rule = &work.admission.rule;
        let read = rule.class == Class::Read;
        let is_done = |end: &End| end.outcome() == Outcome::Done;
        let done = matches!(attempt, Attempt::Ended { end, .. } if is_done(end));
        // a read that accepts a bounded age saw data within that bound; any other
        // read saw current data
        let age = (read && done).then_some(rule.age);
        let event = burn::Event { latency: now.since(started), done, write: !read, age };
        let service = &self.session.service;
        if let Some(declared) = work.admission.declarations.services.get(service) {
            let caller = self.session.number;
            self.front.counts.record(now, caller, service, &declared.objectives, event);
        }
    }

    fn apply_prepared(&mut self, work: &Work, own: usize) {
        for change in &work.plan.changes[..own.min(work.plan.changes.len())] {
            self.session.prepared.apply(change);
        }
    }

    /// Updates floors and transaction status of the session after a request whose outcome
    /// is `Done`.
    fn update_session(
        &mut self,
        work: &Work,
        attempt: &Attempt,
        link: Option<Arc<Link>>,
        within: bool,
    ) {
        let Attempt::Ended { end, .. } = attempt else {
            return;
        };
        if let Some(mark) = end.mark {
            let raised = self.session.floors.raise(&self.session.group, mark.into());
            let wrote = work.admission.rule.class != Class::Read || within;
            if raised && wrote && !end.replica {
                self.report_token();
            }
        }
        let status = u8::try_from(end.status).ok().and_then(Status::from_byte);
        self.session.transaction = match (status, link) {
            (Some(Status::Open), Some(link)) => Transaction::Open { link, failed: false },
            (Some(Status::Failed), Some(link)) => Transaction::Open { link, failed: true },
            _ => Transaction::None,
        };
    }

    /// Writes the error of a request whose outcome is not `Done`, and has the keeper roll
    /// back the request's transaction.
    ///
    /// A transaction that the caller has not ended stays failed until the caller ends
    /// it, so that no later statement of it runs outside a transaction.
    async fn fail_request(
        &mut self,
        work: &Work,
        problem: &Problem,
        link: Option<Arc<Link>>,
        within: bool,
    ) {
        self.conn.output.error(problem);
        if let Some(link) = link {
            self.release_session(&link).await;
        }
        self.session.transaction =
            if within && !work.commits { Transaction::RolledBack } else { Transaction::None };
    }

    /// Tells a keeper to roll back and forget the session, which continues under a new
    /// number.
    pub(super) async fn release_session(&mut self, link: &Link) {
        let caller = self.session.number;
        link.send(ask::Body::Leave(Leave { caller })).await;
        self.session.number = self.front.next_session_number();
    }
}

/// Forwards an answer to the caller as it arrives.
struct Answer<'a> {
    conn: &'a mut Conn,
    cancel: &'a cancels::Session,
    filter: Filter<'a>,
}

impl Sink for Answer<'_> {
    fn start(&mut self, link: &Arc<Link>, number: u64) {
        self.cancel.set_running(Some((Arc::clone(link), number)));
    }

    async fn feed(&mut self, part: &Bytes) -> Result<Option<bool>, Report<Disconnect>> {
        let Ok(pieces) = self.filter.feed(part) else {
            return Ok(None);
        };
        for piece in &pieces {
            if piece.len() >= FLUSH_BYTES {
                self.conn.flush().await?;
                self.conn.write(piece).await?;
            } else {
                self.conn.output.raw(piece);
            }
        }
        if self.conn.output.len() >= FLUSH_BYTES {
            self.conn.flush().await?;
        }
        Ok(Some(!pieces.is_empty()))
    }

    async fn flush(&mut self) -> Result<(), Report<Disconnect>> {
        self.conn.flush().await
    }

    fn own_answers(&self) -> usize {
        self.filter.own_answers()
    }
}

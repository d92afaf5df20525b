//! The task of one caller, from login to the end of its session.

use std::sync::Arc;

use base::prelude::*;
use pg::client::Message;
use pg::cycle::{MAX_BYTES, Step};
use pg::frame::Frame;
use pg::prepared::Plan;
use pg::scan::{Feature, Scan};
use pg::{Code, Cycle, Problem};
use slog::debug;
use tokio::sync::watch;

use super::admit::{self, Admission};
use super::conn::{Conn, Disconnect};
use super::run::Work;
use super::session::{Session, Transaction};
use super::{Front, Phase, wait_for_input};

/// What is left to do of messages that the front has looked at.
#[derive(Debug)]
enum Rest {
    /// They are to be run.
    Run(Work),
    /// They are answered.
    Answered,
    /// They are answered, with an error at last.
    Failed,
}

/// One caller.
#[derive(Debug)]
pub struct Caller {
    pub(super) front: Arc<Front>,
    pub(super) conn: Conn,
    pub(super) session: Session,
    protocol: pg::Caller,
    phase: watch::Receiver<Phase>,
}

impl Caller {
    /// Makes the task of a caller that has logged in.
    pub fn new(front: Arc<Front>, conn: Conn, session: Session) -> Self {
        let phase = front.phase.subscribe();
        Self { front, conn, session, protocol: pg::Caller::new(), phase }
    }

    /// Serves the caller until it is gone or the process stops.
    pub async fn serve(mut self) {
        if let Err(report) = self.steps().await {
            debug!(self.front.log, "a caller is gone"; "reason" => %report.current_context());
        }
        if let Transaction::Open { link, .. } = std::mem::take(&mut self.session.transaction) {
            self.release_session(&link).await;
        }
        self.conn.close().await;
    }

    async fn steps(&mut self) -> Result<(), Report<Disconnect>> {
        while let Some(frame) = self.frame().await? {
            match self.protocol.on(&frame) {
                Step::Wait => {}
                // boxed, so that the task of an idle caller stays small
                Step::Run(cycle) => {
                    Box::pin(self.cycle(cycle)).await?;
                    self.write_ready();
                }
                Step::Flush(messages) => {
                    if Box::pin(self.part(messages)).await? {
                        self.protocol.skip();
                    }
                }
                Step::Refuse(problem) => self.fail(&problem).await,
                Step::Reject(problem) => {
                    self.fail(&problem).await;
                    self.write_ready();
                }
                Step::Recover => self.write_ready(),
                Step::Terminate => return Ok(()),
                Step::Break(problem) => {
                    self.conn.output.fatal(&problem);
                    return Err(Report::new(Disconnect::Protocol));
                }
            }
        }
        let message = match *self.phase.borrow() {
            Phase::Unleased => "the entry has lost touch with control; connect again",
            Phase::Open | Phase::Closing => "the entry is stopping; connect again",
        };
        self.conn.output.fatal(&Problem::new(Code::Shutdown, message));
        Ok(())
    }

    /// The next message, or `None` when the process stops and the caller
    /// stands between two requests.
    async fn frame(&mut self) -> Result<Option<Frame>, Report<Disconnect>> {
        loop {
            match pg::frame::take(&mut self.conn.input) {
                Ok(Some(frame)) => return Ok(Some(frame)),
                Ok(None) => {}
                Err(report) => {
                    let message = report.current_context().to_string();
                    self.conn.output.fatal(&Problem::new(Code::Protocol, message));
                    return Err(report.change_context(Disconnect::Protocol));
                }
            }
            self.conn.flush().await?;
            if !self.is_idle() {
                self.conn.fill().await?;
                continue;
            }
            if !wait_for_input(&mut self.phase, self.conn.fill()).await? {
                return Ok(None);
            }
        }
    }

    /// Whether the caller stands between two requests and nothing is open.
    fn is_idle(&self) -> bool {
        !self.session.transaction.is_open() && self.protocol.is_idle() && self.conn.input.is_empty()
    }

    /// Answers a cycle but for its end; whether that was an error.
    async fn cycle(&mut self, cycle: Cycle) -> Result<bool, Report<Disconnect>> {
        self.session.cycles += 1;
        let rest = match cycle {
            Cycle::Query { text, bytes } => self.query(&text, bytes),
            Cycle::Extended(messages) => self.extended(messages),
        };
        let failed = match rest {
            Ok(Rest::Run(work)) => self.run(work).await?,
            Ok(Rest::Answered) => false,
            Ok(Rest::Failed) => true,
            Err(problem) => {
                self.fail(&problem).await;
                true
            }
        };
        if matches!(self.session.transaction, Transaction::None) {
            self.session.prepared.settle();
        }
        Ok(failed)
    }

    /// Answers a part of a cycle, if that can be told from the rest of it;
    /// whether that was an error.
    async fn part(&mut self, messages: Vec<Message>) -> Result<bool, Report<Disconnect>> {
        let survey = self.session.prepared.survey(&messages);
        if survey.is_separable(!matches!(self.session.transaction, Transaction::None)) {
            return self.cycle(Cycle::Extended(messages)).await;
        }
        self.fail(&Feature::Flush.into()).await;
        Ok(true)
    }

    /// Answers a text, or tells what is to be run of it.
    fn query(&mut self, text: &str, payload: bytes::Bytes) -> Result<Rest, Problem> {
        let scan = Scan::new(text);
        if matches!(self.session.transaction, Transaction::RolledBack) {
            if !scan.ends() {
                return Err(failed_transaction());
            }
            self.end_rolled_back();
            return Ok(Rest::Answered);
        }
        if scan.statements.is_empty() {
            self.conn.output.empty();
            return Ok(Rest::Answered);
        }
        self.check(&scan)?;
        if scan.is_local() {
            self.check_failed()?;
            self.local_query(&scan);
            return Ok(Rest::Answered);
        }
        // as PostgreSQL does
        self.session.prepared.apply(&pg::prepared::Change::Drop(String::new()));
        let admission = self.admit(std::iter::once((text, &scan)))?;
        let plan = Plan { payload, ..Plan::default() };
        Ok(Rest::Run(Work { plan, admission, commits: scan.commits() }))
    }

    /// Answers messages, or tells what is to be run of them.
    fn extended(&mut self, messages: Vec<Message>) -> Result<Rest, Problem> {
        if messages.is_empty() {
            return Ok(Rest::Answered);
        }
        let survey = self.session.prepared.survey(&messages);
        let scans = || survey.statements.iter().map(|statement| &statement.scan);
        if matches!(self.session.transaction, Transaction::RolledBack) {
            if survey.statements.is_empty() || !scans().all(Scan::ends) {
                return Err(failed_transaction());
            }
            return Ok(self.local(&messages));
        }
        for scan in scans() {
            self.check(scan)?;
        }
        if scans().any(Scan::is_local) {
            if !scans().all(Scan::is_local) {
                return Err(Feature::Mixed.into());
            }
            self.check_failed()?;
            return Ok(self.local(&messages));
        }
        let commits = scans().any(Scan::commits);
        let texts = survey.statements.iter();
        let admission = self.admit(texts.map(|one| (one.text.as_str(), &one.scan)))?;
        let plan = self.session.prepared.plan(messages, survey)?;
        if plan.payload.len() > MAX_BYTES {
            return Err(Problem::new(Code::Limit, "the request is too long; it was not run"));
        }
        Ok(Rest::Run(Work { plan, admission, commits }))
    }

    /// Answers messages whose statements are all the front's.
    fn local(&mut self, messages: &[Message]) -> Rest {
        match self.local_cycle(messages) {
            Ok(()) => Rest::Answered,
            Err(problem) => {
                self.conn.output.error(&problem);
                Rest::Failed
            }
        }
    }

    fn check(&self, scan: &Scan) -> Result<(), Problem> {
        match scan.refused(self.session.transaction.is_open()) {
            Some(feature) => Err(feature.into()),
            None => Ok(()),
        }
    }

    fn check_failed(&self) -> Result<(), Problem> {
        match self.session.transaction {
            Transaction::Open { failed: true, .. } => Err(failed_transaction()),
            _ => Ok(()),
        }
    }

    fn admit<'a>(
        &self,
        texts: impl Iterator<Item = (&'a str, &'a Scan)>,
    ) -> Result<Admission, Problem> {
        let (service, group) = (self.session.service.as_str(), self.session.group.as_str());
        self.front.view.read(|state| admit::admit(state, service, group, texts))
    }

    /// Writes an error; a transaction that is open fails with it.
    async fn fail(&mut self, problem: &Problem) {
        self.conn.output.error(problem);
        match std::mem::take(&mut self.session.transaction) {
            Transaction::None => {}
            Transaction::Open { link, .. } => {
                self.release_session(&link).await;
                self.session.transaction = Transaction::RolledBack;
            }
            Transaction::RolledBack => self.session.transaction = Transaction::RolledBack,
        }
    }

    /// Ends the answer to a cycle.
    pub(super) fn write_ready(&mut self) {
        self.conn.output.ready(self.session.transaction.status());
    }
}

fn failed_transaction() -> Problem {
    let message = "the transaction has failed; commands are ignored until its end";
    Problem::new(Code::FailedTransaction, message)
}

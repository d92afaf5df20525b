//! The task of one PostgreSQL caller, from login to the end of its session.

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

/// Result of the front's own processing of a cycle.
#[derive(Debug)]
enum Handled {
    /// The cycle is to be run at a keeper.
    Run(Work),
    /// The cycle is answered.
    Answered,
    /// The cycle is answered, and the last answer is an error.
    Failed,
}

/// A PostgreSQL caller that is logged in.
#[derive(Debug)]
pub struct Caller {
    pub(super) front: Arc<Front>,
    pub(super) conn: Conn,
    pub(super) session: Session,
    protocol: pg::Caller,
    phase: watch::Receiver<Phase>,
}

impl Caller {
    /// Makes a caller from its connection and the session of its login.
    pub fn new(front: Arc<Front>, conn: Conn, session: Session) -> Self {
        let phase = front.phase.subscribe();
        Self { front, conn, session, protocol: pg::Caller::new(), phase }
    }

    /// Serves the caller until it disconnects, or the front stops or loses its lease.
    pub async fn serve(mut self) {
        if let Err(report) = self.serve_messages().await {
            debug!(self.front.log, "caller disconnected"; "reason" => %report.current_context());
        }
        if let Transaction::Open { link, .. } = std::mem::take(&mut self.session.transaction) {
            self.release_session(&link).await;
        }
        self.conn.close().await;
    }

    async fn serve_messages(&mut self) -> Result<(), Report<Disconnect>> {
        while let Some(frame) = self.next_frame().await? {
            match self.protocol.on(&frame) {
                Step::Wait => {}
                // boxed, so that the task of an idle caller stays small in memory
                Step::Run(cycle) => {
                    Box::pin(self.run_cycle(cycle)).await?;
                    self.write_ready();
                }
                Step::Flush(messages) => {
                    if Box::pin(self.run_part(messages)).await? {
                        self.protocol.skip_to_sync();
                    }
                }
                Step::Error(problem) => self.fail(&problem).await,
                Step::ErrorReady(problem) => {
                    self.fail(&problem).await;
                    self.write_ready();
                }
                Step::Recover => self.write_ready(),
                Step::Terminate => return Ok(()),
                Step::Fatal(problem) => {
                    self.conn.output.fatal(&problem);
                    return Err(Report::new(Disconnect::Protocol));
                }
            }
        }
        let message = match *self.phase.borrow() {
            Phase::Unleased => "the entry has lost touch with control; connect again",
            Phase::Open | Phase::Closing | Phase::Ending | Phase::Over => {
                "the entry is stopping; connect again"
            }
        };
        self.conn.output.fatal(&Problem::new(Code::Shutdown, message));
        Ok(())
    }

    /// Returns the next message, or `None` if the caller is idle and the front stops
    /// or has lost its lease.
    async fn next_frame(&mut self) -> Result<Option<Frame>, Report<Disconnect>> {
        loop {
            if self.phase.borrow().ends_transactions() && self.protocol.is_idle() {
                return Ok(None);
            }
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
            let idle = self.is_idle();
            if !wait_for_input(&mut self.phase, idle, self.conn.fill()).await? {
                return Ok(None);
            }
        }
    }

    /// Whether the caller has no open cycle and no transaction at a keeper, and no
    /// input is buffered.
    fn is_idle(&self) -> bool {
        !self.session.transaction.is_open() && self.protocol.is_idle() && self.conn.input.is_empty()
    }

    /// Answers a cycle, without the ReadyForQuery that ends it. Returns whether the
    /// cycle failed.
    async fn run_cycle(&mut self, cycle: Cycle) -> Result<bool, Report<Disconnect>> {
        self.session.cycles += 1;
        let handled = match cycle {
            Cycle::Query { text, bytes } => self.query(&text, bytes),
            Cycle::Extended(messages) => self.extended(messages),
        };
        let failed = match handled {
            Ok(Handled::Run(work)) => self.run(work).await?,
            Ok(Handled::Answered) => false,
            Ok(Handled::Failed) => true,
            Err(problem) => {
                self.fail(&problem).await;
                true
            }
        };
        if matches!(self.session.transaction, Transaction::None) {
            self.session.prepared.release_slots();
        }
        Ok(failed)
    }

    /// Answers a flushed part of a cycle, or fails if the part can't be run separately
    /// from the rest of its cycle. Returns whether the part failed.
    async fn run_part(&mut self, messages: Vec<Message>) -> Result<bool, Report<Disconnect>> {
        let lookup = self.session.prepared.look_up(&messages);
        if lookup.is_separable(!matches!(self.session.transaction, Transaction::None)) {
            return self.run_cycle(Cycle::Extended(messages)).await;
        }
        self.fail(&Feature::Flush.into()).await;
        Ok(true)
    }

    /// Answers a simple query or prepares it to be run at a keeper.
    fn query(&mut self, text: &str, payload: bytes::Bytes) -> Result<Handled, Problem> {
        let scan = Scan::new(text);
        if matches!(self.session.transaction, Transaction::RolledBack) {
            if !scan.ends() {
                return Err(failed_transaction());
            }
            self.end_rolled_back();
            return Ok(Handled::Answered);
        }
        if scan.statements.is_empty() {
            self.conn.output.empty();
            return Ok(Handled::Answered);
        }
        self.check_supported(&scan)?;
        if scan.is_local() {
            self.check_not_failed()?;
            self.local_query(&scan);
            return Ok(Handled::Answered);
        }
        // as in PostgreSQL, a simple query drops the unnamed statement
        self.session.prepared.apply(&pg::prepared::Change::Remove(String::new()));
        let admission = self.admit(std::iter::once((text, &scan)))?;
        let plan = Plan { payload, ..Plan::default() };
        Ok(Handled::Run(Work { plan, admission, commits: scan.commits() }))
    }

    /// Answers messages of the extended protocol or prepares them to be run at a
    /// keeper.
    fn extended(&mut self, messages: Vec<Message>) -> Result<Handled, Problem> {
        if messages.is_empty() {
            return Ok(Handled::Answered);
        }
        let lookup = self.session.prepared.look_up(&messages);
        let scans = || lookup.statements.iter().map(|statement| &statement.scan);
        if matches!(self.session.transaction, Transaction::RolledBack) {
            if lookup.statements.is_empty() || !scans().all(Scan::ends) {
                return Err(failed_transaction());
            }
            return Ok(self.answer_local(&messages));
        }
        for scan in scans() {
            self.check_supported(scan)?;
        }
        if scans().any(Scan::is_local) {
            if !scans().all(Scan::is_local) {
                return Err(Feature::Mixed.into());
            }
            self.check_not_failed()?;
            return Ok(self.answer_local(&messages));
        }
        let commits = scans().any(Scan::commits);
        let texts = lookup.statements.iter();
        let admission =
            self.admit(texts.map(|statement| (statement.text.as_str(), &statement.scan)))?;
        let plan = self.session.prepared.plan(messages, lookup)?;
        if plan.payload.len() > MAX_BYTES {
            return Err(Problem::new(Code::Limit, "the request is too long; it was not run"));
        }
        Ok(Handled::Run(Work { plan, admission, commits }))
    }

    /// Answers messages whose statements the front answers without a keeper.
    fn answer_local(&mut self, messages: &[Message]) -> Handled {
        match self.local_cycle(messages) {
            Ok(()) => Handled::Answered,
            Err(problem) => {
                self.conn.output.error(&problem);
                Handled::Failed
            }
        }
    }

    fn check_supported(&self, scan: &Scan) -> Result<(), Problem> {
        match scan.refusal(self.session.transaction.is_open()) {
            Some(feature) => Err(feature.into()),
            None => Ok(()),
        }
    }

    fn check_not_failed(&self) -> Result<(), Problem> {
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

    /// Writes an error and fails the open transaction, if there is one.
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

    /// Writes the ReadyForQuery that ends the answer to a cycle.
    pub(super) fn write_ready(&mut self) {
        self.conn.output.ready(self.session.transaction.status());
    }
}

fn failed_transaction() -> Problem {
    let message = "the transaction has failed; commands are ignored until its end";
    Problem::new(Code::FailedTransaction, message)
}

//! The session of one caller: what it has set, and its statements one by one.

use std::collections::BTreeMap;
use std::sync::Arc;

use ::plain::{Access, Answer, Ask, Problem, Query, Statement, Status};
use base::prelude::*;
use bytes::Bytes;
use config::Database;
use config::model::Class;
use slog::debug;
use telemetry::event::Answered;
use tokio::sync::watch;
use wire::Message as _;
use wire::data::{End, Leave, Outcome, Reason, Run, ask};
use wire::plain::{Begin, Execute, Reply, Task, Value};

use super::buffer::Buffer;
use super::conn::Conn;
use crate::front::attempt::Attempt;
use crate::front::conn::Disconnect;
use crate::front::dispatch::{Dispatch, millis};
use crate::front::link::Link;
use crate::front::{Front, Phase, wait_for_input};

/// Most values, and most prepared statements, of one session.
const SESSION_ITEMS: usize = 1_024;

/// A caller's transaction.
#[derive(Debug)]
enum Transaction {
    /// None is open.
    None,
    /// It was begun here; no statement of it was sent yet.
    Begun(Access),
    /// It is open at a keeper.
    Open { link: Arc<Link>, access: Access, group: Name },
    /// It failed; the caller has still to end it.
    Failed,
}

pub(super) struct Caller {
    front: Arc<Front>,
    conn: Conn,
    phase: watch::Receiver<Phase>,
    database: Name,
    /// Number towards keepers.
    number: u64,
    /// What the session has written.
    floor: Option<Mark>,
    values: BTreeMap<Bytes, Bytes>,
    prepared: BTreeMap<Bytes, (Access, Bytes)>,
    transaction: Transaction,
}

/// A statement that a server is to run.
struct Work {
    task: Task,
    access: Access,
    /// Whether it commits: a commit, or a write outside of a transaction.
    commits: bool,
    ends: bool,
}

impl Caller {
    /// Begins a session on a database.
    pub(super) fn new(front: Arc<Front>, conn: Conn, database: Name) -> Self {
        Self {
            number: front.next_session_number(),
            phase: front.phase.subscribe(),
            front,
            conn,
            database,
            floor: None,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: Transaction::None,
        }
    }

    /// Serves the caller until it is gone or the process stops; the connection
    /// is left to be closed.
    pub(super) async fn serve(mut self) -> Conn {
        if let Err(report) = self.steps().await {
            let reason = report.current_context();
            debug!(self.front.log, "a caller is gone"; "reason" => %reason);
        }
        self.leave().await;
        self.conn
    }

    async fn steps(&mut self) -> Result<(), Report<Disconnect>> {
        loop {
            let Some(ask) = self.next().await? else {
                return self.conn.flush().await;
            };
            match ask {
                Ask::Query(query) => self.query(query).await?,
                Ask::Terminate => return Ok(()),
                Ask::Start { .. } => {
                    self.conn.put(&Answer::Problem(Problem::Malformed));
                    return self.conn.flush().await;
                }
            }
        }
    }

    /// The next message, or `None` when the session is to end.
    async fn next(&mut self) -> Result<Option<Ask>, Report<Disconnect>> {
        loop {
            match self.conn.take() {
                Ok(Some(ask)) => return Ok(Some(ask)),
                Ok(None) => {}
                Err(_malformed) => {
                    self.conn.put(&Answer::Problem(Problem::Malformed));
                    return Ok(None);
                }
            }
            self.conn.flush().await?;
            let idle = matches!(self.transaction, Transaction::None);
            if !(idle && self.conn.is_quiet()) {
                self.conn.fill().await?;
                continue;
            }
            if !wait_for_input(&mut self.phase, self.conn.fill()).await? {
                return Ok(None);
            }
        }
    }

    async fn query(&mut self, query: Query) -> Result<(), Report<Disconnect>> {
        let Query { id, text, statement } = query;
        let Some(statement) = statement else {
            return self.fail(Problem::Malformed).await;
        };
        if matches!(self.transaction, Transaction::Failed) {
            return self.ended(&statement).await;
        }
        match statement {
            Statement::Begin(access) => match self.transaction {
                Transaction::None => {
                    self.transaction = Transaction::Begun(access);
                    self.done();
                }
                _ => return self.fail(Problem::Malformed).await,
            },
            Statement::Rollback => {
                self.leave().await;
                self.transaction = Transaction::None;
                self.done();
            }
            Statement::Set { name, value } => {
                if self.values.len() >= SESSION_ITEMS && !self.values.contains_key(&name) {
                    return self.fail(Problem::Malformed).await;
                }
                self.values.insert(name, value);
                self.done();
            }
            Statement::Prepare { name, access, shape } => {
                if self.prepared.len() >= SESSION_ITEMS && !self.prepared.contains_key(&name) {
                    return self.fail(Problem::Malformed).await;
                }
                self.prepared.insert(name, (access, shape));
                self.done();
            }
            Statement::Deallocate { name } => {
                if self.prepared.remove(&name).is_none() {
                    return self.fail(Problem::Unprepared).await;
                }
                self.done();
            }
            Statement::Commit if matches!(self.transaction, Transaction::None) => {
                return self.fail(Problem::Malformed).await;
            }
            Statement::Commit => {
                let access = self.access();
                let work = self.work(id, text, None, access);
                return self.run(Work { commits: true, ends: true, ..work }).await;
            }
            Statement::Read => {
                let work = self.work(id, text, None, Access::Read);
                return self.run(work).await;
            }
            Statement::Write => {
                let work = self.work(id, text, None, Access::Write);
                return self.run(work).await;
            }
            Statement::Execute { name, arguments } => {
                let Some((access, shape)) = self.prepared.get(&name).cloned() else {
                    return self.fail(Problem::Unprepared).await;
                };
                let writes = access == Access::Write;
                let execute = Execute { writes, shape, arguments };
                let work = self.work(id, Bytes::new(), Some(execute), access);
                return self.run(work).await;
            }
        }
        self.conn.flush().await
    }

    /// What the open transaction may do.
    fn access(&self) -> Access {
        match &self.transaction {
            Transaction::Begun(access) | Transaction::Open { access, .. } => *access,
            Transaction::None | Transaction::Failed => Access::Write,
        }
    }

    fn work(&self, id: Bytes, text: Bytes, execute: Option<Execute>, access: Access) -> Work {
        let begin = match self.transaction {
            Transaction::Begun(Access::Read) => Begin::Read,
            Transaction::Begun(Access::Write) => Begin::Write,
            _ => Begin::None,
        };
        let value =
            |(name, value): (&Bytes, &Bytes)| Value { name: name.clone(), value: value.clone() };
        let values = self.values.iter().map(value).collect();
        let alone = matches!(self.transaction, Transaction::None);
        Work {
            task: Task { id, text, execute, values, begin: begin as i32 },
            access: if alone { access } else { self.access() },
            commits: alone && access == Access::Write,
            ends: false,
        }
    }

    /// Answers a statement within a transaction that failed.
    async fn ended(&mut self, statement: &Statement) -> Result<(), Report<Disconnect>> {
        match statement {
            Statement::Rollback => {
                self.transaction = Transaction::None;
                self.done();
            }
            Statement::Commit => {
                self.transaction = Transaction::None;
                self.conn.put(&Answer::Problem(Problem::Aborted));
                self.ready();
            }
            _ => {
                self.conn.put(&Answer::Problem(Problem::Malformed));
                self.ready();
            }
        }
        self.conn.flush().await
    }

    fn done(&mut self) {
        self.conn.put(&Answer::Complete(None));
        self.ready();
    }

    fn ready(&mut self) {
        let status = match self.transaction {
            Transaction::None => Status::Idle,
            Transaction::Begun(_) | Transaction::Open { .. } => Status::Open,
            Transaction::Failed => Status::Failed,
        };
        self.conn.put(&Answer::Ready(status));
    }

    /// Answers with an error; a transaction that is open fails with it.
    async fn fail(&mut self, problem: Problem) -> Result<(), Report<Disconnect>> {
        self.conn.put(&Answer::Problem(problem));
        self.leave().await;
        if !matches!(self.transaction, Transaction::None) {
            self.transaction = Transaction::Failed;
        }
        self.ready();
        self.conn.flush().await
    }

    /// Makes the keeper forget the transaction, if one is open there.
    async fn leave(&mut self) {
        let Transaction::Open { link, .. } = &self.transaction else { return };
        let caller = self.number;
        link.send(ask::Body::Leave(Leave { caller })).await;
        self.number = self.front.next_session_number();
    }

    /// Runs a statement and answers it.
    async fn run(&mut self, work: Work) -> Result<(), Report<Disconnect>> {
        let database = |state: &control::State| {
            let found = state.declarations.databases.get(self.database.as_str()).cloned();
            (found, state.version)
        };
        let (declared, version) = self.front.view.read(database);
        let Some(declared) = declared else {
            return self.fail(Problem::Database).await;
        };
        let open = match &self.transaction {
            Transaction::Open { link, group, .. } => Some((Arc::clone(link), group.clone())),
            _ => None,
        };
        let (link, group) = match open {
            Some((link, group)) => (Some(link), group),
            None => (None, declared.group.clone()),
        };
        let started = self.front.clock.now();
        let deadline = Duration::from_millis(declared.limits.deadline_ms);
        let run = self.message(&work, &declared, &group, link.is_some(), version);
        let front = Arc::clone(&self.front);
        let class = if work.access == Access::Read { Class::Read } else { Class::Write };
        let mut dispatch = Dispatch {
            front: &front,
            number: &mut self.number,
            class,
            started,
            deadline,
            retry_window: deadline,
            run,
            sink: Buffer::default(),
        };
        let (attempt, link) = match link {
            Some(link) => (dispatch.attempt(&link).await?, Some(link)),
            None => dispatch.try_keepers().await?,
        };
        let reply = dispatch.sink.reply();
        if let Attempt::Ended { end, .. } = &attempt {
            front.metrics.record_cycle(end);
        }
        let objective = Duration::from_millis(declared.objective_ms);
        self.tell(&work, &attempt, started, &group, objective, version);
        self.settle(&work, &attempt, reply, link, group).await
    }

    /// One line for a statement that was not done, or was late; each is counted.
    fn tell(
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
            database: &self.database,
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

    fn message(
        &self,
        work: &Work,
        declared: &Database,
        group: &Name,
        within: bool,
        version: u64,
    ) -> Run {
        let class = match work.access {
            Access::Read => wire::data::Class::Read,
            Access::Write => wire::data::Class::Write,
        };
        Run {
            request: 0,
            caller: self.number,
            service: self.database.to_string(),
            group: group.to_string(),
            class: class as i32,
            within,
            floor: self.floor.map(Into::into),
            fresh: declared.age_ms == 0,
            age_ms: declared.age_ms,
            patience_ms: 0,
            deadline_ms: millis(Duration::ZERO),
            payload: work.task.encode_to_vec().into(),
            window: 0,
            version,
            trace: String::from_utf8_lossy(&work.task.id).into_owned(),
            commits: work.commits || work.ends,
        }
    }

    /// Answers as an attempt ended, and notes what that means for the session.
    async fn settle(
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
            return self.lose(work, attempt, link, group).await;
        };
        for row in reply.rows {
            self.conn.put(&Answer::Row(row));
        }
        let failed = reply.error.is_some();
        match (reply.complete, reply.error) {
            (Some(complete), _) => self.conn.put(&Answer::Complete(Some(complete))),
            (None, Some(error)) => self.conn.put(&Answer::Error(error)),
            (None, None) => return self.lose(work, attempt, link, group).await,
        }
        if work.commits && !failed {
            self.floor = self.floor.max(end.mark.map(Mark::from));
        }
        self.follow(work, end, failed, link, group).await;
        self.ready();
        self.conn.flush().await
    }

    /// Takes over where the transaction stands after a statement that ran.
    async fn follow(
        &mut self,
        work: &Work,
        end: &End,
        failed: bool,
        link: Option<Arc<Link>>,
        group: Name,
    ) {
        let alone = matches!(self.transaction, Transaction::None);
        if alone {
            return;
        }
        let access = self.access();
        if let (b'T', Some(link)) = (end.status as u8, link.clone()) {
            self.transaction = Transaction::Open { link, access, group };
            return;
        }
        if let (b'E', Some(link)) = (end.status as u8, link) {
            self.transaction = Transaction::Open { link, access, group };
            self.leave().await;
        }
        let over = work.ends && !failed;
        self.transaction = if over { Transaction::None } else { Transaction::Failed };
    }

    /// Tells of a statement that did not run to its end.
    async fn lose(
        &mut self,
        work: &Work,
        attempt: &Attempt,
        link: Option<Arc<Link>>,
        group: Name,
    ) -> Result<(), Report<Disconnect>> {
        let problem = problem(work, attempt);
        self.conn.put(&Answer::Problem(problem));
        let alone = matches!(self.transaction, Transaction::None);
        if let (Some(link), false) = (link, alone) {
            let access = self.access();
            self.transaction = Transaction::Open { link, access, group };
            self.leave().await;
        } else if matches!(attempt, Attempt::Broken { .. }) {
            self.number = self.front.next_session_number();
        }
        self.transaction = if alone || work.ends { Transaction::None } else { Transaction::Failed };
        self.ready();
        self.conn.flush().await
    }
}

/// What a caller is told of a statement that did not run to its end.
///
/// What would have been committed only by a later commit is surely undone.
fn problem(work: &Work, attempt: &Attempt) -> Problem {
    let late = |end: &End| end.reason() == Reason::Deadline;
    // what never left this process was not committed
    let unsure = work.commits && *attempt != Attempt::NotSent;
    match attempt {
        Attempt::Ended { end, .. } if end.outcome() == Outcome::NotRun => match end.reason() {
            Reason::TransactionGone => Problem::Aborted,
            _ => Problem::Busy,
        },
        Attempt::Ended { end, .. } if unsure && late(end) => Problem::Timeout,
        _ if unsure => Problem::Unknown,
        _ => Problem::Aborted,
    }
}

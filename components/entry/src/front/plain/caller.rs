//! The session of one caller of plain statements.

use std::collections::BTreeMap;
use std::sync::Arc;

use ::plain::{Access, Answer, Problem, Query, Request, Statement, Status};
use base::prelude::*;
use bytes::Bytes;
use config::Database;
use config::model::Class;
use slog::debug;
use tokio::sync::watch;
use wire::Message as _;
use wire::data::{Leave, Run, ask};
use wire::plain::{Begin, Execute, Task, Value};

use super::buffer::Buffer;
use super::conn::Conn;
use super::login::Login;
use crate::front::attempt::Attempt;
use crate::front::conn::Disconnect;
use crate::front::dispatch::{Dispatch, millis};
use crate::front::link::Link;
use crate::front::patience::Patience;
use crate::front::{Front, Phase, wait_for_input, wait_until_over};

/// Maximum number of session variables in one session, and likewise of prepared
/// statements; each kind is counted separately.
const SESSION_ITEMS: usize = 1_024;

/// State of a caller's transaction.
#[derive(Debug)]
pub(super) enum Transaction {
    /// No transaction is open.
    None,
    /// The transaction was begun, and no statement of it was sent to a keeper yet.
    Begun(Access),
    /// The transaction is open at a keeper.
    Open { link: Arc<Link>, access: Access, group: Name },
    /// The transaction failed, and the caller has not ended it yet.
    Failed,
}

/// A caller with its connection and session.
pub(super) struct Caller {
    pub(super) front: Arc<Front>,
    pub(super) conn: Conn,
    pub(super) phase: watch::Receiver<Phase>,
    /// Version of the declarations that the front has applied.
    pub(super) version: watch::Receiver<u64>,
    pub(super) login: Login,
    /// Number of the session at keepers.
    pub(super) number: u64,
    /// Mark of the newest write of the session; reads of the session must not show
    /// older data.
    pub(super) floor: Option<Mark>,
    /// Session variables: values by name.
    pub(super) values: BTreeMap<Bytes, Bytes>,
    pub(super) prepared: BTreeMap<Bytes, (Access, Bytes)>,
    pub(super) transaction: Transaction,
}

/// A statement to run at a server.
pub(super) struct Work {
    pub(super) task: Task,
    pub(super) access: Access,
    /// Whether the statement may commit: a commit, or a write outside a transaction.
    pub(super) commits: bool,
    /// Whether the statement ends the transaction.
    pub(super) ends: bool,
}

impl Caller {
    /// Makes the session of a caller on a database.
    pub(super) fn new(front: Arc<Front>, conn: Conn, login: Login) -> Self {
        Self {
            number: front.next_session_number(),
            phase: front.phase.subscribe(),
            version: front.version.subscribe(),
            front,
            conn,
            login,
            floor: None,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: Transaction::None,
        }
    }

    /// Serves the caller until it disconnects, or the front stops or loses its lease.
    /// Returns the connection, which is still to be closed.
    pub(super) async fn serve(mut self) -> Conn {
        if let Err(report) = self.serve_messages().await {
            let reason = report.current_context();
            debug!(self.front.log, "caller disconnected"; "reason" => %reason);
        }
        self.release_session().await;
        self.conn
    }

    async fn serve_messages(&mut self) -> Result<(), Report<Disconnect>> {
        loop {
            let Some(request) = self.next().await? else {
                return self.conn.flush().await;
            };
            match request {
                Request::Query(query) => self.query(query).await?,
                Request::Terminate => return Ok(()),
                Request::Start { .. } => {
                    self.conn.put(&Answer::Problem(Problem::Malformed));
                    return self.conn.flush().await;
                }
            }
        }
    }

    /// Returns the next message, or `None` if the session is to end.
    async fn next(&mut self) -> Result<Option<Request>, Report<Disconnect>> {
        loop {
            match self.conn.take() {
                Ok(Some(request)) => return Ok(Some(request)),
                Ok(None) => {}
                Err(_malformed) => {
                    self.conn.put(&Answer::Problem(Problem::Malformed));
                    return Ok(None);
                }
            }
            self.conn.flush().await?;
            let idle = matches!(self.transaction, Transaction::None);
            let served = if idle && self.conn.is_input_empty() {
                self.wait_idle().await?
            } else {
                let served = wait_for_input(&mut self.phase, false, self.conn.fill()).await?;
                served || self.conn.fill_now()
            };
            if !served {
                return Ok(None);
            }
        }
    }

    /// Waits for input between two requests. Returns whether the caller is still to be
    /// served: not if the front stops or loses its lease, or if the caller's key was
    /// withdrawn.
    async fn wait_idle(&mut self) -> Result<bool, Report<Disconnect>> {
        loop {
            tokio::select! {
                biased;
                served = wait_for_input(&mut self.phase, true, self.conn.fill()) => {
                    return Ok(served? || self.conn.fill_now());
                }
                Ok(()) = self.version.changed() => {
                    let identified = |state: &control::State| {
                        self.login.team(&state.declarations).is_ok()
                    };
                    if !self.front.view.read(identified) {
                        return Ok(false);
                    }
                }
            }
        }
    }

    async fn query(&mut self, query: Query) -> Result<(), Report<Disconnect>> {
        let Query { id, text, statement } = query;
        let Some(statement) = statement else {
            return self.fail(Problem::Malformed).await;
        };
        if matches!(self.transaction, Transaction::Failed) {
            return self.answer_failed(&statement).await;
        }
        if self.phase.borrow().ends_transactions() && !self.ends(&statement) {
            return self.fail(self.refusal()).await;
        }
        match statement {
            Statement::Begin(access) => match self.transaction {
                Transaction::None => {
                    self.transaction = Transaction::Begun(access);
                    self.complete();
                }
                _ => return self.fail(Problem::Malformed).await,
            },
            Statement::Rollback => {
                self.release_session().await;
                self.transaction = Transaction::None;
                self.complete();
            }
            Statement::Set { name, value } => {
                if self.values.len() >= SESSION_ITEMS && !self.values.contains_key(&name) {
                    return self.fail(Problem::Malformed).await;
                }
                self.values.insert(name, value);
                self.complete();
            }
            Statement::Prepare { name, access, shape } => {
                if self.prepared.len() >= SESSION_ITEMS && !self.prepared.contains_key(&name) {
                    return self.fail(Problem::Malformed).await;
                }
                self.prepared.insert(name, (access, shape));
                self.complete();
            }
            Statement::Deallocate { name } => {
                if self.prepared.remove(&name).is_none() {
                    return self.fail(Problem::Unprepared).await;
                }
                self.complete();
            }
            Statement::Commit if matches!(self.transaction, Transaction::None) => {
                return self.fail(Problem::Malformed).await;
            }
            Statement::Commit => {
                let access = self.access();
                let work = self.build_work(id, text, None, access);
                return self.run(Work { commits: true, ends: true, ..work }).await;
            }
            Statement::Read => {
                let work = self.build_work(id, text, None, Access::Read);
                return self.run(work).await;
            }
            Statement::Write => {
                let work = self.build_work(id, text, None, Access::Write);
                return self.run(work).await;
            }
            Statement::Execute { name, arguments } => {
                let Some((access, shape)) = self.prepared.get(&name).cloned() else {
                    return self.fail(Problem::Unprepared).await;
                };
                let writes = access == Access::Write;
                let execute = Execute { writes, shape, arguments };
                let work = self.build_work(id, Bytes::new(), Some(execute), access);
                return self.run(work).await;
            }
        }
        self.conn.flush().await
    }

    /// Access mode of the open transaction.
    pub(super) fn access(&self) -> Access {
        match &self.transaction {
            Transaction::Begun(access) | Transaction::Open { access, .. } => *access,
            Transaction::None | Transaction::Failed => Access::Write,
        }
    }

    fn build_work(&self, id: Bytes, text: Bytes, execute: Option<Execute>, access: Access) -> Work {
        let begin = match self.transaction {
            Transaction::Begun(Access::Read) => Begin::Read,
            Transaction::Begun(Access::Write) => Begin::Write,
            _ => Begin::None,
        };
        let value =
            |(name, value): (&Bytes, &Bytes)| Value { name: name.clone(), value: value.clone() };
        let values = self.values.iter().map(value).collect();
        let is_autocommit = matches!(self.transaction, Transaction::None);
        Work {
            task: Task { id, text, execute, values, begin: begin as i32 },
            access: if is_autocommit { access } else { self.access() },
            commits: is_autocommit && access == Access::Write,
            ends: false,
        }
    }

    /// Answers a statement in a failed transaction.
    async fn answer_failed(&mut self, statement: &Statement) -> Result<(), Report<Disconnect>> {
        match statement {
            Statement::Rollback => {
                self.transaction = Transaction::None;
                self.complete();
            }
            Statement::Commit => {
                self.transaction = Transaction::None;
                self.conn.put(&Answer::Problem(Problem::Aborted));
                self.write_ready();
            }
            _ => {
                self.conn.put(&Answer::Problem(Problem::Malformed));
                self.write_ready();
            }
        }
        self.conn.flush().await
    }

    fn complete(&mut self) {
        self.conn.put(&Answer::Complete(None));
        self.write_ready();
    }

    pub(super) fn write_ready(&mut self) {
        let status = match self.transaction {
            Transaction::None => Status::Idle,
            Transaction::Begun(_) | Transaction::Open { .. } => Status::Open,
            Transaction::Failed => Status::Failed,
        };
        self.conn.put(&Answer::Ready(status));
    }

    /// Answers with an error and fails the open transaction, if there is one.
    async fn fail(&mut self, problem: Problem) -> Result<(), Report<Disconnect>> {
        self.conn.put(&Answer::Problem(problem));
        self.release_session().await;
        if !matches!(self.transaction, Transaction::None) {
            self.transaction = Transaction::Failed;
        }
        self.write_ready();
        self.conn.flush().await
    }

    /// Answers a statement of a caller whose key was withdrawn, and ends its session.
    async fn refuse_login(&mut self, problem: Problem) -> Result<(), Report<Disconnect>> {
        self.conn.put(&Answer::Problem(problem));
        self.conn.flush().await?;
        Err(Report::new(Disconnect::Closed))
    }

    /// Tells the keeper to roll back the transaction and forget the session, if a
    /// transaction is open there. The session continues under a new number.
    pub(super) async fn release_session(&mut self) {
        let Transaction::Open { link, .. } = &self.transaction else { return };
        let caller = self.number;
        link.send(ask::Body::Leave(Leave { caller })).await;
        self.number = self.front.next_session_number();
    }

    /// Tells a keeper that the caller has left while its statement waited or ran there: a
    /// statement that waits is dropped, and one that runs ends without an answer.
    pub(super) async fn leave(&mut self, link: Option<Arc<Link>>) {
        let caller = self.number;
        if let Some(link) = link {
            link.send(ask::Body::Leave(Leave { caller })).await;
        }
        self.number = self.front.next_session_number();
    }

    /// Runs a statement at a keeper and answers the caller.
    async fn run(&mut self, work: Work) -> Result<(), Report<Disconnect>> {
        let read = |state: &control::State| {
            let declarations = &state.declarations;
            let found = declarations.databases.get(self.login.database.as_str()).cloned();
            let team = self.login.team(declarations).map(Option::<&Name>::cloned);
            (found, team, state.version)
        };
        let (declared, team, version) = self.front.view.read(read);
        let Some(declared) = declared else {
            return self.fail(Problem::Database).await;
        };
        let open = match &self.transaction {
            Transaction::Open { link, group, .. } => Some((Arc::clone(link), group.clone())),
            _ => None,
        };
        // a transaction that is open at a keeper may end after its key was withdrawn
        let team = match team {
            Err(problem) if open.is_none() => return self.refuse_login(problem).await,
            team => team.unwrap_or_default(),
        };
        let (link, group) = match open {
            Some((link, group)) => (Some(link), group),
            None => (None, declared.group.clone()),
        };
        let started = self.front.clock.now();
        let deadline = Duration::from_millis(declared.limits.deadline_ms);
        let objective = Duration::from_millis(declared.objective_ms);
        let within = link.is_some();
        let run = self.build_request(&work, &declared, &group, team.as_ref(), within, version);
        let front = Arc::clone(&self.front);
        let class = if work.access == Access::Read { Class::Read } else { Class::Write };
        let mut dispatch = Dispatch {
            front: &front,
            number: &mut self.number,
            class,
            started,
            deadline,
            retry_window: deadline,
            patience: Patience::new(objective),
            run,
            sink: Buffer::default(),
        };
        let attempts = async {
            match link {
                Some(link) => Ok((dispatch.attempt(&link).await?, Some(link))),
                None => dispatch.try_keepers().await,
            }
        };
        let ended = tokio::select! {
            biased;
            ended = attempts => Some(ended?),
            report = self.conn.closed() => {
                let link = dispatch.sink.take_link();
                self.leave(link).await;
                return Err(report);
            }
            () = wait_until_over(self.phase.clone()) => None,
        };
        let Some((attempt, link)) = ended else {
            let link = dispatch.sink.take_link();
            return self.end_unfinished(&work, link, group).await;
        };
        let reply = dispatch.sink.reply();
        if let Attempt::Ended { end, .. } = &attempt {
            front.metrics.record_cycle(end);
        }
        self.record(&work, &attempt, started, &group, objective, version);
        self.finish(&work, &attempt, reply, link, group).await
    }

    fn build_request(
        &self,
        work: &Work,
        declared: &Database,
        group: &Name,
        team: Option<&Name>,
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
            service: self.login.database.to_string(),
            group: group.to_string(),
            class: class as i32,
            in_transaction: within,
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
            team: team.map_or_else(String::new, Name::to_string),
            repeats: false,
        }
    }
}

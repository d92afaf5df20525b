//! Execution of a session's statements: transactions, slots, SQL functions.

use std::sync::Arc;

use base::prelude::*;
use bytes::BytesMut;
use pgwire::messages::response::{EmptyQueryResponse, TransactionStatus};
use pgwire::messages::{PgWireBackendMessage as Reply, PgWireFrontendMessage as Message};
use rusqlite::Connection;
use slog::debug;
use tokio::sync::{Notify, SemaphorePermit};

use crate::answer::{self, Severity};
use crate::counters::Guard;
use crate::failure::{Rejection, SqlState};
use crate::function::{self, Function};
use crate::log::Statement;
use crate::server::Server;
use crate::session::extended::Extended;
use crate::sql::{self, Command};
use crate::sqlite::{self, Column, Description, Output};
use crate::transaction::{Transaction, Write};
use crate::value::{self, Kind, Value};

/// A session whose start-up is complete.
#[derive(Debug)]
pub struct Session {
    server: Arc<Server>,
    cancel: Arc<Notify>,
    is_probe: bool,
    // connection for reads, with the generation of the database that it opened
    reader: Option<(u64, Connection)>,
    transaction: Option<Transaction>,
    pub(super) extended: Extended,
    pub(super) flush_due: bool,
}

/// Result and command tag of an executed statement.
#[derive(Debug)]
pub struct Outcome {
    /// Result of the statement.
    pub output: Output,
    /// Command tag; `None` for an empty statement.
    pub tag: Option<String>,
}

impl Outcome {
    fn without_rows(tag: &str) -> Self {
        Self { output: Output::default(), tag: Some(tag.to_owned()) }
    }
}

impl Session {
    /// Creates a session without an open transaction; `is_probe` marks the system's
    /// own sessions, whose reads are not counted.
    pub fn new(server: &Arc<Server>, cancel: Arc<Notify>, is_probe: bool) -> Self {
        Self {
            server: Arc::clone(server),
            cancel,
            is_probe,
            reader: None,
            transaction: None,
            extended: Extended::default(),
            flush_due: false,
        }
    }

    /// Whether the last message asks for the outbox to be sent.
    pub fn is_flush_due(&self) -> bool {
        self.flush_due
    }

    /// Handles a message; returns `false` if the client ends the session.
    pub async fn on(&mut self, message: Message, outbox: &mut BytesMut) -> bool {
        self.flush_due = false;
        match message {
            Message::Query(query) => self.query(&query.query, outbox).await,
            Message::Sync(_) => self.sync(outbox),
            Message::Flush(_) => self.flush_due = true,
            Message::Terminate(_) => return false,
            other => self.on_extended(other, outbox).await,
        }
        true
    }

    async fn query(&mut self, text: &str, outbox: &mut BytesMut) {
        let parts = sql::split_statements(text);
        if parts.is_empty() {
            answer::put(outbox, &Reply::EmptyQueryResponse(EmptyQueryResponse::new()));
        }
        for part in parts {
            let statement = Statement { sql: part.to_owned(), values: Vec::new() };
            match self.execute(statement).await {
                Ok(outcome) => put_outcome(outbox, &outcome),
                Err(rejection) => {
                    self.fail(&rejection, outbox);
                    break;
                }
            }
        }
        self.sync(outbox);
    }

    /// Ends a query cycle, and commits an implicit transaction.
    fn sync(&mut self, outbox: &mut BytesMut) {
        self.extended.end_cycle();
        let implicit = self.transaction.as_ref().is_some_and(|open| !open.explicit);
        if implicit && let Err(rejection) = self.commit() {
            answer::put_error(outbox, Severity::Error, &rejection);
        }
        answer::put_ready_for_query(outbox, self.status());
        self.flush_due = true;
    }

    fn status(&self) -> TransactionStatus {
        match &self.transaction {
            None => TransactionStatus::Idle,
            Some(open) if open.failed => TransactionStatus::Error,
            Some(_) => TransactionStatus::Transaction,
        }
    }

    /// Appends an error to the outbox; marks an explicit transaction as failed and
    /// discards an implicit one.
    pub(super) fn fail(&mut self, rejection: &Rejection, outbox: &mut BytesMut) {
        answer::put_error(outbox, Severity::Error, rejection);
        match &mut self.transaction {
            Some(open) if open.explicit => open.failed = true,
            open => *open = None,
        }
    }

    /// Executes a statement: an SQL function, a transaction command or a statement
    /// for the database.
    pub(super) async fn execute(&mut self, statement: Statement) -> Result<Outcome, Rejection> {
        if let Some(function) = function::parse(&statement.sql) {
            return self.call(function).await;
        }
        let command = sql::classify(&statement.sql);
        let failed = self.transaction.as_ref().is_some_and(|open| open.failed);
        let allowed_when_failed =
            matches!(command, Command::Commit | Command::Rollback | Command::RollbackTo);
        if failed && !allowed_when_failed {
            let message = "current transaction is aborted, commands ignored until end of block";
            return Err(Rejection::new(SqlState::FailedTransaction, message));
        }
        match command {
            Command::Empty => Ok(Outcome { output: Output::default(), tag: None }),
            Command::Begin => {
                self.transaction.get_or_insert_default().explicit = true;
                Ok(Outcome::without_rows("BEGIN"))
            }
            Command::Commit if !failed => {
                let server = Arc::clone(&self.server);
                let _slot = acquire_slot(&server, &self.cancel, Duration::ZERO).await?;
                self.commit().map(|()| Outcome::without_rows("COMMIT"))
            }
            Command::Commit | Command::Rollback => {
                self.transaction = None;
                Ok(Outcome::without_rows("ROLLBACK"))
            }
            Command::RollbackTo | Command::Savepoint => self.savepoint(statement),
            Command::Set => Ok(Outcome::without_rows("SET")),
            Command::Discard => Ok(Outcome::without_rows("DISCARD ALL")),
            Command::Show(name) => Ok(show_parameter(name)),
            Command::Unsupported => {
                let message = "the stand-in does not offer this statement";
                Err(Rejection::new(SqlState::Unsupported, message))
            }
            Command::Other => self.run(statement).await,
        }
    }

    async fn call(&mut self, function: Function) -> Result<Outcome, Rejection> {
        let status = self.server.call(function).await?;
        let (columns, row) = match function {
            Function::Mark => {
                let mark = self.server.with_storage(|storage| storage.log.applied());
                let numbers =
                    [mark.term.0, mark.position.0].map(|n| Value::Integer(n.cast_signed()));
                (vec!["term", "position"], numbers.to_vec())
            }
            _ => (backend::sql::COLUMNS.to_vec(), value::status_row(&status)),
        };
        let column = |name: &str| Column { name: name.to_owned(), declared: None };
        let columns = columns.into_iter().map(column).collect();
        let output = Output { columns, rows: vec![row], changed: 0, read_only: true };
        Ok(Outcome { output, tag: Some("SELECT 1".to_owned()) })
    }

    fn savepoint(&mut self, statement: Statement) -> Result<Outcome, Rejection> {
        let tag = sql::command_tag(&statement.sql, 0, 0);
        let primary = self.server.with_storage(|storage| storage.log.role()) == Role::Primary;
        let open = self.transaction.get_or_insert_default();
        let failed = std::mem::take(&mut open.failed);
        if !primary {
            return Ok(Outcome::without_rows(&tag));
        }
        let server = &self.server;
        match server.with_storage(|storage| storage.dry_run(open, &statement)) {
            Ok(output) => {
                open.writes.push(Write { statement, output });
                Ok(Outcome::without_rows(&tag))
            }
            Err(rejection) => {
                open.failed = failed;
                Err(rejection)
            }
        }
    }

    async fn run(&mut self, statement: Statement) -> Result<Outcome, Rejection> {
        let server = Arc::clone(&self.server);
        let _slot =
            acquire_slot(&server, &self.cancel, sql::sleep_duration(&statement.sql)).await?;
        let output = self.execute_now(&statement)?;
        let tag = sql::command_tag(&statement.sql, output.rows.len(), output.changed);
        if !output.read_only {
            let term = self.server.with_storage(|storage| storage.log.term());
            let open = self.transaction.get_or_insert_default();
            open.term.get_or_insert(term);
            open.writes.push(Write { statement, output: output.clone() });
        }
        Ok(Outcome { output, tag: Some(tag) })
    }

    fn execute_now(&mut self, statement: &Statement) -> Result<Output, Rejection> {
        let empty = Transaction::default();
        let wrote = self.transaction.as_ref().is_some_and(|open| !open.writes.is_empty());
        if !wrote {
            let reader = self.reader()?;
            if sqlite::is_read_only(reader, &statement.sql)? {
                let output = sqlite::run(reader, statement)?;
                self.count_read();
                return Ok(output);
            }
        }
        let open = self.transaction.as_ref().unwrap_or(&empty);
        self.server.with_storage(|storage| storage.dry_run(open, statement))
    }

    fn count_read(&self) {
        if !self.is_probe && self.transaction.is_none() {
            let primary = self.server.with_storage(|storage| storage.log.role()) == Role::Primary;
            self.server.counters.record_read(primary);
        }
    }

    fn reader(&mut self) -> Result<&Connection, Rejection> {
        let (generation, path) = self.server.with_storage(|storage| storage.database())?;
        let current = self.reader.take().filter(|(opened, _)| *opened == generation);
        let reader = match current {
            Some(reader) => reader,
            None => (generation, sqlite::open(&path)?),
        };
        Ok(&self.reader.insert(reader).1)
    }

    /// Describes parameters and columns of a statement as they are after the uncommitted
    /// writes of the session's transaction; both are empty for an SQL function or
    /// a command that the session handles.
    pub(super) fn describe(&mut self, sql: &str) -> Result<Description, Rejection> {
        let is_query = sql::classify(sql) == Command::Other && function::parse(sql).is_none();
        if !is_query {
            return Ok(Description::default());
        }
        match &self.transaction {
            Some(open) if !open.writes.is_empty() => {
                self.server.with_storage(|storage| storage.describe(open, sql))
            }
            _ => sqlite::describe(self.reader()?, sql),
        }
    }

    fn commit(&mut self) -> Result<(), Rejection> {
        let Some(open) = self.transaction.take().filter(|open| !open.writes.is_empty()) else {
            return Ok(());
        };
        self.server.change(|storage| storage.commit(open))?;
        self.server.counters.record_commit();
        Ok(())
    }
}

// waits for a slot, then holds it for the server's statement time and `pause` before
// the statement may run; fails if the statement is cancelled meanwhile
async fn acquire_slot<'a>(
    server: &'a Server,
    cancel: &Notify,
    pause: Duration,
) -> Result<(SemaphorePermit<'a>, Guard<'a>), Rejection> {
    let queued = server.slots.available_permits() == 0;
    if queued {
        let role = server.with_storage(|storage| storage.log.role());
        debug!(server.log, "statement is waiting for a free slot"; "role" => %role);
    }
    let guard = server.counters.start_statement(queued);
    let execution = async {
        let permit = server.slots.acquire().await;
        tokio::time::sleep(server.statement_time() + pause).await;
        permit
    };
    tokio::select! {
        permit = execution => match permit {
            Ok(permit) => Ok((permit, guard)),
            Err(_closed) => Err(Rejection::new(SqlState::Shutdown, "the server is stopping")),
        },
        () = cancel.notified() => {
            let message = "canceling statement due to user request";
            Err(Rejection::new(SqlState::Cancelled, message))
        }
    }
}

fn show_parameter(name: String) -> Outcome {
    let known = super::PARAMETERS.iter().find(|(known, _)| known.eq_ignore_ascii_case(&name));
    let value = known.map_or("", |(_, value)| value);
    let output = Output {
        columns: vec![Column { name, declared: Some(Kind::Text) }],
        rows: vec![vec![Value::Text(value.to_owned())]],
        changed: 0,
        read_only: true,
    };
    Outcome { output, tag: Some("SHOW".to_owned()) }
}

fn put_outcome(outbox: &mut BytesMut, outcome: &Outcome) {
    let Some(tag) = &outcome.tag else {
        return answer::put(outbox, &Reply::EmptyQueryResponse(EmptyQueryResponse::new()));
    };
    let output = &outcome.output;
    let kinds = output.kinds();
    if !output.columns.is_empty() {
        let names = output.columns.iter().map(|column| column.name.clone());
        let columns: Vec<_> = names.zip(kinds.iter().copied()).collect();
        answer::put_row_description(outbox, &columns, &[]);
    }
    for row in &output.rows {
        answer::put_data_row(outbox, row, &kinds, &[]);
    }
    answer::put_command_complete(outbox, tag);
}

//! Log and database of a server, guarded by one lock.
//!
//! A commit runs in SQLite and is appended to the log without releasing the lock in
//! between, and a fence takes the same lock: once a fence has returned, no commit of a
//! lower term can follow.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use base::prelude::*;
use rusqlite::Connection;

use crate::failure::{Rejection, SqlState};
use crate::log::{Batch, Entry, Log, Receipt, Statement};
use crate::sqlite::{self, Description, Output};
use crate::transaction::{Transaction, Write};

/// Log and database of a server.
#[derive(Debug)]
pub struct Storage {
    /// Replication log of the server.
    pub log: Log,
    writer: Connection,
    folder: PathBuf,
    // number of the newest database file, incremented by each rebuild
    generation: u64,
    rebuilding: bool,
    // last position and time of receipt of each batch that is not applied yet
    arrivals: VecDeque<(Position, Instant)>,
}

/// A database that must be rebuilt from the start of the log.
#[derive(Debug)]
pub struct Rebuild {
    /// Generation of the new database.
    pub generation: u64,
    /// File of the new database.
    pub path: PathBuf,
    /// Entries that the new database must contain.
    pub entries: Vec<Arc<Entry>>,
}

impl Storage {
    /// Opens an empty database in a folder.
    ///
    /// # Errors
    /// Errors of SQLite.
    pub fn open(folder: &Path) -> rusqlite::Result<Self> {
        Ok(Self {
            log: Log::new(),
            writer: sqlite::open(&database_path(folder, 0))?,
            folder: folder.to_owned(),
            generation: 0,
            rebuilding: false,
            arrivals: VecDeque::new(),
        })
    }

    /// Generation and file of the present database, for readers.
    ///
    /// # Errors
    /// [`SqlState::Starting`] while the database is being rebuilt.
    pub fn database(&self) -> Result<(u64, PathBuf), Rejection> {
        if self.rebuilding {
            return Err(Rejection::new(SqlState::Starting, "the database is being rebuilt"));
        }
        Ok((self.generation, database_path(&self.folder, self.generation)))
    }

    /// Runs a statement after the earlier writes of its transaction, and rolls all of
    /// them back.
    ///
    /// # Errors
    /// The error of the statement, [`SqlState::Starting`] while the database is being
    /// rebuilt, [`SqlState::ReadOnly`] if the server is not the primary of the
    /// transaction's term, or [`SqlState::Serialization`] if an earlier write has
    /// another result.
    pub fn dry_run(
        &mut self,
        transaction: &Transaction,
        statement: &Statement,
    ) -> Result<Output, Rejection> {
        self.check_writable(transaction)?;
        self.run_rolled_back(transaction, |writer| sqlite::run(writer, statement))
    }

    /// Describes a statement after the earlier writes of its transaction, which are
    /// rolled back.
    ///
    /// # Errors
    /// A rejection if the statement can't be prepared, or
    /// [`SqlState::Serialization`] if an earlier write has another result.
    pub fn describe(
        &mut self,
        transaction: &Transaction,
        sql: &str,
    ) -> Result<Description, Rejection> {
        self.run_rolled_back(transaction, |writer| sqlite::describe(writer, sql))
    }

    fn check_writable(&self, transaction: &Transaction) -> Result<(), Rejection> {
        self.database()?;
        let is_current_term = transaction.term.is_none_or(|term| term == self.log.term());
        if self.log.role() != Role::Primary || !is_current_term {
            return Err(Rejection::read_only());
        }
        Ok(())
    }

    fn run_rolled_back<T>(
        &mut self,
        transaction: &Transaction,
        operation: impl FnOnce(&Connection) -> Result<T, Rejection>,
    ) -> Result<T, Rejection> {
        self.writer.execute_batch("BEGIN IMMEDIATE")?;
        let answer =
            replay(&self.writer, &transaction.writes).and_then(|()| operation(&self.writer));
        self.writer.execute_batch("ROLLBACK")?;
        answer
    }

    /// Commits the writes of a transaction and appends them to the log.
    ///
    /// # Errors
    /// [`SqlState::Starting`] while the database is being rebuilt,
    /// [`SqlState::ReadOnly`] if the server is no longer the primary of the
    /// transaction's term, [`SqlState::Serialization`] if a write has another result
    /// than before.
    pub fn commit(&mut self, transaction: Transaction) -> Result<Mark, Rejection> {
        self.check_writable(&transaction)?;
        self.writer.execute_batch("BEGIN IMMEDIATE")?;
        if let Err(rejection) = replay(&self.writer, &transaction.writes) {
            self.writer.execute_batch("ROLLBACK")?;
            return Err(rejection);
        }
        self.writer.execute_batch("COMMIT")?;
        let statements = transaction.writes.into_iter().map(|write| write.statement).collect();
        self.log.append(statements).ok_or_else(Rejection::read_only)
    }

    /// Promotes the server to the primary of `term`, after all pending entries have
    /// been applied. Does nothing if the log is not promotable or the database is being
    /// rebuilt.
    ///
    /// # Errors
    /// The error of an entry that could not be applied.
    pub fn promote(&mut self, term: Term) -> Result<(), Rejection> {
        if self.rebuilding || !self.log.is_promotable(term) {
            return Ok(());
        }
        self.apply(self.log.last().position)?;
        self.arrivals.clear();
        self.log.promote(term);
        Ok(())
    }

    /// Appends a batch to the log. If applied entries are truncated, the database must
    /// be rebuilt from the log; the [`Rebuild`] for this is then returned too.
    pub fn receive(
        &mut self,
        now: Instant,
        term: Term,
        primary: SocketAddr,
        batch: &Batch,
    ) -> (Receipt, Option<Rebuild>) {
        let receipt = self.log.receive(term, primary, batch);
        let last = self.log.last().position;
        if receipt != Receipt::Refused && !batch.entries.is_empty() {
            self.arrivals.retain(|(position, _)| *position <= batch.match_position);
            self.arrivals.push_back((last, now));
        }
        let rewound = receipt == Receipt::Rewound;
        (receipt, rewound.then(|| self.rebuild(batch.match_position)))
    }

    fn rebuild(&mut self, kept: Position) -> Rebuild {
        self.generation += 1;
        self.rebuilding = true;
        let entries = self.log.entries()[..kept.0 as usize].to_vec();
        Rebuild {
            generation: self.generation,
            path: database_path(&self.folder, self.generation),
            entries,
        }
    }

    /// A rebuild to replace one that a crash interrupted, if any.
    pub fn unfinished_rebuild(&mut self) -> Option<Rebuild> {
        let last = self.log.last().position;
        self.rebuilding.then(|| self.rebuild(last))
    }

    /// Installs a rebuilt database; one of an outdated generation is dropped.
    pub fn finish_rebuild(&mut self, generation: u64, writer: Connection, position: Position) {
        if generation != self.generation {
            return;
        }
        self.writer = writer;
        self.rebuilding = false;
        self.log.apply(position);
    }

    /// Applies the entries received at least `lag` ago; returns the time at which the
    /// next ones are due.
    ///
    /// # Errors
    /// The error of an entry that could not be applied.
    pub fn apply_due(&mut self, now: Instant, lag: Duration) -> Result<Option<Instant>, Rejection> {
        if self.rebuilding {
            return Ok(None);
        }
        let mut due = None;
        while let Some((position, arrival)) = self.arrivals.front().copied() {
            if arrival + lag > now {
                break;
            }
            due = Some(position);
            self.arrivals.pop_front();
        }
        if let Some(position) = due {
            self.apply(position)?;
        }
        Ok(self.arrivals.front().map(|(_, arrival)| *arrival + lag))
    }

    fn apply(&mut self, position: Position) -> Result<(), Rejection> {
        let pending = position.0.saturating_sub(self.log.applied().position.0) as usize;
        let entries = self.log.pending();
        apply_entries(&self.writer, &entries[..pending.min(entries.len())])?;
        self.log.apply(position);
        Ok(())
    }
}

fn database_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("{generation}.sqlite"))
}

fn replay(connection: &Connection, writes: &[Write]) -> Result<(), Rejection> {
    for write in writes {
        if sqlite::run(connection, &write.statement)? != write.output {
            let message = "could not serialize access due to concurrent update";
            return Err(Rejection::new(SqlState::Serialization, message));
        }
    }
    Ok(())
}

/// Applies entries in a single SQLite transaction.
///
/// # Errors
/// The error of a statement; then none of the entries is applied.
pub fn apply_entries(connection: &Connection, entries: &[Arc<Entry>]) -> Result<(), Rejection> {
    if entries.is_empty() {
        return Ok(());
    }
    connection.execute_batch("BEGIN IMMEDIATE")?;
    for statement in entries.iter().flat_map(|entry| &entry.statements) {
        if let Err(rejection) = sqlite::run(connection, statement) {
            connection.execute_batch("ROLLBACK")?;
            return Err(rejection);
        }
    }
    connection.execute_batch("COMMIT")?;
    Ok(())
}

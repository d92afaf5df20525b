//! Log and database of one server, to be held under one lock.
//!
//! A commit runs in SQLite and is appended to the log within one turn of the
//! lock, and so is a fence: once a fence has answered, no commit of a lower
//! term can follow.

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

/// Log and database of one server.
#[derive(Debug)]
pub struct Storage {
    /// The log.
    pub log: Log,
    writer: Connection,
    folder: PathBuf,
    generation: u64,
    rebuilding: bool,
    arrivals: VecDeque<(Position, Instant)>,
}

/// A database that is to be built anew from the start of the log.
#[derive(Debug)]
pub struct Rebuild {
    /// Number of the new database.
    pub generation: u64,
    /// Its file.
    pub path: PathBuf,
    /// All entries that are to be in it.
    pub entries: Vec<Arc<Entry>>,
}

impl Storage {
    /// Opens an empty database in a folder.
    ///
    /// # Errors
    /// SQLite's own.
    pub fn open(folder: &Path) -> rusqlite::Result<Self> {
        Ok(Self {
            log: Log::new(),
            writer: sqlite::open(&path(folder, 0))?,
            folder: folder.to_owned(),
            generation: 0,
            rebuilding: false,
            arrivals: VecDeque::new(),
        })
    }

    /// Number and file of the database that readers are to open.
    ///
    /// # Errors
    /// [`SqlState::Starting`] while it is rebuilt.
    pub fn database(&self) -> Result<(u64, PathBuf), Rejection> {
        if self.rebuilding {
            return Err(Rejection::new(SqlState::Starting, "the database is being rebuilt"));
        }
        Ok((self.generation, path(&self.folder, self.generation)))
    }

    /// Runs a statement upon the earlier writes of its transaction and undoes
    /// both.
    ///
    /// # Errors
    /// The statement's own, or [`SqlState::ReadOnly`] for a write where the server
    /// is no primary.
    pub fn dry_run(
        &mut self,
        transaction: &Transaction,
        statement: &Statement,
    ) -> Result<Output, Rejection> {
        self.check(transaction)?;
        self.upon(transaction, |writer| sqlite::run(writer, statement))
    }

    /// Describes a statement upon the earlier writes of its transaction.
    ///
    /// # Errors
    /// A rejection where it can't be prepared.
    pub fn describe(
        &mut self,
        transaction: &Transaction,
        sql: &str,
    ) -> Result<Description, Rejection> {
        self.upon(transaction, |writer| sqlite::describe(writer, sql))
    }

    fn check(&self, transaction: &Transaction) -> Result<(), Rejection> {
        self.database()?;
        let same = transaction.term.is_none_or(|term| term == self.log.term());
        if self.log.role() != Role::Primary || !same {
            return Err(Rejection::read_only());
        }
        Ok(())
    }

    fn upon<T>(
        &mut self,
        transaction: &Transaction,
        ask: impl FnOnce(&Connection) -> Result<T, Rejection>,
    ) -> Result<T, Rejection> {
        self.writer.execute_batch("BEGIN IMMEDIATE")?;
        let answer = replay(&self.writer, &transaction.writes).and_then(|()| ask(&self.writer));
        self.writer.execute_batch("ROLLBACK")?;
        answer
    }

    /// Commits a transaction's writes and appends them to the log.
    ///
    /// # Errors
    /// [`SqlState::ReadOnly`] where the server is not the primary of the term any
    /// more, [`SqlState::Serialization`] where a write has another result now.
    pub fn commit(&mut self, transaction: Transaction) -> Result<Mark, Rejection> {
        self.check(&transaction)?;
        self.writer.execute_batch("BEGIN IMMEDIATE")?;
        if let Err(rejection) = replay(&self.writer, &transaction.writes) {
            self.writer.execute_batch("ROLLBACK")?;
            return Err(rejection);
        }
        self.writer.execute_batch("COMMIT")?;
        let statements = transaction.writes.into_iter().map(|write| write.statement).collect();
        self.log.append(statements).ok_or_else(Rejection::read_only)
    }

    /// Promotes the server in `term`; all that it holds is applied first.
    ///
    /// # Errors
    /// A record's own failure.
    pub fn promote(&mut self, term: Term) -> Result<(), Rejection> {
        if self.rebuilding || !self.log.is_promotable(term) {
            return Ok(());
        }
        self.apply(self.log.last().position)?;
        self.arrivals.clear();
        self.log.promote(term);
        Ok(())
    }

    /// Takes an offer; where applied records are cut off, the database must be
    /// rebuilt.
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
        Rebuild { generation: self.generation, path: path(&self.folder, self.generation), entries }
    }

    /// A rebuild that a crash kept from its end, to be done from the start.
    pub fn unfinished_rebuild(&mut self) -> Option<Rebuild> {
        let last = self.log.last().position;
        self.rebuilding.then(|| self.rebuild(last))
    }

    /// Takes a database that was rebuilt; one that is out of date is dropped.
    pub fn finish_rebuild(&mut self, generation: u64, writer: Connection, position: Position) {
        if generation != self.generation {
            return;
        }
        self.writer = writer;
        self.rebuilding = false;
        self.log.apply(position);
    }

    /// Applies what has been held for `lag`; returns when more falls due.
    ///
    /// # Errors
    /// A record's own failure.
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

fn path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("{generation}.sqlite"))
}

fn replay(writer: &Connection, writes: &[Write]) -> Result<(), Rejection> {
    for write in writes {
        if sqlite::run(writer, &write.statement)? != write.output {
            let message = "could not serialize access due to concurrent update";
            return Err(Rejection::new(SqlState::Serialization, message));
        }
    }
    Ok(())
}

/// Runs entries in one transaction of SQLite.
///
/// # Errors
/// A statement's own; then none of the entries has run.
pub fn apply_entries(writer: &Connection, entries: &[Arc<Entry>]) -> Result<(), Rejection> {
    if entries.is_empty() {
        return Ok(());
    }
    writer.execute_batch("BEGIN IMMEDIATE")?;
    for statement in entries.iter().flat_map(|entry| &entry.statements) {
        if let Err(rejection) = sqlite::run(writer, statement) {
            writer.execute_batch("ROLLBACK")?;
            return Err(rejection);
        }
    }
    writer.execute_batch("COMMIT")?;
    Ok(())
}

//! Replication log of a server, with its term and role.
//!
//! Each promotion appends an entry that starts its term, so two logs that hold an
//! entry of the same term at the same position are identical up to that position.
//! This module does no I/O: `storage` applies entries to SQLite, and `replication`
//! transfers them between servers.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;

use crate::value::Value;

/// Largest number of entries in a batch.
pub const MAX_BATCH_ENTRIES: usize = 1_024;

/// A statement of a committed transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// SQL text.
    pub sql: String,
    /// Values of the parameters `$1`, `$2` and so on.
    pub values: Vec<Value>,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Term in which the entry was written.
    pub term: Term,
    /// Statements of one transaction; empty in the entry that starts a term.
    pub statements: Vec<Statement>,
}

/// Entries that a primary sends to a replica, as Raft's `AppendEntries` does.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Last position up to which the two logs match.
    pub match_position: Position,
    /// Entries that follow `match_position`, in order.
    pub entries: Vec<Arc<Entry>>,
}

/// How a replica handled a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The batch was ignored: the server is at another term, follows another primary
    /// or lacks entries before the batch.
    Refused,
    /// The log now holds all entries of the batch.
    Appended,
    /// As [`Receipt::Appended`], and entries that had been applied were truncated.
    Rewound,
}

/// Log, term and role of a server.
#[derive(Clone, Debug)]
pub struct Log {
    term: Term,
    role: Role,
    following: Option<SocketAddr>,
    entries: Vec<Arc<Entry>>,
    // terms in the log, each with the position after which its entries begin; unlike
    // in a `History`, old terms are never dropped
    term_starts: Vec<Mark>,
    applied: Position,
    version: u64,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            term: Term(0),
            role: Role::Replica,
            following: None,
            entries: Vec::new(),
            term_starts: Vec::new(),
            applied: Position(0),
            version: 1,
        }
    }
}

impl Log {
    /// Creates the empty log of a replica that has joined no term.
    pub fn new() -> Self {
        Self::default()
    }

    /// Highest term that the server has joined.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Present role of the server.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Address of the primary that the server replicates from.
    pub fn following(&self) -> Option<SocketAddr> {
        self.following
    }

    /// Term and position of the last entry.
    pub fn last(&self) -> Mark {
        let term = self.entries.last().map_or(Term(0), |entry| entry.term);
        Mark { term, position: Position(self.entries.len() as u64) }
    }

    /// Term and position of the last applied entry, the last that reads see.
    pub fn applied(&self) -> Mark {
        let index = (self.applied.0 as usize).checked_sub(1);
        let term = index.map_or(Term(0), |index| self.entries[index].term);
        Mark { term, position: self.applied }
    }

    /// Version of the log, incremented by each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Terms in the log, each with the position after which its entries begin.
    pub fn term_starts(&self) -> &[Mark] {
        &self.term_starts
    }

    /// Terms of the log as the history of a status report.
    pub fn history(&self) -> History {
        let mut history = History::default();
        for start in &self.term_starts {
            history.begin(start.term, start.position);
        }
        history
    }

    /// All entries, oldest first.
    pub fn entries(&self) -> &[Arc<Entry>] {
        &self.entries
    }

    /// Entries that are not applied yet, oldest first; reads do not see them.
    pub fn pending(&self) -> &[Arc<Entry>] {
        &self.entries[self.applied.0 as usize..]
    }

    /// Joins a higher term as a replica that follows no primary; does nothing at a
    /// term that is not higher than the server's.
    pub fn fence(&mut self, term: Term) {
        if term <= self.term {
            return;
        }
        self.term = term;
        self.role = Role::Replica;
        self.following = None;
        self.version += 1;
    }

    /// Whether [`Log::promote`] at `term` would make this server the primary once no
    /// entry is pending.
    pub fn is_promotable(&self, term: Term) -> bool {
        term == self.term
            && term > self.last().term
            && self.role == Role::Replica
            && self.following.is_none()
    }

    /// Makes a server that is fenced at exactly `term` the primary, and appends the
    /// entry that starts the term. Does nothing in any other state, or while entries
    /// are pending.
    pub fn promote(&mut self, term: Term) {
        if !self.is_promotable(term) || !self.pending().is_empty() {
            return;
        }
        self.role = Role::Primary;
        self.push(Arc::new(Entry { term, statements: Vec::new() }));
        self.applied = self.last().position;
        self.version += 1;
    }

    /// Makes the server replicate from the primary of `term`; does nothing if the
    /// server is at a higher term or is itself the primary of `term`.
    pub fn follow(&mut self, term: Term, primary: SocketAddr) {
        let is_primary = term == self.term && self.role == Role::Primary;
        let is_followed = term == self.term && self.following == Some(primary);
        if term < self.term || is_primary || is_followed {
            return;
        }
        self.term = term;
        self.role = Role::Replica;
        self.following = Some(primary);
        self.version += 1;
    }

    /// Resets the role as a process restart does: the server is a replica that
    /// follows no primary, and keeps its term.
    pub fn restart(&mut self) {
        self.role = Role::Replica;
        self.following = None;
        self.version += 1;
    }

    /// Appends a transaction that has been applied; `None` on a replica.
    pub fn append(&mut self, statements: Vec<Statement>) -> Option<Mark> {
        if self.role != Role::Primary {
            return None;
        }
        self.push(Arc::new(Entry { term: self.term, statements }));
        self.applied = self.last().position;
        self.version += 1;
        Some(self.last())
    }

    /// Next entries that the primary of `term` sends to a replica whose log has the
    /// terms `term_starts` and ends at `last`; `None` if this server is not the
    /// primary of `term`.
    pub fn next_batch(&self, term: Term, term_starts: &[Mark], last: Position) -> Option<Batch> {
        if self.role != Role::Primary || self.term != term {
            return None;
        }
        let match_position = self.match_position(term_starts, last);
        let from = match_position.0 as usize;
        let until = self.entries.len().min(from + MAX_BATCH_ENTRIES);
        Some(Batch { match_position, entries: self.entries[from..until].to_vec() })
    }

    /// Appends a batch from the primary of `term` at address `primary`, after the
    /// entries that differ from it have been truncated.
    pub fn receive(&mut self, term: Term, primary: SocketAddr, batch: &Batch) -> Receipt {
        let follows = self.term == term && self.following == Some(primary);
        if !follows || batch.match_position > self.last().position {
            return Receipt::Refused;
        }
        let before = self.last();
        // a log that ends in this term is a prefix of the primary's log, so a
        // delayed batch must not truncate entries appended since
        let kept = if before.term == term { before.position } else { batch.match_position };
        let rewound = kept < self.applied;
        self.truncate(kept);
        let known = (kept.0 - batch.match_position.0) as usize;
        for entry in batch.entries.iter().skip(known) {
            self.push(Arc::clone(entry));
        }
        if rewound {
            // the database is rebuilt from the first entry
            self.applied = Position(0);
        }
        if rewound || self.last() != before {
            self.version += 1;
        }
        if rewound { Receipt::Rewound } else { Receipt::Appended }
    }

    /// Records that all entries up to `position` are applied.
    pub fn apply(&mut self, position: Position) {
        if position <= self.applied || position > self.last().position {
            return;
        }
        self.applied = position;
        self.version += 1;
    }

    fn push(&mut self, entry: Arc<Entry>) {
        if entry.term > self.last().term {
            self.term_starts.push(Mark { term: entry.term, position: self.last().position });
        }
        self.entries.push(entry);
    }

    fn truncate(&mut self, position: Position) {
        self.entries.truncate(position.0 as usize);
        self.term_starts.retain(|start| start.position < position);
    }

    fn match_position(&self, term_starts: &[Mark], last: Position) -> Position {
        let mut match_position = Position(0);
        for (index, start) in term_starts.iter().enumerate() {
            if self.term_starts.get(index) != Some(start) {
                return match_position;
            }
            let theirs = term_starts.get(index + 1).map_or(last, |next| next.position);
            let ours =
                self.term_starts.get(index + 1).map_or(self.last().position, |next| next.position);
            match_position = theirs.min(ours);
            if theirs != ours {
                return match_position;
            }
        }
        match_position
    }
}

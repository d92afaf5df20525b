//! The replication log of one server, and the terms that rule it.
//!
//! Each promotion appends an entry that starts its term, so two logs that hold
//! an entry of the same term at the same position are alike up to there. The
//! host executes entries and carries them between servers; nothing here knows
//! of sockets or of SQLite.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;

use crate::value::Value;

/// Entries that one offer carries at most.
pub const MAX_BATCH_ENTRIES: usize = 1_024;

/// One statement of a transaction that committed.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// Its text.
    pub sql: String,
    /// Values of `$1`, `$2` and so on.
    pub values: Vec<Value>,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Term in which it was written.
    pub term: Term,
    /// Statements of one transaction; none where a term starts.
    pub statements: Vec<Statement>,
}

/// What a primary offers to a replica.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Last position up to which both logs are alike.
    pub match_position: Position,
    /// Entries that follow it, in order.
    pub entries: Vec<Arc<Entry>>,
}

/// What became of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The server has gone on to another term or primary.
    Refused,
    /// The log now ends with the offer's last entry.
    Appended,
    /// As [`Receipt::Appended`], and entries that were applied have been cut off.
    Rewound,
}

/// The log, term and role of one server.
#[derive(Clone, Debug)]
pub struct Log {
    term: Term,
    role: Role,
    following: Option<SocketAddr>,
    entries: Vec<Arc<Entry>>,
    // where each term of the log begins, as in a history, but never trimmed
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
    /// Makes the empty log of a replica that has joined no term.
    pub fn new() -> Self {
        Self::default()
    }

    /// Highest term joined.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Part played at present.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The primary that is copied, if one is.
    pub fn following(&self) -> Option<SocketAddr> {
        self.following
    }

    /// Last record.
    pub fn last(&self) -> Mark {
        let term = self.entries.last().map_or(Term(0), |entry| entry.term);
        Mark { term, position: Position(self.entries.len() as u64) }
    }

    /// Last record that reads see.
    pub fn applied(&self) -> Mark {
        let index = (self.applied.0 as usize).checked_sub(1);
        let term = index.map_or(Term(0), |index| self.entries[index].term);
        Mark { term, position: self.applied }
    }

    /// Raised by each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Where each term of the log begins.
    pub fn term_starts(&self) -> &[Mark] {
        &self.term_starts
    }

    /// The same, in the form of a report.
    pub fn history(&self) -> History {
        let mut history = History::default();
        for start in &self.term_starts {
            history.begin(start.term, start.position);
        }
        history
    }

    /// All entries.
    pub fn entries(&self) -> &[Arc<Entry>] {
        &self.entries
    }

    /// Entries that reads do not see yet, oldest first.
    pub fn pending(&self) -> &[Arc<Entry>] {
        &self.entries[self.applied.0 as usize..]
    }

    /// Joins `term` without a primary; a term joined already changes nothing.
    pub fn fence(&mut self, term: Term) {
        if term <= self.term {
            return;
        }
        self.term = term;
        self.role = Role::Replica;
        self.following = None;
        self.version += 1;
    }

    /// Whether [`Log::promote`] at `term` would make this server the primary
    /// once nothing is pending.
    pub fn is_promotable(&self, term: Term) -> bool {
        term == self.term
            && term > self.last().term
            && self.role == Role::Replica
            && self.following.is_none()
    }

    /// Makes a server fenced at exactly `term` its primary and starts the term
    /// with an entry; changes nothing elsewhere, or while entries are pending.
    pub fn promote(&mut self, term: Term) {
        if !self.is_promotable(term) || !self.pending().is_empty() {
            return;
        }
        self.role = Role::Primary;
        self.push(Arc::new(Entry { term, statements: Vec::new() }));
        self.applied = self.last().position;
        self.version += 1;
    }

    /// Copies from the primary of `term` from now on; changes nothing at a
    /// higher term, or at the primary of that term.
    pub fn follow(&mut self, term: Term, primary: SocketAddr) {
        let leads = term == self.term && self.role == Role::Primary;
        let same = term == self.term && self.following == Some(primary);
        if term < self.term || leads || same {
            return;
        }
        self.term = term;
        self.role = Role::Replica;
        self.following = Some(primary);
        self.version += 1;
    }

    /// Follows nobody any more, as after a restart; a primary becomes a
    /// replica of the term it knows.
    pub fn restart(&mut self) {
        self.role = Role::Replica;
        self.following = None;
        self.version += 1;
    }

    /// Appends a transaction that is applied already; `None` on a replica.
    pub fn append(&mut self, statements: Vec<Statement>) -> Option<Mark> {
        if self.role != Role::Primary {
            return None;
        }
        self.push(Arc::new(Entry { term: self.term, statements }));
        self.applied = self.last().position;
        self.version += 1;
        Some(self.last())
    }

    /// What the primary of `term` sends to a replica whose log begins its
    /// terms at `runs` and ends at `last`; `None` where this server is no
    /// such primary.
    pub fn next_batch(&self, term: Term, term_starts: &[Mark], last: Position) -> Option<Batch> {
        if self.role != Role::Primary || self.term != term {
            return None;
        }
        let match_position = self.match_position(term_starts, last);
        let from = match_position.0 as usize;
        let until = self.entries.len().min(from + MAX_BATCH_ENTRIES);
        Some(Batch { match_position, entries: self.entries[from..until].to_vec() })
    }

    /// Takes an offer of the primary of `term` at `primary`.
    pub fn receive(&mut self, term: Term, primary: SocketAddr, batch: &Batch) -> Receipt {
        let follows = self.term == term && self.following == Some(primary);
        if !follows || batch.match_position > self.last().position {
            return Receipt::Refused;
        }
        let before = self.last();
        // a log that has reached the term is a part of its primary's, so an
        // offer that comes late has nothing to cut
        let kept = if before.term == term { before.position } else { batch.match_position };
        let rewound = kept < self.applied;
        self.truncate(kept);
        let held = (kept.0 - batch.match_position.0) as usize;
        for entry in batch.entries.iter().skip(held) {
            self.push(Arc::clone(entry));
        }
        if rewound {
            self.applied = Position(0);
        }
        if rewound || self.last() != before {
            self.version += 1;
        }
        if rewound { Receipt::Rewound } else { Receipt::Appended }
    }

    /// Notes that reads see all entries up to `position`.
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

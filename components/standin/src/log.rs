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
pub const OFFER_ENTRIES: usize = 1_024;

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
pub struct Offer {
    /// Last position up to which both logs are alike.
    pub agreed: Position,
    /// Entries that follow it, in order.
    pub entries: Vec<Arc<Entry>>,
}

/// What became of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The server has gone on to another term or primary.
    Refused,
    /// The log now ends with the offer's last entry.
    Kept,
    /// As [`Receipt::Kept`], and entries that were applied have been cut off.
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
    runs: Vec<Mark>,
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
            runs: Vec::new(),
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
    pub fn runs(&self) -> &[Mark] {
        &self.runs
    }

    /// The same, in the form of a report.
    pub fn history(&self) -> History {
        let mut history = History::default();
        for run in &self.runs {
            history.begin(run.term, run.position);
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
    pub fn promotable(&self, term: Term) -> bool {
        term == self.term
            && term > self.last().term
            && self.role == Role::Replica
            && self.following.is_none()
    }

    /// Makes a server fenced at exactly `term` its primary and starts the term
    /// with an entry; changes nothing elsewhere, or while entries are pending.
    pub fn promote(&mut self, term: Term) {
        if !self.promotable(term) || !self.pending().is_empty() {
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
    pub fn offer(&self, term: Term, runs: &[Mark], last: Position) -> Option<Offer> {
        if self.role != Role::Primary || self.term != term {
            return None;
        }
        let agreed = self.agreed(runs, last);
        let from = agreed.0 as usize;
        let until = self.entries.len().min(from + OFFER_ENTRIES);
        Some(Offer { agreed, entries: self.entries[from..until].to_vec() })
    }

    /// Takes an offer of the primary of `term` at `primary`.
    pub fn receive(&mut self, term: Term, primary: SocketAddr, offer: &Offer) -> Receipt {
        let follows = self.term == term && self.following == Some(primary);
        if !follows || offer.agreed > self.last().position {
            return Receipt::Refused;
        }
        let before = self.last();
        // a log that has reached the term is a part of its primary's, so an
        // offer that comes late has nothing to cut
        let kept = if before.term == term { before.position } else { offer.agreed };
        let rewound = kept < self.applied;
        self.truncate(kept);
        let held = (kept.0 - offer.agreed.0) as usize;
        for entry in offer.entries.iter().skip(held) {
            self.push(Arc::clone(entry));
        }
        if rewound {
            self.applied = Position(0);
        }
        if rewound || self.last() != before {
            self.version += 1;
        }
        if rewound { Receipt::Rewound } else { Receipt::Kept }
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
            self.runs.push(Mark { term: entry.term, position: self.last().position });
        }
        self.entries.push(entry);
    }

    fn truncate(&mut self, position: Position) {
        self.entries.truncate(position.0 as usize);
        self.runs.retain(|run| run.position < position);
    }

    fn agreed(&self, runs: &[Mark], last: Position) -> Position {
        let mut agreed = Position(0);
        for (index, run) in runs.iter().enumerate() {
            if self.runs.get(index) != Some(run) {
                return agreed;
            }
            let theirs = runs.get(index + 1).map_or(last, |next| next.position);
            let ours = self.runs.get(index + 1).map_or(self.last().position, |next| next.position);
            agreed = theirs.min(ours);
            if theirs != ours {
                return agreed;
            }
        }
        agreed
    }
}

//! Log positions, the terms they belong to, and their comparison.
//!
//! A position alone does not identify a record: two primaries may have written
//! different records at the same position. A [`Mark`] adds the term, and a
//! [`History`] records where each term began, which decides whether the record
//! at a mark is still part of the log after a failover.

use std::fmt;
use std::str::FromStr;

use error_stack::Report;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// A term of a database group; each promotion starts a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// A log position; positions grow with each record of one log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Position(pub u64);

/// A log mark: the term and position of a record. Marks are ordered by term, then
/// by position.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Mark {
    /// Term in which the record was written.
    pub term: Term,
    /// Position of the record.
    pub position: Position,
}

impl Mark {
    /// Creates a mark from a term and a position.
    pub const fn new(term: u64, position: u64) -> Self {
        Self { term: Term(term), position: Position(position) }
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term.0, self.position.0)
    }
}

/// Parse error: a text is not a mark or a history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed {
    /// Rejected text.
    pub text: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not TERM:POSITION", self.text)
    }
}

impl std::error::Error for Malformed {}

impl FromStr for Mark {
    type Err = Report<Malformed>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || Report::new(Malformed { text: text.to_owned() });
        let (term, position) = text.split_once(':').ok_or_else(malformed)?;
        let term = term.parse().map_err(|_ignored| malformed())?;
        let position = position.parse().map_err(|_ignored| malformed())?;
        Ok(Self::new(term, position))
    }
}

/// Whether a log includes the record at a mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inclusion {
    /// The record is part of the log.
    Included,
    /// A later term began below the record, so a failover cut the record off.
    Truncated,
    /// The history does not cover the term of the mark.
    Unknown,
}

/// The start of each term of a log, oldest first. A term starts at the last
/// position of the term before it.
///
/// Old terms may be trimmed, so the inclusion of a mark can be
/// [`Inclusion::Unknown`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct History {
    starts: SmallVec<[Mark; 4]>,
}

impl History {
    /// Maximum number of terms kept. No session lasts for this many failovers, so no
    /// session holds a mark of a trimmed term.
    pub const MAX_TERMS: usize = 64;

    /// Adds the start of a term: `position` is the last position of the log before
    /// that term.
    ///
    /// A term that is not higher than the newest known term is ignored.
    pub fn begin(&mut self, term: Term, position: Position) {
        if self.starts.last().is_some_and(|last| last.term >= term) {
            return;
        }
        self.starts.push(Mark { term, position });
        if self.starts.len() > Self::MAX_TERMS {
            self.starts.remove(0);
        }
    }

    /// Drops the terms that begin after `position`, when the log is truncated there.
    pub fn truncate(&mut self, position: Position) {
        self.starts.retain(|start| start.position <= position);
    }

    /// Returns the start of each term, oldest first.
    pub fn starts(&self) -> &[Mark] {
        &self.starts
    }

    /// Returns the newest term; `None` when the history is empty.
    pub fn last_term(&self) -> Option<Term> {
        self.starts.last().map(|start| start.term)
    }

    /// Returns the start of the first term after `term`, if the history has one.
    pub fn start_after(&self, term: Term) -> Option<Mark> {
        self.starts.iter().copied().find(|start| start.term > term)
    }

    /// Decides whether the record at `mark` is part of this log.
    ///
    /// A record of term T at position p is included if and only if p is at or below
    /// the start of the next term. All records of the newest term are included. A
    /// term that is missing between two known terms has no records in the log.
    pub fn inclusion(&self, mark: Mark) -> Inclusion {
        let first = self.starts.first().map(|start| start.term);
        if first.is_none_or(|first| mark.term < first) || self.last_term() < Some(mark.term) {
            return Inclusion::Unknown;
        }
        let known = self.starts.iter().any(|start| start.term == mark.term);
        match self.start_after(mark.term) {
            _ if !known => Inclusion::Truncated,
            Some(next) if mark.position > next.position => Inclusion::Truncated,
            Some(_) | None => Inclusion::Included,
        }
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, start) in self.starts.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            write!(f, "{start}")?;
        }
        Ok(())
    }
}

impl FromStr for History {
    type Err = Report<Malformed>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut history = Self::default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let start: Mark = part.parse()?;
            history.begin(start.term, start.position);
        }
        Ok(history)
    }
}

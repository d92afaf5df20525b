//! Log positions, the terms they belong to, and how both compare.
//!
//! A position alone says nothing: two primaries may have written different
//! records at the same position. A [`Mark`] names the term too, and a
//! [`History`] says where each term began, which settles whether a mark
//! survived a failover.

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

/// A log position; it grows with each record of one lineage.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Position(pub u64);

/// A position within a term. The order is by term, then by position.
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
    /// Makes a mark.
    pub const fn new(term: u64, position: u64) -> Self {
        Self { term: Term(term), position: Position(position) }
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term.0, self.position.0)
    }
}

/// A text that is no mark or history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed {
    /// The text as it was found.
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

/// What became of a mark of an earlier term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inclusion {
    /// The record is part of the lineage.
    Included,
    /// A later term began before it.
    Truncated,
    /// The history does not reach the mark's term.
    Unknown,
}

/// Where each term began, oldest first: the last position of the term before.
///
/// Old terms may be trimmed, so an answer can be [`Inclusion::Unknown`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct History {
    starts: SmallVec<[Mark; 4]>,
}

impl History {
    /// Terms kept; a session is far shorter than this many failovers.
    pub const MAX_TERMS: usize = 64;

    /// Adds the start of a term: `position` is the last one of the lineage before it.
    ///
    /// A term that is not higher than the last known is ignored.
    pub fn begin(&mut self, term: Term, position: Position) {
        if self.starts.last().is_some_and(|last| last.term >= term) {
            return;
        }
        self.starts.push(Mark { term, position });
        if self.starts.len() > Self::MAX_TERMS {
            self.starts.remove(0);
        }
    }

    /// Drops terms that begin after `position`, as a truncated log does.
    pub fn truncate(&mut self, position: Position) {
        self.starts.retain(|start| start.position <= position);
    }

    /// Each term's start, oldest first.
    pub fn starts(&self) -> &[Mark] {
        &self.starts
    }

    /// The newest term.
    pub fn last_term(&self) -> Option<Term> {
        self.starts.last().map(|start| start.term)
    }

    /// Start of the first term after `term`, where the history has one.
    pub fn start_after(&self, term: Term) -> Option<Mark> {
        self.starts.iter().copied().find(|start| start.term > term)
    }

    /// Whether the record at `mark` is part of this lineage.
    ///
    /// A record of term T at p survived if and only if p is at or under the
    /// start of the next term. Of the newest term, all belong. A term that the
    /// lineage passed over left no record in it.
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

//! Log marks in messages.

use base::mark;

/// A log mark: the term and position of a record.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Mark {
    /// Term of the record.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Position of the record.
    #[prost(uint64, tag = "2")]
    pub position: u64,
}

impl From<mark::Mark> for Mark {
    fn from(mark: mark::Mark) -> Self {
        Self { term: mark.term.0, position: mark.position.0 }
    }
}

impl From<Mark> for mark::Mark {
    fn from(mark: Mark) -> Self {
        Self::new(mark.term, mark.position)
    }
}

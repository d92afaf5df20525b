//! State of an open transaction.
//!
//! Transactions are optimistic: a transaction holds no lock between its statements.
//! Each statement runs after the replayed earlier writes of the transaction, and all
//! are then rolled back. The commit replays all writes, and fails with a
//! serialization failure if one of them has another result than the client received.

use base::prelude::*;

use crate::log::Statement;
use crate::sqlite::Output;

/// A write that ran and was rolled back, to be replayed at commit.
#[derive(Clone, Debug)]
pub struct Write {
    /// Statement to replay.
    pub statement: Statement,
    /// Result that the client received.
    pub output: Output,
}

/// An open transaction.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// Whether `BEGIN` opened the transaction; an implicit one ends with the query
    /// cycle.
    pub explicit: bool,
    /// Whether a statement has failed since the last savepoint rollback.
    pub failed: bool,
    /// Term of the primary at the first write.
    pub term: Option<Term>,
    /// Writes so far, in order.
    pub writes: Vec<Write>,
}

//! An open transaction.
//!
//! Transactions are optimistic: between its statements a transaction holds no
//! lock. Each statement runs upon the writes that came before it and is then
//! undone; the commit runs all writes again and fails with a serialization
//! failure where one has another result than the caller was told.

use base::prelude::*;

use crate::log::Statement;
use crate::sqlite::Output;

/// A write that was tried.
#[derive(Clone, Debug)]
pub struct Write {
    /// The statement.
    pub statement: Statement,
    /// What the caller was told.
    pub output: Output,
}

/// An open transaction.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// Whether the caller opened it; else it ends with the cycle.
    pub explicit: bool,
    /// Whether a statement failed.
    pub failed: bool,
    /// Term of the primary that it writes on.
    pub term: Option<Term>,
    /// Its writes so far.
    pub writes: Vec<Write>,
}

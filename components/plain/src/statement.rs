//! Messages of callers.

use bytes::Bytes;

/// Message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Starts a session on a database. Allowed only as the first message.
    Start {
        /// Name of the database.
        database: String,
        /// Key that identifies the caller; empty if the caller gave none.
        key: Bytes,
    },
    /// Runs a statement.
    Query(Query),
    /// Ends the session.
    Terminate,
}

/// Statement with its id, as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Id that the caller gave the statement.
    pub id: Bytes,
    /// Text of the statement, as received.
    pub text: Bytes,
    /// Decoded statement; `None` if the text is not a valid statement.
    pub statement: Option<Statement>,
}

/// Statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin(Access),
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads, as [`Query::text`] specifies.
    Read,
    /// Writes, as [`Query::text`] specifies.
    Write,
    /// Sets a session variable.
    Set {
        /// Name of the session variable.
        name: Bytes,
        /// Value of the session variable.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare {
        /// Name of the prepared statement in the session.
        name: Bytes,
        /// Whether the prepared statement only reads.
        access: Access,
        /// Definition of the prepared statement.
        shape: Bytes,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name of the prepared statement in the session.
        name: Bytes,
        /// Arguments of the statement, as received.
        arguments: Bytes,
    },
    /// Discards a prepared statement.
    Deallocate {
        /// Name of the prepared statement in the session.
        name: Bytes,
    },
}

/// Kind of access that a statement or transaction needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Access {
    /// Only reads.
    Read,
    /// May write.
    Write,
}

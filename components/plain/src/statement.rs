//! What callers ask.

use bytes::Bytes;

/// One message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Begin a session on a database. The first message, and only that.
    Start {
        /// Name of the database.
        database: String,
    },
    /// Run a statement.
    Query(Query),
    /// End the session.
    Terminate,
}

/// A statement and its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The caller's id of it.
    pub id: Bytes,
    /// Its text as it came.
    pub text: Bytes,
    /// What it says; `None` where the text is no statement.
    pub statement: Option<Statement>,
}

/// A statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Begin a transaction.
    Begin(Access),
    /// Commit it.
    Commit,
    /// Roll it back.
    Rollback,
    /// Read; the text says what.
    Read,
    /// Write; the text says what.
    Write,
    /// Set a value of the session.
    Set {
        /// Its name.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Prepare a statement.
    Prepare {
        /// Name in the session.
        name: Bytes,
        /// What it does.
        access: Access,
        /// What is prepared.
        shape: Bytes,
    },
    /// Execute a prepared statement.
    Execute {
        /// Name in the session.
        name: Bytes,
        /// Arguments as they came.
        arguments: Bytes,
    },
    /// Forget a prepared statement.
    Deallocate {
        /// Name in the session.
        name: Bytes,
    },
}

/// Whether something only reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Access {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

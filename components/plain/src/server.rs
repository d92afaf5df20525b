//! What is asked of a backend server, and what it replies.

use base::prelude::*;
use bytes::Bytes;

use crate::answer::Status;
use crate::statement::Access;

/// One message to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Begin a session.
    Start {
        /// Group that the server is to belong to.
        group: Name,
        /// Name that the server is to have.
        server: Name,
    },
    /// Run a caller's statement as it came.
    Run {
        /// The caller's id of it.
        id: Bytes,
        /// What the server must show first.
        wait: Option<Mark>,
        /// Text of the statement.
        text: Bytes,
    },
    /// Execute a caller's prepared statement.
    Execute {
        /// The caller's id of it.
        id: Bytes,
        /// What the server must show first.
        wait: Option<Mark>,
        /// Number under which it is prepared on this connection.
        number: u64,
        /// Arguments as they came.
        arguments: Bytes,
    },
    /// Prepare a statement on this connection.
    Prepare {
        /// Number to give it.
        number: u64,
        /// What it does.
        access: Access,
        /// What is prepared.
        shape: Bytes,
    },
    /// Set a value of the session.
    Set {
        /// Its name.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Forget all values and prepared statements.
    Reset,
    /// Begin a transaction.
    Begin {
        /// What the server must show first.
        wait: Option<Mark>,
        /// What it does.
        access: Access,
    },
    /// Roll the transaction back.
    Rollback,
    /// Report where the server stands.
    Status,
}

/// One message of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A row.
    Row(Bytes),
    /// Success, and what the server closed it with.
    Complete(Bytes),
    /// An error.
    Error {
        /// What it means.
        fault: Fault,
        /// The error as it came.
        text: Bytes,
    },
    /// The answer is over.
    Ready {
        /// Where the session stands.
        status: Status,
        /// Last record that reads on the server show; on a primary the last one.
        mark: Option<Mark>,
    },
}

/// What an error of a server means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// Not run: no slot is free.
    Busy,
    /// Not run: its log lacks the record that it must show.
    Behind,
    /// Not run: it is no primary.
    ReadOnly,
    /// Not run: no prepared statement of that name.
    Unprepared,
    /// No session: another server answers at the address.
    #[strum(serialize = "stranger")]
    WrongServer,
    /// No session: too many connections.
    Full,
    /// It ran, or may have.
    Failed,
}

impl Fault {
    /// Whether the statement surely did not run.
    pub fn is_not_run(self) -> bool {
        self != Self::Failed
    }
}

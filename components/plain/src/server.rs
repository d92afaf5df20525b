//! Messages to and from backend servers.

use base::prelude::*;
use bytes::Bytes;

use crate::answer::Status;
use crate::statement::Access;

/// Message to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Starts a session.
    Start {
        /// Group to which the server is expected to belong.
        group: Name,
        /// Expected name of the server.
        server: Name,
        /// Team whose statements the session runs; `None` if callers have no team.
        team: Option<Name>,
    },
    /// Runs a caller's statement unchanged.
    Run {
        /// Id that the caller gave the statement.
        id: Bytes,
        /// Position that the server must have reached before it runs the statement.
        wait: Option<Mark>,
        /// Text of the statement.
        text: Bytes,
    },
    /// Executes a caller's prepared statement.
    Execute {
        /// Id that the caller gave the statement.
        id: Bytes,
        /// Position that the server must have reached before it runs the statement.
        wait: Option<Mark>,
        /// Number under which the statement is prepared on this connection.
        number: u64,
        /// Arguments of the statement, as received.
        arguments: Bytes,
    },
    /// Prepares a statement on this connection.
    Prepare {
        /// Number for the statement on this connection.
        number: u64,
        /// Whether the statement only reads.
        access: Access,
        /// Definition of the statement.
        shape: Bytes,
    },
    /// Sets a session variable.
    Set {
        /// Name of the session variable.
        name: Bytes,
        /// Value of the session variable.
        value: Bytes,
    },
    /// Discards all session variables and prepared statements.
    Reset,
    /// Begins a transaction.
    Begin {
        /// Position that the server must have reached before it begins the transaction.
        wait: Option<Mark>,
        /// Whether the transaction only reads.
        access: Access,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Requests a status report of the server.
    Status,
}

/// Message of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Row of a result.
    Row(Bytes),
    /// Success of a statement, with the content of the completion message.
    Complete(Bytes),
    /// Error of a statement or of the start of a session.
    Error {
        /// Class of the error.
        error_kind: ErrorKind,
        /// Error as received.
        text: Bytes,
    },
    /// End of an answer.
    Ready {
        /// Transaction status of the session.
        status: Status,
        /// Position of the last record that is visible to reads on the server; on a
        /// primary, of the last record in its log.
        mark: Option<Mark>,
    },
}

/// Class of an error of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ErrorKind {
    /// The statement was not run: the server has no free slot.
    Busy,
    /// The statement was not run: the server has not reached the required position.
    Behind,
    /// The statement was not run: the server is not a primary.
    ReadOnly,
    /// The statement was not run: no prepared statement has this name.
    Unprepared,
    /// The session was refused: another server answers at the address.
    #[strum(serialize = "stranger")]
    WrongServer,
    /// The session was refused: the server has too many connections.
    Full,
    /// The statement ran or may have run.
    Failed,
}

impl ErrorKind {
    /// Whether the statement is proved not to have run.
    pub fn is_not_run(self) -> bool {
        self != Self::Failed
    }
}

//! Errors of statements, with their SQLSTATE, and failures of a group.

use std::fmt;

/// Why a group could not start or a fault could not be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// The name of a server, made from the group's name and a number, is invalid.
    Name,
    /// A server could not listen on the loopback address.
    Listen,
    /// The folder of the databases could not be created.
    Folder,
    /// An SQLite database could not be opened.
    Database,
    /// The group has no primary, or no server with the number that the fault names.
    Fault,
}

impl std::error::Error for Failure {}

/// SQLSTATE error conditions that a server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SqlState {
    /// A row with the same unique key exists.
    UniqueViolation,
    /// A value of a `NOT NULL` column is null.
    NotNullViolation,
    /// A foreign key refers to no row.
    ForeignKeyViolation,
    /// A `CHECK` constraint is violated.
    CheckViolation,
    /// The table does not exist.
    UndefinedTable,
    /// The table exists already.
    DuplicateTable,
    /// The column does not exist.
    UndefinedColumn,
    /// The function does not exist.
    UndefinedFunction,
    /// The statement could not be parsed or prepared.
    Syntax,
    /// The server accepts no writes, since it is not the primary, or not in the term of
    /// the transaction.
    ReadOnly,
    /// The transaction has failed; only its end or a rollback to a savepoint is
    /// accepted.
    FailedTransaction,
    /// Concurrent commits changed the result of an earlier write of the transaction.
    Serialization,
    /// The connection limit is reached.
    TooManyConnections,
    /// A cancel request stopped the statement.
    Cancelled,
    /// The server does not support the statement or message.
    Unsupported,
    /// The prepared statement does not exist.
    UndefinedStatement,
    /// The portal does not exist.
    UndefinedPortal,
    /// A parameter value is invalid for its type.
    InvalidValue,
    /// A message violates the protocol.
    ProtocolViolation,
    /// The database is being rebuilt and can't be read yet.
    Starting,
    /// The server is shutting down or restarting.
    Shutdown,
    /// Any other error.
    Internal,
}

impl SqlState {
    /// Five-character SQLSTATE code.
    pub const fn code(self) -> &'static str {
        match self {
            Self::UniqueViolation => "23505",
            Self::NotNullViolation => "23502",
            Self::ForeignKeyViolation => "23503",
            Self::CheckViolation => "23514",
            Self::UndefinedTable => "42P01",
            Self::DuplicateTable => "42P07",
            Self::UndefinedColumn => "42703",
            Self::UndefinedFunction => "42883",
            Self::Syntax => "42601",
            Self::ReadOnly => "25006",
            Self::FailedTransaction => "25P02",
            Self::Serialization => "40001",
            Self::TooManyConnections => "53300",
            Self::Cancelled => "57014",
            Self::Unsupported => "0A000",
            Self::UndefinedStatement => "26000",
            Self::UndefinedPortal => "34000",
            Self::InvalidValue => "22P02",
            Self::ProtocolViolation => "08P01",
            Self::Starting => "57P03",
            Self::Shutdown => "57P01",
            Self::Internal => "XX000",
        }
    }
}

/// An error that is reported to the client in an `ErrorResponse`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// SQLSTATE of the error.
    pub state: SqlState,
    /// Message text of the error.
    pub message: String,
}

impl Rejection {
    /// Creates an error from its SQLSTATE and message.
    pub fn new(state: SqlState, message: impl Into<String>) -> Self {
        Self { state, message: message.into() }
    }

    /// The error of a write on a server that is not the primary.
    pub fn read_only() -> Self {
        Self::new(SqlState::ReadOnly, "cannot execute a write on a read-only server")
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.state.code(), self.message)
    }
}

impl std::error::Error for Rejection {}

impl From<rusqlite::Error> for Rejection {
    fn from(error: rusqlite::Error) -> Self {
        let message = error.to_string();
        Self::new(sql_state(&error, &message), message)
    }
}

fn sql_state(error: &rusqlite::Error, message: &str) -> SqlState {
    use rusqlite::ffi;
    let extended = error.sqlite_error().map_or(0, |error| error.extended_code);
    match extended {
        ffi::SQLITE_CONSTRAINT_UNIQUE
        | ffi::SQLITE_CONSTRAINT_PRIMARYKEY
        | ffi::SQLITE_CONSTRAINT_ROWID => SqlState::UniqueViolation,
        ffi::SQLITE_CONSTRAINT_NOTNULL => SqlState::NotNullViolation,
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => SqlState::ForeignKeyViolation,
        ffi::SQLITE_CONSTRAINT_CHECK => SqlState::CheckViolation,
        ffi::SQLITE_READONLY => SqlState::ReadOnly,
        _ if message.contains("no such table") => SqlState::UndefinedTable,
        _ if message.contains("already exists") => SqlState::DuplicateTable,
        _ if message.contains("no such column") => SqlState::UndefinedColumn,
        _ if message.contains("no such function") => SqlState::UndefinedFunction,
        ffi::SQLITE_ERROR => SqlState::Syntax,
        _ => SqlState::Internal,
    }
}

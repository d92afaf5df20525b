//! What a server answers instead of a result, and why a group fails to start.

use std::fmt;

/// A failure of the group as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// A server's name would not be valid.
    Name,
    /// No listener on loopback could be opened.
    Listen,
    /// The folder of the databases could not be made.
    Folder,
    /// A database could not be opened.
    Database,
    /// No server of the group is in the state that the fault needs.
    Fault,
}

impl std::error::Error for Failure {}

/// SQLSTATE classes that a server answers with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SqlState {
    /// A unique key is taken.
    UniqueViolation,
    /// A column may not be null.
    NotNullViolation,
    /// A foreign key is missing.
    ForeignKeyViolation,
    /// A check failed.
    CheckViolation,
    /// No such table.
    UndefinedTable,
    /// The table exists.
    DuplicateTable,
    /// No such column.
    UndefinedColumn,
    /// No such function.
    UndefinedFunction,
    /// The statement can't be read.
    Syntax,
    /// The server takes no writes.
    ReadOnly,
    /// The transaction has failed; only its end is accepted.
    FailedTransaction,
    /// The transaction's results do not hold any more.
    Serialization,
    /// No connection is free.
    TooManyConnections,
    /// The statement was cancelled.
    Cancelled,
    /// The server does not offer this.
    Unsupported,
    /// No such prepared statement.
    UndefinedStatement,
    /// No such portal.
    UndefinedPortal,
    /// A value can't be read.
    InvalidValue,
    /// The messages break the protocol.
    ProtocolViolation,
    /// The database is being rebuilt.
    Starting,
    /// The server is shutting down or restarting.
    Shutdown,
    /// Anything else.
    Internal,
}

impl SqlState {
    /// The five characters.
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

/// An error that a statement is answered with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Its SQLSTATE.
    pub state: SqlState,
    /// Its message.
    pub message: String,
}

impl Rejection {
    /// Makes a rejection.
    pub fn new(state: SqlState, message: impl Into<String>) -> Self {
        Self { state, message: message.into() }
    }

    /// The rejection of a write by a server that takes none.
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
        Self::new(state(&error, &message), message)
    }
}

fn state(error: &rusqlite::Error, message: &str) -> SqlState {
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

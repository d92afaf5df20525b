//! Messages to callers.

use bytes::Bytes;

/// Message to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Row of a result, as sent by the backend server.
    Row(Bytes),
    /// Success of a statement, with the content of the server's completion message;
    /// `None` if no backend server was involved.
    Complete(Option<Bytes>),
    /// Error of a backend server, as received.
    Error(Bytes),
    /// Error of the proxy itself.
    Problem(Problem),
    /// End of an answer, or of the start of a session.
    Ready(Status),
}

/// Transaction status of a session between two statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Status {
    /// Outside of a transaction.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that failed and must be rolled back.
    Failed,
}

/// Error that the proxy itself reports to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Problem {
    /// The statement was not run, because there was no capacity or no time left.
    Busy,
    /// The transaction was lost; none of its changes is kept.
    Aborted,
    /// The statement may have run.
    Unknown,
    /// The statement exceeded its deadline and may have run.
    Timeout,
    /// No database has the requested name.
    Database,
    /// The caller's key identifies no team.
    Key,
    /// The text is not a valid statement, or the statement is not allowed here.
    Malformed,
    /// No prepared statement has the requested name.
    Unprepared,
}

//! What callers are told.

use bytes::Bytes;

/// One message to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A row, as the server sent it.
    Row(Bytes),
    /// The statement succeeded; what the server closed it with, or `None` where
    /// no server was asked.
    Complete(Option<Bytes>),
    /// A server's error, as it came.
    Error(Bytes),
    /// The system's own error.
    Problem(Problem),
    /// The answer is over, or the session stands.
    Ready(Status),
}

/// Where a session stands between two statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Status {
    /// Outside of a transaction.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that failed and is to be rolled back.
    Failed,
}

/// An error of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Problem {
    /// Not run, for want of room or time.
    Busy,
    /// The transaction is gone; nothing of it is kept.
    Aborted,
    /// It may have run.
    Unknown,
    /// It took too long and may have run.
    Timeout,
    /// No database of that name.
    Database,
    /// The text is no statement, or is not allowed here.
    Malformed,
    /// No prepared statement of that name.
    Unprepared,
}

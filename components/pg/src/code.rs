//! Error codes that a caller is given, and the errors that carry them.

use std::borrow::Cow;
use std::fmt;
use std::time::Duration;

/// A SQLSTATE.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
pub enum Code {
    /// Proved not to have run.
    #[strum(serialize = "TF001")]
    NotRun,
    /// It may have run.
    #[strum(serialize = "TF002")]
    Unknown,
    /// The session token does not count.
    #[strum(serialize = "TF003")]
    Token,
    /// A feature that a shared connection can't carry.
    #[strum(serialize = "TF004")]
    Feature,
    /// The message breaks the protocol.
    #[strum(serialize = "08P01")]
    Protocol,
    /// A value that a setting does not take.
    #[strum(serialize = "22023")]
    Value,
    /// A text is not UTF-8.
    #[strum(serialize = "22021")]
    Encoding,
    /// The transaction has failed; only its end is accepted.
    #[strum(serialize = "25P02")]
    FailedTransaction,
    /// The login is refused.
    #[strum(serialize = "28000")]
    Login,
    /// The password is wrong.
    #[strum(serialize = "28P01")]
    Password,
    /// No such database.
    #[strum(serialize = "3D000")]
    Database,
    /// The request outgrew a limit.
    #[strum(serialize = "54000")]
    Limit,
    /// The caller cancelled it.
    #[strum(serialize = "57014")]
    Cancelled,
    /// The process is stopping.
    #[strum(serialize = "57P01")]
    Shutdown,
    /// The process takes no callers at present.
    #[strum(serialize = "57P03")]
    Unready,
}

impl Code {
    /// The five characters of the code.
    pub fn as_str(self) -> &'static str {
        self.into()
    }
}

/// An error as a caller is told of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Its code.
    pub code: Code,
    /// What went wrong, for a person.
    pub message: Cow<'static, str>,
    /// Time after which it is worth asking again.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Makes a problem without a hint.
    pub fn new(code: Code, message: impl Into<Cow<'static, str>>) -> Self {
        Self { code, message: message.into(), retry_after: None }
    }

    /// Adds when it is worth asking again.
    #[must_use]
    pub fn after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code.as_str(), self.message)
    }
}

impl std::error::Error for Problem {}

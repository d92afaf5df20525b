//! Errors that are sent to a caller, and their codes.

use std::borrow::Cow;
use std::fmt;
use std::time::Duration;

/// SQLSTATE code of an error. Codes that begin with `TF` are specific to this proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
pub enum Code {
    /// The request is proved not to have run.
    #[strum(serialize = "TF001")]
    NotRun,
    /// The request may have run.
    #[strum(serialize = "TF002")]
    Unknown,
    /// The session token is invalid.
    #[strum(serialize = "TF003")]
    Token,
    /// The request uses a feature that a shared connection can't support.
    #[strum(serialize = "TF004")]
    Feature,
    /// A message violates the protocol.
    #[strum(serialize = "08P01")]
    Protocol,
    /// The value is invalid for a setting.
    #[strum(serialize = "22023")]
    Value,
    /// A string is not UTF-8.
    #[strum(serialize = "22021")]
    Encoding,
    /// The transaction has failed; only a statement that ends it is accepted.
    #[strum(serialize = "25P02")]
    FailedTransaction,
    /// The login is refused.
    #[strum(serialize = "28000")]
    Login,
    /// The password is wrong.
    #[strum(serialize = "28P01")]
    Password,
    /// The database does not exist.
    #[strum(serialize = "3D000")]
    Database,
    /// The request exceeds a limit.
    #[strum(serialize = "54000")]
    Limit,
    /// The caller cancelled the request.
    #[strum(serialize = "57014")]
    Cancelled,
    /// The process is stopping.
    #[strum(serialize = "57P01")]
    Shutdown,
    /// The process does not accept callers at present.
    #[strum(serialize = "57P03")]
    Unready,
}

impl Code {
    /// The five characters of the code.
    pub fn as_str(self) -> &'static str {
        self.into()
    }
}

/// Error that is sent to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// SQLSTATE of the error.
    pub code: Code,
    /// Description of the error for people.
    pub message: Cow<'static, str>,
    /// Time after which a retry may succeed; sent as a hint.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Creates an error without a retry hint.
    pub fn new(code: Code, message: impl Into<Cow<'static, str>>) -> Self {
        Self { code, message: message.into(), retry_after: None }
    }

    /// Sets the time after which a retry may succeed.
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

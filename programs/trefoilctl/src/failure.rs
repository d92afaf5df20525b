//! Errors of the commands.

use std::fmt;
use std::path::PathBuf;

use burn::report::Alarm;
use config::Problems;

/// Error of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The declarations are invalid; nothing was changed.
    Declarations(Problems),
    /// No address of a control member was given.
    NoAddress,
    /// A log file could not be read.
    ReadFile {
        /// Path of the log file.
        path: PathBuf,
    },
    /// The logs do not contain the request.
    RequestNotFound(trace::path::FindError),
    /// No control member could serve the request.
    Unreachable {
        /// Number of addresses that were tried.
        tried: usize,
    },
    /// The declarations changed since the version that the change is based on.
    Conflict {
        /// Current version of the declarations.
        version: u64,
    },
    /// The control member rejected the request.
    Refused {
        /// Error text of the member's answer.
        text: String,
    },
    /// An answer could not be decoded, a report could not be rendered, or the HTTP
    /// client could not be built.
    MalformedAnswer,
    /// No live entry returned its page of counters.
    NoPages {
        /// Names of the live entries.
        entries: Vec<String>,
    },
    /// The report file could not be written.
    WriteFile {
        /// Path of the report file.
        path: PathBuf,
    },
    /// An error budget burns too fast.
    Alarm {
        /// Urgency of the alarm.
        alarm: Alarm,
    },
    /// Some entries have not applied a change within the time limit.
    NotApplied {
        /// Names of these entries.
        entries: Vec<String>,
    },
}

const EXIT_FAILED: u8 = 1;
const EXIT_MISUSE: u8 = 2;
const EXIT_ALARM: u8 = 3;

impl Failure {
    /// Exit code of the process.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Alarm { .. } => EXIT_ALARM,
            Self::NoAddress => EXIT_MISUSE,
            _ => EXIT_FAILED,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Declarations(problems) => write!(f, "nothing was changed:\n{problems}"),
            Self::NoAddress => f.write_str("give --admin or set TREFOIL_ADMIN"),
            Self::ReadFile { path } => write!(f, "could not read {}", path.display()),
            Self::RequestNotFound(error) => write!(f, "{error}"),
            Self::Unreachable { tried } => {
                write!(f, "none of {tried} control members could serve; the outcome may be unknown")
            }
            Self::Conflict { version } => write!(
                f,
                "conflict: the current version is {version}; see `trefoilctl diff` and apply again"
            ),
            Self::Refused { text } => write!(f, "refused: {text}"),
            Self::MalformedAnswer => f.write_str("could not decode the control member's answer"),
            Self::NoPages { entries } if entries.is_empty() => f.write_str("no entry is alive"),
            Self::NoPages { entries } => {
                write!(f, "no entry returned its counters: {}", entries.join(", "))
            }
            Self::WriteFile { path } => write!(f, "could not write {}", path.display()),
            Self::Alarm { alarm } => write!(f, "a {alarm} alarm stands"),
            Self::NotApplied { entries } => {
                write!(f, "not yet in force at: {}", entries.join(", "))
            }
        }
    }
}

impl std::error::Error for Failure {}

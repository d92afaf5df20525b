//! Why a command failed.

use std::fmt;
use std::path::PathBuf;

use burn::report::Alarm;
use config::Problems;

/// Why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The declarations are wrong; nothing was changed.
    Declarations(Problems),
    /// No member's address was given.
    NoAddress,
    /// A log file could not be read.
    ReadFile {
        /// The file.
        path: PathBuf,
    },
    /// The logs tell nothing of a request.
    RequestNotFound(trace::path::Lost),
    /// No member answered.
    Unreachable {
        /// Addresses that were tried.
        tried: usize,
    },
    /// A change came in between.
    Conflict {
        /// The current version.
        version: u64,
    },
    /// The member refused.
    Refused {
        /// What it said.
        text: String,
    },
    /// The answer could not be read.
    MalformedAnswer,
    /// No entry gave what it counted.
    NoPages {
        /// Names of those that live.
        entries: Vec<String>,
    },
    /// The report could not be written.
    WriteFile {
        /// The file.
        path: PathBuf,
    },
    /// An error budget burns too fast.
    Alarm {
        /// How urgent it is.
        alarm: Alarm,
    },
    /// Entries have not applied a change in time.
    NotApplied {
        /// Their names.
        entries: Vec<String>,
    },
}

const FAILED: u8 = 1;
const MISUSED: u8 = 2;
const BURNING: u8 = 3;

impl Failure {
    /// Exit code of the process.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Alarm { .. } => BURNING,
            Self::NoAddress => MISUSED,
            _ => FAILED,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Declarations(problems) => write!(f, "nothing was changed:\n{problems}"),
            Self::NoAddress => f.write_str("give --admin or set TREFOIL_ADMIN"),
            Self::ReadFile { path } => write!(f, "could not read {}", path.display()),
            Self::RequestNotFound(lost) => write!(f, "{lost}"),
            Self::Unreachable { tried } => {
                write!(f, "none of {tried} control members could serve; the outcome may be unknown")
            }
            Self::Conflict { version } => write!(
                f,
                "conflict: the current version is {version}; see `trefoilctl diff` and apply again"
            ),
            Self::Refused { text } => write!(f, "refused: {text}"),
            Self::MalformedAnswer => f.write_str("the member's answer could not be read"),
            Self::NoPages { entries } if entries.is_empty() => f.write_str("no entry lives"),
            Self::NoPages { entries } => {
                write!(f, "no entry gave a page: {}", entries.join(", "))
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

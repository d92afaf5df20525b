//! Why a command failed.

use std::fmt;
use std::path::PathBuf;

use burn::report::Alarm;
use config::Problems;

/// Why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The declarations are wrong; nothing was changed.
    Files(Problems),
    /// No member's address was given.
    Unaddressed,
    /// A log file could not be read.
    Unread {
        /// The file.
        path: PathBuf,
    },
    /// The logs tell nothing of a request.
    Untold(trace::path::FindError),
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
    Answer,
    /// No entry gave what it counted.
    Uncounted {
        /// Names of those that live.
        entries: Vec<String>,
    },
    /// The report could not be written.
    Unwritten {
        /// The file.
        path: PathBuf,
    },
    /// An error budget burns too fast.
    Burning {
        /// How urgent it is.
        alarm: Alarm,
    },
    /// Entries have not applied a change in time.
    Behind {
        /// Their names.
        entries: Vec<String>,
    },
}

const FAILED: u8 = 1;
const MISUSED: u8 = 2;
const BURNING: u8 = 3;

impl Failure {
    /// Exit code of the process.
    pub const fn code(&self) -> u8 {
        match self {
            Self::Burning { .. } => BURNING,
            Self::Unaddressed => MISUSED,
            _ => FAILED,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Files(problems) => write!(f, "nothing was changed:\n{problems}"),
            Self::Unaddressed => f.write_str("give --admin or set TREFOIL_ADMIN"),
            Self::Unread { path } => write!(f, "could not read {}", path.display()),
            Self::Untold(lost) => write!(f, "{lost}"),
            Self::Unreachable { tried } => {
                write!(f, "none of {tried} control members could serve; the outcome may be unknown")
            }
            Self::Conflict { version } => write!(
                f,
                "conflict: the current version is {version}; see `trefoilctl diff` and apply again"
            ),
            Self::Refused { text } => write!(f, "refused: {text}"),
            Self::Answer => f.write_str("the member's answer could not be read"),
            Self::Uncounted { entries } if entries.is_empty() => f.write_str("no entry lives"),
            Self::Uncounted { entries } => {
                write!(f, "no entry gave a page: {}", entries.join(", "))
            }
            Self::Unwritten { path } => write!(f, "could not write {}", path.display()),
            Self::Burning { alarm } => write!(f, "a {alarm} alarm stands"),
            Self::Behind { entries } => {
                write!(f, "not yet in force at: {}", entries.join(", "))
            }
        }
    }
}

impl std::error::Error for Failure {}

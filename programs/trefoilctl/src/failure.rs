//! Why a command failed.

use std::fmt;

use config::Problems;

/// Why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The declarations are wrong; nothing was changed.
    Files(Problems),
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
    /// Entries have not applied a change in time.
    Behind {
        /// Their names.
        entries: Vec<String>,
    },
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Files(problems) => write!(f, "nothing was changed:\n{problems}"),
            Self::Unreachable { tried } => {
                write!(f, "none of {tried} control members could serve; the outcome may be unknown")
            }
            Self::Conflict { version } => write!(
                f,
                "conflict: the current version is {version}; see `trefoilctl diff` and apply again"
            ),
            Self::Refused { text } => write!(f, "refused: {text}"),
            Self::Answer => f.write_str("the member's answer could not be read"),
            Self::Behind { entries } => {
                write!(f, "not yet in force at: {}", entries.join(", "))
            }
        }
    }
}

impl std::error::Error for Failure {}

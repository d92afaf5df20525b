//! Answers to changes of the declarations, keyed by the id of the change.
//!
//! Changes are idempotent: an operator who lost an answer retries under the same
//! id and must get the first answer, also from another leader and after a
//! restore from an image. Only the newest answers are kept.

use std::collections::{HashMap, VecDeque};
use std::fmt;

use config::Violation;

/// Number of answers that are kept.
pub const MAX_ANSWERS: usize = 10_000;

/// The answer to a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The change is committed and in force.
    Accepted {
        /// Version of the declarations that the change created.
        version: u64,
        /// Log index at which the change was committed.
        index: u64,
    },
    /// The change was based on a version other than the current one.
    Conflict {
        /// Version of the declarations when the change was applied.
        version: u64,
    },
    /// The content or the patch does not give valid declarations.
    Invalid(Vec<Violation>),
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { version, .. } => write!(f, "accepted as version {version}"),
            Self::Conflict { version } => write!(f, "the current version is {version}"),
            Self::Invalid(faults) => {
                for (at, fault) in faults.iter().enumerate() {
                    write!(f, "{}{fault}", if at > 0 { "; " } else { "" })?;
                }
                Ok(())
            }
        }
    }
}

/// The newest answers, keyed by the id of the change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    order: VecDeque<String>,
    answers: HashMap<String, Answer>,
}

impl Changes {
    /// The first answer to a change, if it is still kept.
    pub fn get(&self, change: &str) -> Option<&Answer> {
        self.answers.get(change)
    }

    /// Stores the answer to a change and drops the oldest answer beyond [`MAX_ANSWERS`].
    pub fn insert(&mut self, change: String, answer: Answer) {
        if self.answers.insert(change.clone(), answer).is_none() {
            self.order.push_back(change);
        }
        if self.order.len() > MAX_ANSWERS
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }

    /// Number of answers kept.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no answer is kept.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Each change and its answer, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Answer)> {
        self.order.iter().filter_map(|change| Some((change.as_str(), self.answers.get(change)?)))
    }
}

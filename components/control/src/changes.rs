//! Answers to changes of the declarations, kept by the id of the change.
//!
//! An operator who lost an answer asks again under the same id and must get
//! the first answer, also from another leader and after an image. Only the
//! newest answers are kept.

use std::collections::{HashMap, VecDeque};
use std::fmt;

use config::Fault;

/// Answers that are kept.
pub const MAX_ANSWERS: usize = 10_000;

/// The answer to a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is committed and in force.
    Accepted {
        /// Version that it made.
        version: u64,
        /// Index at which it was committed.
        index: u64,
    },
    /// It started from another version than the current one.
    Conflict {
        /// The current version then.
        version: u64,
    },
    /// Its content is no declarations.
    Invalid(Vec<Fault>),
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

/// The newest answers, by the id of the change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    order: VecDeque<String>,
    answers: HashMap<String, Answer>,
}

impl Changes {
    /// The answer that a change got, if it is still kept.
    pub fn get(&self, change: &str) -> Option<&Answer> {
        self.answers.get(change)
    }

    /// Keeps the answer of a change and forgets the oldest beyond [`MAX_ANSWERS`].
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

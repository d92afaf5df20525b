//! Names chosen by operators.
//!
//! A [`Name`] is validated once and cheap to clone. Inside a process, tables map
//! names to small keys. Messages between processes carry names rather than keys,
//! since two processes may hold different versions of the configuration.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use error_stack::Report;
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_BYTES: usize = 128;

/// A name of a service, group, server, entry, availability zone or label.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// Validation error: a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid {
    /// Rejected text.
    pub text: String,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is no name: 1 to {MAX_BYTES} letters, digits, `-`, `_`, `.`, `/` or `:` are allowed",
            self.text
        )
    }
}

impl std::error::Error for Invalid {}

impl Name {
    /// Validates a text and creates a name from it.
    pub fn new(text: &str) -> Result<Self, Report<Invalid>> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./:".contains(&byte);
        let valid = !text.is_empty() && text.len() <= MAX_BYTES && text.bytes().all(allowed);
        if valid {
            Ok(Self(Arc::from(text)))
        } else {
            Err(Report::new(Invalid { text: text.to_owned() }))
        }
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = Invalid;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::new(&text).map_err(|report| report.current_context().clone())
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.as_ref().to_owned()
    }
}

impl FromStr for Name {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::try_from(text.to_owned())
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.as_str())
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

//! Digests of the keys by which callers are identified.
//!
//! Keys are generated at random, so a digest without a salt reveals nothing about them.
//! Only digests are kept in declarations, sent between hosts and logged.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Length of a digest in bytes.
const LENGTH: usize = 16;

/// Digest of a key: the first half of its SHA-256 hash, written as hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; LENGTH]);

/// Error for a text that is not a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a digest has {} hexadecimal digits", 2 * LENGTH)
    }
}

impl std::error::Error for Malformed {}

impl Digest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let hash = Sha256::digest(key);
        Self(*hash.first_chunk().expect("a hash is longer than a digest"))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let bytes = hex::decode(text).map_err(|_invalid| Malformed)?;
        bytes.try_into().map(Self).map_err(|_length| Malformed)
    }
}

impl TryFrom<String> for Digest {
    type Error = Malformed;

    fn try_from(text: String) -> Result<Self, Malformed> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

//! The key shared by all processes of the system.

use std::fmt;

use error_stack::Report;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Minimum length of a key, in bytes.
pub const MIN_BYTES: usize = 16;

/// Length of a proof (an HMAC-SHA-256), in bytes.
pub const PROOF_BYTES: usize = 32;

/// Error: a key is shorter than [`MIN_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooShort {
    /// Length of the key, in bytes.
    pub bytes: usize,
}

impl fmt::Display for TooShort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the key has {} bytes, at least {MIN_BYTES} are needed", self.bytes)
    }
}

impl std::error::Error for TooShort {}

/// A shared key. The `Debug` output does not reveal the key.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// Creates a key from at least [`MIN_BYTES`] bytes.
    pub fn new(bytes: &[u8]) -> Result<Self, Report<TooShort>> {
        if bytes.len() < MIN_BYTES {
            return Err(Report::new(TooShort { bytes: bytes.len() }));
        }
        Ok(Self(bytes.to_vec()))
    }

    /// Returns the bytes of the key, from which another key can be derived.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Computes a proof over several parts. The length of each part is included, so
    /// that bytes can't move from one part to the next.
    pub fn prove(&self, parts: &[&[u8]]) -> [u8; PROOF_BYTES] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Whether `proof` is valid for `parts`; compares in constant time.
    pub fn verify(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        self.mac(parts).verify_slice(proof).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("a MAC takes any key length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

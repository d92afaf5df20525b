//! The key that the system's own processes share.

use std::fmt;

use error_stack::Report;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Least length of a key in bytes.
pub const MIN_BYTES: usize = 16;

/// Length of a proof in bytes.
pub const PROOF_BYTES: usize = 32;

/// A key that is too short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooShort {
    /// Its length in bytes.
    pub bytes: usize,
}

impl fmt::Display for TooShort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the key has {} bytes, at least {MIN_BYTES} are needed", self.bytes)
    }
}

impl std::error::Error for TooShort {}

/// A shared key. Its debug form shows nothing of it.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// Takes a key of at least [`MIN_BYTES`].
    pub fn new(bytes: &[u8]) -> Result<Self, Report<TooShort>> {
        if bytes.len() < MIN_BYTES {
            return Err(Report::new(TooShort { bytes: bytes.len() }));
        }
        Ok(Self(bytes.to_vec()))
    }

    /// The key's bytes, for a key derived from it.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Proof over several parts, each bound by its length.
    pub fn prove(&self, parts: &[&[u8]]) -> [u8; PROOF_BYTES] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Whether `proof` is right, in constant time.
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

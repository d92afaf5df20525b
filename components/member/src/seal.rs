//! Encryption of the operators' documents, which may hold keys of teams.
//!
//! Members keep a document in the log, in snapshots and in images, and send it to each
//! other. It is encrypted there with a key that is derived from the shared key of the system,
//! and authenticated together with the number of its edition.

use std::fmt;

use ::link::Key;
use base::prelude::*;
use bytes::Bytes;
use rand::Rng as _;
use ring::aead::{Aad, CHACHA20_POLY1305, LessSafeKey, NONCE_LEN, Nonce, UnboundKey};

/// Purpose for which the key is derived from the shared key.
const PURPOSE: &[u8] = b"document";

/// Key for documents.
#[derive(Clone)]
pub struct Seal(LessSafeKey);

/// Error: the bytes were not encrypted with this key for this edition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unsealed;

impl fmt::Display for Unsealed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the document is not encrypted with the shared key of this system")
    }
}

impl std::error::Error for Unsealed {}

impl fmt::Debug for Seal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Seal(..)")
    }
}

impl Seal {
    /// Derives the key for documents from the shared key.
    pub fn new(key: &Key) -> Self {
        let derived = UnboundKey::new(&CHACHA20_POLY1305, &key.prove(&[PURPOSE]));
        Self(LessSafeKey::new(derived.expect("a proof has the length of a key")))
    }

    /// Encrypts a document; returns a random nonce and the encrypted bytes.
    pub fn seal(&self, edition: u64, document: &[u8]) -> Bytes {
        let mut nonce = [0; NONCE_LEN];
        rand::rng().fill_bytes(&mut nonce);
        let mut sealed = document.to_vec();
        let tag = self.0.seal_in_place_separate_tag(
            Nonce::assume_unique_for_key(nonce),
            Aad::from(edition.to_le_bytes()),
            &mut sealed,
        );
        let tag = tag.expect("a document is shorter than the limit of the cipher");
        [&nonce, &*sealed, tag.as_ref()].concat().into()
    }

    /// Decrypts a document.
    ///
    /// # Errors
    /// [`Unsealed`].
    pub fn open(&self, edition: u64, sealed: &[u8]) -> Result<Bytes, Report<Unsealed>> {
        let (nonce, sealed) = sealed.split_first_chunk::<NONCE_LEN>().ok_or(Unsealed)?;
        let mut document = sealed.to_vec();
        let aad = Aad::from(edition.to_le_bytes());
        let nonce = Nonce::assume_unique_for_key(*nonce);
        let opened =
            self.0.open_in_place(nonce, aad, &mut document).map_err(|_unspecified| Unsealed)?;
        Ok(Bytes::copy_from_slice(opened))
    }
}

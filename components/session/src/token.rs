//! Session tokens.
//!
//! A session token is a Protocol Buffers message followed by its MAC, in URL-safe
//! base64. The MAC key is derived from the key that the processes of the system
//! share. The token names its key by an id that is also derived from the shared
//! key, so a key can be replaced while earlier tokens remain valid.

use std::fmt;

use base::prelude::*;
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use prost::Message;
use sha2::Sha256;
use smallvec::SmallVec;

use crate::floors::Floors;

/// Version of the token format.
pub const VERSION: u32 = 1;

/// Maximum length of an encoded token in bytes.
pub const MAX_BYTES: usize = 16 << 10;

/// Length of the MAC in bytes.
pub const MAC_BYTES: usize = 16;

const SIGN_LABEL: &[u8] = b"trefoillink session token";
const ID_LABEL: &[u8] = b"trefoillink session key id";

/// Reason why a token is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// The text is not a token, or it is truncated.
    #[strum(to_string = "the session token is malformed")]
    Malformed,
    /// The token has a version that this release does not support.
    #[strum(to_string = "the session token is of unknown version {version}")]
    Version {
        /// Version of the token.
        version: u32,
    },
    /// The token was signed with a key that is not in use.
    #[strum(to_string = "the session token was made with a key that is not in use")]
    Key,
    /// The MAC does not match the message.
    #[strum(to_string = "the session token was not made here")]
    Forged,
    /// The token was issued for another service.
    #[strum(to_string = "the session token belongs to another service")]
    Foreign,
}

impl std::error::Error for Failure {}

#[derive(Clone, PartialEq, Message)]
struct Body {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(fixed32, tag = "2")]
    key: u32,
    #[prost(string, tag = "3")]
    service: String,
    #[prost(message, repeated, tag = "4")]
    floors: Vec<Floor>,
}

#[derive(Clone, PartialEq, Message)]
struct Floor {
    #[prost(string, tag = "1")]
    group: String,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(uint64, tag = "3")]
    position: u64,
}

impl From<(&Name, Mark)> for Floor {
    fn from((group, mark): (&Name, Mark)) -> Self {
        Self { group: group.as_str().to_owned(), term: mark.term.0, position: mark.position.0 }
    }
}

#[derive(Clone)]
struct Key {
    id: u32,
    mac: Hmac<Sha256>,
}

impl Key {
    fn derive(shared: &[u8]) -> Self {
        let sign = hmac(shared).chain_update(SIGN_LABEL).finalize().into_bytes();
        let id = hmac(shared).chain_update(ID_LABEL).finalize().into_bytes();
        Self { id: u32::from_be_bytes([id[0], id[1], id[2], id[3]]), mac: hmac(&sign) }
    }

    fn sign(&self, body: &[u8]) -> [u8; MAC_BYTES] {
        let full = self.mac.clone().chain_update(body).finalize().into_bytes();
        *full.first_chunk().expect("the hash is longer than the MAC")
    }

    fn verifies(&self, body: &[u8], mac: &[u8]) -> bool {
        self.mac.clone().chain_update(body).verify_truncated_left(mac).is_ok()
    }
}

fn hmac(bytes: &[u8]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(bytes).expect("a MAC takes any key length")
}

/// Token keys: one signs new tokens, and all of them verify tokens.
#[derive(Clone)]
pub struct Keys {
    signing: Key,
    others: SmallVec<[Key; 1]>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keys").field("others", &self.others.len()).finish_non_exhaustive()
    }
}

impl Keys {
    /// Derives the signing key from a shared key.
    pub fn new(shared: &[u8]) -> Self {
        Self { signing: Key::derive(shared), others: SmallVec::new() }
    }

    /// Adds an earlier shared key, whose tokens remain valid.
    #[must_use]
    pub fn with_previous(mut self, shared: &[u8]) -> Self {
        self.others.push(Key::derive(shared));
        self
    }

    /// Issues a token that carries the floors of a session of a service.
    pub fn issue(&self, service: &Name, floors: &Floors) -> String {
        let body = Body {
            version: VERSION,
            key: self.signing.id,
            service: service.as_str().to_owned(),
            floors: floors.iter().map(Floor::from).collect(),
        };
        let mut bytes = body.encode_to_vec();
        let mac = self.signing.sign(&bytes);
        bytes.extend_from_slice(&mac);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Verifies a token of a service and returns its floors.
    ///
    /// # Errors
    /// Returns the [`Failure`] for which the token is rejected.
    pub fn verify(&self, service: &Name, token: &str) -> Result<Floors, Report<Failure>> {
        if token.len() > MAX_BYTES {
            return Err(Report::new(Failure::Malformed));
        }
        let bytes = URL_SAFE_NO_PAD.decode(token).change_context(Failure::Malformed)?;
        let (signed, mac) = bytes.split_last_chunk::<MAC_BYTES>().ok_or(Failure::Malformed)?;
        let body = Body::decode(signed).change_context(Failure::Malformed)?;
        if body.version != VERSION {
            return Err(Report::new(Failure::Version { version: body.version }));
        }
        let key = self.key(body.key).ok_or(Failure::Key)?;
        if !key.verifies(signed, mac) {
            return Err(Report::new(Failure::Forged));
        }
        if body.service != service.as_str() {
            return Err(Report::new(Failure::Foreign));
        }
        floors(&body)
    }

    fn key(&self, id: u32) -> Option<&Key> {
        std::iter::once(&self.signing).chain(&self.others).find(|key| key.id == id)
    }
}

fn floors(body: &Body) -> Result<Floors, Report<Failure>> {
    let mut floors = Floors::new();
    for floor in &body.floors {
        let group = Name::new(&floor.group).change_context(Failure::Malformed)?;
        floors.raise(&group, Mark::new(floor.term, floor.position));
    }
    Ok(floors)
}

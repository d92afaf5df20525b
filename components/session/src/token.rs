//! The token that carries a session.
//!
//! It is a message and its MAC, in the base64 form for URLs. The MAC's key is
//! derived from the key that the system's processes share, and named by an id
//! that is derived too, so a key can be replaced while old tokens still stand.

use std::fmt;

use base::prelude::*;
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use prost::Message;
use sha2::Sha256;
use smallvec::SmallVec;

use crate::floors::Floors;

/// Version of the token's form.
pub const VERSION: u32 = 1;

/// Longest token in bytes.
pub const MAX_BYTES: usize = 16 << 10;

/// Length of the MAC in bytes.
pub const MAC_BYTES: usize = 16;

const SIGN_LABEL: &[u8] = b"trefoillink session token";
const ID_LABEL: &[u8] = b"trefoillink session key id";

/// Why a token does not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// It is no token, or was cut.
    #[strum(to_string = "the session token is malformed")]
    Malformed,
    /// It is of a version that this release does not know.
    #[strum(to_string = "the session token is of unknown version {version}")]
    Version {
        /// The version.
        version: u32,
    },
    /// It was made with a key that is not in use.
    #[strum(to_string = "the session token was made with a key that is not in use")]
    Key,
    /// Its MAC is wrong.
    #[strum(to_string = "the session token was not made here")]
    Forged,
    /// It belongs to another service.
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
        let sign = keyed(shared).chain_update(SIGN_LABEL).finalize().into_bytes();
        let id = keyed(shared).chain_update(ID_LABEL).finalize().into_bytes();
        Self { id: u32::from_be_bytes([id[0], id[1], id[2], id[3]]), mac: keyed(&sign) }
    }

    fn sign(&self, body: &[u8]) -> [u8; MAC_BYTES] {
        let full = self.mac.clone().chain_update(body).finalize().into_bytes();
        *full.first_chunk().expect("the hash is longer than the MAC")
    }

    fn verifies(&self, body: &[u8], mac: &[u8]) -> bool {
        self.mac.clone().chain_update(body).verify_truncated_left(mac).is_ok()
    }
}

fn keyed(bytes: &[u8]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(bytes).expect("a MAC takes any key length")
}

/// Keys of tokens: the first one signs, each one verifies.
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
    /// Derives the key that signs from the shared key.
    pub fn new(shared: &[u8]) -> Self {
        Self { signing: Key::derive(shared), others: SmallVec::new() }
    }

    /// Adds a shared key whose tokens still count.
    #[must_use]
    pub fn with_previous(mut self, shared: &[u8]) -> Self {
        self.others.push(Key::derive(shared));
        self
    }

    /// Makes the token of a session.
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

    /// Checks a token of a service and returns its floors.
    ///
    /// # Errors
    /// Each [`Failure`].
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

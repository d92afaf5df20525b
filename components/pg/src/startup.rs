//! Packets that a caller sends before login.

use std::collections::BTreeMap;
use std::fmt;

use bytes::BytesMut;
use error_stack::{Report, ResultExt};
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{GssEncRequest, SslRequest, Startup};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};

/// Longest packet before login, in bytes.
pub const MAX_BYTES: usize = 10_000;

/// Bytes of the length and the request code at the start of a packet.
const HEAD_BYTES: usize = 8;

/// Length of a cancel request in bytes: the head, and a process number and a secret of
/// four bytes each.
const CANCEL_BYTES: usize = 16;

/// Error in a packet before login.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// The length is too small for the length field and the request code, or above
    /// [`MAX_BYTES`].
    #[strum(to_string = "a start-up packet has no such length")]
    Length,
    /// The packet can't be decoded.
    #[strum(to_string = "the start-up packet can't be read")]
    Malformed,
}

impl std::error::Error for Failure {}

/// Packet before login.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Packet {
    /// Request for TLS.
    Tls,
    /// Request for GSSAPI encryption.
    Gss,
    /// Request to cancel the running request of a session.
    Cancel(CancelKey),
    /// Start of a session.
    Start(Start),
}

/// Key that identifies a session in a cancel request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CancelKey {
    /// Process number that the session was given at login.
    pub process: i32,
    /// Secret that proves that the sender may cancel.
    pub secret: i32,
}

/// Startup message of a session.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Start {
    /// Minor version of the protocol that the caller requests.
    pub minor: u16,
    /// Startup parameters by name, such as `user` and `database`.
    pub parameters: BTreeMap<String, String>,
}

impl Start {
    /// Returns the value of a parameter, or `None` if it is missing or empty.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.parameters.get(name).map(String::as_str).filter(|value| !value.is_empty())
    }

    /// Returns the settings given as `-c name=value` or `--name=value` in the parameter
    /// `options`.
    pub fn options(&self) -> impl Iterator<Item = (&str, &str)> {
        let words = self.get("options").unwrap_or_default().split_whitespace();
        let settings = words.filter(|word| *word != "-c" && *word != "--");
        settings.filter_map(|word| {
            let word = word.strip_prefix("-c").or(word.strip_prefix("--")).unwrap_or(word);
            word.split_once('=')
        })
    }

    /// Returns the names of protocol options, which begin with `_pq_.`; none of them is
    /// supported.
    pub fn unknown(&self) -> impl Iterator<Item = &str> {
        self.parameters.keys().map(String::as_str).filter(|name| name.starts_with("_pq_."))
    }
}

impl fmt::Display for CancelKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.process)
    }
}

/// Takes the first packet from a buffer; `None` if it is incomplete.
///
/// # Errors
/// Any [`Failure`].
pub fn take(buffer: &mut BytesMut) -> Result<Option<Packet>, Report<Failure>> {
    let Some(head) = buffer.first_chunk::<HEAD_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if !(HEAD_BYTES..=MAX_BYTES).contains(&length) {
        return Err(Report::new(Failure::Length));
    }
    if buffer.len() < length {
        return Ok(None);
    }
    let mut packet = buffer.split_to(length);
    decode(&mut packet).map(Some)
}

fn decode(packet: &mut BytesMut) -> Result<Packet, Report<Failure>> {
    if SslRequest::is_ssl_request_packet(packet) {
        return Ok(Packet::Tls);
    }
    if GssEncRequest::is_gss_enc_request_packet(packet) {
        return Ok(Packet::Gss);
    }
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    if CancelRequest::is_cancel_request_packet(packet) {
        if packet.len() != CANCEL_BYTES {
            return Err(Report::new(Failure::Malformed));
        }
        let request = CancelRequest::decode(packet, &context).change_context(Failure::Malformed)?;
        let request = request.ok_or(Failure::Malformed)?;
        let secret = request.secret_key.as_i32().ok_or(Failure::Malformed)?;
        return Ok(Packet::Cancel(CancelKey { process: request.pid, secret }));
    }
    if packet.last() != Some(&0) {
        return Err(Report::new(Failure::Malformed));
    }
    let start = Startup::decode(packet, &context).change_context(Failure::Malformed)?;
    let start = start.ok_or(Failure::Malformed)?;
    Ok(Packet::Start(Start { minor: start.protocol_number_minor, parameters: start.parameters }))
}

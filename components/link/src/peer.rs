//! How the two ends of a link come to know each other.
//!
//! Each end sends a `Hello` with its name, incarnation, purpose and a number
//! it drew; then each sends a proof over both `Hello`s. A proof names the end
//! that made it, so it can't be sent back to its maker. No other message
//! counts before the proof is right.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use rand::Rng;
use tokio::net::TcpStream;
use wire::Message as _;

use crate::frame::{Reader, Writer};
use crate::key::Key;
use crate::socket;

/// Longest time for connecting and the proofs together.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time for connecting alone. A host that is starting leaves the first
/// packet without an answer, and the kernel sends the next one after a second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Length of the number that each end draws.
pub const NONCE_BYTES: usize = 16;

const DIALER: &[u8] = b"dialer";
const ACCEPTOR: &[u8] = b"acceptor";

/// What a link is for.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Purpose {
    /// Stands for a purpose that this release does not know.
    Other = 0,
    /// A front asks a keeper.
    Data = 1,
    /// An entry follows control.
    Control = 2,
    /// Control members among themselves.
    Quorum = 3,
}

/// Why a link failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Could not connect.
    Connect {
        /// Address that was dialled.
        address: SocketAddr,
    },
    /// Reading or writing failed.
    Io,
    /// It took too long.
    Timeout,
    /// The other end closed within a frame.
    UnexpectedEof,
    /// A frame is too long.
    Oversized {
        /// Its length in bytes.
        bytes: usize,
    },
    /// A frame is not the message that was due.
    Malformed,
    /// The other end does not hold the key.
    Unauthenticated,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect { address } => write!(f, "could not connect to {address}"),
            Self::Io => f.write_str("reading or writing failed"),
            Self::Timeout => f.write_str("the link took too long"),
            Self::UnexpectedEof => f.write_str("the link closed within a frame"),
            Self::Oversized { bytes } => write!(f, "a frame of {bytes} bytes is too long"),
            Self::Malformed => f.write_str("a frame is not the message that was due"),
            Self::Unauthenticated => f.write_str("the other end does not hold the key"),
        }
    }
}

impl std::error::Error for Failure {}

/// One end's first message, and who the other end is once it is proved.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Peer {
    /// Name of the process.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Raised by each start of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// What the link is for.
    #[prost(enumeration = "Purpose", tag = "3")]
    pub purpose: i32,
    /// The number that it drew.
    #[prost(bytes = "vec", tag = "4")]
    pub nonce: Vec<u8>,
}

impl Peer {
    /// Makes the first message of a process.
    pub fn new(name: &str, incarnation: u64, purpose: Purpose) -> Self {
        let nonce = Vec::new();
        Self { name: name.to_owned(), incarnation, purpose: purpose as i32, nonce }
    }

    fn with_nonce(&self) -> Self {
        let mut nonce = vec![0; NONCE_BYTES];
        rand::rng().fill_bytes(&mut nonce);
        Self { nonce, ..self.clone() }
    }
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
struct Proof {
    #[prost(bytes = "vec", tag = "1")]
    proof: Vec<u8>,
}

/// Dials an address and proves both ends.
///
/// # Errors
/// [`Failure::Connect`] when nothing listens, else as [`accept`].
pub async fn dial(
    address: SocketAddr,
    own: &Peer,
    key: &Key,
) -> Result<(Peer, Reader, Writer), Report<Failure>> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream =
        connected.change_context(Failure::Timeout)?.change_context(Failure::Connect { address })?;
    shake(stream, own, key, DIALER, ACCEPTOR).await
}

/// Takes an accepted connection and proves both ends.
///
/// # Errors
/// [`Failure::Timeout`], [`Failure::Unauthenticated`], or a failure of the frames.
pub async fn accept(
    stream: TcpStream,
    own: &Peer,
    key: &Key,
) -> Result<(Peer, Reader, Writer), Report<Failure>> {
    shake(stream, own, key, ACCEPTOR, DIALER).await
}

async fn shake(
    stream: TcpStream,
    own: &Peer,
    key: &Key,
    side: &[u8],
    other: &[u8],
) -> Result<(Peer, Reader, Writer), Report<Failure>> {
    let proved = tokio::time::timeout(HANDSHAKE_TIMEOUT, prove(stream, own, key, side, other));
    proved.await.change_context(Failure::Timeout)?
}

async fn prove(
    stream: TcpStream,
    own: &Peer,
    key: &Key,
    side: &[u8],
    other: &[u8],
) -> Result<(Peer, Reader, Writer), Report<Failure>> {
    socket::tune(&stream).change_context(Failure::Io)?;
    let (read, write) = tokio::io::split(stream);
    let (mut reader, mut writer) = (Reader::new(read), Writer::new(write));
    let hello = own.with_nonce();
    writer.send(&hello).await?;
    let peer: Peer = reader.next().await?.ok_or(Failure::UnexpectedEof)?;
    let (mine, theirs) = (hello.encode_to_vec(), peer.encode_to_vec());
    let proof = key.prove(&[side, &mine, &theirs]).to_vec();
    writer.send(&Proof { proof }).await?;
    let answer: Proof = reader.next().await?.ok_or(Failure::Unauthenticated)?;
    let right =
        peer.nonce.len() == NONCE_BYTES && key.verify(&[other, &theirs, &mine], &answer.proof);
    if !right {
        return Err(Report::new(Failure::Unauthenticated));
    }
    Ok((peer, reader, writer))
}

//! Handshake and mutual authentication of a link.
//!
//! Each end sends a [`Peer`] message with its name, incarnation, purpose and a
//! random nonce; then each sends a proof over both `Peer` messages. A proof includes
//! the side that made it (dialer or acceptor), so it can't be reflected to its
//! sender. No other message is accepted before the proof is verified.

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

/// Time limit for the handshake on a connection that is established.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for establishing a TCP connection. A host that is starting does not
/// answer the first SYN, and the kernel resends it only after a second; dialing
/// again after this limit is faster.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Length of the random nonce of each end, in bytes.
pub const NONCE_BYTES: usize = 16;

const DIALER: &[u8] = b"dialer";
const ACCEPTOR: &[u8] = b"acceptor";

/// The protocol that a link carries.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Purpose {
    /// Purpose that this release does not know.
    Other = 0,
    /// Requests of a front to a keeper.
    Data = 1,
    /// Control log and leases, between an entry and a control member.
    Control = 2,
    /// Consensus between control members.
    Quorum = 3,
}

/// Failure of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The TCP connection could not be established.
    Connect {
        /// Dialed address.
        address: SocketAddr,
    },
    /// A read or write on the socket failed.
    Io,
    /// Connecting, the handshake or a write exceeded its time limit.
    Timeout,
    /// The peer closed the link within a frame.
    UnexpectedEof,
    /// A frame exceeds [`MAX_BYTES`](crate::frame::MAX_BYTES).
    Oversized {
        /// Length of the frame, in bytes.
        bytes: usize,
    },
    /// A frame does not decode as the expected message.
    Malformed,
    /// The peer did not prove that it holds the shared key.
    Unauthenticated,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect { address } => write!(f, "could not connect to {address}"),
            Self::Io => f.write_str("reading from or writing to the link failed"),
            Self::Timeout => f.write_str("the link timed out"),
            Self::UnexpectedEof => f.write_str("the peer closed the link within a frame"),
            Self::Oversized { bytes } => write!(f, "a frame of {bytes} bytes is too long"),
            Self::Malformed => f.write_str("a frame is not the expected message"),
            Self::Unauthenticated => f.write_str("the peer does not hold the shared key"),
        }
    }
}

impl std::error::Error for Failure {}

/// The identity of one end of a link, which is also the first message of that end.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Peer {
    /// Name of the process.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the process, raised by each start of it.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Purpose of the link, as a [`Purpose`].
    #[prost(enumeration = "Purpose", tag = "3")]
    pub purpose: i32,
    /// Random nonce, [`NONCE_BYTES`] long.
    #[prost(bytes = "vec", tag = "4")]
    pub nonce: Vec<u8>,
}

impl Peer {
    /// Creates the identity of a process; the handshake adds the nonce.
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

/// Dials an address and authenticates both ends.
///
/// # Errors
/// [`Failure::Connect`] when the connection is refused or fails, [`Failure::Timeout`]
/// after [`CONNECT_TIMEOUT`]; otherwise those of [`accept`].
pub async fn dial(
    address: SocketAddr,
    own: &Peer,
    key: &Key,
) -> Result<(Peer, Reader, Writer), Report<Failure>> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream =
        connected.change_context(Failure::Timeout)?.change_context(Failure::Connect { address })?;
    handshake(stream, own, key, DIALER, ACCEPTOR).await
}

/// Authenticates both ends of an accepted connection.
///
/// # Errors
/// [`Failure::Timeout`], [`Failure::Unauthenticated`], or a failure to read or write
/// a frame.
pub async fn accept(
    stream: TcpStream,
    own: &Peer,
    key: &Key,
) -> Result<(Peer, Reader, Writer), Report<Failure>> {
    handshake(stream, own, key, ACCEPTOR, DIALER).await
}

async fn handshake(
    stream: TcpStream,
    own: &Peer,
    key: &Key,
    side: &[u8],
    other: &[u8],
) -> Result<(Peer, Reader, Writer), Report<Failure>> {
    let authenticated =
        tokio::time::timeout(HANDSHAKE_TIMEOUT, authenticate(stream, own, key, side, other));
    authenticated.await.change_context(Failure::Timeout)?
}

async fn authenticate(
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
    let valid =
        peer.nonce.len() == NONCE_BYTES && key.verify(&[other, &theirs, &mine], &answer.proof);
    if !valid {
        return Err(Report::new(Failure::Unauthenticated));
    }
    Ok((peer, reader, writer))
}

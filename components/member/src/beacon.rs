//! Beacons: each member publishes its progress over nng.
//!
//! Beacons are informational only: an operator can see the progress of all
//! members at any one of them, even without a leader. Each beacon carries a MAC
//! under the shared key and a rising sequence number, so forged and replayed
//! beacons are dropped.

use std::collections::BTreeMap;
use std::net::IpAddr;

use ::link::Key;
use base::prelude::*;
use nng::options::{Options as _, RecvTimeout, Url, protocol::pubsub::Subscribe};
use nng::{Dialer, Listener, Protocol, Socket};
use tokio_util::sync::CancellationToken;
use wire::Message as _;
use wire::quorum::Member;

use crate::input::{Input, Sender};

/// Longest wait of the receiving thread between two checks for cancellation.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(250);

/// Length in bytes of the MAC appended to a beacon.
const PROOF_BYTES: usize = ::link::key::PROOF_BYTES;

/// Context string that the MAC covers besides the beacon.
const PURPOSE: &[u8] = b"beacon";

/// Progress of a member.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub(crate) struct Beacon {
    /// Id of the member.
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    /// Time of sending in milliseconds of the member's wall clock, used as a rising
    /// sequence number.
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
    /// Last index that the member applied.
    #[prost(uint64, tag = "3")]
    pub(crate) index: u64,
    /// Quorum term of the member.
    #[prost(uint64, tag = "4")]
    pub(crate) term: u64,
    /// Id of the leader that the member knows; zero for none.
    #[prost(uint64, tag = "5")]
    pub(crate) leader: u64,
}

/// Sockets that publish and receive beacons.
#[derive(Debug)]
pub(crate) struct Beacons {
    key: Key,
    publisher: Socket,
    listener: Listener,
    subscriber: Socket,
    /// Address and dialer of each subscribed member, by its id.
    dialers: BTreeMap<u64, (String, Dialer)>,
}

impl Beacons {
    /// Opens the sockets and listens on a free port.
    ///
    /// # Errors
    /// [`nng::Error`] if a socket can't be opened or the address can't be used.
    pub(crate) fn open(ip: IpAddr, key: Key) -> Result<Self, nng::Error> {
        let publisher = Socket::new(Protocol::Pub0)?;
        let listener = Listener::new(&publisher, &url(ip))?;
        let subscriber = Socket::new(Protocol::Sub0)?;
        subscriber.set_opt::<Subscribe>(Vec::new())?;
        subscriber.set_opt::<RecvTimeout>(Some(RECEIVE_TIMEOUT))?;
        Ok(Self { key, publisher, listener, subscriber, dialers: BTreeMap::new() })
    }

    /// Address at which this member publishes, for others to dial.
    pub(crate) fn address(&self) -> String {
        // the `LocalAddr` option returns the port with its bytes swapped
        self.listener.get_opt::<Url>().unwrap_or_default()
    }

    /// Passes beacons of other members to the core until the token is cancelled.
    pub(crate) fn receive(&self, core: Sender, token: CancellationToken) -> std::io::Result<()> {
        let (socket, key) = (self.subscriber.clone(), self.key.clone());
        let run = move || {
            while !token.is_cancelled() {
                let Ok(message) = socket.recv() else { continue };
                if let Some(beacon) = decode_beacon(&key, message.as_slice()) {
                    // a beacon may be dropped if the queue is full
                    drop(core.try_send(Input::Beacon(beacon)));
                }
            }
        };
        std::thread::Builder::new().name("beacons".to_owned()).spawn(run).map(drop)
    }

    /// Subscribes to a member at its current address.
    pub(crate) fn subscribe(&mut self, member: &Member) {
        let known = self.dialers.get(&member.id).is_some_and(|(url, _)| *url == member.beacon);
        if known || member.beacon.is_empty() {
            return;
        }
        if let Ok(dialer) = Dialer::new(&self.subscriber, &member.beacon, true) {
            self.dialers.insert(member.id, (member.beacon.clone(), dialer));
        }
    }

    /// Unsubscribes from all members that are not listed.
    pub(crate) fn retain(&mut self, listed: impl Fn(u64) -> bool) {
        self.dialers.retain(|id, _| listed(*id));
    }

    /// Publishes a beacon without waiting for subscribers.
    pub(crate) fn publish(&self, beacon: &Beacon) {
        let mut bytes = beacon.encode_to_vec();
        let proof = self.key.prove(&[PURPOSE, &bytes]);
        bytes.extend_from_slice(&proof);
        drop(self.publisher.try_send(bytes.as_slice()));
    }
}

fn url(ip: IpAddr) -> String {
    match ip {
        IpAddr::V4(ip) => format!("tcp://{ip}:0"),
        IpAddr::V6(ip) => format!("tcp://[{ip}]:0"),
    }
}

fn decode_beacon(key: &Key, message: &[u8]) -> Option<Beacon> {
    let (bytes, proof) = message.split_last_chunk::<PROOF_BYTES>()?;
    if !key.verify(&[PURPOSE, bytes], proof) {
        return None;
    }
    Beacon::decode(bytes).ok()
}

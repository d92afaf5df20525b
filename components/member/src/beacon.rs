//! Beacons: each member publishes how far it is, over nng.
//!
//! Nothing rests on them: they show an operator, at any member, how far the
//! others are, also when no leader tells. Each carries a MAC under the shared
//! key and a number that rises, so a forged or repeated one is dropped.

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

/// Longest wait of the receiving thread before it looks whether to end.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(250);

/// Bytes of the MAC after a beacon.
const PROOF_BYTES: usize = ::link::key::PROOF_BYTES;

/// What the MAC is bound to besides the beacon.
const PURPOSE: &[u8] = b"beacon";

/// How far a member is.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub(crate) struct Beacon {
    /// The member.
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    /// When it was sent, in milliseconds of its wall clock; it rises.
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
    /// Last index that it applied.
    #[prost(uint64, tag = "3")]
    pub(crate) index: u64,
    /// Its term.
    #[prost(uint64, tag = "4")]
    pub(crate) term: u64,
    /// The leader it knows of; zero for none.
    #[prost(uint64, tag = "5")]
    pub(crate) leader: u64,
}

/// The sockets for beacons.
#[derive(Debug)]
pub(crate) struct Beacons {
    key: Key,
    publisher: Socket,
    listener: Listener,
    subscriber: Socket,
    dialers: BTreeMap<u64, (String, Dialer)>,
}

impl Beacons {
    /// Listens on a free port.
    ///
    /// # Errors
    /// What nng says.
    pub(crate) fn open(ip: IpAddr, key: Key) -> Result<Self, nng::Error> {
        let publisher = Socket::new(Protocol::Pub0)?;
        let listener = Listener::new(&publisher, &url(ip))?;
        let subscriber = Socket::new(Protocol::Sub0)?;
        subscriber.set_opt::<Subscribe>(Vec::new())?;
        subscriber.set_opt::<RecvTimeout>(Some(RECEIVE_TIMEOUT))?;
        Ok(Self { key, publisher, listener, subscriber, dialers: BTreeMap::new() })
    }

    /// Where it publishes, for others to dial.
    pub(crate) fn address(&self) -> String {
        // the option for the local address gives the port's bytes swapped
        self.listener.get_opt::<Url>().unwrap_or_default()
    }

    /// Passes what others publish to the core, until the token is cancelled.
    pub(crate) fn receive(&self, core: Sender, token: CancellationToken) -> std::io::Result<()> {
        let (socket, key) = (self.subscriber.clone(), self.key.clone());
        let run = move || {
            while !token.is_cancelled() {
                let Ok(message) = socket.recv() else { continue };
                if let Some(beacon) = read(&key, message.as_slice()) {
                    // a full queue may lose it
                    drop(core.try_send(Input::Beacon(beacon)));
                }
            }
        };
        std::thread::Builder::new().name("beacons".to_owned()).spawn(run).map(drop)
    }

    /// Hears a member from now on, where it publishes at present.
    pub(crate) fn subscribe(&mut self, member: &Member) {
        let known = self.dialers.get(&member.id).is_some_and(|(url, _)| *url == member.beacon);
        if known || member.beacon.is_empty() {
            return;
        }
        if let Ok(dialer) = Dialer::new(&self.subscriber, &member.beacon, true) {
            self.dialers.insert(member.id, (member.beacon.clone(), dialer));
        }
    }

    /// Stops hearing all but these.
    pub(crate) fn retain(&mut self, listed: impl Fn(u64) -> bool) {
        self.dialers.retain(|id, _| listed(*id));
    }

    /// Publishes a beacon; whoever is not there misses it.
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

fn read(key: &Key, message: &[u8]) -> Option<Beacon> {
    let (bytes, proof) = message.split_last_chunk::<PROOF_BYTES>()?;
    if !key.verify(&[PURPOSE, bytes], proof) {
        return None;
    }
    Beacon::decode(bytes).ok()
}

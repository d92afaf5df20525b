//! Links to the other members: one queue and one task for each.
//!
//! What can't be sent soon is dropped; the quorum log expects that.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ::link::{Failure, Purpose, Reader, Writer};
use base::prelude::*;
use slog::debug;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use wire::quorum::{Hello, Member, Members, Message};

use crate::host::Scope;
use crate::link::Endpoint;

/// Messages that may wait for one member.
const QUEUE: usize = 1_024;

/// Messages that are written at once.
const BURST: usize = 64;

/// Wait between two tries to dial a member.
const REDIAL_PAUSE: Duration = Duration::from_millis(100);

/// Time without a word that messages come after which a link is dialled anew: a
/// connection may go silent and never be closed.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Members outside the membership that are answered.
const MAX_NONMEMBERS: usize = 16;

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<Message>,
}

/// Links to the other members.
#[derive(Debug)]
pub(crate) struct Links {
    endpoint: Endpoint,
    scope: Scope,
    links: BTreeMap<u64, Link>,
    nonmembers: Vec<u64>,
}

impl Links {
    pub(crate) fn new(endpoint: Endpoint, scope: Scope) -> Self {
        Self { endpoint, scope, links: BTreeMap::new(), nonmembers: Vec::new() }
    }

    /// Sends to a member; a message that can't be queued is dropped, and the
    /// answer is false.
    pub(crate) fn send(&self, message: Message) -> bool {
        let link = self.links.get(&message.to);
        let open = link.filter(|_| !self.endpoint.is_isolated());
        open.is_some_and(|link| link.queue.try_send(message).is_ok())
    }

    /// Whether there is no other member.
    pub(crate) fn is_alone(&self) -> bool {
        self.links.is_empty()
    }

    /// Keeps links to a membership, and to the last few that left it or dialled.
    pub(crate) fn update(&mut self, members: &Members) {
        let listed = |id: &u64| members.members.iter().any(|member| member.id == *id);
        self.nonmembers.retain(|id| !listed(id));
        // a leader that is being removed still needs answers to commit that
        let left: Vec<_> = self.links.keys().copied().filter(|id| !listed(id)).collect();
        for id in left {
            self.add_nonmember(id);
        }
        for member in &members.members {
            self.open(member);
        }
    }

    /// A member dialled; it is answered even if it is outside the membership.
    pub(crate) fn admit(&mut self, member: &Member) {
        if self.links.contains_key(&member.id) {
            return;
        }
        self.add_nonmember(member.id);
        self.open(member);
    }

    fn add_nonmember(&mut self, id: u64) {
        if self.nonmembers.contains(&id) {
            return;
        }
        self.nonmembers.push(id);
        if self.nonmembers.len() > MAX_NONMEMBERS {
            let oldest = self.nonmembers.remove(0);
            self.links.remove(&oldest);
        }
    }

    fn open(&mut self, member: &Member) {
        let Ok(address) = member.link.parse() else { return };
        let known = self.links.get(&member.id).is_some_and(|link| link.address == address);
        if known || member.id == self.endpoint.own.id {
            return;
        }
        let (queue, due) = mpsc::channel(QUEUE);
        self.scope.spawn(run(address, member.id, self.endpoint.clone(), due));
        self.links.insert(member.id, Link { address, queue });
    }
}

/// Dials a member and says hello.
pub(crate) async fn exchange_hello(
    address: SocketAddr,
    endpoint: &Endpoint,
) -> Result<(Hello, Reader, Writer), Report<Failure>> {
    let peer = endpoint.peer(Purpose::Quorum);
    let (_, mut reader, mut writer) = ::link::dial(address, &peer, &endpoint.key).await?;
    let exchanged = async {
        writer.send(&endpoint.hello()).await?;
        reader.next::<Hello>().await?.ok_or_else(|| Report::new(Failure::Cut))
    };
    let hello = tokio::time::timeout(::link::peer::HANDSHAKE_TIMEOUT, exchanged).await;
    let hello = hello.change_context(Failure::Timeout)??;
    Ok((hello, reader, writer))
}

async fn run(address: SocketAddr, id: u64, endpoint: Endpoint, mut due: mpsc::Receiver<Message>) {
    while !due.is_closed() {
        if let Err(report) = run_link(address, id, &endpoint, &mut due).await {
            debug!(endpoint.log, "no link to a member"; "address" => address,
                "failure" => %report);
        }
        // what waits is soon old news
        while due.try_recv().is_ok() {}
        tokio::time::sleep(REDIAL_PAUSE).await;
    }
}

async fn run_link(
    address: SocketAddr,
    id: u64,
    endpoint: &Endpoint,
    due: &mut mpsc::Receiver<Message>,
) -> Result<(), Report<Failure>> {
    let (hello, mut reader, mut writer) = exchange_hello(address, endpoint).await?;
    if hello.member.as_ref().is_none_or(|member| member.id != id) {
        return Err(Report::new(Failure::Unproved));
    }
    let mut burst = Vec::with_capacity(BURST);
    // since when messages were sent without a word that they come
    let mut unconfirmed_since: Option<Instant> = None;
    loop {
        let deadline =
            unconfirmed_since.filter(|_| hello.confirms).map(|since| since + CONFIRM_TIMEOUT);
        tokio::select! {
            confirm = reader.next::<Hello>() => {
                confirm?.ok_or(Failure::Cut)?;
                unconfirmed_since = None;
                continue;
            }
            () = sleep_until(deadline.unwrap_or_else(Instant::now)),
                if deadline.is_some() => return Err(Report::new(Failure::Timeout)),
            count = due.recv_many(&mut burst, BURST) => {
                if count == 0 {
                    return Ok(());
                }
            }
        }
        for message in burst.drain(..) {
            writer.put(&message)?;
        }
        writer.flush().await?;
        unconfirmed_since.get_or_insert_with(Instant::now);
    }
}

//! Links to the other members: one queue and one task for each.
//!
//! Messages that can't be sent promptly are dropped; the quorum tolerates their loss.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use ::link::{Failure, Purpose, Reader, Writer};
use base::prelude::*;
use slog::debug;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep_until};
use wire::quorum::{Hello, Member, Members, Message};

use crate::host::Scope;
use crate::link::Endpoint;

/// Length of the send queue of one member.
const QUEUE_MESSAGES: usize = 1_024;

/// Largest number of messages written per flush.
const BURST_MESSAGES: usize = 64;

/// Delay between two attempts to dial a member.
const REDIAL_DELAY: Duration = Duration::from_millis(100);

/// Longest time that sent messages may stay unconfirmed before a link is dialled
/// again, since a connection may go silent without being closed.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest number of hosts outside the membership to which links are kept.
const MAX_NONMEMBERS: usize = 16;

/// Address and send queue of one member.
#[derive(Debug)]
struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<Message>,
    /// Notified when the member has dialled this one, and so is up.
    dialled: Arc<Notify>,
}

/// Links to the other members.
#[derive(Debug)]
pub(crate) struct Links {
    endpoint: Endpoint,
    scope: Scope,
    by_id: BTreeMap<u64, Link>,
    /// Ids of linked hosts outside the membership, oldest first.
    nonmembers: Vec<u64>,
}

impl Links {
    pub(crate) fn new(endpoint: Endpoint, scope: Scope) -> Self {
        Self { endpoint, scope, by_id: BTreeMap::new(), nonmembers: Vec::new() }
    }

    /// Queues a message for a member. Returns false if the message was dropped
    /// because it can't be queued.
    pub(crate) fn send(&self, message: Message) -> bool {
        let link = self.by_id.get(&message.to);
        let open = link.filter(|_| !self.endpoint.is_isolated());
        open.is_some_and(|link| link.queue.try_send(message).is_ok())
    }

    /// Whether this member has no links to others.
    pub(crate) fn is_alone(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Opens links to all members, and keeps links to the last [`MAX_NONMEMBERS`] hosts
    /// that left the membership or dialled this member.
    pub(crate) fn update(&mut self, members: &Members) {
        let listed = |id: &u64| members.members.iter().any(|member| member.id == *id);
        self.nonmembers.retain(|id| !listed(id));
        // a leader that is being removed needs answers to commit its own removal
        let left: Vec<_> = self.by_id.keys().copied().filter(|id| !listed(id)).collect();
        for id in left {
            self.add_nonmember(id);
        }
        for member in &members.members {
            self.open_link(member);
        }
    }

    /// Opens a link to a member that dialled, even if it is outside the membership. A link
    /// that waits to be dialled again is dialled at once.
    pub(crate) fn admit(&mut self, member: &Member) {
        if let Some(link) = self.by_id.get(&member.id) {
            return link.dialled.notify_one();
        }
        self.add_nonmember(member.id);
        self.open_link(member);
    }

    fn add_nonmember(&mut self, id: u64) {
        if self.nonmembers.contains(&id) {
            return;
        }
        self.nonmembers.push(id);
        if self.nonmembers.len() > MAX_NONMEMBERS {
            let oldest = self.nonmembers.remove(0);
            self.by_id.remove(&oldest);
        }
    }

    fn open_link(&mut self, member: &Member) {
        let Ok(address) = member.link.parse() else { return };
        let known = self.by_id.get(&member.id).is_some_and(|link| link.address == address);
        if known || member.id == self.endpoint.own.id {
            return;
        }
        let (queue, due) = mpsc::channel(QUEUE_MESSAGES);
        let dialled = Arc::new(Notify::new());
        let known = (address, member.id);
        self.scope.spawn(run(known, self.endpoint.clone(), due, Arc::clone(&dialled)));
        self.by_id.insert(member.id, Link { address, queue, dialled });
    }
}

/// Dials a member and exchanges hello messages.
pub(crate) async fn exchange_hello(
    address: SocketAddr,
    endpoint: &Endpoint,
) -> Result<(Hello, Reader, Writer), Report<Failure>> {
    let peer = endpoint.peer(Purpose::Quorum);
    let (_, mut reader, mut writer) = ::link::dial(address, &peer, &endpoint.key).await?;
    let exchanged = async {
        writer.send(&endpoint.hello()).await?;
        reader.next::<Hello>().await?.ok_or_else(|| Report::new(Failure::UnexpectedEof))
    };
    let hello = tokio::time::timeout(::link::peer::HANDSHAKE_TIMEOUT, exchanged).await;
    let hello = hello.change_context(Failure::Timeout)??;
    Ok((hello, reader, writer))
}

/// Keeps a link to a member until the send queue is closed.
async fn run(
    (address, id): (SocketAddr, u64),
    endpoint: Endpoint,
    mut due: mpsc::Receiver<Message>,
    dialled: Arc<Notify>,
) {
    while !due.is_closed() {
        if let Err(report) = run_link(address, id, &endpoint, &mut due).await {
            debug!(endpoint.log, "link to a member failed"; "address" => address,
                "failure" => %report);
        }
        // queued messages are outdated by the time of the next attempt
        while due.try_recv().is_ok() {}
        drop(tokio::time::timeout(REDIAL_DELAY, dialled.notified()).await);
    }
}

/// Dials a member and sends messages until the link fails or the queue is closed.
async fn run_link(
    address: SocketAddr,
    id: u64,
    endpoint: &Endpoint,
    due: &mut mpsc::Receiver<Message>,
) -> Result<(), Report<Failure>> {
    let (hello, mut reader, mut writer) = exchange_hello(address, endpoint).await?;
    if hello.member.as_ref().is_none_or(|member| member.id != id) {
        return Err(Report::new(Failure::Unauthenticated));
    }
    let mut burst = Vec::with_capacity(BURST_MESSAGES);
    // time of the oldest flush since the last confirmation
    let mut unconfirmed_since: Option<Instant> = None;
    loop {
        let deadline =
            unconfirmed_since.filter(|_| hello.confirms).map(|since| since + CONFIRM_TIMEOUT);
        tokio::select! {
            confirm = reader.next::<Hello>() => {
                confirm?.ok_or(Failure::UnexpectedEof)?;
                unconfirmed_since = None;
                continue;
            }
            () = sleep_until(deadline.unwrap_or_else(Instant::now)),
                if deadline.is_some() => return Err(Report::new(Failure::Timeout)),
            count = due.recv_many(&mut burst, BURST_MESSAGES) => {
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

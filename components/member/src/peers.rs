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
use crate::link::End;

/// Messages that may wait for one member.
const QUEUE: usize = 1_024;

/// Messages that are written at once.
const BURST: usize = 64;

/// Wait between two tries to dial a member.
const REDIAL_PAUSE: Duration = Duration::from_millis(100);

/// Time without a word that messages come after which a link is dialled anew: a
/// connection may go silent and never be closed.
const SILENCE: Duration = Duration::from_secs(1);

/// Members outside the membership that are answered.
const GUESTS: usize = 16;

#[derive(Debug)]
struct Line {
    address: SocketAddr,
    queue: mpsc::Sender<Message>,
}

/// Links to the other members.
#[derive(Debug)]
pub(crate) struct Links {
    end: End,
    scope: Scope,
    lines: BTreeMap<u64, Line>,
    guests: Vec<u64>,
}

impl Links {
    pub(crate) fn new(end: End, scope: Scope) -> Self {
        Self { end, scope, lines: BTreeMap::new(), guests: Vec::new() }
    }

    /// Sends to a member; a message that can't be queued is dropped, and the
    /// answer is false.
    pub(crate) fn send(&self, message: Message) -> bool {
        let line = self.lines.get(&message.to);
        let open = line.filter(|_| !self.end.is_cut());
        open.is_some_and(|line| line.queue.try_send(message).is_ok())
    }

    /// Whether there is no other member.
    pub(crate) fn is_alone(&self) -> bool {
        self.lines.is_empty()
    }

    /// Keeps links to a membership, and to the last few that left it or dialled.
    pub(crate) fn keep(&mut self, members: &Members) {
        let listed = |id: &u64| members.members.iter().any(|member| member.id == *id);
        self.guests.retain(|id| !listed(id));
        // a leader that is being removed still needs answers to commit that
        let left: Vec<_> = self.lines.keys().copied().filter(|id| !listed(id)).collect();
        for id in left {
            self.add_guest(id);
        }
        for member in &members.members {
            self.open(member);
        }
    }

    /// A member dialled; it is answered even if it is outside the membership.
    pub(crate) fn greet(&mut self, member: &Member) {
        if self.lines.contains_key(&member.id) {
            return;
        }
        self.add_guest(member.id);
        self.open(member);
    }

    fn add_guest(&mut self, id: u64) {
        if self.guests.contains(&id) {
            return;
        }
        self.guests.push(id);
        if self.guests.len() > GUESTS {
            let oldest = self.guests.remove(0);
            self.lines.remove(&oldest);
        }
    }

    fn open(&mut self, member: &Member) {
        let Ok(address) = member.link.parse() else { return };
        let known = self.lines.get(&member.id).is_some_and(|line| line.address == address);
        if known || member.id == self.end.own.id {
            return;
        }
        let (queue, due) = mpsc::channel(QUEUE);
        self.scope.spawn(run(address, member.id, self.end.clone(), due));
        self.lines.insert(member.id, Line { address, queue });
    }
}

/// Dials a member and says hello.
pub(crate) async fn greet(
    address: SocketAddr,
    end: &End,
) -> Result<(Hello, Reader, Writer), Report<Failure>> {
    let peer = end.peer(Purpose::Quorum);
    let (_, mut reader, mut writer) = ::link::dial(address, &peer, &end.key).await?;
    let greeted = async {
        writer.send(&end.hello()).await?;
        reader.next::<Hello>().await?.ok_or_else(|| Report::new(Failure::UnexpectedEof))
    };
    let hello = tokio::time::timeout(::link::peer::HANDSHAKE_TIMEOUT, greeted).await;
    let hello = hello.change_context(Failure::Timeout)??;
    Ok((hello, reader, writer))
}

async fn run(address: SocketAddr, id: u64, end: End, mut due: mpsc::Receiver<Message>) {
    while !due.is_closed() {
        if let Err(report) = carry(address, id, &end, &mut due).await {
            debug!(end.log, "no link to a member"; "address" => address, "failure" => %report);
        }
        // what waits is soon old news
        while due.try_recv().is_ok() {}
        tokio::time::sleep(REDIAL_PAUSE).await;
    }
}

async fn carry(
    address: SocketAddr,
    id: u64,
    end: &End,
    due: &mut mpsc::Receiver<Message>,
) -> Result<(), Report<Failure>> {
    let (hello, mut reader, mut writer) = greet(address, end).await?;
    if hello.member.as_ref().is_none_or(|member| member.id != id) {
        return Err(Report::new(Failure::Unauthenticated));
    }
    let mut burst = Vec::with_capacity(BURST);
    // since when messages were sent without a word that they come
    let mut waits: Option<Instant> = None;
    loop {
        let silent = waits.filter(|_| hello.confirms).map(|since| since + SILENCE);
        tokio::select! {
            word = reader.next::<Hello>() => {
                word?.ok_or(Failure::UnexpectedEof)?;
                waits = None;
                continue;
            }
            () = sleep_until(silent.unwrap_or_else(Instant::now)),
                if silent.is_some() => return Err(Report::new(Failure::Timeout)),
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
        waits.get_or_insert_with(Instant::now);
    }
}

//! Listener for links from members and entries.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ::link::{Failure, Key, Peer, Purpose, Reader, Writer};
use base::prelude::*;
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};
use wire::quorum::{Hello, Member, Message};

use crate::entry;
use crate::host::Scope;
use crate::input::{Input, Sender};

/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Shortest interval between two confirmations of received messages.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Shared state of this member's end of its links.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) own: Member,
    pub(crate) key: Key,
    /// Whether this member has neither log entries nor a snapshot.
    pub(crate) fresh: Arc<AtomicBool>,
    /// Whether this member asks to join a membership: set at the start if it has no
    /// log, and later whenever it has had no leader for too long.
    pub(crate) wants_to_join: Arc<AtomicBool>,
    /// Whether the member drops all messages to and from members and entries and refuses
    /// their new links, which tests use to simulate a partition.
    pub(crate) isolated: Arc<AtomicBool>,
    pub(crate) log: Logger,
}

impl Endpoint {
    /// Identity of this member in the handshake.
    pub(crate) fn peer(&self, purpose: Purpose) -> Peer {
        Peer::new(&self.own.name, self.own.id, purpose)
    }

    pub(crate) fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Acquire)
    }

    pub(crate) fn hello(&self) -> Hello {
        let (fresh, wants_to_join) =
            (self.fresh.load(Ordering::Acquire), self.wants_to_join.load(Ordering::Acquire));
        Hello { member: Some(self.own.clone()), fresh, wants_to_join, confirms: true }
    }
}

/// Accepts links until the scope ends.
pub(crate) async fn serve(listener: TcpListener, endpoint: Endpoint, core: Sender, scope: Scope) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => scope.spawn(accept(stream, endpoint.clone(), core.clone())),
            Err(error) => {
                warn!(endpoint.log, "could not accept a link"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn accept(stream: TcpStream, endpoint: Endpoint, core: Sender) {
    if endpoint.is_isolated() {
        return;
    }
    let accepted = ::link::accept(stream, &endpoint.peer(Purpose::Quorum), &endpoint.key).await;
    let (peer, reader, writer) = match accepted {
        Ok(accepted) => accepted,
        Err(report) => {
            debug!(endpoint.log, "refused a link"; "failure" => %report);
            return;
        }
    };
    let ended = match peer.purpose() {
        Purpose::Quorum => serve_member(reader, writer, &endpoint, &core).await,
        Purpose::Control => entry::serve(reader, writer, &endpoint, &core).await,
        Purpose::Data | Purpose::Other => Ok(()),
    };
    if let Err(report) = ended {
        debug!(endpoint.log, "link failed"; "peer" => peer.name, "failure" => %report);
    }
}

/// Receives messages of another member and confirms their arrival.
async fn serve_member(
    mut reader: Reader,
    mut writer: Writer,
    endpoint: &Endpoint,
    core: &Sender,
) -> Result<(), Report<Failure>> {
    let hello: Hello = reader.next().await?.ok_or(Failure::UnexpectedEof)?;
    writer.send(&endpoint.hello()).await?;
    let Some(member) = hello.member else { return Err(Report::new(Failure::Malformed)) };
    let id = member.id;
    drop(core.send(Input::Hello { member, wants_to_join: hello.wants_to_join }).await);
    let mut last_confirm = Instant::now();
    let mut unconfirmed = false;
    loop {
        let message = tokio::select! {
            message = reader.next::<Message>() => message?,
            () = sleep_until(last_confirm + CONFIRM_INTERVAL), if unconfirmed => {
                writer.send(&Hello::default()).await?;
                (last_confirm, unconfirmed) = (Instant::now(), false);
                continue;
            }
        };
        let Some(message) = message else { return Ok(()) };
        if message.from != id {
            return Err(Report::new(Failure::Malformed));
        }
        if endpoint.is_isolated() {
            continue;
        }
        unconfirmed = true;
        if core.send(Input::Message(message)).await.is_err() {
            return Ok(());
        }
    }
}

//! The listener for links of members and entries.

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

/// Wait after a failed accept, as when files run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Least time between two words that messages come.
const CONFIRM_PAUSE: Duration = Duration::from_millis(200);

/// This member's end of its links.
#[derive(Clone, Debug)]
pub(crate) struct End {
    pub(crate) own: Member,
    pub(crate) key: Key,
    pub(crate) fresh: Arc<AtomicBool>,
    /// Whether it has known no leader for some time and asks to be a member.
    pub(crate) asks: Arc<AtomicBool>,
    /// Whether the member is cut off from all others, for tests of that.
    pub(crate) cut: Arc<AtomicBool>,
    pub(crate) log: Logger,
}

impl End {
    /// How it names itself.
    pub(crate) fn peer(&self, purpose: Purpose) -> Peer {
        Peer::new(&self.own.name, self.own.id, purpose)
    }

    pub(crate) fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Acquire)
    }

    pub(crate) fn hello(&self) -> Hello {
        let (fresh, asks) = (self.fresh.load(Ordering::Acquire), self.asks.load(Ordering::Acquire));
        Hello { member: Some(self.own.clone()), fresh, asks, confirms: true }
    }
}

/// Accepts links until the scope ends.
pub(crate) async fn serve(listener: TcpListener, end: End, core: Sender, scope: Scope) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => scope.spawn(take(stream, end.clone(), core.clone())),
            Err(error) => {
                warn!(end.log, "could not accept a link"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn take(stream: TcpStream, end: End, core: Sender) {
    if end.is_cut() {
        return;
    }
    let accepted = ::link::accept(stream, &end.peer(Purpose::Quorum), &end.key).await;
    let (peer, reader, writer) = match accepted {
        Ok(accepted) => accepted,
        Err(report) => {
            debug!(end.log, "refused a link"; "failure" => %report);
            return;
        }
    };
    let ended = match peer.purpose() {
        Purpose::Quorum => member(reader, writer, &end, &core).await,
        Purpose::Control => entry::serve(reader, writer, &end, &core).await,
        Purpose::Data | Purpose::Other => Ok(()),
    };
    if let Err(report) = ended {
        debug!(end.log, "a link ended"; "peer" => peer.name, "failure" => %report);
    }
}

/// Takes messages of another member.
async fn member(
    mut reader: Reader,
    mut writer: Writer,
    end: &End,
    core: &Sender,
) -> Result<(), Report<Failure>> {
    let hello: Hello = reader.next().await?.ok_or(Failure::UnexpectedEof)?;
    writer.send(&end.hello()).await?;
    let Some(member) = hello.member else { return Err(Report::new(Failure::Malformed)) };
    let id = member.id;
    drop(core.send(Input::Greeted { member, asks: hello.asks }).await);
    let mut confirmed = Instant::now();
    let mut owed = false;
    loop {
        let message = tokio::select! {
            message = reader.next::<Message>() => message?,
            () = sleep_until(confirmed + CONFIRM_PAUSE), if owed => {
                writer.send(&Hello::default()).await?;
                (confirmed, owed) = (Instant::now(), false);
                continue;
            }
        };
        let Some(message) = message else { return Ok(()) };
        if message.from != id {
            return Err(Report::new(Failure::Malformed));
        }
        if end.is_cut() {
            continue;
        }
        owed = true;
        if core.send(Input::Message(message)).await.is_err() {
            return Ok(());
        }
    }
}

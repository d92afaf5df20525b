//! The link of an entry (a proxy process): received messages go to the core, and
//! messages of the core go to the entry.

use ::link::{Failure, Reader, Writer};
use base::prelude::*;
use tokio::sync::oneshot;
use wire::control::{Down, Up, down, up};

use crate::follower::Follower;
use crate::input::{Input, Sender};
use crate::link::Endpoint;
use crate::outbox::{self, Due};

/// Largest number of messages written per flush.
const BURST_MESSAGES: usize = 64;

/// Longest wait for the first message of an entry.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves an entry until the link ends or the core drops the follower.
pub(crate) async fn serve(
    mut reader: Reader,
    mut writer: Writer,
    endpoint: &Endpoint,
    core: &Sender,
) -> Result<(), Report<Failure>> {
    let first = tokio::time::timeout(FOLLOW_TIMEOUT, reader.next::<Up>()).await;
    let first = first.change_context(Failure::Timeout)??;
    let Some(Up { body: Some(up::Body::Follow(follow)) }) = first else {
        return Err(Report::new(Failure::Malformed));
    };
    let (outbox, mut due) = outbox::queue();
    let (reply, follower) = oneshot::channel();
    drop(core.send(Input::Follow { follow, outbox, reply }).await);
    let Ok(key) = follower.await else {
        return refuse(&mut writer).await;
    };
    let ended = tokio::select! {
        ended = receive(&mut reader, key, endpoint, core) => ended,
        ended = send(&mut writer, endpoint, &mut due) => ended,
    };
    drop(core.send(Input::Closed { key }).await);
    ended
}

async fn refuse(writer: &mut Writer) -> Result<(), Report<Failure>> {
    let refuse = down::Body::Refuse(wire::control::Refuse {});
    writer.send(&Down { body: Some(refuse) }).await
}

async fn receive(
    reader: &mut Reader,
    key: Key<Follower>,
    endpoint: &Endpoint,
    core: &Sender,
) -> Result<(), Report<Failure>> {
    while let Some(up) = reader.next::<Up>().await? {
        let input = match up.body {
            Some(up::Body::Heartbeat(heartbeat)) => Input::Heartbeat { key, heartbeat },
            Some(up::Body::Symptom(symptom)) => Input::Symptom { key, symptom },
            Some(up::Body::Leave(_)) => Input::Leave { key },
            Some(up::Body::Seal(seal)) => Input::Seal { key, seal },
            Some(up::Body::Follow(_)) => return Err(Report::new(Failure::Malformed)),
            None => continue,
        };
        if endpoint.is_isolated() {
            continue;
        }
        if core.send(input).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}

async fn send(
    writer: &mut Writer,
    endpoint: &Endpoint,
    due: &mut Due,
) -> Result<(), Report<Failure>> {
    let mut burst = Vec::with_capacity(BURST_MESSAGES);
    while due.receive(&mut burst, BURST_MESSAGES).await > 0 {
        if endpoint.is_isolated() {
            // the link is closed, since a dropped message would leave a gap in the log
            // entries, which looks like a faulty member
            return Err(Report::new(Failure::UnexpectedEof));
        }
        writer.send_frames(&burst).await?;
        due.written(&burst);
        burst.clear();
    }
    Ok(())
}

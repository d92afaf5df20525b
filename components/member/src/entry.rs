//! The link of an entry: what it sends goes to the core, and what the core
//! has for it goes out.

use ::link::{Failure, Reader, Writer};
use base::prelude::*;
use tokio::sync::{mpsc, oneshot};
use wire::control::{Down, Up, down, up};

use crate::follow::Follower;
use crate::input::{Input, Sender};
use crate::link::End;

/// Messages that may wait for one entry; a slower one is dropped and comes back.
const QUEUE: usize = 512;

/// Messages that are written at once.
const BURST: usize = 64;

/// Longest wait for an entry's first message.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves an entry until its link ends or the core drops it.
pub(crate) async fn serve(
    mut reader: Reader,
    mut writer: Writer,
    end: &End,
    core: &Sender,
) -> Result<(), Report<Failure>> {
    let first = tokio::time::timeout(FOLLOW_TIMEOUT, reader.next::<Up>()).await;
    let first = first.change_context(Failure::Timeout)??;
    let Some(Up { body: Some(up::Body::Follow(follow)) }) = first else {
        return Err(Report::new(Failure::Malformed));
    };
    let (sender, mut due) = mpsc::channel(QUEUE);
    let (reply, opened) = oneshot::channel();
    drop(core.send(Input::Opened { follow, sender, reply }).await);
    let Ok(key) = opened.await else {
        return refuse(&mut writer).await;
    };
    let ended = tokio::select! {
        ended = take(&mut reader, key, end, core) => ended,
        ended = give(&mut writer, end, &mut due) => ended,
    };
    drop(core.send(Input::Closed { key }).await);
    ended
}

async fn refuse(writer: &mut Writer) -> Result<(), Report<Failure>> {
    let refuse = down::Body::Refuse(wire::control::Refuse {});
    writer.send(&Down { body: Some(refuse) }).await
}

async fn take(
    reader: &mut Reader,
    key: Key<Follower>,
    end: &End,
    core: &Sender,
) -> Result<(), Report<Failure>> {
    while let Some(up) = reader.next::<Up>().await? {
        let input = match up.body {
            Some(up::Body::Heartbeat(beat)) => Input::Beat { key, beat },
            Some(up::Body::Symptom(symptom)) => Input::Symptom { key, symptom },
            Some(up::Body::Leave(_)) => Input::Left { key },
            Some(up::Body::Seal(seal)) => Input::Seal { key, seal },
            Some(up::Body::Follow(_)) => return Err(Report::new(Failure::Malformed)),
            None => continue,
        };
        if end.is_cut() {
            continue;
        }
        if core.send(input).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}

async fn give(
    writer: &mut Writer,
    end: &End,
    due: &mut mpsc::Receiver<Down>,
) -> Result<(), Report<Failure>> {
    let mut burst = Vec::with_capacity(BURST);
    while due.recv_many(&mut burst, BURST).await > 0 {
        for down in burst.drain(..) {
            if end.is_cut() {
                // a gap would look like a broken member, so the link ends
                return Err(Report::new(Failure::UnexpectedEof));
            }
            writer.put(&down)?;
        }
        writer.flush().await?;
    }
    Ok(())
}

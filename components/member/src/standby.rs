//! A control host without a disk. The host is not a member, and tells members so
//! when they exchange hello messages with it.

use ::link::{Failure, Key, Peer, Purpose};
use base::prelude::*;
use slog::{Logger, debug};
use tokio::net::{TcpListener, TcpStream};
use wire::quorum::Hello;

/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers the hello messages of members until the task is cancelled.
pub async fn serve(listener: TcpListener, name: Name, key: Key, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (name, key, log) = (name.clone(), key.clone(), log.clone());
                tokio::spawn(async move {
                    if let Err(report) = answer_hello(stream, &name, &key).await {
                        debug!(log, "could not exchange hello messages on a link";
                            "failure" => %report);
                    }
                });
            }
            Err(error) => {
                debug!(log, "could not accept a link"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn answer_hello(stream: TcpStream, name: &Name, key: &Key) -> Result<(), Report<Failure>> {
    let own = Peer::new(name.as_str(), 0, Purpose::Quorum);
    let (_, mut reader, mut writer) = ::link::accept(stream, &own, key).await?;
    let _hello: Option<Hello> = reader.next().await?;
    writer.send(&Hello { fresh: true, ..Hello::default() }).await
}

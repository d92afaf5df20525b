//! Replication, from the replica's side.
//!
//! A replica takes from its primary whatever the primary offers, at once and
//! again with each change or keepalive. What it has taken is kept; reads see it
//! after the lag.

use std::sync::Arc;

use base::prelude::*;
use slog::{error, info};

use crate::core::{self, Rebuild};
use crate::log::Receipt;
use crate::server::Server;
use crate::store;

/// Longest pause between two signs of life.
pub const KEEPALIVE: Duration = Duration::from_millis(50);

/// Time that a record takes from server to server.
pub const HOP: Duration = Duration::from_millis(1);

const APPLY_PAUSE: Duration = Duration::from_millis(1);

/// Copies from whichever primary the server follows.
pub async fn copy(server: Arc<Server>) {
    loop {
        match pull(&server).await {
            Some(true) => {}
            Some(false) => tokio::time::sleep(HOP).await,
            None => drop(tokio::time::timeout(KEEPALIVE, changed(&server)).await),
        }
    }
}

async fn changed(server: &Server) {
    let mut changes = server.changes();
    changes.borrow_and_update();
    drop(changes.changed().await);
}

// whether an offer was taken; none while there is no primary to ask
async fn pull(server: &Arc<Server>) -> Option<bool> {
    let (term, address, runs, last) = server.read(|core| {
        let log = &core.log;
        Some((log.term(), log.following()?, log.runs().to_vec(), log.last().position))
    })?;
    let primary = server.peer(address)?;
    if !server.reaches(&primary) {
        return Some(false);
    }
    let mut changes = primary.changes();
    changes.borrow_and_update();
    let offer = primary.read(|core| core.log.offer(term, &runs, last));
    tokio::time::sleep(HOP).await;
    let Some(offer) = offer.filter(|_| server.reaches(&primary)) else {
        return Some(false);
    };
    let now = server.now();
    let (receipt, rebuild) = server.change(|core| core.receive(now, term, address, &offer));
    if receipt == Receipt::Refused {
        return Some(false);
    }
    server.hear();
    if let Some(rebuild) = rebuild {
        info!(server.log, "rewound"; "kept" => offer.agreed.0, "before" => last.0);
        server.reset_data();
        let task = build(Arc::clone(server), rebuild);
        server.spawn(task);
    }
    drop(tokio::time::timeout(KEEPALIVE, changes.changed()).await);
    Some(true)
}

/// Builds a database anew and hands it to the server.
pub async fn build(server: Arc<Server>, rebuild: Rebuild) {
    let Rebuild { generation, path, entries } = rebuild;
    let position = Position(entries.len() as u64);
    let built = tokio::task::spawn_blocking(move || {
        let writer = store::open(&path)?;
        core::execute(&writer, &entries)?;
        Ok::<_, crate::failure::Rejection>(writer)
    });
    match built.await {
        Ok(Ok(writer)) => server.change(|core| core.rebuilt(generation, writer, position)),
        Ok(Err(rejection)) => {
            error!(server.log, "could not rebuild the database"; "error" => %rejection);
        }
        Err(error) => error!(server.log, "could not rebuild the database"; "error" => %error),
    }
}

/// Shows to reads what has been held for the lag.
pub async fn apply(server: Arc<Server>) {
    loop {
        let (now, lag) = (server.now(), server.lag());
        match server.change(|core| core.catch_up(now, lag)) {
            Ok(None) => drop(tokio::time::timeout(KEEPALIVE, changed(&server)).await),
            Ok(Some(due)) => {
                let pause = due.since(server.now()).clamp(APPLY_PAUSE, KEEPALIVE);
                tokio::time::sleep(pause).await;
            }
            Err(rejection) => {
                error!(server.log, "could not apply a record"; "error" => %rejection);
                tokio::time::sleep(KEEPALIVE).await;
            }
        }
    }
}

//! The replica's side of replication.
//!
//! A replica pulls entries from its primary after each change of the primary's log
//! and at each keepalive. Pulled entries are in the replica's log at once; reads
//! see them after the configured lag.

use std::sync::Arc;

use base::prelude::*;
use slog::{error, info};

use crate::log::Receipt;
use crate::server::Server;
use crate::sqlite;
use crate::storage::{self, Rebuild};

/// Longest time that a replica waits for a change before it polls its primary
/// again.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(50);

/// Simulated network delay of a batch between two servers, and pause after a pull that
/// failed.
pub const NETWORK_DELAY: Duration = Duration::from_millis(1);

const MIN_APPLY_PAUSE: Duration = Duration::from_millis(1);

/// Pulls entries from the primary that the server follows, until the task is
/// cancelled.
pub async fn pull_entries(server: Arc<Server>) {
    loop {
        match pull_batch(&server).await {
            Some(true) => {}
            Some(false) => tokio::time::sleep(NETWORK_DELAY).await,
            None => drop(tokio::time::timeout(KEEPALIVE_INTERVAL, next_change(&server)).await),
        }
    }
}

async fn next_change(server: &Server) {
    let mut changes = server.changes();
    changes.borrow_and_update();
    drop(changes.changed().await);
}

// whether a batch was accepted; `None` while the server follows no primary or the
// primary's address belongs to no server of the group
async fn pull_batch(server: &Arc<Server>) -> Option<bool> {
    let (term, address, term_starts, last) = server.with_storage(|storage| {
        let log = &storage.log;
        Some((log.term(), log.following()?, log.term_starts().to_vec(), log.last().position))
    })?;
    let primary = server.peer(address)?;
    if !server.is_connected_to(&primary) {
        return Some(false);
    }
    let mut changes = primary.changes();
    changes.borrow_and_update();
    let batch = primary.with_storage(|storage| storage.log.next_batch(term, &term_starts, last));
    tokio::time::sleep(NETWORK_DELAY).await;
    let Some(batch) = batch.filter(|_| server.is_connected_to(&primary)) else {
        return Some(false);
    };
    let now = server.now();
    let (receipt, rebuild) = server.change(|storage| storage.receive(now, term, address, &batch));
    if receipt == Receipt::Refused {
        return Some(false);
    }
    server.record_contact();
    if let Some(rebuild) = rebuild {
        info!(
            server.log, "rewound the log to match the primary";
            "kept" => batch.match_position.0, "before" => last.0
        );
        server.close_data_sessions();
        let task = rebuild_database(Arc::clone(server), rebuild);
        server.spawn(task);
    }
    drop(tokio::time::timeout(KEEPALIVE_INTERVAL, changes.changed()).await);
    Some(true)
}

/// Builds a database from the log's entries and installs it in the server.
pub async fn rebuild_database(server: Arc<Server>, rebuild: Rebuild) {
    let Rebuild { generation, path, entries } = rebuild;
    let position = Position(entries.len() as u64);
    let built = tokio::task::spawn_blocking(move || {
        let writer = sqlite::open(&path)?;
        storage::apply_entries(&writer, &entries)?;
        Ok::<_, crate::failure::Rejection>(writer)
    });
    match built.await {
        Ok(Ok(writer)) => {
            server.change(|storage| storage.finish_rebuild(generation, writer, position));
        }
        Ok(Err(rejection)) => {
            error!(server.log, "could not rebuild the database"; "error" => %rejection);
        }
        Err(error) => error!(server.log, "could not rebuild the database"; "error" => %error),
    }
}

/// Applies received entries once they are older than the lag, until the task is
/// cancelled.
pub async fn apply_entries(server: Arc<Server>) {
    loop {
        let (now, lag) = (server.now(), server.lag());
        match server.change(|storage| storage.apply_due(now, lag)) {
            Ok(None) => drop(tokio::time::timeout(KEEPALIVE_INTERVAL, next_change(&server)).await),
            Ok(Some(due)) => {
                let pause = due.since(server.now()).clamp(MIN_APPLY_PAUSE, KEEPALIVE_INTERVAL);
                tokio::time::sleep(pause).await;
            }
            Err(rejection) => {
                error!(server.log, "could not apply log entries"; "error" => %rejection);
                tokio::time::sleep(KEEPALIVE_INTERVAL).await;
            }
        }
    }
}

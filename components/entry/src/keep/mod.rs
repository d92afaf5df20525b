//! The half of an entry that meets backend servers.
//!
//! It keeps no group: each request is not run, since this is the wrong keeper.

use std::sync::Arc;

use base::clock::Clock;
use base::prelude::*;
use link::{Key, Peer, Purpose};
use slog::Logger;
use telemetry::web::Metrics;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use wire::data::{Answer, Ask, End, Outcome, Reason, answer, ask};

use crate::View;

/// What a keeper needs.
#[derive(Debug)]
pub struct Settings {
    /// Name of the entry.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Where fronts connect.
    pub listener: TcpListener,
    /// The key that the system's processes share.
    pub key: Key,
    /// What is known of the control log.
    pub view: View,
    /// Time.
    pub clock: Clock,
    /// Where metrics are registered.
    pub metrics: Metrics,
    /// Log.
    pub log: Logger,
}

/// A keeper that runs.
#[derive(Debug)]
pub struct Handle {
    stop: CancellationToken,
    task: tokio::task::JoinHandle<Option<()>>,
}

impl Handle {
    /// Takes nothing new, and ends when what runs is over.
    pub async fn close(self) {
        self.stop.cancel();
        drop(self.task.await);
    }

    /// Drops everything at once.
    pub fn kill(self) {
        self.stop.cancel();
    }
}

/// Starts a keeper.
pub fn start(settings: Settings) -> Handle {
    let stop = CancellationToken::new();
    let accept = accept(Arc::new(settings), stop.clone());
    let task = tokio::spawn(stop.clone().run_until_cancelled_owned(accept));
    Handle { stop, task }
}

async fn accept(settings: Arc<Settings>, stop: CancellationToken) {
    while let Ok((stream, _)) = settings.listener.accept().await {
        let task = serve(Arc::clone(&settings), stream);
        tokio::spawn(stop.clone().run_until_cancelled_owned(task));
    }
}

async fn serve(settings: Arc<Settings>, stream: TcpStream) {
    let own = Peer::new(settings.name.as_str(), settings.incarnation, Purpose::Data);
    let Ok((_, mut reader, mut writer)) = link::accept(stream, &own, &settings.key).await else {
        return;
    };
    while let Ok(Some(ask)) = reader.next::<Ask>().await {
        let Some(ask::Body::Run(run)) = ask.body else {
            continue;
        };
        let (outcome, reason) = (Outcome::NotRun as i32, Reason::WrongKeeper as i32);
        let end = End { request: run.request, outcome, reason, ..End::default() };
        if writer.send(&Answer { body: Some(answer::Body::End(end)) }).await.is_err() {
            return;
        }
    }
}

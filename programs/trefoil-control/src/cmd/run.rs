//! `run`: runs the control member until SIGTERM or SIGINT.

use base::clock::Clock;
use base::prelude::*;
use slog::{error, info};
use tokio::signal::unix::{SignalKind, signal};

use crate::cli::{Failure, Settings};

/// Runs the member. SIGTERM and SIGINT stop the member gracefully.
pub(crate) fn run(settings: Settings) -> Result<(), Report<Failure>> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.change_context(Failure::Start)?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Report<Failure>> {
    let log = telemetry::logger("trefoil-control", settings.level, settings.format);
    let mut terminate = signal(SignalKind::terminate()).change_context(Failure::Start)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(Failure::Start)?;
    let bound = member::bind(member::Settings {
        name: settings.name,
        data: settings.data,
        link: settings.link,
        web: settings.web,
        key: settings.key,
        log: log.clone(),
        clock: Clock::start(),
        seed: 0,
        beacons: true,
        adapter: None,
        without: settings.without,
    });
    let bound = bound.await.change_context(Failure::Start)?;
    let started = bound.start(settings.peers, axum::Router::new());
    let member = started.change_context(Failure::Start)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = member.ended() => {
            error!(log, "the control member ended without a signal");
            return Err(Report::new(Failure::Ended));
        }
    }
    info!(log, "stopping after a signal");
    member.stop().await;
    Ok(())
}

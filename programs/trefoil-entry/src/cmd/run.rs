//! `run`: runs an entry until SIGTERM or SIGINT.

use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use base::clock::Clock;
use entry::front::tls::Tls;
use link::Key;
use slog::{error, info};
use telemetry::cli::USAGE_EXIT_CODE;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::cli::Run;

/// Runs an entry. SIGTERM and SIGINT stop the entry gracefully.
pub fn run(run: Run) -> ExitCode {
    let key = match run.key.clone() {
        Ok(key) => key,
        Err(invalid) => {
            eprintln!("Error: {invalid}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    let log = telemetry::logger("trefoil-entry", run.level, run.format);
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(log, "could not start the Tokio runtime"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(serve(run, key, log))
}

async fn serve(run: Run, key: Key, log: slog::Logger) -> ExitCode {
    let signals = signal(SignalKind::terminate()).and_then(|terminate| {
        signal(SignalKind::interrupt()).map(|interrupt| (terminate, interrupt))
    });
    let (terminate, interrupt) = match signals {
        Ok(signals) => signals,
        Err(error) => {
            error!(log, "could not install the signal handlers"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    let stop = run.stop;
    let bound = match entry::bind(settings(run, key, log.clone())).await {
        Ok(bound) => bound,
        Err(report) => {
            error!(log, "could not start the entry"; "error" => #%report);
            return ExitCode::FAILURE;
        }
    };
    let addresses = bound.addresses();
    let handle = bound.start();
    info!(log, "started"; "callers" => %addresses.callers, "link" => %addresses.link,
        "web" => %addresses.web);
    wait_for_signal(terminate, interrupt).await;
    handle.stop_with(stop).await;
    ExitCode::SUCCESS
}

async fn wait_for_signal(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn settings(run: Run, key: Key, log: slog::Logger) -> entry::Settings {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    entry::Settings {
        name: run.name,
        zone: run.zone,
        incarnation: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        callers: run.callers,
        link: run.link,
        web: run.web,
        sole: false,
        weight: 1,
        controls: run.controls.into(),
        key,
        users: run.users,
        tls: run.tls.map(|(cert, key)| Tls { cert, key }),
        dialect: None,
        quota: quota::Bounds::default(),
        without: run.without,
        log,
        clock: Clock::start(),
    }
}

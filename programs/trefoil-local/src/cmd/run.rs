//! Runs the system until SIGTERM or SIGINT, then stops it gracefully.

use std::process::ExitCode;

use local::Cluster;
use serde::Serialize;
use slog::{Logger, error};
use tokio::signal::unix::{SignalKind, signal};

use crate::cli::Settings;

#[derive(Serialize)]
struct Startup {
    ready: bool,
    entries: Vec<String>,
    admin: String,
}

pub(crate) fn run(settings: Settings) -> ExitCode {
    let log = telemetry::logger("trefoil-local", settings.log_level, settings.log_format);
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(log, "could not start the Tokio runtime"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(serve(settings, log))
}

async fn serve(settings: Settings, log: Logger) -> ExitCode {
    let cluster = Cluster::start(local::Settings {
        entries: settings.entries,
        controls: settings.controls,
        listen: settings.listen,
        admin: settings.admin,
        data: settings.data,
        ..local::Settings::new(settings.example, log.clone())
    });
    let cluster = match cluster.await {
        Ok(cluster) => cluster,
        Err(report) => {
            error!(log, "could not start the cluster"; "error" => format!("{report:?}"));
            return ExitCode::FAILURE;
        }
    };
    print_startup(&cluster).await;
    wait_for_signal().await;
    cluster.stop().await;
    ExitCode::SUCCESS
}

async fn print_startup(cluster: &Cluster) {
    let entries = cluster.entries().await.iter().map(ToString::to_string).collect();
    let admin = cluster.admins().first().map(ToString::to_string).unwrap_or_default();
    println!("{}", serde_json::json!(Startup { ready: true, entries, admin }));
}

async fn wait_for_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

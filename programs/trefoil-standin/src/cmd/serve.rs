//! Runs the group until the process is told to end.

use std::collections::BTreeMap;
use std::fmt;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use base::prelude::*;
use serde::Serialize;
use slog::{Logger, error, info};
use standin::{Group, Settings};
use tokio::signal::unix::{SignalKind, signal};

use crate::cli::Arguments;

/// Why the program failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The runtime or its signals could not be set up.
    Runtime,
    /// The group could not start.
    Start,
    /// Standard output could not be written.
    Output,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Runtime => "the runtime could not be set up",
            Self::Start => "the group could not start",
            Self::Output => "standard output could not be written",
        })
    }
}

impl std::error::Error for Failure {}

#[derive(Debug, Serialize)]
struct Ready<'a> {
    group: &'a Name,
    servers: Vec<SocketAddr>,
}

/// Runs the group; the exit code is zero after a planned stop.
pub fn run(arguments: Arguments) -> ExitCode {
    let log = telemetry::logger("trefoil-standin", arguments.level, arguments.format);
    match serve(arguments, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            error!(log, "failed"; "error" => ?report);
            ExitCode::FAILURE
        }
    }
}

fn serve(arguments: Arguments, log: &Logger) -> Result<(), Report<Failure>> {
    let runtime = tokio::runtime::Runtime::new().change_context(Failure::Runtime)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).change_context(Failure::Runtime)?;
        let mut interrupt = signal(SignalKind::interrupt()).change_context(Failure::Runtime)?;
        let group = Group::start(settings(arguments, log)).await.change_context(Failure::Start)?;
        announce(&group)?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        info!(log, "stopping");
        group.stop().await;
        Ok(())
    })
}

fn settings(arguments: Arguments, log: &Logger) -> Settings {
    let defaults = Settings::new(arguments.name);
    let zones = if arguments.zones.is_empty() { defaults.zones } else { arguments.zones };
    Settings {
        zones,
        servers: arguments.servers,
        slots: arguments.slots,
        connections: arguments.connections,
        connect_time: Duration::from_millis(arguments.connect_ms),
        lag: Duration::from_millis(arguments.lag_ms),
        controls: arguments.controls,
        labels: BTreeMap::new(),
        seed: arguments.seed,
        settled: arguments.settled,
        statement_time: defaults.statement_time,
        log: log.clone(),
        name: defaults.name,
    }
}

fn announce(group: &Group) -> Result<(), Report<Failure>> {
    let ready = Ready { group: group.name(), servers: group.servers() };
    let line = serde_json::to_string(&ready).change_context(Failure::Output)?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "{line}").change_context(Failure::Output)?;
    output.flush().change_context(Failure::Output)
}

//! Runs the stand-in group until SIGTERM or SIGINT.

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

/// Error of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The Tokio runtime or the signal handlers could not be set up.
    Runtime,
    /// The group could not start.
    Start,
    /// The ready line, which names the group and its server addresses, could not be
    /// encoded as JSON or written to standard output.
    Output,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Runtime => "could not set up the Tokio runtime or the signal handlers",
            Self::Start => "could not start the group",
            Self::Output => "could not write to standard output",
        })
    }
}

impl std::error::Error for Failure {}

#[derive(Debug, Serialize)]
struct Ready<'a> {
    group: &'a Name,
    servers: Vec<SocketAddr>,
}

/// Runs the group. The exit code is 0 after a stop by SIGTERM or SIGINT.
pub fn run(arguments: Arguments) -> ExitCode {
    let log = telemetry::logger("trefoil-standin", arguments.level, arguments.format);
    match serve(arguments, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            error!(log, "the stand-in group failed"; "error" => ?report);
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
        print_ready(&group)?;
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

fn print_ready(group: &Group) -> Result<(), Report<Failure>> {
    let ready = Ready { group: group.name(), servers: group.servers() };
    let line = serde_json::to_string(&ready).change_context(Failure::Output)?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "{line}").change_context(Failure::Output)?;
    output.flush().change_context(Failure::Output)
}

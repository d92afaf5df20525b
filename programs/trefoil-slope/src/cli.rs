//! Command-line arguments.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, pure};

/// Measurement to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Cost of a change of the declarations, by number of entries that receive
    /// the change and by number of services.
    Change,
    /// Cost of a round of heartbeats, by number of entries.
    Beat,
    /// Load of an idle leader, by number of database groups.
    Lead,
    /// Restart time, by number of changes in the journal.
    Restart,
    /// Resident memory and encoded size of the state, by component.
    Memory,
    /// Bytes of control that each of 300 entries receives, by phase of a day.
    Traffic,
}

/// Parses the command line.
///
/// # Errors
/// The exit code, once the help, version or error text has been printed.
pub(crate) fn parse() -> Result<Command, ExitCode> {
    options()
        .run_inner(bpaf::Args::current_args())
        .map_err(|failure| telemetry::cli::show(&failure))
}

fn options() -> OptionParser<Command> {
    let command = |value, name: &'static str, help: &'static str| {
        pure(value).to_options().descr(help).command(name).help(help)
    };
    let change = command(Command::Change, "change", "cost of a change, by entries that follow");
    let beat = command(Command::Beat, "beat", "cost of heartbeats, by entries");
    let lead = command(Command::Lead, "lead", "what a leader does at rest, by databases");
    let restart = command(Command::Restart, "restart", "time to start again, by changes");
    let memory = command(Command::Memory, "memory", "memory and image of the state");
    let traffic = command(Command::Traffic, "traffic", "bytes that entries receive, by phase");
    construct!([change, beat, lead, restart, memory, traffic])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("measures how the cost of control grows with its size")
}

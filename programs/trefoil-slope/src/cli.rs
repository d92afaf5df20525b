//! Arguments.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, pure};

/// What to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Cost of a change of the declarations, by entries that follow.
    Change,
    /// Cost of heartbeats, by entries.
    Beat,
    /// What a leader does at rest, by databases.
    Lead,
    /// Time to start again, by changes in the journal.
    Restart,
    /// Memory and image of the state, by its parts.
    Memory,
}

/// Reads the arguments.
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
    construct!([change, beat, lead, restart, memory])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("measures how the cost of control grows with its size")
}

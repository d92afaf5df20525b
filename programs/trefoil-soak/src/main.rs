//! Runs the real programs under load and faults from outside of them, and
//! checks every promise.
//!
//! Exit codes: 0 when all promises held, 1 when one was broken, 2 when it was
//! called wrongly, 3 when a soak could not be run.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => cmd::run(options),
        Err(failure) => telemetry::cli::show(&failure),
    }
}

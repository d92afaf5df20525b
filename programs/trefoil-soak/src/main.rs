//! Soak test: starts the control and entry programs as processes, puts load on
//! them, injects faults from outside of them, and checks every guarantee of the
//! system.
//!
//! Exit codes: 0 when all guarantees held, 1 when at least one was violated, 2
//! for invalid arguments, 3 when a soak could not be run.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => cmd::run(options),
        Err(failure) => telemetry::cli::show(&failure),
    }
}

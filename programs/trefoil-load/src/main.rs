//! Puts load and faults on the whole path and checks every promise.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::arguments().run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => cmd::run::run(&arguments),
        Err(failure) => telemetry::cli::show(&failure),
    }
}

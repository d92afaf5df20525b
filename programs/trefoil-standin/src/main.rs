//! Runs a stand-in database group as a separate process.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::arguments().run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => cmd::serve::run(arguments),
        Err(failure) => telemetry::cli::show(&failure),
    }
}

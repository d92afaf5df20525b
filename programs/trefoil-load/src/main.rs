//! Load test: puts load and injected faults on the whole request path and
//! checks every guarantee of the system.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::arguments().run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => cmd::run::run(&arguments),
        Err(failure) => telemetry::cli::show(&failure),
    }
}

//! Program of an entry, the proxy that callers connect to.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::parse() {
        Ok(cli::Command::Run(settings)) => cmd::run::run(*settings),
        Ok(cli::Command::User(name)) => cmd::user::run(&name),
        Err(failure) => telemetry::cli::show(&failure),
    }
}

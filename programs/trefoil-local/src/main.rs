//! The whole of trefoillink in one process on loopback, with stand-in groups.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::parse() {
        Ok(settings) => cmd::run::run(settings),
        Err(code) => code,
    }
}

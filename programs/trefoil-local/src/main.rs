//! Runs a whole trefoillink system in one process on loopback, with stand-in
//! database groups.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::parse() {
        Ok(settings) => cmd::run::run(settings),
        Err(code) => code,
    }
}

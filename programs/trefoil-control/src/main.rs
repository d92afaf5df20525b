//! A member of the control quorum.

mod cli;
mod cmd;

use std::process::ExitCode;

use cli::{Command, Parsed};

/// Exit code for settings that are not allowed.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let command = match cli::parse() {
        Parsed::Command(command) => command,
        Parsed::Shown => return ExitCode::SUCCESS,
        Parsed::Refused => return ExitCode::from(EXIT_USAGE),
    };
    let done = match command {
        Command::Run(options) => options.check().and_then(cmd::run),
        Command::Inspect(options) => cmd::inspect(&options),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("trefoil-control: {report:#}");
            let usage = report.contains::<cli::Invalid>();
            if usage { ExitCode::from(EXIT_USAGE) } else { ExitCode::FAILURE }
        }
    }
}

//! Measures how the cost of control grows: the slopes that `docs/CAPACITY.md`
//! is worked out from. Decision state machines, encoded messages and the
//! journal; no sockets. One JSON object a line.

mod cli;
mod cmd;
mod size;
mod timer;

use std::process::ExitCode;

use cli::Command;

fn main() -> ExitCode {
    let command = match cli::parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
    let measured = match command {
        Command::Change => {
            cmd::change::run();
            Ok(())
        }
        Command::Beat => {
            cmd::beat::run();
            Ok(())
        }
        Command::Lead => {
            cmd::lead::run();
            Ok(())
        }
        Command::Restart => cmd::restart::run(),
        Command::Memory => cmd::memory::run(),
    };
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

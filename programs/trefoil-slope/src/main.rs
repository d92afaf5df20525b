//! Measures how the cost of the control quorum grows with the size of the
//! system. The capacity plan in `docs/CAPACITY.md` is calculated from the slopes
//! of these measurements. Only the state machines of control, the encoding of
//! messages and the journal are measured, without sockets. Prints one JSON
//! object per line.

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
        Command::Traffic => {
            cmd::traffic::run();
            Ok(())
        }
    };
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

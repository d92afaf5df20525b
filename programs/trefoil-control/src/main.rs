//! Program of a control member.

mod cli;
mod cmd;

use std::process::ExitCode;

use cli::Command;
use telemetry::cli::{Invalid, USAGE_EXIT_CODE, show};

fn main() -> ExitCode {
    let command = match cli::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return show(&failure),
    };
    let result = match command {
        Command::Run(options) => options.check().and_then(cmd::run),
        Command::Inspect(options) => cmd::inspect(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("trefoil-control: {report:#}");
            let is_misuse = report.contains::<Invalid>();
            if is_misuse { ExitCode::from(USAGE_EXIT_CODE) } else { ExitCode::FAILURE }
        }
    }
}

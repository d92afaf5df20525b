//! The operators' command line.
//!
//! Exit codes: 0 when done, 1 when it failed or conflicts with another
//! change, 2 when it was called wrongly, 3 when `burn --check` finds an alarm.

mod cli;
mod client;
mod cmd;
mod failure;
mod screen;

use std::process::ExitCode;

use bpaf::ParseFailure;

const MISUSED: u8 = 2;

fn main() -> ExitCode {
    let options = match cli::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => return explain(&failure),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a single-threaded runtime needs no more than the process");
    match runtime.block_on(cmd::run(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("trefoilctl: {}", report.current_context());
            ExitCode::from(report.current_context().exit_code())
        }
    }
}

fn explain(failure: &ParseFailure) -> ExitCode {
    let misused = matches!(failure, ParseFailure::Stderr(_));
    failure.print_message(100);
    if misused { ExitCode::from(MISUSED) } else { ExitCode::SUCCESS }
}

//! Command line for operators.
//!
//! Exit codes: 0 on success, 1 when the command failed or conflicts with another
//! change, 2 for invalid arguments, 3 when `burn --check` finds an alarm.

mod cli;
mod client;
mod cmd;
mod failure;
mod screen;

use std::process::ExitCode;

use bpaf::ParseFailure;

const EXIT_MISUSE: u8 = 2;

fn main() -> ExitCode {
    let options = match cli::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => return show(&failure),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("could not start the Tokio runtime");
    match runtime.block_on(cmd::run(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("trefoilctl: {}", report.current_context());
            ExitCode::from(report.current_context().exit_code())
        }
    }
}

fn show(failure: &ParseFailure) -> ExitCode {
    let is_misuse = matches!(failure, ParseFailure::Stderr(_));
    failure.print_message(100);
    if is_misuse { ExitCode::from(EXIT_MISUSE) } else { ExitCode::SUCCESS }
}

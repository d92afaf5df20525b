//! Runs the soaks in sequence, one per seed.

use std::path::PathBuf;
use std::process::ExitCode;

use base::prelude::*;
use slog::Logger;
use soak::bench::Paths;
use soak::{Failure, Outcome, Settings};

use crate::cli::Options;

const EXIT_VIOLATED: u8 = 1;
const EXIT_FAILED: u8 = 3;

/// Mean time between an answer and the session's next request.
const MEAN_THINK_TIME: Duration = Duration::from_millis(40);

/// Runs all soaks and returns the highest exit code among them.
pub fn run(options: Options) -> ExitCode {
    let log = telemetry::logger("trefoil-soak", telemetry::Level::Error, telemetry::Format::Auto);
    let temporary = tempfile::tempdir();
    let folder = options.folder.or(temporary.as_ref().ok().map(|folder| folder.path().to_owned()));
    let programs = options.programs.or_else(program_folder);
    let (Some(folder), Some(programs)) = (folder, programs) else {
        eprintln!(
            "could not create a temporary data folder or determine the folder of the programs"
        );
        return ExitCode::from(EXIT_FAILED);
    };
    let Ok(runtime) = tokio::runtime::Runtime::new() else {
        eprintln!("could not start the Tokio runtime");
        return ExitCode::from(EXIT_FAILED);
    };
    let mut code = 0;
    for seed in options.seed..options.seed + options.seeds {
        let settings = Settings {
            paths: Paths { programs: programs.clone(), folder: folder.clone() },
            seed,
            length: Duration::from_secs(options.seconds),
            callers: options.callers,
            think: MEAN_THINK_TIME,
        };
        code = code.max(runtime.block_on(run_seed(&settings, &log)));
    }
    ExitCode::from(code)
}

fn program_folder() -> Option<PathBuf> {
    Some(std::env::current_exe().ok()?.parent()?.to_owned())
}

async fn run_seed(settings: &Settings, log: &Logger) -> u8 {
    match soak::run(settings, log).await {
        Ok(outcome) => {
            print_outcome(settings.seed, &outcome);
            u8::from(outcome.has_violation()) * EXIT_VIOLATED
        }
        Err(report) => {
            print_failure(settings.seed, &report);
            EXIT_FAILED
        }
    }
}

fn print_outcome(seed: u64, outcome: &Outcome) {
    let Outcome { verdict, summary } = outcome;
    println!(
        "seed {seed}: {}, {} faults, {} writes acknowledged, {} in doubt, {} changes",
        if outcome.has_violation() { "BROKEN" } else { "kept" },
        summary.faults.len(),
        verdict.acked,
        verdict.outcome_unknown,
        summary.version,
    );
    if outcome.has_violation() {
        println!("{verdict:?}");
        println!("declarations: {} acknowledged, {} held", summary.acknowledged, summary.version);
        println!("{}", summary.faults.join("\n"));
    }
}

fn print_failure(seed: u64, report: &Report<Failure>) {
    println!("seed {seed}: FAILED: {report:?}");
}

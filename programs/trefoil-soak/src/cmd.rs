//! Soaks, one seed after the other.

use std::path::PathBuf;
use std::process::ExitCode;

use base::prelude::*;
use slog::Logger;
use soak::bench::Paths;
use soak::{Failure, Outcome, Settings};

use crate::cli::Options;

const BROKEN: u8 = 1;
const FAILED: u8 = 3;

/// Mean time between an answer and a session's next request.
const THINK: Duration = Duration::from_millis(40);

/// Runs all soaks; the exit code tells the worst of them.
pub fn run(options: Options) -> ExitCode {
    let log = telemetry::logger("trefoil-soak", telemetry::Level::Error, telemetry::Format::Auto);
    let kept = tempfile::tempdir();
    let folder = options.folder.or(kept.as_ref().ok().map(|kept| kept.path().to_owned()));
    let programs = options.programs.or_else(own_folder);
    let (Some(folder), Some(programs)) = (folder, programs) else {
        eprintln!("no folder for data, or none of the programs");
        return ExitCode::from(FAILED);
    };
    let Ok(runtime) = tokio::runtime::Runtime::new() else {
        eprintln!("the runtime could not be set up");
        return ExitCode::from(FAILED);
    };
    let mut code = 0;
    for seed in options.seed..options.seed + options.seeds {
        let settings = Settings {
            paths: Paths { programs: programs.clone(), folder: folder.clone() },
            seed,
            length: Duration::from_secs(options.seconds),
            callers: options.callers,
            think: THINK,
        };
        code = code.max(runtime.block_on(one(&settings, &log)));
    }
    ExitCode::from(code)
}

fn own_folder() -> Option<PathBuf> {
    Some(std::env::current_exe().ok()?.parent()?.to_owned())
}

async fn one(settings: &Settings, log: &Logger) -> u8 {
    match soak::run(settings, log).await {
        Ok(outcome) => {
            print(settings.seed, &outcome);
            u8::from(outcome.has_violation()) * BROKEN
        }
        Err(report) => {
            failed(settings.seed, &report);
            FAILED
        }
    }
}

fn print(seed: u64, outcome: &Outcome) {
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

fn failed(seed: u64, report: &Report<Failure>) {
    println!("seed {seed}: FAILED: {report:?}");
}

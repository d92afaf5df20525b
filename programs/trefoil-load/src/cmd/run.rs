//! Runs the load test: first a short run without the proxy, which measures the
//! direct latencies, then the run itself.

use std::collections::BTreeMap;
use std::fmt;
use std::io::Write;
use std::process::ExitCode;

use base::prelude::*;
use indicatif::{ProgressBar, ProgressStyle};
use load::run::Phase;
use load::verdict::Percentiles;
use load::{Baseline, Bench, Direct, Fault, Proxied, Settings, Verdict};
use slog::{Logger, error};

use crate::cli::Arguments;

const DIRECT_DURATION: Duration = Duration::from_secs(5);
const DIRECT_CALLERS: usize = 6;
const DIRECT_THINK_TIME: Duration = Duration::from_millis(20);

const PROGRESS_STEPS: u64 = 1_000;
const PROGRESS_TEMPLATE: &str = "{msg:10} [{bar:40}] {elapsed}";

const EXIT_VIOLATED: u8 = 1;
const EXIT_FAILED: u8 = 3;

/// Error of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The Tokio runtime could not be started.
    Runtime,
    /// The test bench could not be started or its run failed.
    Bench,
    /// The result could not be encoded as JSON or written to standard output.
    Output,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Runtime => "could not start the Tokio runtime",
            Self::Bench => "the test bench failed",
            Self::Output => "could not write to standard output",
        })
    }
}

impl std::error::Error for Failure {}

/// Runs the load test. The exit code is 1 when a guarantee was violated and 3
/// when the test could not be run or its result could not be printed.
pub fn run(arguments: &Arguments) -> ExitCode {
    let log = telemetry::logger("trefoil-load", arguments.level, arguments.format);
    let verdict = tokio::runtime::Runtime::new()
        .change_context(Failure::Runtime)
        .and_then(|runtime| runtime.block_on(measure(arguments, &log)))
        .and_then(|verdict| print_verdict(&verdict, arguments.json).map(|()| verdict));
    match verdict {
        Ok(verdict) if verdict.has_violation() => ExitCode::from(EXIT_VIOLATED),
        Ok(_) => ExitCode::SUCCESS,
        Err(report) => {
            error!(log, "the load test failed"; "error" => ?report);
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn settings(arguments: &Arguments) -> Settings {
    Settings {
        scenario: arguments.scenario,
        fault: arguments.fault,
        baseline: arguments.baseline,
        length: Duration::from_secs(arguments.seconds),
        callers: arguments.callers,
        think: Duration::from_millis(arguments.think_ms),
        seed: arguments.seed,
    }
}

async fn measure(arguments: &Arguments, log: &Logger) -> Result<Verdict, Report<Failure>> {
    let direct = measure_direct_latencies(arguments, log).await?;
    let (scenario, seed) = (arguments.scenario, arguments.seed);
    let settings = settings(arguments);
    let verdict = if arguments.direct {
        let bench = Direct::start(scenario, seed, log).await.change_context(Failure::Bench)?;
        run_with_progress(bench, &settings).await
    } else {
        let bench = Proxied::start(scenario, seed, log).await.change_context(Failure::Bench)?;
        run_with_progress(bench, &settings).await
    };
    let mut verdict = verdict?;
    verdict.direct_latency_ms = direct;
    Ok(verdict)
}

async fn measure_direct_latencies(
    arguments: &Arguments,
    log: &Logger,
) -> Result<BTreeMap<String, Percentiles>, Report<Failure>> {
    let mut bench = Direct::start(arguments.scenario, arguments.seed, log)
        .await
        .change_context(Failure::Bench)?;
    let settings = Settings {
        fault: Fault::None,
        baseline: Baseline::None,
        length: DIRECT_DURATION,
        callers: DIRECT_CALLERS,
        think: DIRECT_THINK_TIME,
        ..settings(arguments)
    };
    let verdict = load::run(&mut bench, &settings, &|_, _| {}).await;
    bench.stop().await;
    Ok(verdict.change_context(Failure::Bench)?.latency_ms)
}

async fn run_with_progress<B: Bench>(
    mut bench: B,
    settings: &Settings,
) -> Result<Verdict, Report<Failure>> {
    let bar = ProgressBar::new(PROGRESS_STEPS);
    if let Ok(style) = ProgressStyle::with_template(PROGRESS_TEMPLATE) {
        bar.set_style(style);
    }
    let progress = |phase: Phase, share: f64| {
        bar.set_message(phase.to_string());
        bar.set_position((share.clamp(0.0, 1.0) * PROGRESS_STEPS as f64) as u64);
    };
    let verdict = load::run(&mut bench, settings, &progress).await;
    bar.finish_and_clear();
    bench.stop().await;
    verdict.change_context(Failure::Bench)
}

fn print_verdict(verdict: &Verdict, json: bool) -> Result<(), Report<Failure>> {
    let text =
        if json { serde_json::to_string(verdict) } else { serde_json::to_string_pretty(verdict) };
    let text = text.change_context(Failure::Output)?;
    writeln!(std::io::stdout().lock(), "{text}").change_context(Failure::Output)
}

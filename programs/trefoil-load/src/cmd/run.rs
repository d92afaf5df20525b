//! One run: the direct latencies first, then the bench itself.

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

const DIRECT_LENGTH: Duration = Duration::from_secs(5);
const DIRECT_CALLERS: usize = 6;
const DIRECT_THINK: Duration = Duration::from_millis(20);

const STEPS: u64 = 1_000;
const TEMPLATE: &str = "{msg:10} [{bar:40}] {elapsed}";

const BROKEN: u8 = 1;
const FAILED: u8 = 3;

/// Why the program failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The runtime could not be set up.
    Runtime,
    /// The bench failed.
    Bench,
    /// Standard output could not be written.
    Output,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Runtime => "the runtime could not be set up",
            Self::Bench => "the bench failed",
            Self::Output => "standard output could not be written",
        })
    }
}

impl std::error::Error for Failure {}

/// Runs the load; the exit code tells of a broken promise.
pub fn run(arguments: &Arguments) -> ExitCode {
    let log = telemetry::logger("trefoil-load", arguments.level, arguments.format);
    let verdict = tokio::runtime::Runtime::new()
        .change_context(Failure::Runtime)
        .and_then(|runtime| runtime.block_on(measure(arguments, &log)))
        .and_then(|verdict| print(&verdict, arguments.json).map(|()| verdict));
    match verdict {
        Ok(verdict) if verdict.has_violation() => ExitCode::from(BROKEN),
        Ok(_) => ExitCode::SUCCESS,
        Err(report) => {
            error!(log, "failed"; "error" => ?report);
            ExitCode::from(FAILED)
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
    let direct = direct_latencies(arguments, log).await?;
    let (scenario, seed) = (arguments.scenario, arguments.seed);
    let settings = settings(arguments);
    let verdict = if arguments.direct {
        let bench = Direct::start(scenario, seed, log).await.change_context(Failure::Bench)?;
        watched(bench, &settings).await
    } else {
        let bench = Proxied::start(scenario, seed, log).await.change_context(Failure::Bench)?;
        watched(bench, &settings).await
    };
    let mut verdict = verdict?;
    verdict.direct_latency_ms = direct;
    Ok(verdict)
}

async fn direct_latencies(
    arguments: &Arguments,
    log: &Logger,
) -> Result<BTreeMap<String, Percentiles>, Report<Failure>> {
    let mut bench = Direct::start(arguments.scenario, arguments.seed, log)
        .await
        .change_context(Failure::Bench)?;
    let settings = Settings {
        fault: Fault::None,
        baseline: Baseline::None,
        length: DIRECT_LENGTH,
        callers: DIRECT_CALLERS,
        think: DIRECT_THINK,
        ..settings(arguments)
    };
    let verdict = load::run(&mut bench, &settings, &|_, _| {}).await;
    bench.stop().await;
    Ok(verdict.change_context(Failure::Bench)?.latency_ms)
}

async fn watched<B: Bench>(mut bench: B, settings: &Settings) -> Result<Verdict, Report<Failure>> {
    let bar = ProgressBar::new(STEPS);
    if let Ok(style) = ProgressStyle::with_template(TEMPLATE) {
        bar.set_style(style);
    }
    let progress = |phase: Phase, share: f64| {
        bar.set_message(phase.to_string());
        bar.set_position((share.clamp(0.0, 1.0) * STEPS as f64) as u64);
    };
    let verdict = load::run(&mut bench, settings, &progress).await;
    bar.finish_and_clear();
    bench.stop().await;
    verdict.change_context(Failure::Bench)
}

fn print(verdict: &Verdict, json: bool) -> Result<(), Report<Failure>> {
    let text =
        if json { serde_json::to_string(verdict) } else { serde_json::to_string_pretty(verdict) };
    let text = text.change_context(Failure::Output)?;
    writeln!(std::io::stdout().lock(), "{text}").change_context(Failure::Output)
}

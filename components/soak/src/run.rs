//! One soak and what came of it.

use base::prelude::*;
use load::{Baseline, Bench as _, Scenario, Verdict};
use slog::Logger;

use crate::Failure;
use crate::bench::{Paths, Soak, seed_folder};
use crate::chaos::Summary;

/// Settings of a soak.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where programs and files are.
    pub paths: Paths,
    /// Seed of callers and faults.
    pub seed: u64,
    /// Length of the traffic with faults.
    pub length: Duration,
    /// Number of sessions.
    pub callers: usize,
    /// Mean time between an answer and the session's next request.
    pub think: Duration,
}

/// What came of a soak.
#[derive(Debug)]
pub struct Outcome {
    /// What callers were told against what the groups hold.
    pub verdict: Verdict,
    /// The faults, and the declarations.
    pub summary: Summary,
}

impl Outcome {
    /// Whether a promise was broken.
    pub fn has_violation(&self) -> bool {
        self.verdict.has_violation() || self.summary.is_reverted()
    }
}

/// Runs one soak.
///
/// # Errors
/// [`Failure`]; a broken promise is told by the outcome.
pub async fn run(settings: &Settings, log: &Logger) -> Result<Outcome, Report<Failure>> {
    let folder = seed_folder(&settings.paths.folder, settings.seed);
    std::fs::create_dir_all(&folder).change_context(Failure::Start)?;
    let paths = Paths { folder, ..settings.paths.clone() };
    let scenario = Scenario::Lakeshore;
    let mut soak = Soak::start(&paths, scenario, settings.seed, log).await?;
    soak.start_faults();
    let load = load::Settings {
        scenario,
        fault: load::Fault::None,
        baseline: Baseline::None,
        length: settings.length,
        callers: settings.callers,
        think: settings.think,
        seed: settings.seed,
    };
    let verdict = load::run(&mut soak, &load, &|_, _| {}).await;
    let summary = soak.report().await;
    soak.stop().await;
    Ok(Outcome { verdict: verdict.change_context(Failure::Load)?, summary })
}

//! Runs a soak and reports its outcome.

use base::prelude::*;
use load::{Baseline, Bench as _, Scenario, Verdict};
use slog::Logger;

use crate::Failure;
use crate::bench::{Paths, Soak, seed_folder};
use crate::chaos::Summary;

/// Settings of a soak.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Folder of the programs, and folder for data and logs.
    pub paths: Paths,
    /// Seed of the callers, the groups and the faults.
    pub seed: u64,
    /// Duration of the load's traffic phase and overload phase together; faults are
    /// injected during both, and before them while the tables are created.
    pub length: Duration,
    /// Number of caller sessions.
    pub callers: usize,
    /// Mean time between an answer and the session's next request.
    pub think: Duration,
}

/// The outcome of a soak.
#[derive(Debug)]
pub struct Outcome {
    /// Result of the load's consistency check.
    pub verdict: Verdict,
    /// Injected faults, and the version of the declarations.
    pub summary: Summary,
}

impl Outcome {
    /// Whether a guarantee was violated, or an acknowledged change of the
    /// declarations was lost.
    pub fn has_violation(&self) -> bool {
        self.verdict.has_violation() || self.summary.is_reverted()
    }
}

/// Runs one soak.
///
/// # Errors
/// [`Failure`] when the soak cannot be completed. A violated guarantee is not an
/// error; the outcome reports violations.
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

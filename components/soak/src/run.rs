//! One soak and what came of it.

use base::prelude::*;
use load::{Baseline, Bench as _, Scenario, Verdict};
use slog::Logger;

use crate::Failure;
use crate::bench::{Place, Soak, folder};
use crate::chaos::Summary;

/// Settings of a soak.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where programs and files are.
    pub place: Place,
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
    pub told: Summary,
}

impl Outcome {
    /// Whether a promise was broken.
    pub fn is_broken(&self) -> bool {
        self.verdict.is_broken() || self.told.is_reverted()
    }
}

/// Runs one soak.
///
/// # Errors
/// [`Failure`]; a broken promise is told by the outcome.
pub async fn run(settings: &Settings, log: &Logger) -> Result<Outcome, Report<Failure>> {
    let folder = folder(&settings.place.folder, settings.seed);
    std::fs::create_dir_all(&folder).change_context(Failure::Start)?;
    let place = Place { folder, ..settings.place.clone() };
    let scenario = Scenario::Lakeshore;
    let mut soak = Soak::start(&place, scenario, settings.seed, log).await?;
    soak.disturb();
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
    let told = soak.report().await;
    soak.stop().await;
    Ok(Outcome { verdict: verdict.change_context(Failure::Load)?, told })
}

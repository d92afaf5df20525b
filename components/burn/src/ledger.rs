//! What one entry counts, and the page that it shows.

use std::collections::BTreeMap;
use std::time::Duration;

use base::clock::Instant;
use base::name::Name;
use config::model::Measure;
use config::{Declarations, Objective};
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Serializer, V2Serializer};
use serde::{Deserialize, Serialize};

use crate::series::Series;

/// Significant decimal digits of a latency.
const DIGITS: u8 = 2;

/// Longest latency that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 600_000_000;

/// A request that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time from the request to the end of its answer.
    pub latency: Duration,
    /// Whether it was done, be it with the server's own error.
    pub done: bool,
    /// Whether it was a write; pauses are counted on these.
    pub write: bool,
    /// Bound on the age of what a read saw; `None` where it saw nothing.
    pub age: Option<Duration>,
}

impl Event {
    /// Whether the event counts for a measure, and if so whether it was good.
    fn good(self, objective: &Objective) -> Option<bool> {
        let limit = Duration::from_millis(objective.within_ms);
        match objective.measure {
            Measure::Latency => Some(self.done && self.latency <= limit),
            Measure::Answered => Some(self.done),
            Measure::FailoverGap => self.write.then_some(self.done && self.latency <= limit),
            Measure::ReadAge => self.age.map(|age| age <= limit),
        }
    }
}

/// What an objective is told apart by: a new limit starts a new count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Goal {
    /// What is counted.
    pub measure: Measure,
    /// Limit of a good request in milliseconds.
    pub within_ms: u64,
}

impl Goal {
    /// The goal of an objective.
    pub const fn of(objective: &Objective) -> Self {
        Self { measure: objective.measure, within_ms: objective.within_ms }
    }
}

#[derive(Clone, Debug)]
struct Account {
    goals: Vec<(Goal, Series)>,
    latency: Histogram<u64>,
}

/// Counts of one entry, by service.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<Name, Account>,
}

/// A goal's counts on a page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Service that is counted.
    pub service: Name,
    /// The goal.
    pub goal: Goal,
    /// Its counts.
    pub series: Series,
}

/// A service's latencies on a page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latency {
    /// Service that is measured.
    pub service: Name,
    /// Histogram of microseconds in the V2 form of hdrhistogram.
    pub histogram: Vec<u8>,
}

/// All that one entry has counted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The entry.
    pub entry: Name,
    /// Raised by each start of the entry.
    pub incarnation: u64,
    /// Microseconds since the entry started; it counted nothing before.
    pub age_micros: u64,
    /// Counts by goal.
    pub lines: Vec<Line>,
    /// Latencies by service.
    pub latencies: Vec<Latency>,
}

impl Ledger {
    /// Makes an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request against the objectives of its service.
    pub fn record(&mut self, now: Instant, service: &Name, objectives: &[Objective], event: Event) {
        if objectives.is_empty() {
            return;
        }
        let account = self.accounts.entry(service.clone()).or_insert_with(Account::new);
        let micros = (event.latency.as_micros() as u64).clamp(1, LONGEST_MICROS);
        account.latency.saturating_record(micros);
        for objective in objectives {
            if let Some(good) = event.good(objective) {
                account.series(Goal::of(objective)).record(now, good);
            }
        }
    }

    /// Adds the counts of another ledger of the same process.
    pub fn merge(&mut self, other: &Self) {
        for (service, account) in &other.accounts {
            self.accounts.entry(service.clone()).or_insert_with(Account::new).merge(account);
        }
    }

    /// Forgets what is declared no more, so that memory stays bounded by the
    /// declarations.
    pub fn retain(&mut self, declarations: &Declarations) {
        self.accounts.retain(|service, account| {
            let Some(declared) = declarations.services.get(service) else {
                return false;
            };
            let stands = |goal: Goal| declared.objectives.iter().any(|o| Goal::of(o) == goal);
            account.goals.retain(|(goal, _)| stands(*goal));
            !account.goals.is_empty()
        });
    }

    /// The page that the entry shows.
    pub fn page(&self, now: Instant, entry: &Name, incarnation: u64) -> Page {
        let mut lines = Vec::new();
        let mut latencies = Vec::new();
        for (service, account) in &self.accounts {
            for (goal, series) in &account.goals {
                let series = series.clone();
                lines.push(Line { service: service.clone(), goal: *goal, series });
            }
            latencies.push(Latency { service: service.clone(), histogram: account.encoded() });
        }
        Page { entry: entry.clone(), incarnation, age_micros: now.as_micros(), lines, latencies }
    }
}

impl Account {
    fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, LONGEST_MICROS, DIGITS)
            .expect("the bounds and digits are within what the histogram allows");
        Self { goals: Vec::new(), latency }
    }

    fn merge(&mut self, other: &Self) {
        for (goal, series) in &other.goals {
            self.series(*goal).merge(series);
        }
        let added = self.latency.add(&other.latency);
        added.expect("all histograms of a ledger have the same bounds");
    }

    fn series(&mut self, goal: Goal) -> &mut Series {
        let found = self.goals.iter().position(|(known, _)| *known == goal);
        let index = found.unwrap_or_else(|| {
            self.goals.push((goal, Series::default()));
            self.goals.len() - 1
        });
        &mut self.goals[index].1
    }

    fn encoded(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let written = V2Serializer::new().serialize(&self.latency, &mut bytes);
        written.expect("writing to memory does not fail");
        bytes
    }
}

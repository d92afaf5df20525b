//! The counts of one entry, and the page on which the entry serves them.

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

/// Significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Largest latency that the histogram records, in microseconds. Larger ones are
/// recorded as this value.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// A request that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time from the request to the end of its answer.
    pub latency: Duration,
    /// Whether the request ran and its commit, if any, was acknowledged. A request to
    /// which the backend server itself returned an error is done too.
    pub done: bool,
    /// Whether the request was a write. Failover gaps are measured on writes only.
    pub write: bool,
    /// Upper bound on the age of the data that a read returned; `None` if no data was
    /// read.
    pub age: Option<Duration>,
}

impl Event {
    /// Whether the request was good by an objective; `None` if the objective doesn't
    /// count it.
    fn is_good(self, objective: &Objective) -> Option<bool> {
        let limit = Duration::from_millis(objective.within_ms);
        match objective.measure {
            Measure::Latency => Some(self.done && self.latency <= limit),
            Measure::Answered => Some(self.done),
            Measure::FailoverGap => self.write.then_some(self.done && self.latency <= limit),
            Measure::ReadAge => self.age.map(|age| age <= limit),
        }
    }
}

/// Identity of an objective's counts. An objective whose limit changes starts a new
/// count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Goal {
    /// Measure of the objective.
    pub measure: Measure,
    /// Limit up to which a request is good, in milliseconds.
    pub within_ms: u64,
}

impl Goal {
    /// The goal of an objective.
    pub const fn of(objective: &Objective) -> Self {
        Self { measure: objective.measure, within_ms: objective.within_ms }
    }
}

/// Counts and latencies of one service.
#[derive(Clone, Debug)]
struct Account {
    goals: Vec<(Goal, Series)>,
    /// Latencies of the requests, in microseconds.
    latency: Histogram<u64>,
}

/// Counts of one entry, by service.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<Name, Account>,
}

/// Counts of a service's goal on a page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Service whose requests are counted.
    pub service: Name,
    /// Goal by which requests are counted.
    pub goal: Goal,
    /// Good and bad requests over time.
    pub series: Series,
}

/// Latencies of a service on a page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latency {
    /// Service whose requests are measured.
    pub service: Name,
    /// Histogram of latencies in microseconds, in the V2 format of hdrhistogram.
    pub histogram: Vec<u8>,
}

/// All counts of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Name of the entry.
    pub entry: Name,
    /// Incarnation of the entry, which increases with each start.
    pub incarnation: u64,
    /// Time since the entry started, in microseconds. Earlier requests aren't counted.
    pub age_micros: u64,
    /// Counts by service and goal.
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
        let micros = (event.latency.as_micros() as u64).clamp(1, MAX_LATENCY_MICROS);
        account.latency.saturating_record(micros);
        for objective in objectives {
            if let Some(good) = event.is_good(objective) {
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

    /// Removes the counts of services and objectives that are no longer declared, so
    /// that the declarations bound the memory.
    pub fn retain(&mut self, declarations: &Declarations) {
        self.accounts.retain(|service, account| {
            let Some(declared) = declarations.services.get(service) else {
                return false;
            };
            let is_declared = |goal: Goal| declared.objectives.iter().any(|o| Goal::of(o) == goal);
            account.goals.retain(|(goal, _)| is_declared(*goal));
            !account.goals.is_empty()
        });
    }

    /// Counts and latencies of all services, in the form in which the entry serves them.
    pub fn page(&self, now: Instant, entry: &Name, incarnation: u64) -> Page {
        let mut lines = Vec::new();
        let mut latencies = Vec::new();
        for (service, account) in &self.accounts {
            for (goal, series) in &account.goals {
                let series = series.clone();
                lines.push(Line { service: service.clone(), goal: *goal, series });
            }
            latencies
                .push(Latency { service: service.clone(), histogram: account.encoded_latency() });
        }
        Page { entry: entry.clone(), incarnation, age_micros: now.as_micros(), lines, latencies }
    }
}

impl Account {
    fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
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

    /// The counts of a goal, which start empty.
    fn series(&mut self, goal: Goal) -> &mut Series {
        let found = self.goals.iter().position(|(known, _)| *known == goal);
        let index = found.unwrap_or_else(|| {
            self.goals.push((goal, Series::default()));
            self.goals.len() - 1
        });
        &mut self.goals[index].1
    }

    /// The histogram of latencies in the V2 format of hdrhistogram.
    fn encoded_latency(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let written = V2Serializer::new().serialize(&self.latency, &mut bytes);
        written.expect("writing to memory does not fail");
        bytes
    }
}

//! The report merged from all entries: remaining error budget and burn rates, the
//! objective with the least remaining budget first.
//!
//! The burn rate is the share of bad requests in a window, divided by the share
//! that the objective allows. At a burn rate of 1 the error budget lasts exactly
//! its period. Alarms follow the multi-window method: the burn rate must reach the
//! limit over both a long and a short window, so that an alarm starts soon and ends
//! soon.

use std::collections::BTreeMap;
use std::time::Duration;

use base::clock::Instant;
use base::name::Name;
use config::Declarations;
use config::model::Measure;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer;
use serde::{Deserialize, Serialize};

use crate::ledger::{Goal, Page};
use crate::series::Count;

/// Period of an error budget.
pub const BUDGET_PERIOD: Duration = Duration::from_hours(30 * 24);

/// Windows of the report, shortest first.
pub const WINDOWS: [Window; 4] =
    [Window::FiveMinutes, Window::HalfHour, Window::Hour, Window::SixHours];

/// Burn rate over an hour and over five minutes at which a person must act at once.
pub const FAST_BURN_RATE: f64 = 14.4;

/// Burn rate over six hours and over half an hour at which a person must act within
/// the day.
pub const SLOW_BURN_RATE: f64 = 6.0;

/// Window over which a burn rate is computed.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Window {
    /// Five minutes.
    #[strum(serialize = "5m")]
    FiveMinutes,
    /// Half an hour.
    #[strum(serialize = "30m")]
    HalfHour,
    /// An hour.
    #[strum(serialize = "1h")]
    Hour,
    /// Six hours.
    #[strum(serialize = "6h")]
    SixHours,
}

impl Window {
    /// Length of the window.
    pub const fn length(self) -> Duration {
        let minutes = match self {
            Self::FiveMinutes => 5,
            Self::HalfHour => 30,
            Self::Hour => 60,
            Self::SixHours => 360,
        };
        Duration::from_mins(minutes)
    }
}

/// Urgency of a row, in increasing order.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Alarm {
    /// Neither limit is reached over both of its windows.
    None,
    /// The burn rate reaches [`SLOW_BURN_RATE`] over six hours and over half an hour.
    Slow,
    /// The burn rate reaches [`FAST_BURN_RATE`] over an hour and over five minutes. At
    /// this rate the whole budget lasts about two days.
    Fast,
}

/// Row of the report: an objective of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the service.
    pub service: Name,
    /// Measure and limit of the objective.
    pub goal: Goal,
    /// Share of requests that must be good, from 0 to 1.
    pub target: f64,
    /// Good and bad requests within [`BUDGET_PERIOD`].
    pub count: Count,
    /// Share of the error budget that is left; negative if the budget is exceeded.
    pub budget_left: f64,
    /// Burn rate of each window, in the order of [`WINDOWS`].
    pub burn: [f64; WINDOWS.len()],
    /// Urgency of the row.
    pub alarm: Alarm,
    /// Median latency of the service, in microseconds.
    pub p50_micros: u64,
    /// 99th percentile of the service's latency, in microseconds.
    pub p99_micros: u64,
}

/// An entry whose page is part of the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// Name of the entry.
    pub entry: Name,
    /// Time since the entry started, in seconds. Earlier requests aren't counted.
    pub since_s: u64,
}

/// The report merged from the pages of all entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Rows, the one with the least remaining budget first.
    pub rows: Vec<Row>,
    /// Entries that returned a page.
    pub sources: Vec<Source>,
    /// Names of the live entries that returned no page.
    pub missing: Vec<Name>,
}

/// Counts of a goal, summed over all entries.
#[derive(Default)]
struct Sum {
    period: Count,
    windows: [Count; WINDOWS.len()],
}

impl Report {
    /// Merges the pages of all entries. `missing` lists the entries without a page.
    pub fn merge(declarations: &Declarations, pages: &[Page], missing: Vec<Name>) -> Self {
        let latencies = latencies(pages);
        let mut rows = Vec::new();
        for (service, declared) in &declarations.services {
            for objective in &declared.objectives {
                let goal = Goal::of(objective);
                let sum = sum(pages, service, goal);
                let mut row = row(service, goal, objective.target, &sum);
                if let Some(latency) = latencies.get(service) {
                    row.p50_micros = latency.value_at_quantile(0.5);
                    row.p99_micros = latency.value_at_quantile(0.99);
                }
                rows.push(row);
            }
        }
        rows.sort_by(|a, b| a.budget_left.total_cmp(&b.budget_left));
        let source = |page: &Page| Source {
            entry: page.entry.clone(),
            since_s: Instant::from_micros(page.age_micros).as_micros() / 1_000_000,
        };
        Self { rows, sources: pages.iter().map(source).collect(), missing }
    }

    /// The most urgent alarm of all rows.
    pub fn alarm(&self) -> Alarm {
        self.rows.iter().map(|row| row.alarm).max().unwrap_or(Alarm::None)
    }

    /// Shortest time since the start of any entry, in seconds; zero without entries.
    pub fn covered_s(&self) -> u64 {
        self.sources.iter().map(|source| source.since_s).min().unwrap_or(0)
    }
}

fn sum(pages: &[Page], service: &Name, goal: Goal) -> Sum {
    let mut sum = Sum::default();
    for page in pages {
        let now = Instant::from_micros(page.age_micros);
        let lines = page.lines.iter().filter(|l| l.service == *service && l.goal == goal);
        for line in lines {
            sum.period.add(line.series.within(now, BUDGET_PERIOD));
            for (total, window) in sum.windows.iter_mut().zip(WINDOWS) {
                total.add(line.series.within(now, window.length()));
            }
        }
    }
    sum
}

fn row(service: &Name, goal: Goal, target: f64, sum: &Sum) -> Row {
    let allowed = (1.0 - target).max(f64::EPSILON);
    let burn = sum.windows.map(|count| count.bad_share() / allowed);
    let [five_minutes, half_hour, hour, six_hours] = burn;
    let alarm = if hour.min(five_minutes) >= FAST_BURN_RATE {
        Alarm::Fast
    } else if six_hours.min(half_hour) >= SLOW_BURN_RATE {
        Alarm::Slow
    } else {
        Alarm::None
    };
    Row {
        service: service.clone(),
        goal,
        target,
        count: sum.period,
        budget_left: 1.0 - sum.period.bad_share() / allowed,
        burn,
        alarm,
        p50_micros: 0,
        p99_micros: 0,
    }
}

/// Merges the latency histograms of all pages, by service.
fn latencies(pages: &[Page]) -> BTreeMap<Name, Histogram<u64>> {
    let mut merged: BTreeMap<Name, Histogram<u64>> = BTreeMap::new();
    let mut reader = Deserializer::new();
    for latency in pages.iter().flat_map(|page| &page.latencies) {
        // the page of another release may hold a histogram in an unknown format; its
        // counts are still valid
        let Ok(histogram) = reader.deserialize::<u64, _>(&mut latency.histogram.as_slice()) else {
            continue;
        };
        match merged.entry(latency.service.clone()) {
            std::collections::btree_map::Entry::Vacant(vacant) => {
                vacant.insert(histogram);
            }
            std::collections::btree_map::Entry::Occupied(mut occupied) => {
                occupied.get_mut().add(&histogram).unwrap_or_default();
            }
        }
    }
    merged
}

/// Title of a goal in the report: the name of the measure, and its limit.
pub fn title(goal: Goal) -> String {
    match goal.measure {
        Measure::Answered => goal.measure.to_string(),
        Measure::Latency | Measure::FailoverGap | Measure::ReadAge => {
            format!("{} <= {} ms", goal.measure, goal.within_ms)
        }
    }
}

//! The merged report: budget left and burn, worst first.
//!
//! Burn is the share of bad requests over a window divided by the share that
//! the objective allows: at 1 the budget lasts exactly its period. By the
//! multi-window method an alert needs both a long and a short window to burn
//! fast, so that it starts soon and ends soon.

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

/// Period that a budget is meant to last.
pub const BUDGET_PERIOD: Duration = Duration::from_hours(30 * 24);

/// Windows of the report, shortest first.
pub const WINDOWS: [Window; 4] =
    [Window::FiveMinutes, Window::HalfHour, Window::Hour, Window::SixHours];

/// Burn over an hour and five minutes that needs a person at once.
pub const FAST_BURN_RATE: f64 = 14.4;

/// Burn over six hours and half an hour that needs a person today.
pub const SLOW_BURN_RATE: f64 = 6.0;

/// A window of the report.
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
    /// Its length.
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

/// How urgent a row is.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Alarm {
    /// The budget lasts.
    None,
    /// It burns slowly but too fast.
    Slow,
    /// It will be gone within days.
    Fast,
}

/// One objective of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The service.
    pub service: Name,
    /// The goal.
    pub goal: Goal,
    /// Share that must be good.
    pub target: f64,
    /// Requests of the period.
    pub count: Count,
    /// Share of the period's budget that is left; negative when overspent.
    pub budget_left: f64,
    /// Burn by window, in the order of [`WINDOWS`].
    pub burn: [f64; WINDOWS.len()],
    /// How urgent it is.
    pub alarm: Alarm,
    /// Latency of the service at the median, in microseconds.
    pub p50_micros: u64,
    /// Latency of the service at the 99th percentile, in microseconds.
    pub p99_micros: u64,
}

/// An entry whose page is part of the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// The entry.
    pub entry: Name,
    /// Seconds since it started; what came before is not counted.
    pub since_s: u64,
}

/// The merged report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Objectives, the one with the least budget left first.
    pub rows: Vec<Row>,
    /// Entries that were asked and answered.
    pub sources: Vec<Source>,
    /// Entries that live but gave no page.
    pub missing: Vec<Name>,
}

#[derive(Default)]
struct Sum {
    period: Count,
    windows: [Count; WINDOWS.len()],
}

impl Report {
    /// Merges the pages of all entries; `missing` names those without one.
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

    /// The most urgent alarm.
    pub fn alarm(&self) -> Alarm {
        self.rows.iter().map(|row| row.alarm).max().unwrap_or(Alarm::None)
    }

    /// Shortest time that any entry has counted for, in seconds.
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

fn latencies(pages: &[Page]) -> BTreeMap<Name, Histogram<u64>> {
    let mut merged: BTreeMap<Name, Histogram<u64>> = BTreeMap::new();
    let mut reader = Deserializer::new();
    for latency in pages.iter().flat_map(|page| &page.latencies) {
        // a page of another release may hold a form unknown here; its counts still stand
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

/// The name of a measure with its limit, for people.
pub fn title(goal: Goal) -> String {
    match goal.measure {
        Measure::Answered => goal.measure.to_string(),
        Measure::Latency | Measure::FailoverGap | Measure::ReadAge => {
            format!("{} <= {} ms", goal.measure, goal.within_ms)
        }
    }
}

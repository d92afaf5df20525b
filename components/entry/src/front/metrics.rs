//! Metrics of a front.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use wire::data::End;

/// Labels of a cycle or plain statement, from its final end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CycleLabels {
    outcome: String,
    reason: String,
    replica: String,
}

/// Metrics of a front.
#[derive(Debug)]
pub struct Metrics {
    /// Number of PostgreSQL callers that are logged in, or of open connections of plain
    /// callers.
    pub callers: Gauge,
    cycles: Family<CycleLabels, Counter>,
    seconds: Family<StatementLabels, Histogram, fn() -> Histogram>,
}

/// Labels of an answered statement.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatementLabels {
    writes: String,
    done: String,
}

/// Upper bound of the first bucket of the latency histogram, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.002;

/// Number of buckets of the latency histogram; each bound is twice the one before.
const BUCKET_COUNT: u16 = 12;

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}

impl Default for Metrics {
    fn default() -> Self {
        let seconds = Family::new_with_constructor(histogram as fn() -> Histogram);
        Self { callers: Gauge::default(), cycles: Family::default(), seconds }
    }
}

impl Metrics {
    /// Registers the metrics.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let callers = metrics.callers.clone();
        registry.register("trefoil_front_callers", "Callers that are logged in", callers);
        let cycles = metrics.cycles.clone();
        registry.register("trefoil_front_cycles", "Cycles that ended at a keeper", cycles);
        let seconds = metrics.seconds.clone();
        let help = "Time from a statement to its answer";
        registry.register_with_unit("trefoil_front_statement", help, Unit::Seconds, seconds);
        metrics
    }

    /// Records the time from a statement to its answer.
    pub fn record_statement(&self, time: Duration, writes: bool, done: bool) {
        let labels = StatementLabels { writes: writes.to_string(), done: done.to_string() };
        self.seconds.get_or_create(&labels).observe(time.as_secs_f64());
    }

    /// Counts a cycle or plain statement by its final end, which comes from the keeper, or
    /// from the front if no keeper finished the request.
    pub fn record_cycle(&self, end: &End) {
        let labels = CycleLabels {
            outcome: end.outcome().to_string(),
            reason: end.reason().to_string(),
            replica: end.replica.to_string(),
        };
        self.cycles.get_or_create(&labels).inc();
    }
}

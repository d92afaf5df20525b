//! What a front counts.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use wire::data::End;

/// Labels of a cycle that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    outcome: String,
    reason: String,
    replica: String,
}

/// What a front counts.
#[derive(Debug)]
pub struct Metrics {
    /// Callers that are logged in.
    pub callers: Gauge,
    cycles: Family<Labels, Counter>,
    seconds: Family<Kind, Histogram, fn() -> Histogram>,
}

/// Labels of a statement that was answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Kind {
    writes: String,
    done: String,
}

/// Least time that the histogram tells apart, in seconds.
const LEAST_SECONDS: f64 = 0.002;

/// Buckets of the histogram; each is twice as long as the one before.
const BUCKETS: u16 = 12;

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(LEAST_SECONDS, 2.0, BUCKETS))
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

    /// Notes how long a statement took.
    pub fn record_statement(&self, time: Duration, writes: bool, done: bool) {
        let kind = Kind { writes: writes.to_string(), done: done.to_string() };
        self.seconds.get_or_create(&kind).observe(time.as_secs_f64());
    }

    /// Counts a cycle that ended.
    pub fn record_cycle(&self, end: &End) {
        let labels = Labels {
            outcome: end.outcome().to_string(),
            reason: end.reason().to_string(),
            replica: end.replica.to_string(),
        };
        self.cycles.get_or_create(&labels).inc();
    }
}

//! What a front counts.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use wire::data::End;

/// Labels of a cycle that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    outcome: String,
    reason: String,
    replica: String,
}

/// What a front counts.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Callers that are logged in.
    pub callers: Gauge,
    cycles: Family<Labels, Counter>,
}

impl Metrics {
    /// Registers the metrics.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let callers = metrics.callers.clone();
        registry.register("trefoil_front_callers", "Callers that are logged in", callers);
        let cycles = metrics.cycles.clone();
        registry.register("trefoil_front_cycles", "Cycles that ended at a keeper", cycles);
        metrics
    }

    /// Counts a cycle that ended.
    pub fn cycle(&self, end: &End) {
        let labels = Labels {
            outcome: end.outcome().to_string(),
            reason: end.reason().to_string(),
            replica: end.replica.to_string(),
        };
        self.cycles.get_or_create(&labels).inc();
    }
}

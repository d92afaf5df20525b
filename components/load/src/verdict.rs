//! The result of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Median, 99th percentile and maximum of a distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl Percentiles {
    /// Percentiles in milliseconds of a histogram in microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let millis = |micros: u64| micros as f64 / 1_000.0;
        Self {
            p50: millis(histogram.value_at_quantile(0.5)),
            p99: millis(histogram.value_at_quantile(0.99)),
            max: millis(histogram.max()),
        }
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Name of the workload.
    pub scenario: String,
    /// Name of the fault that was injected.
    pub fault: String,
    /// Name of the baseline, which is the restriction of the proxy.
    pub baseline: String,
    /// Seed of the callers.
    pub seed: u64,
    /// Duration of the traffic phase in seconds.
    pub seconds: f64,
    /// Number of acknowledged writes.
    pub acked: u64,
    /// Number of acknowledged writes that the primary lacks at the end. All lost
    /// updates of a session's counter count as one.
    pub acked_lost: u64,
    /// Number of writes that ran more than once.
    pub doubled: u64,
    /// Number of reads that missed a write acknowledged to their session.
    pub ryw_violations: u64,
    /// Number of writes that ran although they were reported as not run.
    pub not_run_but_ran: u64,
    /// Number of answers that belong to another request or to none.
    pub mixed_answers: u64,
    /// Number of groups in which a transaction was applied only partly.
    pub torn_transactions: u64,
    /// Number of reads that missed a write older than the age that they accept.
    pub stale_beyond_age: u64,
    /// Number of connections that servers refused and of statements that servers
    /// queued because a limit was reached.
    pub limit_exceeded: u64,
    /// Number of requests whose outcome is unknown to their callers.
    pub outcome_unknown: u64,
    /// Number of requests that were not run, by SQLSTATE.
    pub errors: BTreeMap<String, u64>,
    /// Number of failed attempts to connect.
    pub connects_failed: u64,
    /// Fraction of the traffic phase's reads that replicas served.
    pub replica_read_share: f64,
    /// Number of injected faults.
    pub faults: u64,
    /// Percentiles, over the faults that cause a failover, of the longest pause of
    /// acknowledged writes in the faulted group, in milliseconds.
    pub failover_gap_ms: Percentiles,
    /// Longest pause of acknowledged writes after each fault that causes a failover, in
    /// milliseconds and in the order of the faults.
    pub failover_gaps_ms: Vec<f64>,
    /// Term of each group at the end.
    pub terms: Vec<u64>,
    /// Latencies of successful requests in milliseconds, by request.
    pub latency_ms: BTreeMap<String, Percentiles>,
    /// Latencies of successful requests without the proxy, in milliseconds, by request.
    pub direct_latency_ms: BTreeMap<String, Percentiles>,
    /// Jain's fairness index of the services' shares in the overload phase; 1 is
    /// perfectly fair.
    pub fairness: f64,
    /// Number of successful statements in the overload phase, by service.
    pub overload: BTreeMap<String, u64>,
    /// Number of successful requests per second of the traffic phase.
    pub statements_per_s: f64,
}

impl Verdict {
    /// Whether a consistency guarantee or a server's limit was violated.
    pub fn has_violation(&self) -> bool {
        let violations = [
            self.acked_lost,
            self.doubled,
            self.ryw_violations,
            self.not_run_but_ran,
            self.mixed_answers,
            self.torn_transactions,
            self.stale_beyond_age,
            self.limit_exceeded,
        ];
        violations.iter().any(|count| *count > 0)
    }
}

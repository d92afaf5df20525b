//! The result of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Two percentiles and the greatest value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Greatest value.
    pub max: f64,
}

impl Percentiles {
    /// Summary in milliseconds of values in microseconds.
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
    /// The workload.
    pub scenario: String,
    /// The fault.
    pub fault: String,
    /// The baseline that the proxy was brought to.
    pub baseline: String,
    /// Seed of the callers.
    pub seed: u64,
    /// Length of the traffic in seconds.
    pub seconds: f64,
    /// Writes that were acknowledged.
    pub acked: u64,
    /// Acknowledged writes that no primary holds at the end.
    pub acked_lost: u64,
    /// Writes that ran more than once.
    pub doubled: u64,
    /// Reads that missed a write that their session was acknowledged.
    pub ryw_violations: u64,
    /// Writes that ran though their caller was told that they did not.
    pub not_run_but_ran: u64,
    /// Answers that belong to another request, or to none.
    pub mixed_answers: u64,
    /// Groups whose transactions survived in part.
    pub torn_transactions: u64,
    /// Reads that missed a write older than the age they accept.
    pub stale_beyond_age: u64,
    /// Connections refused and statements queued by servers for want of room.
    pub limit_exceeded: u64,
    /// Requests whose outcome their callers were not told.
    pub outcome_unknown: u64,
    /// Requests that were not run, by SQLSTATE.
    pub errors: BTreeMap<String, u64>,
    /// Attempts to connect that failed.
    pub connects_failed: u64,
    /// Reads that replicas served, of all.
    pub replica_read_share: f64,
    /// Faults that were put on groups.
    pub faults: u64,
    /// Longest pauses of acknowledged writes on a faulted group, in milliseconds.
    pub failover_gap_ms: Percentiles,
    /// The same, one by one, in the order of the faults.
    pub failover_gaps_ms: Vec<f64>,
    /// Term of each group at the end.
    pub terms: Vec<u64>,
    /// Latencies in milliseconds, by kind.
    pub latency_ms: BTreeMap<String, Percentiles>,
    /// Latencies against one stand-in without the proxy, by kind.
    pub direct_latency_ms: BTreeMap<String, Percentiles>,
    /// Jain's index of the services' shares under overload; 1 is fair.
    pub fairness: f64,
    /// Statements answered in the overload, by service.
    pub overload: BTreeMap<String, u64>,
    /// Requests answered for each second of the traffic.
    pub statements_per_s: f64,
}

impl Verdict {
    /// Whether a promise was broken.
    pub fn has_violation(&self) -> bool {
        let broken = [
            self.acked_lost,
            self.doubled,
            self.ryw_violations,
            self.not_run_but_ran,
            self.mixed_answers,
            self.torn_transactions,
            self.stale_beyond_age,
            self.limit_exceeded,
        ];
        broken.iter().any(|count| *count > 0)
    }
}

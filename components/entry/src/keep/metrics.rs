//! Counters and gauges of a keeper. Labels name servers of the groups that the keeper serves
//! and the largest teams, but no service and no caller, so the number of series stays bounded.

use base::prelude::*;
use keeper::{Cause, Count, Pace};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use wire::data::{End, Outcome, Reason};

use super::lock;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    outcome: String,
    reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamLabel {
    team: String,
}

/// Why a request was refused for load, and the declared priority of its database.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShedLabels {
    cause: String,
    priority: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServerLabels {
    group: String,
    server: String,
}

/// Counters and gauges of a keeper.
#[derive(Clone, Debug, Default)]
pub(super) struct Metrics {
    ended: Family<EndLabels, Counter>,
    replica_reads: Counter,
    primary_reads: Family<CauseLabel, Counter>,
    repeats: Counter,
    opened: Counter,
    granted: Family<TeamLabel, Counter>,
    refused: Family<TeamLabel, Counter>,
    borrowed: Family<TeamLabel, Counter>,
    hits: Counter,
    evicted: Counter,
    shed: Family<ShedLabels, Counter>,
    windows: Family<ServerLabels, Gauge>,
    probations: Family<ServerLabels, Gauge>,
}

impl Metrics {
    pub(super) fn register(registry: &telemetry::web::Metrics) -> Self {
        let metrics = Self::default();
        let mut registry = lock(registry);
        let registry = registry.sub_registry_with_prefix("keeper");
        registry.register("ended", "Requests that ended", metrics.ended.clone());
        registry.register(
            "replica_reads",
            "Declared reads sent to a replica",
            metrics.replica_reads.clone(),
        );
        registry.register(
            "primary_reads",
            "Declared reads sent to a primary",
            metrics.primary_reads.clone(),
        );
        registry.register("repeats", "Requests tried again", metrics.repeats.clone());
        registry.register("opened", "Connections opened", metrics.opened.clone());
        registry.register(
            "quota_granted",
            "Operations of teams with a limit that got a token",
            metrics.granted.clone(),
        );
        registry.register(
            "quota_refused",
            "Operations refused because of the limit of their team",
            metrics.refused.clone(),
        );
        registry.register(
            "quota_borrowed",
            "Tokens borrowed from other hosts",
            metrics.borrowed.clone(),
        );
        registry.register(
            "pool_hits",
            "Requests of teams sent on a connection that had served the team before",
            metrics.hits.clone(),
        );
        registry.register(
            "pool_evicted",
            "Idle connections closed for one of another team",
            metrics.evicted.clone(),
        );
        registry.register("shed", "Requests refused for load", metrics.shed.clone());
        registry.register(
            "slow_start_window",
            "Concurrent statements of a server in slow start; missing without slow start",
            metrics.windows.clone(),
        );
        registry.register(
            "probation",
            "1 for a server that fails more reads than its peers; missing for others",
            metrics.probations.clone(),
        );
        metrics
    }

    /// Shows the slow start and the probation of a server. A server without either has no
    /// series, so that those of servers that have left end.
    pub(super) fn pace(&self, group: &Name, server: &Name, pace: Pace) {
        let labels = ServerLabels { group: group.to_string(), server: server.to_string() };
        if let Some(window) = pace.window {
            self.windows.get_or_create(&labels).set(window.into());
        } else {
            self.windows.remove(&labels);
        }
        if pace.probation {
            self.probations.get_or_create(&labels).set(1);
        } else {
            self.probations.remove(&labels);
        }
    }

    /// Counts an operation that got a token. An empty `team` stands for all but the
    /// largest teams.
    pub(super) fn granted(&self, team: &str) {
        self.granted.get_or_create(&TeamLabel { team: team.to_owned() }).inc();
    }

    /// Counts an operation that was refused because of the limit of its team.
    pub(super) fn refused(&self, team: &str) {
        self.refused.get_or_create(&TeamLabel { team: team.to_owned() }).inc();
    }

    /// Counts borrowed tokens.
    pub(super) fn borrowed(&self, team: &str, tokens: u64) {
        self.borrowed.get_or_create(&TeamLabel { team: team.to_owned() }).inc_by(tokens);
    }

    pub(super) fn count(&self, count: Count) {
        match count {
            Count::ReplicaRead => self.replica_reads.inc(),
            Count::PrimaryRead(cause) => self.primary_read(cause),
            Count::Retry => self.repeats.inc(),
            Count::Opened => self.opened.inc(),
            Count::Hit => self.hits.inc(),
            Count::Evicted => self.evicted.inc(),
            Count::Shed(cause, priority) => {
                let labels =
                    ShedLabels { cause: cause.to_string(), priority: priority.to_string() };
                self.shed.get_or_create(&labels).inc()
            }
        };
    }

    pub(super) fn end(&self, end: &End) {
        let outcome = Outcome::try_from(end.outcome).unwrap_or(Outcome::Missing).to_string();
        let reason = Reason::try_from(end.reason).unwrap_or(Reason::None).to_string();
        self.ended.get_or_create(&EndLabels { outcome, reason }).inc();
    }

    fn primary_read(&self, cause: Cause) -> u64 {
        self.primary_reads.get_or_create(&CauseLabel { cause: cause.to_string() }).inc()
    }
}

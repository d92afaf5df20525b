//! Health of one backend server as seen by the leader's own probes.

use base::prelude::*;

use crate::leader::{Ask, ProbeError};

/// Time without an answer after which a server counts as silent. Long enough
/// that a busy server, which answers late, causes no failover.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between two status probes of a server whose group is healthy. Long,
/// because the keepers watch the primary too, and a symptom that they report
/// makes the leader probe at once.
pub const HEALTHY_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Age up to which a status report counts as current.
pub const FRESH_AGE_LIMIT: Duration = Duration::from_millis(500);

/// Time after which a probe without a result is considered lost.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Backoff before the next probe after 2 or more failures in a row.
const RETRY_BACKOFF: Duration = Duration::from_millis(40);

/// Backoff before the next probe after [`SLOW_RETRY_FAILURES`] failures in a row.
const SLOW_RETRY_BACKOFF: Duration = Duration::from_millis(250);

/// Failures in a row from which on [`SLOW_RETRY_BACKOFF`] applies.
const SLOW_RETRY_FAILURES: u32 = 20;

/// Results of the probes of one backend server.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    status: Option<Status>,
    /// When the newest status report arrived.
    heard: Option<Instant>,
    /// When the status probe in flight was sent.
    asked: Option<Instant>,
    /// Last failure of a status probe since the newest report, and when it occurred.
    failed: Option<(ProbeError, Instant)>,
    /// Failed status probes in a row.
    failures: u32,
    /// Order in flight, and when it was sent.
    order: Option<(Ask, Instant)>,
}

impl Watch {
    /// Newest status report of the server.
    pub fn status(&self) -> Option<&Status> {
        self.status.as_ref()
    }

    /// Newest status report, if it is no older than [`FRESH_AGE_LIMIT`] and no
    /// probe has failed since.
    pub fn fresh(&self, now: Instant) -> Option<&Status> {
        let heard = self.heard.filter(|&heard| now.since(heard) <= FRESH_AGE_LIMIT)?;
        let broken = self.failed.is_some_and(|(_, at)| at > heard);
        self.status.as_ref().filter(|_| !broken)
    }

    /// Newest status report, if it is no older than [`HEALTHY_PROBE_INTERVAL`] plus
    /// [`FRESH_AGE_LIMIT`] and no probe has failed since.
    pub fn recent(&self, now: Instant) -> Option<&Status> {
        let late = self
            .heard
            .is_none_or(|heard| now.since(heard) > HEALTHY_PROBE_INTERVAL + FRESH_AGE_LIMIT);
        self.status.as_ref().filter(|_| !late && self.failures == 0)
    }

    /// Whether a status probe is due; `healthy` is whether the group is healthy.
    pub fn is_due(&self, now: Instant, healthy: bool) -> bool {
        if healthy && self.heard.is_some_and(|heard| now.since(heard) < HEALTHY_PROBE_INTERVAL) {
            return false;
        }
        if let Some(asked) = self.asked {
            return now.since(asked) > PROBE_TIMEOUT;
        }
        let wait = match self.failures {
            0 | 1 => Duration::ZERO,
            2..SLOW_RETRY_FAILURES => RETRY_BACKOFF,
            _ => SLOW_RETRY_BACKOFF,
        };
        self.failed.is_none_or(|(_, at)| now.since(at) >= wait)
    }

    /// Whether no probe has failed since the newest report, and the report shows the
    /// server in `term` and with at most `silence_limit` since the primary's last
    /// heartbeat.
    pub fn is_healthy(&self, term: Term, silence_limit: Duration) -> bool {
        let well = |status: &Status| {
            status.term == term && status.log_term == term && status.silence <= silence_limit
        };
        self.failures == 0 && self.status.as_ref().is_some_and(well)
    }

    /// Excludes a stall of the leader itself from the server's silence.
    pub fn exclude_stall(&mut self, gap: Duration) {
        for at in [&mut self.asked, &mut self.heard].into_iter().flatten() {
            *at += gap;
        }
    }

    /// Records that a status probe was sent.
    pub fn record_ask(&mut self, now: Instant) {
        self.asked = Some(now);
    }

    /// Whether an order may be sent: no other order is in flight.
    pub fn accepts_order(&self, now: Instant) -> bool {
        self.order.is_none_or(|(_, at)| now.since(at) > PROBE_TIMEOUT)
    }

    /// Records that an order was sent.
    pub fn record_order(&mut self, now: Instant, ask: Ask) {
        self.order = Some((ask, now));
    }

    /// Records the result of a probe.
    pub fn record_result(&mut self, now: Instant, ask: Ask, result: Result<&Status, ProbeError>) {
        if ask == Ask::Status {
            self.asked = None;
        } else if self.order.is_some_and(|(order, _)| order == ask) {
            self.order = None;
        }
        match result {
            Ok(status) => self.report(now, status),
            Err(_) if ask != Ask::Status => {}
            Err(error) => {
                self.failed = Some((error, now));
                self.failures += 1;
            }
        }
    }

    /// Stores a status report, unless a newer report of the server arrived before it.
    fn report(&mut self, now: Instant, status: &Status) {
        let newest = |known: &Status| {
            (known.incarnation, known.version) <= (status.incarnation, status.version)
        };
        if self.status.as_ref().is_none_or(newest) {
            self.status = Some(status.clone());
            self.heard = Some(now);
            self.failed = None;
            self.failures = 0;
        }
    }

    /// Number of failures in a row if the last one was a refused connection, else zero.
    pub fn refusals(&self) -> u32 {
        match self.failed {
            Some((ProbeError::Refused, _)) => self.failures,
            _ => 0,
        }
    }

    /// Whether no report has arrived for [`SILENCE_TIMEOUT`], and a status probe has
    /// been in flight for that time or the last one timed out.
    pub fn is_silent(&self, now: Instant) -> bool {
        let waits = self.asked.is_some_and(|asked| now.since(asked) >= SILENCE_TIMEOUT);
        let failed = matches!(self.failed, Some((ProbeError::Silent, _)));
        let unheard = self.heard.is_none_or(|heard| now.since(heard) >= SILENCE_TIMEOUT);
        (waits || failed) && unheard
    }

    /// Time since the status probe in flight was sent; zero if there is none.
    pub fn waiting_time(&self, now: Instant) -> Duration {
        self.asked.map_or(Duration::ZERO, |asked| now.since(asked))
    }

    /// Whether the server refuses connections or is silent.
    pub fn is_down(&self, now: Instant) -> bool {
        self.refusals() > 0 || self.is_silent(now)
    }
}

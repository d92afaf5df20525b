//! What a leader sees of one backend server by its own probes.

use base::prelude::*;

use crate::leader::{Ask, ProbeError};

/// Time without an answer after which a server counts as silent. A busy server
/// answers late, and no failover is worth it for load alone.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between two reports of a server whose group is well: its keepers watch
/// it, and a symptom of theirs makes the leader ask at once.
pub const HEALTHY_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Age up to which a report says how a server is now.
pub const FRESH_AGE_LIMIT: Duration = Duration::from_millis(500);

/// Time after which the end of a probe is no longer waited for.
const LOST: Duration = Duration::from_secs(2);

/// Wait before a server that failed is asked again.
const RETRY: Duration = Duration::from_millis(40);

/// The same after [`MANY`] failures in a row.
const LATE_RETRY: Duration = Duration::from_millis(250);

const MANY: u32 = 20;

/// One server.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    status: Option<Status>,
    heard: Option<Instant>,
    asked: Option<Instant>,
    failed: Option<(ProbeError, Instant)>,
    failures: u32,
    order: Option<(Ask, Instant)>,
}

impl Watch {
    /// Its newest report.
    pub fn status(&self) -> Option<&Status> {
        self.status.as_ref()
    }

    /// Its newest report, when it says how the server is now.
    pub fn fresh(&self, now: Instant) -> Option<&Status> {
        let heard = self.heard.filter(|&heard| now.since(heard) <= FRESH_AGE_LIMIT)?;
        let broken = self.failed.is_some_and(|(_, at)| at > heard);
        self.status.as_ref().filter(|_| !broken)
    }

    /// Its newest report, when it is no older than a well group's may be.
    pub fn recent(&self, now: Instant) -> Option<&Status> {
        let late = self
            .heard
            .is_none_or(|heard| now.since(heard) > HEALTHY_PROBE_INTERVAL + FRESH_AGE_LIMIT);
        self.status.as_ref().filter(|_| !late && self.failures == 0)
    }

    /// Whether a report is to be asked for now; `calm` when the group is well.
    pub fn is_due(&self, now: Instant, calm: bool) -> bool {
        if calm && self.heard.is_some_and(|heard| now.since(heard) < HEALTHY_PROBE_INTERVAL) {
            return false;
        }
        if let Some(asked) = self.asked {
            return now.since(asked) > LOST;
        }
        let wait = match self.failures {
            0 | 1 => Duration::ZERO,
            2..MANY => RETRY,
            _ => LATE_RETRY,
        };
        self.failed.is_none_or(|(_, at)| now.since(at) >= wait)
    }

    /// Whether its newest report shows it in `term`, in touch with the primary.
    pub fn is_healthy(&self, term: Term, lost: Duration) -> bool {
        let well = |status: &Status| {
            status.term == term && status.log_term == term && status.silence <= lost
        };
        self.failures == 0 && self.status.as_ref().is_some_and(well)
    }

    /// Takes a time off its silence in which the leader itself stood still.
    pub fn exclude_stall(&mut self, gap: Duration) {
        for at in [&mut self.asked, &mut self.heard].into_iter().flatten() {
            *at += gap;
        }
    }

    /// Notes that a report was asked for.
    pub fn record_ask(&mut self, now: Instant) {
        self.asked = Some(now);
    }

    /// Whether an order may be sent: none is under way.
    pub fn accepts_order(&self, now: Instant) -> bool {
        self.order.is_none_or(|(_, at)| now.since(at) > LOST)
    }

    /// Notes that an order was sent.
    pub fn record_order(&mut self, now: Instant, ask: Ask) {
        self.order = Some((ask, now));
    }

    /// Takes the end of a probe.
    pub fn record_result(&mut self, now: Instant, ask: Ask, result: Result<&Status, ProbeError>) {
        if ask == Ask::Status {
            self.asked = None;
        } else if self.order.is_some_and(|(order, _)| order == ask) {
            self.order = None;
        }
        match result {
            Ok(status) => self.report(now, status),
            Err(_) if ask != Ask::Status => {}
            Err(unreached) => {
                self.failed = Some((unreached, now));
                self.failures += 1;
            }
        }
    }

    /// Takes a report, unless a newer one of the server came before it.
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

    /// Failures in a row, when the last one found its process gone.
    pub fn refusals(&self) -> u32 {
        match self.failed {
            Some((ProbeError::Refused, _)) => self.failures,
            _ => 0,
        }
    }

    /// Whether it left a probe without an answer for [`SILENCE_TIMEOUT`].
    pub fn is_silent(&self, now: Instant) -> bool {
        let waits = self.asked.is_some_and(|asked| now.since(asked) >= SILENCE_TIMEOUT);
        let failed = matches!(self.failed, Some((ProbeError::Silent, _)));
        let unheard = self.heard.is_none_or(|heard| now.since(heard) >= SILENCE_TIMEOUT);
        (waits || failed) && unheard
    }

    /// How long a report has been waited for.
    pub fn waiting_time(&self, now: Instant) -> Duration {
        self.asked.map_or(Duration::ZERO, |asked| now.since(asked))
    }

    /// Whether its process is gone or it is silent.
    pub fn is_down(&self, now: Instant) -> bool {
        self.refusals() > 0 || self.is_silent(now)
    }
}

//! State of backend servers as observed by a group.

use std::collections::VecDeque;

use base::prelude::*;
use pace::{Gauge, Window};

use crate::event::{self, Outage, Pace};
use crate::request::Request;
use crate::unfenced::{Commits, Lag};

/// Time without a report after which a server counts as silent.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// A member of the group.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) setup: event::Server,
    /// Whether the current setup contains the server.
    pub(crate) configured: bool,
    pub(crate) report: Option<Report>,
    /// Newest mark read on a connection after a cycle.
    pub(crate) last_mark: Mark,
    /// When the last report was received, or when the server was added.
    pub(crate) last_heard: Instant,
    /// How the server failed to respond, until it responds again.
    pub(crate) outage: Option<Outage>,
    /// Time of the last failure. Reports requested earlier do not qualify the
    /// server for reads.
    pub(crate) distrusted_at: Instant,
    /// Requests of open transactions that wait for a slot.
    pub(crate) urgent: VecDeque<Key<Request>>,
    /// Number of consecutive failed connection attempts.
    pub(crate) failures: u32,
    /// Earliest time of the next connection attempt.
    pub(crate) connect_at: Instant,
    /// Whether the server reports its position only with its answers.
    pub(crate) unfenced: bool,
    /// Times of the last answered and the last stalled commit.
    pub(crate) commits: Commits,
    /// Estimated replication lag, where answers report it.
    pub(crate) lag: Lag,
    /// Reads that a replica may serve are not sent to the server before this
    /// time, because it had no free slot.
    pub(crate) full_until: Instant,
    /// Limit on connections below the leased one, and its end: the server refused a session
    /// because it has too many.
    pub(crate) cap: Option<(u32, Instant)>,
    /// Slow start of the server.
    pub(crate) window: Window,
    /// Run times and failures of the server's reads.
    pub(crate) gauge: Gauge,
    /// Whether slow start is turned on.
    pub(crate) slow_start: bool,
    /// When the last slow start began.
    pub(crate) started_at: Instant,
    /// Last report of slow start and probation.
    pub(crate) reported_pace: Pace,
    /// When the server began to leave the group.
    pub(crate) leaving_since: Option<Instant>,
}

/// The newest status report of a server.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) status: Status,
    /// When the report was requested. The report describes the server at some
    /// time after this.
    pub(crate) requested_at: Instant,
    pub(crate) received_at: Instant,
}

impl std::ops::Deref for Server {
    type Target = event::Server;

    fn deref(&self) -> &event::Server {
        &self.setup
    }
}

impl Server {
    pub(crate) fn new(now: Instant, setup: event::Server, unfenced: bool) -> Self {
        Self {
            setup,
            configured: true,
            report: None,
            last_mark: Mark::default(),
            last_heard: now,
            outage: None,
            distrusted_at: Instant::ZERO,
            urgent: VecDeque::new(),
            failures: 0,
            connect_at: now,
            unfenced,
            commits: Commits::default(),
            lag: Lag::default(),
            full_until: Instant::ZERO,
            cap: None,
            window: Window::default(),
            gauge: Gauge::default(),
            slow_start: false,
            started_at: Instant::ZERO,
            reported_pace: Pace::default(),
            leaving_since: None,
        }
    }

    /// Stores a status report. Reports may arrive out of order: the higher
    /// version is newer. `requested_at` is the latest request time of all
    /// reports up to the stored version.
    pub(crate) fn record_status(&mut self, now: Instant, status: Status, sent: Instant) {
        self.recover(now);
        let Some(report) = &mut self.report else {
            self.report = Some(Report { status, requested_at: sent, received_at: now });
            return;
        };
        let (old, new) = (report.status.incarnation, status.incarnation);
        if new < old {
            return;
        }
        if new > old {
            *report = Report { status, requested_at: sent, received_at: now };
            return;
        }
        if status.version >= report.status.version {
            report.status = status;
            report.received_at = now;
        }
        report.requested_at = report.requested_at.max(sent);
    }

    /// Number of connections that may be open: the leased one, or less while the server
    /// refuses sessions because it has too many.
    pub(crate) fn connection_limit(&self) -> u32 {
        self.cap.map_or(self.connections, |(cap, _)| cap.min(self.connections))
    }

    pub(crate) fn status(&self) -> Option<&Status> {
        self.report.as_ref().map(|report| &report.status)
    }

    /// Whether the server responds to requests.
    pub(crate) fn is_responsive(&self, now: Instant) -> bool {
        if self.unfenced {
            return self.report.is_some() && self.outage.is_none();
        }
        let silent = now.since(self.last_heard) > REPORT_TIMEOUT;
        self.report.is_some() && self.outage != Some(Outage::Refused) && !silent
    }

    /// Whether the server accepts new work.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        self.configured && !self.leaving && self.slots > 0 && self.is_responsive(now)
    }
}

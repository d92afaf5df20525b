//! Backend servers, as a group sees them.

use std::collections::VecDeque;

use base::prelude::*;

use crate::event::{self, Outage};
use crate::request::Request;
use crate::unfenced::{Commits, Lag};

/// Time without a report after which a server counts as silent.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// A server with a seat in the group.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) setup: event::Server,
    /// Whether the setup still names it.
    pub(crate) configured: bool,
    pub(crate) report: Option<Report>,
    /// Newest mark that a cycle's end showed of it.
    pub(crate) last_mark: Mark,
    /// When the last report came, or when the server was first heard of.
    pub(crate) last_heard: Instant,
    /// What the last question met, if it was not a report.
    pub(crate) outage: Option<Outage>,
    /// Reports asked for before this don't let it serve reads.
    pub(crate) distrusted_at: Instant,
    /// Requests of open transactions that wait for a slot.
    pub(crate) urgent: VecDeque<Key<Request>>,
    /// Connections that failed in a row.
    pub(crate) failures: u32,
    /// No connection is opened before this.
    pub(crate) connect_at: Instant,
    /// Whether it tells where it stands with its answers alone.
    pub(crate) unfenced: bool,
    /// When a commit was answered last, and when one last was not in time.
    pub(crate) commits: Commits,
    /// How far it is behind, where its answers tell.
    pub(crate) lag: Lag,
    /// No statement is sent before this: it had no slot.
    pub(crate) full_until: Instant,
    /// Since when it is leaving.
    pub(crate) leaving_since: Option<Instant>,
}

/// The newest report of a server.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) status: Status,
    /// It was true at some time after this.
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
            leaving_since: None,
        }
    }

    /// Takes a report in. Reports may cross: the higher version is the newer
    /// one, and it is as young as the youngest question that it or an older
    /// one answered.
    pub(crate) fn record_status(&mut self, now: Instant, status: Status, sent: Instant) {
        self.last_heard = now;
        self.outage = None;
        let Some(seen) = &mut self.report else {
            self.report = Some(Report { status, requested_at: sent, received_at: now });
            return;
        };
        let (old, new) = (seen.status.incarnation, status.incarnation);
        if new < old {
            return;
        }
        if new > old {
            *seen = Report { status, requested_at: sent, received_at: now };
            return;
        }
        if status.version >= seen.status.version {
            seen.status = status;
            seen.received_at = now;
        }
        seen.requested_at = seen.requested_at.max(sent);
    }

    pub(crate) fn status(&self) -> Option<&Status> {
        self.report.as_ref().map(|seen| &seen.status)
    }

    /// Whether it answers questions.
    pub(crate) fn is_responsive(&self, now: Instant) -> bool {
        if self.unfenced {
            return self.report.is_some() && self.outage.is_none();
        }
        let quiet = now.since(self.last_heard) > REPORT_TIMEOUT;
        self.report.is_some() && self.outage != Some(Outage::Refused) && !quiet
    }

    /// Whether new work may go to it.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        self.configured && !self.leaving && self.slots > 0 && self.is_responsive(now)
    }
}

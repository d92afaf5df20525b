//! Backend servers, as a group sees them.

use std::collections::VecDeque;

use base::prelude::*;

use crate::event::{self, Trouble};
use crate::request::Request;
use crate::solo::{Commits, Lag};

/// Time without a report after which a server counts as silent.
pub(crate) const SILENCE: Duration = Duration::from_millis(300);

/// A server with a seat in the group.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) setup: event::Server,
    /// Whether the setup still names it.
    pub(crate) seated: bool,
    pub(crate) seen: Option<Seen>,
    /// Newest mark that a cycle's end showed of it.
    pub(crate) marked: Mark,
    /// When the last report came, or when the server was first heard of.
    pub(crate) heard: Instant,
    /// What the last question met, if it was not a report.
    pub(crate) trouble: Option<Trouble>,
    /// Reports asked for before this don't let it serve reads.
    pub(crate) distrusted: Instant,
    /// Requests of open transactions that wait for a slot.
    pub(crate) urgent: VecDeque<Key<Request>>,
    /// Connections that failed in a row.
    pub(crate) failures: u32,
    /// No connection is opened before this.
    pub(crate) connect_at: Instant,
    /// Whether it tells where it stands with its answers alone.
    pub(crate) solo: bool,
    /// When a commit was answered last, and when one last was not in time.
    pub(crate) commits: Commits,
    /// How far it is behind, where its answers tell.
    pub(crate) lag: Lag,
    /// No statement is sent before this: it had no slot.
    pub(crate) full_until: Instant,
    /// Since when it is leaving.
    pub(crate) leaves: Option<Instant>,
}

/// The newest report of a server.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) status: Status,
    /// It was true at some time after this.
    pub(crate) sent: Instant,
    pub(crate) came: Instant,
}

impl std::ops::Deref for Server {
    type Target = event::Server;

    fn deref(&self) -> &event::Server {
        &self.setup
    }
}

impl Server {
    pub(crate) fn new(now: Instant, setup: event::Server, solo: bool) -> Self {
        Self {
            setup,
            seated: true,
            seen: None,
            marked: Mark::default(),
            heard: now,
            trouble: None,
            distrusted: Instant::ZERO,
            urgent: VecDeque::new(),
            failures: 0,
            connect_at: now,
            solo,
            commits: Commits::default(),
            lag: Lag::default(),
            full_until: Instant::ZERO,
            leaves: None,
        }
    }

    /// Takes a report in. Reports may cross: the higher version is the newer
    /// one, and it is as young as the youngest question that it or an older
    /// one answered.
    pub(crate) fn see(&mut self, now: Instant, status: Status, sent: Instant) {
        self.heard = now;
        self.trouble = None;
        let Some(seen) = &mut self.seen else {
            self.seen = Some(Seen { status, sent, came: now });
            return;
        };
        let (old, new) = (seen.status.incarnation, status.incarnation);
        if new < old {
            return;
        }
        if new > old {
            *seen = Seen { status, sent, came: now };
            return;
        }
        if status.version >= seen.status.version {
            seen.status = status;
            seen.came = now;
        }
        seen.sent = seen.sent.max(sent);
    }

    pub(crate) fn status(&self) -> Option<&Status> {
        self.seen.as_ref().map(|seen| &seen.status)
    }

    /// Whether it answers questions.
    pub(crate) fn answers(&self, now: Instant) -> bool {
        if self.solo {
            return self.seen.is_some() && self.trouble.is_none();
        }
        let quiet = now.since(self.heard) > SILENCE;
        self.seen.is_some() && self.trouble != Some(Trouble::Refused) && !quiet
    }

    /// Whether new work may go to it.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.seated && !self.leaving && self.slots > 0 && self.answers(now)
    }
}

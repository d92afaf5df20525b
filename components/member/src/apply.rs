//! Applies committed log entries and snapshots to the state.

use base::prelude::*;
use control::image::Malformed;
use control::{Leadership, Outcome, State};
use quorum::{Event, Snapshot};
use slog::{crit, info};
use telemetry::event::Applied;
use wire::Message as _;
use wire::log::Command;
use wire::log::command::Body;
use wire::quorum::{Entry, entry};

use crate::core::Core;
use crate::event::{self, Summary};
use crate::follower::without_document;
use crate::input::Completion;
use crate::status::Steps;
use crate::updates::Updates;

/// Number of log entries applied since the newest snapshot at which the next snapshot
/// is taken.
const COMPACT_ENTRIES: u64 = 4_096;

/// Length of the log entries since the newest snapshot at which the next snapshot is taken, in
/// bytes. Otherwise a stream of whole configurations would exceed the memory of a host.
const COMPACT_BYTES: usize = 4 << 20;

/// Decodes the state in a snapshot.
pub(crate) fn state(snapshot: &Snapshot) -> Result<State, Report<Malformed>> {
    if snapshot.index == 0 || snapshot.data.is_empty() {
        return Ok(State::default());
    }
    State::decode(&snapshot.data)
}

impl Core {
    /// Applies a committed log entry.
    pub(crate) fn apply(&mut self, entry: &Entry) {
        let index = entry.index;
        let command = match &entry.body {
            Some(entry::Body::Command(bytes)) => Command::decode(bytes.clone()).ok(),
            Some(entry::Body::Members(_)) | None => None,
        };
        let completion = if let Some(command) = &command {
            self.record_failover(command);
            self.record_choice(command);
            let outcome = self.state.apply(index, command);
            self.log_applied(index, command, &outcome);
            Completion::Applied { index, outcome }
        } else {
            self.state.skip_to(index);
            Completion::Changed { index }
        };
        let now = self.now();
        self.updates.feed.observe(now, &self.state, command.as_ref());
        self.meter.applied.inc();
        let command = command.map(without_document);
        self.applied.push(wire::control::Entry { index, command });
        if entry.origin == self.own.id {
            self.resolve(entry.token, completion);
        }
        self.answer_reads();
        if self.leadership.leads && self.leader.is_none() && entry.term == self.leadership.term {
            let leadership = Leadership { token: entry.term, ..self.control_leadership };
            self.leader = Some(control::Leader::with_leadership(self.now(), leadership));
            info!(self.log, "became the control leader"; "term" => entry.term, "index" => index);
        }
        self.leaves.answer(now, &self.state);
        self.notify_leader(control::Event::Applied { index });
    }

    /// Replaces the state by a snapshot from the leader.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) {
        match state(snapshot) {
            Ok(mut state) => {
                state.skip_to(snapshot.index);
                self.state = state;
                // the skipped log entries may include a recent choice of a primary
                let now = Some(self.now());
                self.control_leadership =
                    Leadership { last_chosen: now, ..self.control_leadership };
                info!(self.log, "restored a snapshot"; "index" => snapshot.index);
            }
            Err(report) => {
                // the sender runs a newer version or is faulty; this member can't continue
                crit!(self.log, "could not decode a snapshot; the member stops";
                    "failure" => ?report);
                self.stopping_since = Some(Instant::ZERO);
            }
        }
        self.applied.clear();
        let now = self.now();
        self.updates = Updates::new(now, &self.state);
        self.restore_followers();
        self.answer_reads();
    }

    /// Takes a snapshot once the log has grown by [`COMPACT_ENTRIES`] or [`COMPACT_BYTES`].
    pub(crate) fn compact(&mut self) {
        let index = self.state.index;
        let grown = index.saturating_sub(self.replica.snapshot_index());
        let is_long = || self.replica.bytes_after_snapshot() >= COMPACT_BYTES;
        if grown == 0 || (grown < COMPACT_ENTRIES && !is_long()) {
            return;
        }
        let data = self.state.encode().into();
        self.quorum_events.push_back(Event::Compact { index, data });
    }

    /// Logs an applied command at the control leader only. A member that replays its
    /// log after a restart does not log the commands again.
    fn log_applied(&self, index: u64, command: &Command, outcome: &Outcome) {
        if self.leader.is_some() {
            let summary = Summary(command);
            let applied = Applied {
                index,
                term: self.leadership.term,
                command: summary.kind(),
                subject: &summary.to_string(),
                outcome: &event::outcome(outcome),
            };
            applied.log(&self.log);
        }
    }

    /// Records the time of a choice of a primary, which this member needs if it later
    /// becomes the control leader.
    fn record_choice(&mut self, command: &Command) {
        if matches!(command.body, Some(Body::Choose(_))) && self.leader.is_none() {
            self.control_leadership.last_chosen = Some(self.now());
        }
    }

    /// Records the time of a failover step.
    fn record_failover(&mut self, command: &Command) {
        match &command.body {
            Some(Body::Intend(intend)) => {
                Steps::intended(&mut self.failovers, &intend.group, intend.term);
            }
            Some(Body::Choose(choose)) => {
                Steps::chosen(&mut self.failovers, &choose.group, choose.term, &choose.server);
            }
            Some(Body::Establish(establish)) => {
                let (group, term) = (&establish.group, establish.term);
                Steps::established(&mut self.failovers, group, term, &establish.server);
            }
            _ => {}
        }
    }
}

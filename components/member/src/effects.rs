//! Executes the effects of the quorum state machine.

use std::sync::atomic::Ordering;

use base::prelude::*;
use quorum::{Effect, Leadership};
use slog::info;
use wire::quorum::Message;
use wire::quorum::message::Body;

use crate::core::Core;
use crate::input::Completion;

impl Core {
    /// Passes all queued events to the quorum and executes their effects.
    pub(crate) fn process_events(&mut self) {
        let mut effects = Vec::new();
        while let Some(event) = self.quorum_events.pop_front() {
            let now = self.now();
            self.replica.on(now, event, &mut effects);
            for effect in effects.drain(..) {
                self.execute(effect);
            }
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            // sending fails only once the member is ending, and the disk thread with it
            Effect::Persist(write) => drop(self.writes.send(write)),
            Effect::Send(message) => self.send(message),
            Effect::Apply(entry) => self.apply(&entry),
            Effect::Restore(snapshot) => self.restore(&snapshot),
            Effect::Confirmed { token, index } => self.confirm(token, index),
            Effect::Unconfirmed { token } => self.reject_read(token),
            Effect::Noted(note) => self.on_heartbeat_note(&note),
            Effect::Dropped { token, not_run } => {
                self.resolve(token, Completion::Dropped { not_run });
            }
            Effect::Refused { token, refusal } => self.resolve(token, Completion::Refused(refusal)),
            Effect::Members(members) => {
                self.fresh.store(self.replica.is_fresh(), Ordering::Release);
                self.links.update(&members);
                self.broadcast_members();
                let listed = |id| members.members.iter().any(|member| member.id == id);
                self.beacons_received.retain(|id, _| listed(*id));
                if let Some(beacons) = &mut self.beacons {
                    beacons.retain(listed);
                }
            }
            Effect::Leadership(leadership) => self.set_leadership(leadership),
        }
    }

    fn send(&mut self, message: Message) {
        let proposal = match &message.body {
            Some(Body::Propose(propose)) => Some(propose.token),
            _ => None,
        };
        if self.links.send(message) {
            return;
        }
        if let Some(token) = proposal {
            self.resolve(token, Completion::Dropped { not_run: true });
        }
    }

    fn set_leadership(&mut self, leadership: Leadership) {
        info!(self.log, "plays a part"; "term" => leadership.term,
            "leads" => leadership.leads,
            "leader" => leadership.leader.and_then(|id| self.name_of(id)));
        let has_leader = leadership.leader.is_some();
        self.health.set_ready(has_leader && self.stopping_since.is_none());
        self.leaderless_since =
            if has_leader { None } else { self.leaderless_since.or(Some(self.now())) };
        if leadership.leads && !self.leadership.leads {
            self.meter.elections.inc();
        }
        // the control leader is created once a log entry of the new term is applied
        self.leader = None;
        self.leadership = leadership;
    }

    /// Name of a member.
    pub(crate) fn name_of(&self, id: u64) -> Option<String> {
        let members = &self.replica.members().members;
        members.iter().find(|member| member.id == id).map(|member| member.name.clone())
    }

    /// Returns the next token for a proposal or read.
    pub(crate) fn next_token(&mut self) -> u64 {
        self.token += 1;
        self.token
    }

    /// Time for which no leader has been known.
    pub(crate) fn leaderless_for(&self) -> Duration {
        self.leaderless_since.map_or(Duration::ZERO, |since| self.now().since(since))
    }
}

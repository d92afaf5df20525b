//! The control leader of this member, and messages forwarded to it.

use base::prelude::*;
use control::{Ask, Effect, Event};
use slog::info;
use tokio::sync::oneshot;
use wire::Message as _;
use wire::control::Seal;
use wire::log::{Announce, Join, Leave};
use wire::quorum::message::Body;
use wire::quorum::{Forward, Heartbeat, Message, Observed, Sealed};

use crate::core::Core;
use crate::input::NoLeader;
use crate::leaves::Leaves;
use crate::pending::{Designation, Read};
use crate::permit::Permit;
use crate::probe::Request;

impl Core {
    /// Passes an event to the control leader if this member leads.
    pub(crate) fn notify_leader(&mut self, event: Event) {
        let now = self.now();
        let Some(leader) = &mut self.leader else { return };
        let mut effects = Vec::new();
        leader.on(now, &self.state, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Propose(command) => {
                    let token = self.next_token();
                    let command = command.encode_to_vec().into();
                    self.quorum_events.push_back(quorum::Event::Propose { token, command });
                }
                Effect::Probe { group, server, address, ask: ask @ Ask::Designate { .. } } => {
                    let requested_at = now;
                    let designation = Designation { group, server, address, ask, requested_at };
                    self.read(Read::Designate(designation), None);
                }
                Effect::Probe { group, server, address, ask } => {
                    let unfenced = self.state.acknowledges(group.as_str());
                    let request = Request { group, ask, permit: None };
                    self.leader_events.extend(self.probes.ask(server, address, request, unfenced));
                }
            }
        }
    }

    /// Requests that a server of an unfenced group becomes its primary, after a quorum
    /// has confirmed that this member leads.
    pub(crate) fn designate(&mut self, designation: Designation) {
        if self.leader.is_none() {
            return;
        }
        let Designation { group, server, address, ask, requested_at } = designation;
        info!(self.log, "designating a primary"; "group" => %group, "server" => %server,
            "term" => self.leadership.term);
        let request = Request { group, ask, permit: Some(Permit::new(requested_at)) };
        self.leader_events.extend(self.probes.ask(server, address, request, true));
    }

    /// Runs one tick of the control leader.
    pub(crate) fn tick_leader(&mut self) {
        for event in std::mem::take(&mut self.leader_events) {
            self.notify_leader(event);
        }
        self.notify_leader(Event::Tick);
        let now = self.now();
        if let Some(leader) = &self.leader {
            self.waits.log(now, leader, &self.log);
        }
    }

    /// Queues the announcement of a backend server for the leader. That of a server that
    /// leaves is acknowledged once it has been applied.
    pub(crate) fn announce(
        &mut self,
        announce: Announce,
        reply: oneshot::Sender<Result<(), NoLeader>>,
    ) {
        let has_leader = self.leadership.leader.is_some();
        if has_leader && Leaves::concerns(&self.state, &announce) {
            self.leaves.add(self.now(), &announce, reply);
            return self.forward.announces.push(announce);
        }
        if has_leader {
            self.forward.announces.push(announce);
        }
        drop(reply.send(if has_leader { Ok(()) } else { Err(NoLeader) }));
    }

    /// Sends the queued data to the leader, or drops it if no leader is known.
    pub(crate) fn flush_forward(&mut self) {
        if self.forward == Forward::default() {
            return;
        }
        let forward = std::mem::take(&mut self.forward);
        match self.leadership.leader {
            Some(leader) if leader == self.own.id => {
                self.on_forward(forward);
                self.process_events();
            }
            Some(to) => {
                let (from, term) = (self.own.id, self.leadership.term);
                let body = Some(Body::Forward(forward));
                // A lost message is not retried, since each source repeats its report. Only
                // the leave of an entry is not repeated; the control leader removes the
                // entry once its heartbeats have stopped.
                let _sent = self.links.send(Message { from, to, term, body });
            }
            None => {}
        }
    }

    /// Handles data that a member forwarded to the leader.
    pub(crate) fn on_forward(&mut self, forward: Forward) {
        for announce in forward.announces {
            self.notify_leader(Event::Announced(announce));
        }
        for Leave { entry, incarnation, .. } in forward.leaves {
            if let Ok(entry) = Name::new(&entry) {
                self.notify_leader(Event::Left { entry, incarnation });
            }
        }
        for Observed { entry, symptom } in forward.symptoms {
            self.on_symptom(&entry, symptom);
        }
        for Sealed { entry, incarnation, seal } in forward.seals {
            self.on_seal(&entry, incarnation, seal);
        }
        for member in forward.newcomers {
            self.on_join_request(member);
        }
    }

    /// Handles a heartbeat that an entry sent to this or another member. The heartbeat
    /// is the note of a read that the quorum has yet to confirm.
    pub(crate) fn on_heartbeat_note(&mut self, note: &[u8]) {
        let Ok(Heartbeat { join: Some(join), applied, returned, symptoms, seals }) =
            Heartbeat::decode(note)
        else {
            return;
        };
        let Ok(entry) = Name::new(&join.entry) else { return };
        self.entry_indexes.insert(join.entry.clone(), applied);
        let incarnation = join.incarnation;
        if self.is_new(&entry, &join) {
            self.notify_leader(Event::Joined(join));
        }
        let returned = returned.iter().filter_map(|group| Name::new(group).ok()).collect();
        let name = entry.to_string();
        self.notify_leader(Event::Heartbeat { entry, incarnation, applied, returned });
        for symptom in symptoms {
            self.on_symptom(&name, Some(symptom));
        }
        for seal in seals {
            self.on_seal(&name, incarnation, Some(seal));
        }
    }

    fn on_seal(&mut self, entry: &str, incarnation: u64, seal: Option<Seal>) {
        if let (Ok(entry), Some(seal)) = (Name::new(entry), seal) {
            self.notify_leader(Event::Sealed { entry, incarnation, seal });
        }
    }

    /// Whether the state lacks this incarnation of an entry.
    fn is_new(&self, entry: &Name, join: &Join) -> bool {
        let known = self.state.entries.get(entry);
        known.is_none_or(|known| known.incarnation < join.incarnation)
    }

    fn on_symptom(&mut self, entry: &str, symptom: Option<wire::control::Symptom>) {
        if let (Ok(entry), Some(symptom)) = (Name::new(entry), symptom) {
            self.notify_leader(Event::Symptom { entry, symptom });
        }
    }
}

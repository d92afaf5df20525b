//! The control leader, while this member leads; and what others send it.

use base::prelude::*;
use control::{Ask, Effect, Event};
use slog::info;
use tokio::sync::oneshot;
use wire::Message as _;
use wire::control::Seal;
use wire::log::{Announce, Join, Leave};
use wire::quorum::message::Body;
use wire::quorum::{Forward, Heartbeat, Message, Observed, Sealed};

use crate::answer::{Designation, Read};
use crate::core::Core;
use crate::input::Unled;

impl Core {
    /// Lets the control leader take an event, if this member leads.
    pub(crate) fn lead(&mut self, event: Event) {
        let now = self.now();
        let Some(leader) = &mut self.leader else { return };
        let mut effects = Vec::new();
        leader.on(now, &self.state, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Propose(command) => {
                    let token = self.next_token();
                    let command = command.encode_to_vec().into();
                    self.due.push_back(quorum::Event::Propose { token, command });
                }
                Effect::Probe { group, server, address, ask: ask @ Ask::Designate { .. } } => {
                    let designation = Designation { group, server, address, ask };
                    self.read(Read::Designate(designation), None);
                }
                Effect::Probe { group, server, address, ask } => {
                    let solo = self.state.acknowledges(group.as_str());
                    self.late.extend(self.probes.ask(group, server, address, ask, solo));
                }
            }
        }
    }

    /// Has a server designated, now that a quorum has confirmed the leader.
    pub(crate) fn designate(&mut self, designation: Designation) {
        if self.leader.is_none() {
            return;
        }
        let Designation { group, server, address, ask } = designation;
        info!(self.log, "designates a primary"; "group" => %group, "server" => %server,
            "term" => self.part.term);
        self.late.extend(self.probes.ask(group, server, address, ask, true));
    }

    /// One tick of the control leader.
    pub(crate) fn tick_leader(&mut self) {
        for event in std::mem::take(&mut self.late) {
            self.lead(event);
        }
        self.lead(Event::Tick);
    }

    /// A backend server announced itself here.
    pub(crate) fn announce(
        &mut self,
        announce: Announce,
        reply: oneshot::Sender<Result<(), Unled>>,
    ) {
        let led = self.part.leader.is_some();
        if led {
            self.forward.announces.push(announce);
        }
        drop(reply.send(if led { Ok(()) } else { Err(Unled) }));
    }

    /// Passes on to the leader what waits for it.
    pub(crate) fn pass_on(&mut self) {
        if self.forward == Forward::default() {
            return;
        }
        let forward = std::mem::take(&mut self.forward);
        match self.part.leader {
            Some(leader) if leader == self.own.id => {
                self.hear(forward);
                self.settle();
            }
            Some(to) => {
                let (from, term) = (self.own.id, self.part.term);
                let body = Some(Body::Forward(forward));
                // each part is told again by its source
                let _sent = self.links.send(Message { from, to, term, body });
            }
            None => {}
        }
    }

    /// What a member passed on.
    pub(crate) fn hear(&mut self, forward: Forward) {
        for announce in forward.announces {
            self.lead(Event::Announced(announce));
        }
        for Leave { entry, incarnation, .. } in forward.leaves {
            if let Ok(entry) = Name::new(&entry) {
                self.lead(Event::Left { entry, incarnation });
            }
        }
        for Observed { entry, symptom } in forward.symptoms {
            self.see(&entry, symptom);
        }
        for Sealed { entry, incarnation, seal } in forward.seals {
            self.sealed(&entry, incarnation, seal);
        }
        for member in forward.newcomers {
            self.newcomer(member);
        }
    }

    /// A beat that came to any member, before it is confirmed.
    pub(crate) fn note(&mut self, note: &[u8]) {
        let Ok(Heartbeat { join: Some(join), applied, returned, symptoms, seals }) =
            Heartbeat::decode(note)
        else {
            return;
        };
        let Ok(entry) = Name::new(&join.entry) else { return };
        self.seen.insert(join.entry.clone(), applied);
        let incarnation = join.incarnation;
        if self.lacks(&entry, &join) {
            self.lead(Event::Joined(join));
        }
        let returned = returned.iter().filter_map(|group| Name::new(group).ok()).collect();
        let name = entry.to_string();
        self.lead(Event::Heartbeat { entry, incarnation, applied, returned });
        for symptom in symptoms {
            self.see(&name, Some(symptom));
        }
        for seal in seals {
            self.sealed(&name, incarnation, Some(seal));
        }
    }

    fn sealed(&mut self, entry: &str, incarnation: u64, seal: Option<Seal>) {
        if let (Ok(entry), Some(seal)) = (Name::new(entry), seal) {
            self.lead(Event::Sealed { entry, incarnation, seal });
        }
    }

    fn lacks(&self, entry: &Name, join: &Join) -> bool {
        let known = self.state.entries.get(entry);
        known.is_none_or(|known| known.incarnation < join.incarnation)
    }

    fn see(&mut self, entry: &str, symptom: Option<wire::control::Symptom>) {
        if let (Ok(entry), Some(symptom)) = (Name::new(entry), symptom) {
            self.lead(Event::Symptom { entry, symptom });
        }
    }
}

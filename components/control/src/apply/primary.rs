//! Commands that change the primary of a group.

use base::prelude::*;
use wire::log;

use super::{Outcome, Refusal};
use crate::state::{Candidate, Group, Phase, State};

impl State {
    pub(super) fn intend(&mut self, intend: &log::Intend) -> Result<Outcome, Refusal> {
        let group = self.groups.get_mut(intend.group.as_str()).ok_or(Refusal::Unknown)?;
        if Term(intend.term) <= group.term {
            return Err(Refusal::Term);
        }
        group.term = Term(intend.term);
        group.phase = Phase::Intended;
        Ok(Outcome::Applied)
    }

    pub(super) fn choose(&mut self, choose: &log::Choose) -> Result<Outcome, Refusal> {
        let acknowledges = self.acknowledges(&choose.group);
        let group = self.groups.get_mut(choose.group.as_str()).ok_or(Refusal::Unknown)?;
        if Term(choose.term) != group.term || group.phase != Phase::Intended {
            return Err(Refusal::Term);
        }
        let seat = group.seats.iter().find(|seat| seat.as_str() == choose.server);
        let server = seat.cloned().ok_or(Refusal::Unknown)?;
        let start = choose.start.map(Mark::from).ok_or(Refusal::Malformed)?;
        if acknowledges {
            group.follow_candidate(&server, choose.reported_term.map(Term));
        }
        group.phase = Phase::Chosen { server, start, incarnation: choose.incarnation };
        Ok(Outcome::Applied)
    }

    pub(super) fn establish(&mut self, establish: &log::Establish) -> Result<Outcome, Refusal> {
        let acknowledges = self.acknowledges(&establish.group);
        let group = self.groups.get_mut(establish.group.as_str()).ok_or(Refusal::Unknown)?;
        let term = Term(establish.term);
        let seat = group.seats.iter().find(|seat| seat.as_str() == establish.server);
        let server = seat.cloned().ok_or(Refusal::Unknown)?;
        if term < group.term {
            return Err(Refusal::Term);
        }
        if term == group.term {
            match &group.phase {
                Phase::Chosen { server: chosen, start, .. } if *chosen == server => {
                    group.history.begin(term, start.position);
                }
                Phase::Settled if group.primary.as_ref() == Some(&server) => {
                    return Ok(Outcome::Unchanged);
                }
                Phase::Settled if group.primary.is_none() => {}
                _ => return Err(Refusal::Term),
            }
        }
        if acknowledges {
            if group.primary.as_ref().is_some_and(|old| *old != server) {
                // other servers may lack records that the new primary had received
                group.uncovered_index = self.index;
            }
            group.follow_candidate(&server, None);
        }
        group.term = term;
        group.phase = Phase::Settled;
        group.primary = Some(server);
        Ok(Outcome::Applied)
    }

    pub(super) fn cover(&mut self, cover: &log::Cover) -> Result<Outcome, Refusal> {
        let group = self.groups.get_mut(cover.group.as_str()).ok_or(Refusal::Unknown)?;
        if group.uncovered_index != cover.index {
            return Ok(Outcome::Unchanged);
        }
        group.uncovered_index = 0;
        Ok(Outcome::Applied)
    }

    /// Records that the log of a server may be gone. All that a primary has acknowledged is
    /// held by another server too, so the loss of its own log uncovers nothing.
    pub(super) fn record_lost_log(&mut self, server: &Name) {
        for (name, group) in &mut self.groups {
            let declared = self.declarations.groups.get(name);
            let acknowledges = declared.is_some_and(|declared| declared.acknowledges);
            let replica = group.seats.contains(server) && group.primary.as_ref() != Some(server);
            if acknowledges && replica {
                group.uncovered_index = self.index;
            }
        }
    }
}

impl Group {
    /// Records that a server was chosen or established. The term before its promotion is kept
    /// while no other server is chosen.
    fn follow_candidate(&mut self, server: &Name, above: Option<Term>) {
        if self.candidate.as_ref().is_none_or(|candidate| candidate.server != *server) {
            self.candidate = Some(Candidate { server: server.clone(), above });
        }
    }
}

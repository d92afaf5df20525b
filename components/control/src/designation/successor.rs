//! The next primary of an unfenced group: the server that certainly holds all records
//! that were acknowledged.

use std::collections::BTreeMap;

use base::prelude::*;
use smallvec::SmallVec;
use wire::control::Seal;

use super::CONFIRMATION_TIME;
use super::wait::Wait;
use crate::choice::Choice;
use crate::context::Context;
use crate::state::Group;

/// Time for which a choice waits for the positions of all servers but the old primary.
const POSITIONS_TIMEOUT: Duration = Duration::from_millis(200);

/// Last reported log position and role of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Position {
    pub(super) mark: Mark,
    pub(super) role: Role,
    /// When the probe that returned this report was sent.
    pub(super) sent: Instant,
}

/// What the leader knows of a group whose keepers have ended their work.
#[derive(Debug)]
pub(super) struct Survey<'a> {
    /// Time since which no keeper passes on answers of the old primary. Only positions
    /// requested since then count.
    pub(super) since: Instant,
    pub(super) positions: &'a BTreeMap<Name, Position>,
    pub(super) seals: &'a BTreeMap<(Name, u64), Seal>,
}

impl Survey<'_> {
    /// The next primary and its last record, if a server certainly holds all
    /// acknowledged records.
    ///
    /// # Errors
    /// What the choice waits for.
    pub(super) fn successor(&self, context: &Context<'_>) -> Result<Choice, Wait> {
        let group = context.group;
        let old = group.primary.as_ref();
        let known = |seat: &&Name| context.state.servers.contains_key(*seat);
        let others = || group.seats.iter().filter(known).filter(|seat| Some(*seat) != old);
        let silent: SmallVec<[Name; 2]> =
            others().filter(|seat| self.position(seat).is_none()).cloned().collect();
        let all = others().count() >= 2 && silent.is_empty();
        let old_reported = old.is_some_and(|old| self.position(old).is_some());
        if !all && context.now.since(self.since) < POSITIONS_TIMEOUT {
            return Err(Wait::Positions(silent));
        }
        let needed = self.held_seals(group).filter_map(|seal| seal.mark.map(Mark::from)).max();
        // the holder of an ended lease may not have sealed, but a mark acknowledged
        // after the last lease had ended covers all that this holder acknowledged
        let current = |seal: &Seal| seal.mark.is_some() && seal.index >= group.ended_index;
        let precise = group.ended_index == 0 || self.held_seals(group).any(current);
        let stays = |seat: &Name| context.state.servers.get(seat).is_some_and(|s| !s.leaving);
        let able = |seat: &&Name| stays(seat) && self.position(seat).is_some();
        let best = others().filter(able).max_by_key(|seat| self.position(seat).map(|p| p.mark));
        let mark = best.and_then(|best| self.position(best)).map(|position| position.mark);
        if let (Some(server), Some(start)) = (best, mark)
            && (precise || all || old_reported)
            && Some(start) >= needed
        {
            return Ok(Choice { server: server.clone(), start });
        }
        // an old primary that came back holds all that it acknowledged
        let late = context.now.since(self.since) >= CONFIRMATION_TIME;
        let back = old.filter(|old| late && stays(old));
        let back = back.and_then(|old| Some((old, self.position(old)?)));
        match back.filter(|(_, position)| position.role == Role::Primary) {
            Some((server, position)) => Ok(Choice { server: server.clone(), start: position.mark }),
            None => Err(Wait::Records { silent, needed, best: mark, precise }),
        }
    }

    /// Position of a server that was requested since no keeper works for the old primary.
    fn position(&self, server: &Name) -> Option<Position> {
        self.positions.get(server).filter(|position| position.sent >= self.since).copied()
    }

    /// Seals of the keepers that hold a lease on the group.
    fn held_seals(&self, group: &Group) -> impl Iterator<Item = &Seal> {
        let holds = move |(entry, incarnation): &(Name, u64)| {
            group.lease(entry.as_str()).is_some_and(|lease| lease.incarnation == *incarnation)
        };
        self.seals.iter().filter(move |(holder, _)| holds(holder)).map(|(_, seal)| seal)
    }
}

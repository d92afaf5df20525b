//! The next primary of an unfenced group: a server that certainly holds all records
//! that were acknowledged.
//!
//! The primary holds each acknowledged record, and so does at least one other server that
//! had a seat then. A server is chosen only if its position is not below that of any
//! server whose answer is part of the proof, whether that server can be chosen or not:
//! a server that is leaving, or the old primary, counts with its position or not at all.
//! One of these proofs is needed:
//!
//! - A keeper has acknowledged a record since the last lease ended. Its mark and those of
//!   the other keepers cover all that was acknowledged.
//! - All servers but the old primary have answered, and no log that may be needed has left
//!   the group (`Group::uncovered_index`).
//! - All servers have answered, also the old primary unless it has lost its seat. Where a
//!   log has left the group nothing can be proved any more, but waiting brings none back.
//! - The old primary has answered, with its log: not below any other server.

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
pub(super) struct Progress {
    pub(super) mark: Mark,
    /// Position in the report before, and when that report was requested.
    pub(super) earlier: Option<(Mark, Instant)>,
    pub(super) role: Role,
    /// Term of the server itself.
    pub(super) term: Term,
    /// When the probe that returned this report was sent.
    pub(super) sent: Instant,
    /// Incarnation of the server as it was known then.
    pub(super) incarnation: u64,
}

/// What the leader knows of a group whose keepers have ended their work.
#[derive(Debug)]
pub(super) struct Survey<'a> {
    /// Time since which no keeper passes on answers of the old primary. Only positions
    /// requested since then count.
    pub(super) since: Instant,
    pub(super) positions: &'a BTreeMap<Name, Progress>,
    pub(super) seals: &'a BTreeMap<(Name, u64), Seal>,
}

/// Positions that count in a choice.
#[derive(Debug)]
struct Reports<'a> {
    /// Servers that stay.
    staying: SmallVec<[(&'a Name, Mark); 3]>,
    /// Servers that are leaving.
    leaving: SmallVec<[(&'a Name, Mark); 3]>,
    /// Servers that have not reported.
    silent: SmallVec<[Name; 2]>,
    /// The old primary.
    old: Option<(&'a Name, Progress)>,
}

impl Reports<'_> {
    /// Highest position of a server other than the old primary.
    fn highest(&self) -> Option<Mark> {
        self.staying.iter().chain(&self.leaving).map(|(_, mark)| *mark).max()
    }

    /// Whether all servers but the old primary have reported.
    fn are_complete(&self) -> bool {
        self.silent.is_empty() && self.staying.len() + self.leaving.len() >= 2
    }

    /// Position of the old primary, unless it has lost its log: replicas copy the log of
    /// their primary, so none is ahead of it.
    fn intact_old(&self) -> Option<Mark> {
        let mark = self.old.map(|(_, progress)| progress.mark)?;
        (mark.position > Position(0) && Some(mark) >= self.highest()).then_some(mark)
    }

    /// Whether the old primary still leads, so that replicas receive its records.
    fn old_leads(&self) -> bool {
        self.old.is_some_and(|(_, progress)| progress.role == Role::Primary)
    }
}

impl Survey<'_> {
    /// The next primary and its last record, if a server certainly holds all
    /// acknowledged records. A server that is leaving is chosen if it alone holds them and
    /// the old primary doesn't lead; it is replaced once another one has received them.
    ///
    /// # Errors
    /// What the choice waits for.
    pub(super) fn successor(&self, context: &Context<'_>) -> Result<Choice, Wait> {
        let reports = self.reports(context);
        let waited = context.now.since(self.since);
        if !reports.are_complete() && waited < POSITIONS_TIMEOUT {
            return Err(Wait::Positions(reports.silent));
        }
        let bound = self.bound(context.group, &reports);
        let best = |candidates: &[(&Name, Mark)]| {
            let holders = candidates.iter().filter(|(_, mark)| bound.is_some_and(|b| *mark >= b));
            let (server, mark) = holders.max_by_key(|(_, mark)| *mark)?;
            Some(Choice { server: (*server).clone(), start: *mark })
        };
        let leaving = || best(&reports.leaving).filter(|_| !reports.old_leads());
        let old = || {
            let (server, progress) = reports.old.filter(|_| reports.old_leads())?;
            if waited >= CONFIRMATION_TIME { best(&[(server, progress.mark)]) } else { None }
        };
        best(&reports.staying).or_else(leaving).or_else(old).ok_or(Wait::Records {
            needed: bound.unwrap_or_else(|| self.sealed_mark(context.group)),
            best: reports.highest(),
            precise: bound.is_some(),
            uncovered: context.group.uncovered_index > 0,
            silent: reports.silent,
        })
    }

    fn reports<'b>(&self, context: &Context<'b>) -> Reports<'b> {
        let group = context.group;
        let (mut staying, mut leaving) = (SmallVec::new(), SmallVec::new());
        let (mut silent, mut old) = (SmallVec::new(), None);
        for seat in &group.seats {
            let Some(server) = context.state.servers.get(seat) else { continue };
            match self.progress(seat) {
                reported if group.primary.as_ref() == Some(seat) => {
                    old = reported.map(|progress| (seat, progress));
                }
                Some(progress) if server.leaving => leaving.push((seat, progress.mark)),
                Some(progress) => staying.push((seat, progress.mark)),
                None => silent.push(seat.clone()),
            }
        }
        Reports { staying, leaving, silent, old }
    }

    /// Position that covers all that was acknowledged; `None` if nothing proves one.
    fn bound(&self, group: &Group, reports: &Reports<'_>) -> Option<Mark> {
        let sealed = self.sealed_mark(group);
        if group.ended_index == 0 || self.has_acknowledged_since(group, group.ended_index) {
            return Some(sealed);
        }
        let covered =
            group.uncovered_index == 0 || self.has_acknowledged_since(group, group.uncovered_index);
        let all = sealed.max(reports.highest().unwrap_or_default());
        if reports.are_complete() && covered {
            return Some(all);
        }
        let old = group.primary.as_ref().filter(|old| group.seats.contains(old));
        if reports.are_complete() && (old.is_none() || reports.old.is_some()) {
            return Some(reports.old.map_or(all, |(_, progress)| all.max(progress.mark)));
        }
        reports.intact_old().map(|mark| sealed.max(mark))
    }

    /// Highest mark that the holders of leases have acknowledged.
    fn sealed_mark(&self, group: &Group) -> Mark {
        let marks = self.held_seals(group).filter_map(|seal| seal.mark.map(Mark::from));
        marks.max().unwrap_or_default()
    }

    /// Whether a holder of a lease has acknowledged a record whose statement was sent after
    /// the command at an index. That record is behind all that was acknowledged before.
    fn has_acknowledged_since(&self, group: &Group, index: u64) -> bool {
        self.held_seals(group).any(|seal| seal.mark.is_some() && seal.index >= index)
    }

    /// Progress of a server that was requested since no keeper works for the old primary.
    fn progress(&self, server: &Name) -> Option<Progress> {
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

//! The change of primary in a group whose servers acknowledge by themselves.
//!
//! Such servers can't be fenced, so a new primary is chosen only once no
//! keeper passes on answers of the old one. A change goes through the log, one
//! committed step at a time:
//!
//! 1. `Intend(T)`: keepers that apply it end their work for the old primary and
//!    seal: they tell the highest mark that they have acknowledged.
//! 2. Once each lease on the group is sealed or over, the servers are asked
//!    where they stand. `Choose` names the one that holds the most, if that is
//!    sure to hold all that was acknowledged; else waiting is right.
//! 3. The chosen server is designated, again and again until it leads.
//! 4. `Establish`: keepers begin to work for it.
//!
//! A leader that finds a change unfinished goes on where the log stands.

use std::collections::BTreeMap;

use base::prelude::*;
use wire::control::{Seal, Sight, Symptom};
use wire::log::{Choose, Establish, Intend, command};

use crate::context::Context;
use crate::detector::{Cause, Symptoms, Watches};
use crate::leader::{Ask, Effect, PROPOSAL_TIMEOUT, ProbeError};
use crate::lease::LEASE_DURATION;
use crate::state::{Group, Phase};
use crate::trace::Trace;

/// Time for which a choice waits for the positions of all servers.
const GRACE: Duration = Duration::from_millis(200);

/// Time between two designations of a server.
const DESIGNATE_PACE: Duration = Duration::from_millis(400);

/// Time for a designated server to lead before another is chosen, if it can't
/// be reached.
const DESIGNATE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two questions to a server while a change is under way.
const POSITION_PACE: Duration = Duration::from_millis(50);

/// The same while a primary is in question, or after [`HASTE`].
const SLOW_PACE: Duration = Duration::from_millis(250);

/// Time for which a change that is under way is followed closely.
const HASTE: Duration = Duration::from_millis(1_500);

/// Time for a new group to show a primary by itself.
const BOOTSTRAP: Duration = Duration::from_secs(2);

/// Refusals in a row that need no keeper to agree.
const REFUSALS: u32 = 2;

/// Time for which all keepers must miss a primary that the leader reaches.
const UNREACHED: Duration = Duration::from_millis(600);

/// Time without an answer to the leader after which a primary that all keepers
/// miss is taken for silent.
const UNANSWERED: Duration = Duration::from_millis(250);

/// Time after a primary was established before it may be called cut off.
const CALM: Duration = Duration::from_secs(2);

/// Where a server stood.
#[derive(Clone, Copy, Debug)]
struct Position {
    mark: Mark,
    role: Role,
    sent: Instant,
}

/// What a leader knows of one group's primary.
#[derive(Debug, Default)]
pub struct Designation {
    watches: Watches,
    symptoms: Symptoms,
    seals: BTreeMap<(Name, u64), Seal>,
    /// Questions that are open, and when each was put.
    asked: BTreeMap<Name, Instant>,
    /// When each server was asked last.
    tried: BTreeMap<Name, Instant>,
    positions: BTreeMap<Name, Position>,
    proposed: Option<Instant>,
    /// Since when no keeper works for the old primary, and in which term.
    barrier: Option<(Term, Instant)>,
    designated: Option<Instant>,
    /// Since when the chosen server is waited for.
    chosen: Option<(Term, Instant)>,
    waiting: Option<Instant>,
    established: Option<(Term, Instant)>,
    unreached: Option<Instant>,
    refused: u32,
    trace: Option<Trace>,
}

impl Designation {
    /// The newest change.
    pub fn trace(&self) -> Option<&Trace> {
        self.trace.as_ref()
    }

    /// Whether a change is under way.
    pub fn is_in_progress(&self) -> bool {
        self.trace.as_ref().is_some_and(|trace| trace.established.is_none())
    }

    /// What the leader sees of the group's servers.
    pub fn watches(&self) -> &Watches {
        &self.watches
    }

    /// Takes a time off all silence in which the leader itself stood still.
    pub fn exclude_stall(&mut self, gap: Duration) {
        self.watches.exclude_stall(gap);
    }

    /// Takes what a keeper sees.
    pub fn record_symptom(&mut self, now: Instant, keeper: Name, symptom: Symptom) {
        self.symptoms.record(now, keeper, symptom);
    }

    /// Takes a keeper's word that it has ended its work for an earlier primary.
    pub fn record_seal(&mut self, entry: Name, incarnation: u64, seal: Seal) {
        let known = self.seals.entry((entry, incarnation)).or_default();
        if known.term <= seal.term {
            *known = seal;
        }
    }

    /// Takes the end of a probe.
    pub fn record_result(
        &mut self,
        now: Instant,
        server: &Name,
        ask: Ask,
        result: Result<&Status, ProbeError>,
    ) {
        self.watches.get_or_insert(server).record_result(now, ask, result);
        if ask != Ask::Status {
            self.refused = if result == Err(ProbeError::Rejected) { self.refused + 1 } else { 0 };
            return;
        }
        let sent = self.asked.remove(server);
        if let (Some(sent), Ok(status)) = (sent, result) {
            let mark = status.last();
            self.positions.insert(server.clone(), Position { mark, role: status.role, sent });
        }
    }

    /// Does what is due.
    pub fn step(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        self.watches.retain(&context.group.seats);
        self.positions.retain(|server, _| context.group.seats.contains(server));
        self.ask(context, out);
        match (&context.group.phase, &context.group.primary) {
            (Phase::Settled, Some(primary)) => self.settled(context, primary, out),
            (Phase::Settled, None) => self.bootstrap(context, out),
            (Phase::Intended, _) => self.choose(context, out),
            (Phase::Chosen { server, .. }, _) => self.designate(context, server, out),
        }
    }

    /// Asks servers for reports: all while a change is under way or in
    /// question, none while the group is well.
    fn ask(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        let now = context.now;
        let calm = self.is_calm(context);
        let settled = context.group.phase == Phase::Settled;
        let began = self.trace.as_ref().map(|trace| trace.noticed);
        let hasty = !settled && began.is_some_and(|began| now.since(began) < HASTE);
        let pace = if hasty { POSITION_PACE } else { SLOW_PACE };
        for seat in &context.group.seats {
            let recent = self.tried.get(seat).is_some_and(|&at| now.since(at) < pace);
            let Some(server) = context.state.servers.get(seat) else { continue };
            if calm || recent || !self.watches.get_or_insert(seat).is_due(now, false) {
                continue;
            }
            self.watches.get_or_insert(seat).record_ask(now);
            self.asked.insert(seat.clone(), now);
            self.tried.insert(seat.clone(), now);
            out.push(probe(context, seat, server.address, Ask::Status));
        }
    }

    fn is_calm(&self, context: &Context<'_>) -> bool {
        let group = context.group;
        let Some(primary) = &group.primary else { return false };
        let server = context.state.servers.get(primary);
        group.phase == Phase::Settled
            && server.is_some_and(|server| !server.leaving && !server.expired)
            && !self.symptoms.has_unhealthy(context.now, primary, group.term)
    }

    fn settled(&mut self, context: &Context<'_>, primary: &Name, out: &mut Vec<Effect>) {
        let (now, term) = (context.now, context.group.term);
        if self.established.is_none_or(|(known, _)| known < term) {
            self.established = Some((term, now));
            if let Some(trace) = self.trace.as_mut() {
                trace.established.get_or_insert(now);
            }
        }
        match self.judge(context, primary) {
            Some(cause) => self.intend(context, cause, out),
            None => self.trace = self.trace.take().filter(|trace| trace.established.is_some()),
        }
    }

    /// Why the primary must be replaced, if it must.
    fn judge(&mut self, context: &Context<'_>, primary: &Name) -> Option<Cause> {
        let (now, group) = (context.now, context.group);
        let Some(server) = context.state.servers.get(primary) else {
            return Some(Cause::Refused);
        };
        let trouble = self.symptoms.has_unhealthy(now, primary, group.term);
        let missed_by_all = self.misses_all(context, primary);
        let missed = self.is_missed(context, primary, missed_by_all);
        let watch = self.watches.get_or_insert(primary);
        let refusals = watch.refusals();
        if refusals >= REFUSALS || (refusals > 0 && trouble) {
            return Some(Cause::Refused);
        }
        // two vantage points and the leader's own short wait are enough
        if missed_by_all && watch.waiting_time(now) >= UNANSWERED {
            return Some(Cause::Silent);
        }
        // while its keepers are well served, only the leader is cut off from it
        if watch.is_silent(now) && (trouble || group.leases.is_empty()) {
            return Some(Cause::Silent);
        }
        let fresh = watch.fresh(now);
        if fresh.is_some_and(|status| status.role == Role::Replica) {
            return Some(Cause::Demoted);
        }
        if missed {
            return Some(Cause::CutOff);
        }
        (server.leaving && self.has_heir(context, primary)).then_some(Cause::Leaving)
    }

    /// Whether every keeper has missed the primary for some time, or sees that
    /// it has lost its replicas.
    fn is_missed(&mut self, context: &Context<'_>, primary: &Name, by_all: bool) -> bool {
        let (now, group) = (context.now, context.group);
        let calm = self.established.is_some_and(|(_, at)| now.since(at) < CALM);
        let mut troubled = self.symptoms.unhealthy(now, primary, group.term);
        let cut = troubled.any(|(_, sight)| sight == Sight::CutOff);
        if calm || !(cut || by_all) || !self.has_heir(context, primary) {
            self.unreached = None;
            return false;
        }
        let since = *self.unreached.get_or_insert(now);
        now.since(since) >= UNREACHED
    }

    /// Whether all keepers of the group see trouble with the primary.
    fn misses_all(&self, context: &Context<'_>, primary: &Name) -> bool {
        let (now, group) = (context.now, context.group);
        let misses = |entry: &str| {
            self.symptoms
                .unhealthy(now, primary, group.term)
                .any(|(name, _)| name.as_str() == entry)
        };
        !group.leases.is_empty() && group.leases.iter().all(|lease| misses(&lease.entry))
    }

    /// Whether another server that stays can be reached.
    fn has_heir(&self, context: &Context<'_>, primary: &Name) -> bool {
        let stays = |name: &Name| context.state.servers.get(name).is_some_and(|s| !s.leaving);
        self.watches.fresh(context.now).any(|(name, _)| name != primary && stays(name))
    }

    /// Waits for a server that says it leads; takes the first.
    fn bootstrap(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        let now = context.now;
        let leads = |(_, status): &(&Name, &Status)| status.role == Role::Primary;
        let leading = self.watches.fresh(now).find(leads).map(|(name, _)| name.clone());
        if let Some(server) = leading {
            return self.establish(context, Term(context.group.term.0 + 1), &server, out);
        }
        if self.watches.fresh(now).next().is_none() {
            self.waiting = None;
            return;
        }
        let since = *self.waiting.get_or_insert(now);
        if now.since(since) >= BOOTSTRAP {
            self.intend(context, Cause::New, out);
        }
    }

    fn intend(&mut self, context: &Context<'_>, cause: Cause, out: &mut Vec<Effect>) {
        let term = Term(context.group.term.0 + 1);
        if !self.is_in_progress() {
            self.trace = Some(Trace::new(context.now, context.name.clone(), term, cause));
        }
        let intend = Intend { group: context.name.to_string(), term: term.0 };
        self.propose(context.now, command::Body::Intend(intend), out);
    }

    fn propose(&mut self, now: Instant, body: command::Body, out: &mut Vec<Effect>) {
        let waits = self.proposed.is_some_and(|at| now.since(at) < PROPOSAL_TIMEOUT);
        if !waits {
            self.proposed = Some(now);
            out.push(Effect::propose(body));
        }
    }

    /// Notes that the state has moved on: the next proposal need not wait.
    pub fn record_applied(&mut self) {
        self.proposed = None;
    }

    fn choose(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        let (now, term) = (context.now, context.group.term);
        if !self.is_sealed(context) {
            self.barrier = None;
            return;
        }
        let since = match self.barrier {
            Some((known, since)) if known == term => since,
            _ => now,
        };
        self.barrier = Some((term, since));
        if let Some(trace) = &mut self.trace {
            trace.fenced.get_or_insert(since);
        }
        let Some((server, start)) = self.heir(context, since) else { return };
        let choose = Choose {
            group: context.name.to_string(),
            term: term.0,
            server: server.to_string(),
            start: Some(start.into()),
        };
        self.propose(now, command::Body::Choose(choose), out);
    }

    /// Whether no keeper can pass on an answer of an earlier primary any more.
    fn is_sealed(&self, context: &Context<'_>) -> bool {
        let group = context.group;
        let is_sealed = |lease: &wire::log::Lease| {
            Name::new(&lease.entry).is_ok_and(|entry| {
                let seal = self.seals.get(&(entry, lease.incarnation));
                seal.is_some_and(|seal| seal.term >= group.term.0)
            })
        };
        group.leases.iter().all(is_sealed)
            && (group.generation == 0 || context.liveness.removed_leases_expired(context.now))
    }

    /// The server that is to lead next, if it is sure to hold all that was
    /// acknowledged. Only positions asked for since then count.
    fn heir(&self, context: &Context<'_>, since: Instant) -> Option<(Name, Mark)> {
        let group = context.group;
        let old = group.primary.as_ref();
        let position = |server: &Name| {
            self.positions.get(server).filter(|position| position.sent >= since).copied()
        };
        let known = |seat: &&Name| context.state.servers.contains_key(*seat);
        let others = || group.seats.iter().filter(known).filter(|seat| Some(*seat) != old);
        let all = others().count() >= 2 && others().all(|seat| position(seat).is_some());
        let old_stands = old.is_some_and(|old| position(old).is_some());
        if !all && context.now.since(since) < GRACE {
            return None;
        }
        let seals = || self.seals.iter().filter(|(holder, _)| holds(group, holder));
        let needed = seals().filter_map(|(_, seal)| seal.mark.map(Mark::from)).max();
        let current = |seal: &Seal| seal.mark.is_some() && seal.index >= group.ended_index;
        let precise = group.ended_index == 0 || seals().any(|(_, seal)| current(seal));
        let stays = |seat: &Name| context.state.servers.get(seat).is_some_and(|s| !s.leaving);
        let able = |seat: &&Name| stays(seat) && position(seat).is_some();
        let best = others().filter(able).max_by_key(|seat| position(seat).map(|p| p.mark));
        let enough = |seat: &Name| {
            let mark = position(seat).map(|position| position.mark);
            (precise || all || old_stands) && mark >= needed
        };
        if let Some(best) = best.filter(|best| enough(best)) {
            return Some((best.clone(), position(best)?.mark));
        }
        // an old primary that came back holds all that it acknowledged
        let back = old.filter(|old| {
            stays(old) && position(old).is_some_and(|position| position.role == Role::Primary)
        })?;
        let late = context.now.since(since) >= UNREACHED;
        late.then(|| Some((back.clone(), position(back)?.mark)))?
    }

    fn designate(&mut self, context: &Context<'_>, server: &Name, out: &mut Vec<Effect>) {
        let (now, term) = (context.now, context.group.term);
        let since = match self.chosen {
            Some((known, since)) if known == term => since,
            _ => {
                self.designated = None;
                self.refused = 0;
                now
            }
        };
        self.chosen = Some((term, since));
        let leads = self
            .positions
            .get(server)
            .is_some_and(|position| position.sent >= since && position.role == Role::Primary);
        if leads {
            if let Some(trace) = &mut self.trace {
                trace.promoted.get_or_insert(now);
            }
            return self.establish(context, term, server, out);
        }
        let gone = !context.state.servers.contains_key(server)
            || self.refused >= REFUSALS
            || self.watches.get(server).is_some_and(|watch| watch.is_down(now));
        if gone && now.since(since) >= DESIGNATE_TIMEOUT {
            return self.intend(context, Cause::Unfinished, out);
        }
        // calls of an earlier leader must be over before this one's first
        let early =
            context.leadership.last_chosen.is_some_and(|at| now.since(at) <= LEASE_DURATION);
        let recent = self.designated.is_some_and(|at| now.since(at) < DESIGNATE_PACE);
        if early || recent || !self.watches.get_or_insert(server).accepts_order(now) {
            return;
        }
        if let Some(known) = context.state.servers.get(server) {
            let ask = Ask::Designate { token: context.leadership.token };
            self.designated = Some(now);
            self.watches.get_or_insert(server).record_order(now, ask);
            out.push(probe(context, server, known.address, ask));
        }
    }

    fn establish(
        &mut self,
        context: &Context<'_>,
        term: Term,
        server: &Name,
        out: &mut Vec<Effect>,
    ) {
        let (group, server) = (context.name.to_string(), server.to_string());
        let establish = Establish { group, term: term.0, server };
        self.propose(context.now, command::Body::Establish(establish), out);
    }
}

fn holds(group: &Group, (entry, incarnation): &(Name, u64)) -> bool {
    group.lease(entry.as_str()).is_some_and(|lease| lease.incarnation == *incarnation)
}

fn probe(context: &Context<'_>, server: &Name, address: std::net::SocketAddr, ask: Ask) -> Effect {
    let (group, server) = (context.name.clone(), server.clone());
    Effect::Probe { group, server, address, ask }
}

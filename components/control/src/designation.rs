//! Change of primary in an unfenced group, whose servers acknowledge commits by
//! themselves.
//!
//! Such servers can't be fenced, so a new primary is chosen only once no keeper
//! passes on answers of the old one. A change goes through the log, one committed
//! step at a time:
//!
//! 1. `Intend(T)`: keepers that apply this command end their work for the old
//!    primary and seal: they report the highest mark that they have acknowledged.
//! 2. Once each lease on the group is sealed or over, the leader asks the servers
//!    for their positions. `Choose` names the server with the highest position, if
//!    that server certainly holds all acknowledged records. Else the leader waits,
//!    also for the old primary to come back.
//! 3. The chosen server is designated, repeatedly until it leads.
//! 4. `Establish`: keepers begin to work for the new primary.
//!
//! A leader that finds an unfinished change continues at the phase in the log.

mod cause;
mod cover;
mod probing;
mod promotion;
mod successor;
pub mod wait;

use std::collections::BTreeMap;

use base::prelude::*;
use smallvec::SmallVec;
use wire::control::{Seal, Symptom};
use wire::log::{self, Choose, Establish, Intend, command};

use self::cover::Cover;
use self::probing::probe;
use self::promotion::Promotion;
use self::successor::{Progress, Survey};
use self::wait::{Pending, Wait};
use crate::context::Context;
use crate::detector::{Cause, Symptoms, Watches};
use crate::leader::{Ask, Effect, PROPOSAL_TIMEOUT, ProbeError};
use crate::lease::LEASE_DURATION;
use crate::state::Phase;
use crate::trace::Trace;

/// Time for which a chosen server that can't be reached, or that rejects its
/// designations, may still become the primary before another one is chosen.
const DESIGNATE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which the leader waits for a server of a new group to report itself as
/// the primary before a change begins.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(2);

/// Refused connections in a row that suffice without a keeper's symptom. Also the
/// number of rejected designations in a row that count as a failure of the chosen
/// server.
const SUFFICIENT_REFUSALS: u32 = 2;

/// Time for which all keepers must report a primary as unhealthy, or any keeper
/// must report it as cut off from its replicas, before the leader replaces a
/// primary that it can reach. Also the time for which a choice waits before it
/// takes an old primary that came back.
const CONFIRMATION_TIME: Duration = Duration::from_millis(600);

/// The last proposal, and the state of the group that it was based on. While the group
/// is in that state, the proposal may still be applied.
#[derive(Debug)]
struct Proposal {
    at: Instant,
    term: Term,
    phase: Phase,
}

impl Proposal {
    fn is_open(&self, context: &Context<'_>) -> bool {
        let same = self.term == context.group.term && self.phase == context.group.phase;
        same && context.now.since(self.at) < PROPOSAL_TIMEOUT
    }
}

/// State machine for the change of primary in one unfenced group.
#[derive(Debug, Default)]
pub struct Designation {
    watches: Watches,
    symptoms: Symptoms,
    seals: BTreeMap<(Name, u64), Seal>,
    /// When each status probe in flight was sent, and to which incarnation, by server.
    asked: BTreeMap<Name, (Instant, u64)>,
    /// When the last status probe was sent, by server.
    probed: BTreeMap<Name, Instant>,
    positions: BTreeMap<Name, Progress>,
    /// Last proposal of this leader.
    proposed: Option<Proposal>,
    /// Whether this leader has looked at the group before.
    seen: bool,
    /// When this leader took over a group for which an earlier one had chosen a server, and
    /// may still be calling.
    inherited_at: Option<Instant>,
    /// Intended term, and the time since which no keeper works for the old primary.
    sealed_since: Option<(Term, Instant)>,
    /// The promotion of the chosen server.
    promotion: Promotion,
    /// Time since which servers of a new group report their status, none as the
    /// primary.
    bootstrap_since: Option<Instant>,
    /// Newest established term, and when the leader first saw it established.
    established: Option<(Term, Instant)>,
    /// Time since which the primary is reported as unhealthy by all keepers, or as
    /// cut off by any.
    unhealthy_since: Option<Instant>,
    /// Rejected designations in a row.
    rejections: u32,
    trace: Option<Trace>,
    /// What the change in progress waits for.
    pending: Option<Pending>,
    /// Newest loss of a log after which the primary may hold records alone.
    cover: Option<Cover>,
    /// Time since which the primary is known to leave.
    leaving_since: Option<Instant>,
}

impl Designation {
    /// Timeline of the newest change of primary.
    pub fn trace(&self) -> Option<&Trace> {
        self.trace.as_ref()
    }

    /// Whether a change of primary is in progress.
    pub fn is_in_progress(&self) -> bool {
        self.trace.as_ref().is_some_and(|trace| trace.established.is_none())
    }

    /// What the change of primary in progress waits for.
    pub fn pending(&self) -> Option<&Pending> {
        self.pending.as_ref()
    }

    /// Probe results of the group's servers.
    pub fn watches(&self) -> &Watches {
        &self.watches
    }

    /// Excludes a stall of the leader itself from the silence of all servers.
    pub fn exclude_stall(&mut self, gap: Duration) {
        self.watches.exclude_stall(gap);
    }

    /// Records a keeper's symptom.
    pub fn record_symptom(&mut self, now: Instant, keeper: Name, symptom: Symptom) {
        self.symptoms.record(now, keeper, symptom);
    }

    /// Records the seal of a keeper that has ended its work for an earlier primary.
    pub fn record_seal(&mut self, entry: Name, incarnation: u64, seal: Seal) {
        let known = self.seals.entry((entry, incarnation)).or_default();
        if known.term <= seal.term {
            *known = seal;
        }
    }

    /// Records the result of a probe.
    pub fn record_result(
        &mut self,
        now: Instant,
        server: &Name,
        ask: Ask,
        result: Result<&Status, ProbeError>,
    ) {
        self.watches.get_or_insert(server).record_result(now, ask, result);
        if ask != Ask::Status {
            self.rejections =
                if result == Err(ProbeError::Rejected) { self.rejections + 1 } else { 0 };
            self.promotion.record_answer(result.is_ok());
            return;
        }
        let sent = self.asked.remove(server);
        if let (Some((sent, incarnation)), Ok(status)) = (sent, result) {
            let (mark, role, term) = (status.last(), status.role, status.term);
            let earlier = self.positions.get(server).map(|known| (known.mark, known.sent));
            let position = Progress { mark, earlier, role, term, sent, incarnation };
            self.positions.insert(server.clone(), position);
        }
    }

    /// Sends the probes that are due and proposes the next command.
    pub fn step(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        self.watches.retain(&context.group.seats);
        // a server that has started again may have lost the log that it reported
        self.positions.retain(|name, position| {
            let server = context.state.servers.get(name);
            context.group.seats.contains(name)
                && server.is_some_and(|server| server.incarnation == position.incarnation)
        });
        let chosen = matches!(context.group.phase, Phase::Chosen { .. });
        if !std::mem::replace(&mut self.seen, true) && chosen {
            self.inherited_at = Some(context.now);
        }
        self.cover = Cover::follow(self.cover, context);
        self.probe_seats(context, out);
        let wait = match (&context.group.phase, &context.group.primary) {
            (Phase::Settled, Some(primary)) => {
                self.settled(context, primary, out);
                None
            }
            (Phase::Settled, None) => {
                self.bootstrap(context, out);
                None
            }
            (Phase::Intended, _) => self.choose(context, out).err(),
            (Phase::Chosen { server, .. }, _) => {
                self.designate(context, server, out);
                Some(Wait::Promotion(server.clone()))
            }
        };
        Pending::update(&mut self.pending, context.now, wait);
    }

    fn settled(&mut self, context: &Context<'_>, primary: &Name, out: &mut Vec<Effect>) {
        let (now, term) = (context.now, context.group.term);
        if self.established.is_none_or(|(known, _)| known < term) {
            self.established = Some((term, now));
            if let Some(trace) = self.trace.as_mut() {
                trace.established.get_or_insert(now);
            }
        }
        let leaves = context.state.servers.get(primary).is_some_and(|server| server.leaving);
        self.leaving_since = leaves.then(|| self.leaving_since.unwrap_or(now));
        self.propose_cover(context, primary, out);
        match self.replacement_cause(context, primary) {
            Some(cause) => self.intend(context, cause, out),
            None => self.trace = self.trace.take().filter(|trace| trace.established.is_some()),
        }
    }

    /// Proposes to record that another server holds what the primary may have held alone.
    fn propose_cover(&mut self, context: &Context<'_>, primary: &Name, out: &mut Vec<Effect>) {
        let Some(cover) = &mut self.cover else { return };
        if let Some(index) = cover.covered(context.now, primary, self.positions.iter()) {
            let group = context.name.to_string();
            out.push(Effect::propose(command::Body::Cover(log::Cover { group, index })));
        }
    }

    /// Waits for a server that reports itself as the primary and establishes the
    /// first one; begins a change if none appears in time.
    fn bootstrap(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        let now = context.now;
        let leads = |(_, status): &(&Name, &Status)| status.role == Role::Primary;
        let leading = self.watches.fresh(now).find(leads).map(|(name, _)| name.clone());
        if let Some(server) = leading {
            return self.establish(context, Term(context.group.term.0 + 1), &server, out);
        }
        if self.watches.fresh(now).next().is_none() {
            self.bootstrap_since = None;
            return;
        }
        let since = *self.bootstrap_since.get_or_insert(now);
        if now.since(since) >= BOOTSTRAP_TIMEOUT {
            self.intend(context, Cause::New, out);
        }
    }

    fn intend(&mut self, context: &Context<'_>, cause: Cause, out: &mut Vec<Effect>) {
        let term = Term(context.group.term.0 + 1);
        if !self.is_in_progress() {
            self.trace = Some(Trace::new(context.now, context.name.clone(), term, cause));
        }
        let intend = Intend { group: context.name.to_string(), term: term.0 };
        self.propose(context, command::Body::Intend(intend), out);
    }

    fn propose(&mut self, context: &Context<'_>, body: command::Body, out: &mut Vec<Effect>) {
        if self.proposed.as_ref().is_some_and(|proposal| proposal.is_open(context)) {
            return;
        }
        let (term, phase) = (context.group.term, context.group.phase.clone());
        self.proposed = Some(Proposal { at: context.now, term, phase });
        out.push(Effect::propose(body));
    }

    /// Proposes the next primary, or returns what the choice waits for.
    fn choose(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) -> Result<(), Wait> {
        let (now, term) = (context.now, context.group.term);
        if let Err(wait) = self.check_sealed(context) {
            self.sealed_since = None;
            return Err(wait);
        }
        let since = match self.sealed_since {
            Some((known, since)) if known == term => since,
            _ => now,
        };
        self.sealed_since = Some((term, since));
        if let Some(trace) = &mut self.trace {
            trace.fenced.get_or_insert(since);
        }
        let survey = Survey { since, positions: &self.positions, seals: &self.seals };
        let chosen = survey.successor(context)?;
        let progress = self.positions.get(&chosen.server);
        let choose = Choose {
            group: context.name.to_string(),
            term: term.0,
            server: chosen.server.to_string(),
            start: Some(chosen.start.into()),
            incarnation: progress.map_or(0, |progress| progress.incarnation),
            reported_term: progress.map(|progress| progress.term.0),
        };
        self.propose(context, command::Body::Choose(choose), out);
        Ok(())
    }

    /// Checks that no keeper can pass on answers of an earlier primary any more.
    fn check_sealed(&self, context: &Context<'_>) -> Result<(), Wait> {
        let group = context.group;
        let is_sealed = |lease: &wire::log::Lease| {
            Name::new(&lease.entry).is_ok_and(|entry| {
                let seal = self.seals.get(&(entry, lease.incarnation));
                seal.is_some_and(|seal| seal.term >= group.term.0)
            })
        };
        let open = group.leases.iter().filter(|lease| !is_sealed(lease));
        let open: SmallVec<[Name; 2]> =
            open.filter_map(|lease| Name::new(&lease.entry).ok()).collect();
        if !open.is_empty() {
            return Err(Wait::Seals(open));
        }
        let over = group.generation == 0 || context.liveness.removed_leases_expired(context.now);
        if over { Ok(()) } else { Err(Wait::Leases) }
    }

    fn designate(&mut self, context: &Context<'_>, server: &Name, out: &mut Vec<Effect>) {
        let (now, term) = (context.now, context.group.term);
        if self.promotion.follow(now, term) {
            self.rejections = 0;
        }
        let since = self.promotion.since();
        let progress = self.positions.get(server).filter(|progress| progress.sent >= since);
        if progress.is_some_and(|progress| self.promotion.has_taken_effect(context, progress)) {
            if let Some(trace) = &mut self.trace {
                trace.promoted.get_or_insert(now);
            }
            return self.establish(context, term, server, out);
        }
        if has_started_again(context, server) {
            return self.intend(context, Cause::Unfinished, out);
        }
        let failed = !context.state.servers.contains_key(server)
            || self.rejections >= SUFFICIENT_REFUSALS
            || self.watches.get(server).is_some_and(|watch| watch.is_down(now));
        if failed && now.since(since) >= DESIGNATE_TIMEOUT {
            return self.intend(context, Cause::Unfinished, out);
        }
        // the designations of an earlier leader must have timed out before the first
        // one of this leader; an earlier leader repeats them until it is replaced
        let is_early = |at: Option<Instant>| at.is_some_and(|at| now.since(at) <= LEASE_DURATION);
        let early = is_early(context.leadership.last_chosen) || is_early(self.inherited_at);
        if early
            || !self.promotion.is_due(now)
            || !self.watches.get_or_insert(server).accepts_order(now)
        {
            return;
        }
        if let Some(known) = context.state.servers.get(server) {
            let ask = Ask::Designate { token: context.leadership.token };
            self.promotion.record_call(now);
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
        self.propose(context, command::Body::Establish(establish), out);
    }
}

/// Whether the chosen server has started again since its log was compared, and may have lost
/// that log.
fn has_started_again(context: &Context<'_>, server: &Name) -> bool {
    let Phase::Chosen { incarnation, .. } = context.group.phase else { return false };
    let known = context.state.servers.get(server).map(|server| server.incarnation);
    incarnation > 0 && known.is_some_and(|known| known != incarnation)
}

//! Failover of one fenced group.
//!
//! While no failover is in progress, the leader watches the group by probes. A
//! group without a primary gets one: if a majority already follows the primary of
//! the highest term, that primary is adopted, else a failover selects one. For a
//! settled group, [`detector`] decides whether a failover is due, and servers that
//! came back are ordered to follow the primary.
//!
//! A failover goes through the log, one committed step at a time:
//!
//! 1. `Intend(T)`, with T above every known term.
//! 2. Fence all seats at T; continue once a majority is fenced at exactly T.
//! 3. `Choose` the fenced server with the most up-to-date log, by [`choice`].
//! 4. Promote that server, and order the others to follow it.
//! 5. `Establish` once a majority reports T as its term and log term.
//!
//! Any failure after the first step restarts the failover at the first step with a
//! higher term, and so does a leader that finds an unfinished failover. If a group
//! elects its own primary, the leader only adopts that primary.
//!
//! [`choice`]: crate::choice

mod orders;
mod takeover;

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use wire::control::Symptom;
use wire::log::{Establish, Intend, command};

use crate::choice::{Choice, Fenced};
use crate::context::Context;
use crate::detector::{self, Cause, Symptoms, Watches};
use crate::leader::{Ask, Effect, PROPOSAL_TIMEOUT, ProbeError};
use crate::state::Phase;
use crate::trace::Trace;

/// Time for which a fenced majority waits for the remaining servers to be fenced.
const FENCE_GRACE: Duration = Duration::from_millis(50);

/// Time between two orders of one kind to the same server.
const ORDER_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for a promotion before another server is chosen.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for a majority to follow a promoted server.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two follow orders to a server that came back.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Silence of the primary after which a replica of the newest term is ordered to
/// follow again.
const REFOLLOW_SILENCE: Duration = Duration::from_millis(800);

/// Time between two steps of a healthy group while no command is applied.
const HEALTHY_STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the leader waits, once a majority of a new group is reachable, for
/// an existing primary to gain a majority, or for the other servers to report, before
/// a failover begins.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after a term was established during which the replicas' silence is ignored.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Shortest time between two planned switchovers of a group.
const SWITCHOVER_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
enum Stage {
    Idle,
    Intending {
        term: Term,
        asked: Instant,
    },
    Fencing {
        term: Term,
        fenced: BTreeMap<Name, Fenced>,
        failed: BTreeSet<Name>,
        majority_at: Option<Instant>,
    },
    Choosing {
        term: Term,
        choice: Choice,
        asked: Instant,
    },
    Promoting {
        term: Term,
        server: Name,
        since: Instant,
    },
    Following {
        term: Term,
        server: Name,
        since: Instant,
    },
}

/// Failover state machine of one fenced group.
#[derive(Debug)]
pub struct Failover {
    watches: Watches,
    symptoms: Symptoms,
    stage: Stage,
    /// When the last order was sent to each server.
    ordered: BTreeMap<Name, Instant>,
    /// When a command that establishes a primary was proposed last.
    establishing: Option<Instant>,
    /// Until when the replicas' silence is ignored.
    silence_ignored_until: Instant,
    /// Time since which a majority of a new group is reachable.
    bootstrap_since: Option<Instant>,
    /// When the last planned switchover began.
    switchover_at: Option<Instant>,
    /// Server that failed last and is not chosen again if possible.
    avoided: Option<Name>,
    trace: Option<Trace>,
    /// When the group was last found healthy, and the state's index then.
    healthy_at: Option<(Instant, u64)>,
}

impl Failover {
    /// Creates the state machine of a group about which nothing is known yet.
    pub fn new(now: Instant) -> Self {
        Self {
            watches: Watches::default(),
            symptoms: Symptoms::default(),
            stage: Stage::Idle,
            ordered: BTreeMap::new(),
            establishing: None,
            silence_ignored_until: now + SETTLE_TIME,
            bootstrap_since: None,
            switchover_at: None,
            avoided: None,
            trace: None,
            healthy_at: None,
        }
    }

    /// Whether the group was found healthy within [`HEALTHY_STEP_INTERVAL`] and no
    /// command was applied since.
    pub fn can_skip_step(&self, now: Instant, index: u64) -> bool {
        self.healthy_at
            .is_some_and(|(at, known)| known == index && now.since(at) < HEALTHY_STEP_INTERVAL)
    }

    /// Probe results of the group's servers.
    pub fn watches(&self) -> &Watches {
        &self.watches
    }

    /// Timeline of the newest failover.
    pub fn trace(&self) -> Option<&Trace> {
        self.trace.as_ref()
    }

    /// Excludes a stall of the leader itself from the silence of all servers.
    pub fn exclude_stall(&mut self, gap: Duration) {
        self.watches.exclude_stall(gap);
    }

    /// Records a keeper's symptom.
    pub fn record_symptom(&mut self, now: Instant, keeper: Name, symptom: Symptom) {
        self.symptoms.record(now, keeper, symptom);
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
        match (&mut self.stage, ask) {
            (Stage::Fencing { term, fenced, failed, .. }, Ask::Fence(asked)) if *term == asked => {
                match result {
                    Ok(status) if status.term == asked => {
                        let mark = Fenced { last: status.last(), applied: status.applied };
                        fenced.insert(server.clone(), mark);
                    }
                    Ok(_) | Err(_) => {
                        failed.insert(server.clone());
                    }
                }
            }
            (Stage::Promoting { term, server: chosen, .. }, Ask::Promote(asked))
                if *term == asked && chosen == server =>
            {
                let promoted =
                    |status: &Status| status.term == asked && status.role == Role::Primary;
                if result.is_ok_and(promoted) {
                    let (term, server) = (asked, server.clone());
                    self.stage = Stage::Following { term, server, since: now };
                    self.ordered.clear();
                    self.update_trace(|trace| trace.promoted = Some(now));
                }
            }
            _ => {}
        }
    }

    /// Sends the probes and orders that are due and proposes the next command.
    pub fn step(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        self.watches.retain(&context.group.seats);
        self.probe_seats(context, out);
        match self.stage.clone() {
            Stage::Idle => self.idle(context, out),
            Stage::Intending { term, asked } => self.intending(context, term, asked, out),
            Stage::Fencing { term, fenced, failed, majority_at } => {
                self.fencing(context, term, &fenced, &failed, majority_at, out);
            }
            Stage::Choosing { term, asked, .. } => self.choosing(context, term, asked, out),
            Stage::Promoting { term, server, since } => {
                self.promoting(context, term, &server, since, out);
            }
            Stage::Following { term, server, since } => {
                self.following(context, term, &server, since, out);
            }
        }
    }

    fn update_trace(&mut self, change: impl FnOnce(&mut Trace)) {
        if let Some(trace) = &mut self.trace {
            change(trace);
        }
    }

    fn idle(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        let group = context.group;
        if group.phase == Phase::Settled {
            self.finish(context.now, group.term);
        }
        if self.adopt(context, out) || context.elects() {
            return;
        }
        match (&group.phase, &group.primary) {
            (Phase::Settled, Some(primary)) => {
                let cause = detector::detect(
                    context.now,
                    context.state,
                    group,
                    &self.watches,
                    &self.symptoms,
                );
                if let Some(cause) = cause.filter(|&cause| self.is_actionable(context.now, cause)) {
                    self.begin(context, cause, out);
                } else {
                    self.trace.take_if(|trace| trace.established.is_none());
                    self.order_to_follow(context, group.term, primary, FOLLOW_INTERVAL, out);
                }
            }
            (Phase::Settled, None) => self.bootstrap(context, out),
            (Phase::Intended | Phase::Chosen { .. }, _) => {
                self.begin(context, Cause::Unfinished, out);
            }
        }
    }

    /// Whether a failover is in progress or was found to be due.
    pub fn is_in_progress(&self) -> bool {
        self.trace.as_ref().is_some_and(|trace| trace.established.is_none())
    }

    /// Records that a term is established.
    fn finish(&mut self, now: Instant, term: Term) {
        self.avoided = None;
        let open = |trace: &&mut Trace| trace.established.is_none() && trace.term <= term;
        if let Some(trace) = self.trace.as_mut().filter(open) {
            trace.established = Some(now);
        }
    }

    fn is_actionable(&self, now: Instant, cause: Cause) -> bool {
        match cause {
            Cause::CutOff => now >= self.silence_ignored_until,
            Cause::Leaving => {
                self.switchover_at.is_none_or(|at| now.since(at) >= SWITCHOVER_INTERVAL)
            }
            _ => true,
        }
    }

    /// Proposes to establish the primary that a majority already follows, if the
    /// log does not have that primary yet. Returns whether this is the case.
    fn adopt(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) -> bool {
        let group = context.group;
        let Some((term, server)) = self.watches.majority_primary(context.now, context.majority())
        else {
            return false;
        };
        let new = match &group.phase {
            _ if term != group.term => term > group.term,
            Phase::Settled => group.primary.is_none(),
            Phase::Chosen { server: chosen, .. } => *chosen == server,
            Phase::Intended => false,
        };
        if new {
            self.establish(context, term, &server, out);
        }
        new
    }

    fn establish(
        &mut self,
        context: &Context<'_>,
        term: Term,
        server: &Name,
        out: &mut Vec<Effect>,
    ) {
        let waits = |at: Instant| context.now.since(at) < PROPOSAL_TIMEOUT;
        if self.establishing.is_some_and(waits) {
            return;
        }
        self.establishing = Some(context.now);
        self.silence_ignored_until = context.now + SETTLE_TIME;
        let (group, server) = (context.name.to_string(), server.to_string());
        let establish = Establish { group, term: term.0, server };
        out.push(Effect::propose(command::Body::Establish(establish)));
    }

    /// Gives a new group its primary: orders the servers to follow the primary of
    /// the highest term, or begins a failover if all servers report and none is that
    /// primary, or once [`BOOTSTRAP_TIMEOUT`] has passed.
    fn bootstrap(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        let now = context.now;
        let reports = self.watches.fresh(now).count();
        if reports < context.majority() {
            self.bootstrap_since = None;
            return;
        }
        let since = *self.bootstrap_since.get_or_insert(now);
        let highest = self.watches.highest_term();
        let primary = self
            .watches
            .fresh(now)
            .find(|(_, status)| status.role == Role::Primary && status.term == highest)
            .map(|(name, _)| name.clone());
        let overdue = now.since(since) >= BOOTSTRAP_TIMEOUT;
        match primary {
            Some(primary) if !overdue => {
                self.order_to_follow(context, highest, &primary, ORDER_INTERVAL, out);
            }
            None if !overdue && reports < context.group.seats.len() => {}
            Some(_) | None => self.begin(context, Cause::New, out),
        }
    }

    /// Begins a failover at a term above every known one, if a majority is
    /// reachable.
    fn begin(&mut self, context: &Context<'_>, cause: Cause, out: &mut Vec<Effect>) {
        let now = context.now;
        let reached = self.watches.fresh(now).count();
        if reached < context.majority() {
            return;
        }
        let term = Term(self.watches.highest_term().max(context.group.term).0 + 1);
        if self.is_in_progress() {
            self.update_trace(|trace| trace.term = term);
        } else {
            self.trace = Some(Trace::new(now, context.name.clone(), term, cause));
        }
        match cause {
            Cause::Refused | Cause::Silent | Cause::CutOff => {
                self.avoided.clone_from(&context.group.primary);
            }
            Cause::Leaving => self.switchover_at = Some(now),
            Cause::New | Cause::Demoted | Cause::Unfinished => {}
        }
        self.bootstrap_since = None;
        self.stage = Stage::Intending { term, asked: now };
        let intend = Intend { group: context.name.to_string(), term: term.0 };
        out.push(Effect::propose(command::Body::Intend(intend)));
    }
}

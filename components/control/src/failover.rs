//! The failover of one group.
//!
//! Idle: the group is watched by probes. A group without a primary gets one: a
//! majority that already follows a primary of the highest term is adopted,
//! else a failover gives it one. A settled group is judged by [`detector`],
//! and servers that came back are told to follow.
//!
//! A failover goes through the log, one committed step at a time:
//!
//! 1. `Intend(T)`, with T above every term seen.
//! 2. Fence all seats at T; go on once a majority is fenced at exactly T.
//! 3. `Choose` the fenced server whose log is longest by [`choice`].
//! 4. Promote it, and have the others follow it.
//! 5. `Establish` once a majority reports T as its term and log term.
//!
//! Whatever fails after the first step starts again there at a higher term,
//! and so does a leader that finds a failover unfinished. A group that elects
//! its own primary is only adopted.

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

/// Time for which a fenced majority waits for the other servers.
const FENCE_GRACE: Duration = Duration::from_millis(50);

/// Time between two orders of a kind to one server.
const ORDER_PACE: Duration = Duration::from_millis(50);

/// Longest time for a promotion before another server is tried.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for a majority to follow a promoted server.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two orders to follow to a server that came back.
const FOLLOW_PACE: Duration = Duration::from_millis(500);

/// Silence after which a replica of the newest term is told to follow again.
const LONELY: Duration = Duration::from_millis(800);

/// Time between two looks at a group that is well, when nothing came of it.
const REST: Duration = Duration::from_millis(100);

/// Time for a new group to show a primary by itself.
const BOOTSTRAP: Duration = Duration::from_secs(1);

/// Time after a term was established before replicas' silence counts.
const CALM: Duration = Duration::from_millis(500);

/// Time between two planned switchovers of a group.
const SWITCH_PAUSE: Duration = Duration::from_secs(2);

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
        enough: Option<Instant>,
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

/// What a leader knows of one group's primary.
#[derive(Debug)]
pub struct Failover {
    watches: Watches,
    symptoms: Symptoms,
    stage: Stage,
    ordered: BTreeMap<Name, Instant>,
    establishing: Option<Instant>,
    calm: Instant,
    waiting: Option<Instant>,
    switched: Option<Instant>,
    /// Server that had better not be chosen: it failed last.
    avoided: Option<Name>,
    trace: Option<Trace>,
    /// When and at which index the group was found to be well.
    calm_at: Option<(Instant, u64)>,
}

impl Failover {
    /// Knows nothing of its group yet.
    pub fn new(now: Instant) -> Self {
        Self {
            watches: Watches::default(),
            symptoms: Symptoms::default(),
            stage: Stage::Idle,
            ordered: BTreeMap::new(),
            establishing: None,
            calm: now + CALM,
            waiting: None,
            switched: None,
            avoided: None,
            trace: None,
            calm_at: None,
        }
    }

    /// Whether the group was well a moment ago and nothing was applied since.
    pub fn can_skip_step(&self, now: Instant, index: u64) -> bool {
        self.calm_at.is_some_and(|(at, known)| known == index && now.since(at) < REST)
    }

    /// What the leader sees of the group's servers.
    pub fn watches(&self) -> &Watches {
        &self.watches
    }

    /// The newest failover.
    pub fn trace(&self) -> Option<&Trace> {
        self.trace.as_ref()
    }

    /// Takes a time off all silence in which the leader itself stood still.
    pub fn exclude_stall(&mut self, gap: Duration) {
        self.watches.exclude_stall(gap);
    }

    /// Takes what a keeper sees.
    pub fn record_symptom(&mut self, now: Instant, keeper: Name, symptom: Symptom) {
        self.symptoms.record(now, keeper, symptom);
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
                    self.note(|trace| trace.promoted = Some(now));
                }
            }
            _ => {}
        }
    }

    /// Does what is due: reports to ask for, orders to give, steps to take.
    pub fn step(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        self.watches.retain(&context.group.seats);
        self.watch(context, out);
        match self.stage.clone() {
            Stage::Idle => self.idle(context, out),
            Stage::Intending { term, asked } => self.intending(context, term, asked, out),
            Stage::Fencing { term, fenced, failed, enough } => {
                self.fencing(context, term, &fenced, &failed, enough, out);
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

    fn note(&mut self, change: impl FnOnce(&mut Trace)) {
        if let Some(trace) = &mut self.trace {
            change(trace);
        }
    }

    fn idle(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        let group = context.group;
        if group.phase == Phase::Settled {
            self.close(context.now, group.term);
        }
        if self.adopt(context, out) || context.elects() {
            return;
        }
        match (&group.phase, &group.primary) {
            (Phase::Settled, Some(primary)) => {
                let judged = detector::detect(
                    context.now,
                    context.state,
                    group,
                    &self.watches,
                    &self.symptoms,
                );
                if let Some(cause) = judged.filter(|&cause| self.counts(context.now, cause)) {
                    self.begin(context, cause, out);
                } else {
                    self.trace.take_if(|trace| trace.established.is_none());
                    self.gather(context, group.term, primary, FOLLOW_PACE, out);
                }
            }
            (Phase::Settled, None) => self.bootstrap(context, out),
            (Phase::Intended | Phase::Chosen { .. }, _) => {
                self.begin(context, Cause::Unfinished, out);
            }
        }
    }

    /// Whether a failover is under way or was wanted.
    pub fn is_in_progress(&self) -> bool {
        self.trace.as_ref().is_some_and(|trace| trace.established.is_none())
    }

    /// Notes that a term is established.
    fn close(&mut self, now: Instant, term: Term) {
        self.avoided = None;
        let open = |trace: &&mut Trace| trace.established.is_none() && trace.term <= term;
        if let Some(trace) = self.trace.as_mut().filter(open) {
            trace.established = Some(now);
        }
    }

    fn counts(&self, now: Instant, cause: Cause) -> bool {
        match cause {
            Cause::CutOff => now >= self.calm,
            Cause::Leaving => self.switched.is_none_or(|at| now.since(at) >= SWITCH_PAUSE),
            _ => true,
        }
    }

    /// Proposes to establish what a majority follows already, if the log does
    /// not know it yet.
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
        self.calm = context.now + CALM;
        let (group, server) = (context.name.to_string(), server.to_string());
        let establish = Establish { group, term: term.0, server };
        out.push(Effect::propose(command::Body::Establish(establish)));
    }

    /// Gives a new group its primary: has the majority follow the one of the
    /// highest term, or begins a failover where none shows in time.
    fn bootstrap(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        let now = context.now;
        let reports = self.watches.fresh(now).count();
        if reports < context.majority() {
            self.waiting = None;
            return;
        }
        let since = *self.waiting.get_or_insert(now);
        let highest = self.watches.highest_term();
        let primary = self
            .watches
            .fresh(now)
            .find(|(_, status)| status.role == Role::Primary && status.term == highest)
            .map(|(name, _)| name.clone());
        let overdue = now.since(since) >= BOOTSTRAP;
        match primary {
            Some(primary) if !overdue => {
                self.gather(context, highest, &primary, ORDER_PACE, out);
            }
            None if !overdue && reports < context.group.seats.len() => {}
            Some(_) | None => self.begin(context, Cause::New, out),
        }
    }

    /// Starts a failover at a term above every one seen, when a majority can
    /// be reached.
    fn begin(&mut self, context: &Context<'_>, cause: Cause, out: &mut Vec<Effect>) {
        let now = context.now;
        let reached = self.watches.fresh(now).count();
        if reached < context.majority() {
            return;
        }
        let term = Term(self.watches.highest_term().max(context.group.term).0 + 1);
        if self.is_in_progress() {
            self.note(|trace| trace.term = term);
        } else {
            self.trace = Some(Trace::new(now, context.name.clone(), term, cause));
        }
        match cause {
            Cause::Refused | Cause::Silent | Cause::CutOff => {
                self.avoided.clone_from(&context.group.primary);
            }
            Cause::Leaving => self.switched = Some(now),
            Cause::New | Cause::Demoted | Cause::Unfinished => {}
        }
        self.waiting = None;
        self.stage = Stage::Intending { term, asked: now };
        let intend = Intend { group: context.name.to_string(), term: term.0 };
        out.push(Effect::propose(command::Body::Intend(intend)));
    }
}

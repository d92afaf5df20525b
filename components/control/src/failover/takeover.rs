//! Steps of a failover after its term was proposed.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use wire::log::{Choose, command};

use super::{
    FENCE_GRACE, FOLLOW_TIMEOUT, Failover, ORDER_INTERVAL, PROMOTE_TIMEOUT, SETTLE_TIME, Stage,
};
use crate::choice::{Fenced, choose};
use crate::context::Context;
use crate::detector::Cause;
use crate::flaw::Flaw;
use crate::leader::{Ask, Effect, PROPOSAL_TIMEOUT};
use crate::state::Phase;

impl Failover {
    pub(super) fn intending(
        &mut self,
        context: &Context<'_>,
        term: Term,
        asked: Instant,
        out: &mut Vec<Effect>,
    ) {
        let group = context.group;
        if group.term == term && group.phase == Phase::Intended {
            self.ordered.clear();
            let (fenced, failed) = (BTreeMap::new(), BTreeSet::new());
            self.stage = Stage::Fencing { term, fenced, failed, majority_at: None };
            return self.step(context, out);
        }
        if group.term >= term || context.now.since(asked) >= PROPOSAL_TIMEOUT {
            self.stage = Stage::Idle;
        }
    }

    /// Whether the group's term in the log is no longer this failover's; ends the
    /// failover if so.
    pub(super) fn is_over(&mut self, context: &Context<'_>, term: Term) -> bool {
        let over = context.group.term != term;
        if over {
            self.stage = Stage::Idle;
        }
        over
    }

    pub(super) fn fencing(
        &mut self,
        context: &Context<'_>,
        term: Term,
        fenced: &BTreeMap<Name, Fenced>,
        failed: &BTreeSet<Name>,
        majority_at: Option<Instant>,
        out: &mut Vec<Effect>,
    ) {
        if self.is_over(context, term) {
            return;
        }
        if context.group.phase != Phase::Intended || self.watches.highest_term() > term {
            return self.begin(context, Cause::Unfinished, out);
        }
        for seat in context.group.seats.iter().filter(|seat| !fenced.contains_key(*seat)) {
            self.order(context, seat, Ask::Fence(term), ORDER_INTERVAL, out);
        }
        let needed = if context.flaw == Flaw::FenceMinority { 1 } else { context.majority() };
        if fenced.len() < needed {
            return;
        }
        let majority_at = majority_at.unwrap_or(context.now);
        if let Stage::Fencing { majority_at: known, .. } = &mut self.stage {
            *known = Some(majority_at);
        }
        let answered = |seat: &Name| fenced.contains_key(seat) || failed.contains(seat);
        let is_down = |seat: &Name| self.watches.get(seat).is_some_and(|w| w.is_down(context.now));
        let all = context.group.seats.iter().all(|seat| answered(seat) || is_down(seat));
        if all || context.now.since(majority_at) >= FENCE_GRACE {
            self.choose(context, term, fenced, needed, out);
        }
    }

    pub(super) fn choose(
        &mut self,
        context: &Context<'_>,
        term: Term,
        fenced: &BTreeMap<Name, Fenced>,
        majority: usize,
        out: &mut Vec<Effect>,
    ) {
        let (state, group) = (context.state, context.group);
        let avoided = self.avoided.as_ref();
        let Some(choice) = choose(state, group, fenced, majority, avoided, context.flaw) else {
            return;
        };
        let now = context.now;
        self.update_trace(|trace| trace.fenced = Some(now));
        self.stage = Stage::Choosing { term, choice, asked: now };
        self.propose_choice(context, out);
    }

    pub(super) fn propose_choice(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        let Stage::Choosing { term, choice, asked } = &mut self.stage else {
            return;
        };
        *asked = context.now;
        let choose = Choose {
            group: context.name.to_string(),
            term: term.0,
            server: choice.server.to_string(),
            start: Some(choice.start.into()),
            incarnation: 0,
            reported_term: None,
        };
        out.push(Effect::propose(command::Body::Choose(choose)));
    }

    pub(super) fn choosing(
        &mut self,
        context: &Context<'_>,
        term: Term,
        asked: Instant,
        out: &mut Vec<Effect>,
    ) {
        if self.is_over(context, term) {
            return;
        }
        match &context.group.phase {
            Phase::Chosen { server, .. } => {
                self.ordered.clear();
                let (server, since) = (server.clone(), context.now);
                self.stage = Stage::Promoting { term, server, since };
                self.step(context, out);
            }
            Phase::Intended if context.now.since(asked) >= PROPOSAL_TIMEOUT => {
                self.propose_choice(context, out);
            }
            Phase::Intended => {}
            Phase::Settled => self.stage = Stage::Idle,
        }
    }

    pub(super) fn promoting(
        &mut self,
        context: &Context<'_>,
        term: Term,
        server: &Name,
        since: Instant,
        out: &mut Vec<Effect>,
    ) {
        if self.is_over(context, term) {
            return;
        }
        let overdue = context.now.since(since) >= PROMOTE_TIMEOUT;
        if overdue
            || self.watches.highest_term() > term
            || self.watches.get_or_insert(server).is_down(context.now)
        {
            self.avoided = Some(server.clone());
            return self.begin(context, Cause::Unfinished, out);
        }
        self.order(context, server, Ask::Promote(term), ORDER_INTERVAL, out);
    }

    pub(super) fn following(
        &mut self,
        context: &Context<'_>,
        term: Term,
        server: &Name,
        since: Instant,
        out: &mut Vec<Effect>,
    ) {
        if self.is_over(context, term) {
            return;
        }
        if context.group.phase == Phase::Settled {
            self.finish(context.now, term);
            self.stage = Stage::Idle;
            self.establishing = None;
            self.silence_ignored_until = context.now + SETTLE_TIME;
            return;
        }
        let overdue = context.now.since(since) >= FOLLOW_TIMEOUT;
        if overdue
            || self.watches.highest_term() > term
            || self.watches.get_or_insert(server).is_down(context.now)
        {
            self.avoided = Some(server.clone());
            return self.begin(context, Cause::Unfinished, out);
        }
        let Some(primary) = context.state.servers.get(server).map(|server| server.address) else {
            return;
        };
        for seat in context.group.seats.iter().filter(|seat| *seat != server) {
            let joined = |status: &Status| status.term == term && status.log_term == term;
            let follows =
                self.watches.get(seat).and_then(|w| w.fresh(context.now)).is_some_and(joined);
            if !follows {
                self.order(context, seat, Ask::Follow { term, primary }, ORDER_INTERVAL, out);
            }
        }
        let leading = self.watches.majority_primary(context.now, context.majority());
        if leading.is_some_and(|(led, primary)| led == term && primary == *server) {
            self.establish(context, term, server, out);
        }
    }
}

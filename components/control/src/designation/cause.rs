//! Whether the primary of an unfenced group must be replaced, and why.

use base::prelude::*;
use wire::control::Condition;

use super::{CONFIRMATION_TIME, Designation, SUFFICIENT_REFUSALS};
use crate::context::Context;
use crate::detector::Cause;
use crate::state::Phase;

/// Time without an answer to the leader after which a primary that all keepers
/// report as unhealthy counts as silent.
const SHORT_SILENCE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a primary that leaves must report its position before it is replaced by a
/// server that may lack some of its records.
const LEAVING_PATIENCE: Duration = Duration::from_millis(1_500);

/// Time after a primary was established during which it is not considered cut off.
const SETTLE_TIME: Duration = Duration::from_secs(2);

impl Designation {
    /// Whether nothing indicates that the primary must be replaced.
    pub(super) fn is_healthy(&self, context: &Context<'_>) -> bool {
        let group = context.group;
        let Some(primary) = &group.primary else { return false };
        let server = context.state.servers.get(primary);
        group.phase == Phase::Settled
            && server.is_some_and(|server| !server.leaving && !server.expired)
            && !self.symptoms.has_unhealthy(context.now, primary, group.term)
    }

    /// The cause for which the primary must be replaced, if any.
    pub(super) fn replacement_cause(
        &mut self,
        context: &Context<'_>,
        primary: &Name,
    ) -> Option<Cause> {
        let (now, group) = (context.now, context.group);
        let Some(server) = context.state.servers.get(primary) else {
            return Some(Cause::Refused);
        };
        let unhealthy = self.symptoms.has_unhealthy(now, primary, group.term);
        let unhealthy_to_all = self.is_unhealthy_to_all(context, primary);
        let cut_off = self.is_cut_off(context, primary, unhealthy_to_all);
        let watch = self.watches.get_or_insert(primary);
        let refusals = watch.refusals();
        if refusals >= SUFFICIENT_REFUSALS || (refusals > 0 && unhealthy) {
            return Some(Cause::Refused);
        }
        // the leader's own short timeout confirms the symptoms of all keepers
        if unhealthy_to_all && watch.waiting_time(now) >= SHORT_SILENCE_TIMEOUT {
            return Some(Cause::Silent);
        }
        // if the group has keepers and none reports a symptom, only the leader is
        // partitioned from the primary
        if watch.is_silent(now) && (unhealthy || group.leases.is_empty()) {
            return Some(Cause::Silent);
        }
        let fresh = watch.fresh(now);
        if fresh.is_some_and(|status| status.role == Role::Replica) {
            return Some(Cause::Demoted);
        }
        if cut_off {
            return Some(Cause::CutOff);
        }
        (server.leaving && self.can_hand_over(context, primary)).then_some(Cause::Leaving)
    }

    /// Whether, for [`CONFIRMATION_TIME`], all keepers have reported the
    /// primary as unhealthy or any keeper has reported it cut off from its replicas.
    fn is_cut_off(&mut self, context: &Context<'_>, primary: &Name, by_all: bool) -> bool {
        let (now, group) = (context.now, context.group);
        let settling = self.established.is_some_and(|(_, at)| now.since(at) < SETTLE_TIME);
        let mut unhealthy = self.symptoms.unhealthy(now, primary, group.term);
        let cut_off = unhealthy.any(|(_, condition)| condition == Condition::CutOff);
        if settling || !(cut_off || by_all) || !self.has_successor(context, primary) {
            self.unhealthy_since = None;
            return false;
        }
        let since = *self.unhealthy_since.get_or_insert(now);
        now.since(since) >= CONFIRMATION_TIME
    }

    /// Whether all keepers of the group report the primary as unhealthy.
    fn is_unhealthy_to_all(&self, context: &Context<'_>, primary: &Name) -> bool {
        let (now, group) = (context.now, context.group);
        let reports = |entry: &str| {
            self.symptoms
                .unhealthy(now, primary, group.term)
                .any(|(name, _)| name.as_str() == entry)
        };
        !group.leases.is_empty() && group.leases.iter().all(|lease| reports(&lease.entry))
    }

    /// Whether a primary that leaves can be replaced: a server that stays has received what
    /// the primary had reported in its report before the last. A primary that is replaced while
    /// all others are behind would serve nothing until one of them has its records. A primary
    /// that reports nothing to the leader is replaced after [`LEAVING_PATIENCE`].
    fn can_hand_over(&self, context: &Context<'_>, primary: &Name) -> bool {
        let Some(since) = self.leaving_since else { return false };
        let reported = |name| self.positions.get(name).filter(|position| position.sent >= since);
        let Some(led) = reported(primary) else {
            let waited = context.now.since(since) >= LEAVING_PATIENCE;
            return waited && self.has_successor(context, primary);
        };
        let before = led.earlier.filter(|(_, sent)| *sent >= since);
        let needed = before.map_or(led.mark, |(mark, _)| mark);
        let holds = |name| reported(name).is_some_and(|position| position.mark >= needed);
        self.successors(context, primary).any(holds)
    }

    /// Whether another server that is not leaving is reachable.
    fn has_successor(&self, context: &Context<'_>, primary: &Name) -> bool {
        self.successors(context, primary).next().is_some()
    }

    /// Reachable servers besides the primary that are not leaving.
    fn successors<'a>(
        &'a self,
        context: &'a Context<'_>,
        primary: &'a Name,
    ) -> impl Iterator<Item = &'a Name> {
        let stays = |name: &Name| context.state.servers.get(name).is_some_and(|s| !s.leaving);
        let reachable = self.watches.fresh(context.now).map(|(name, _)| name);
        reachable.filter(move |name| *name != primary && stays(name))
    }
}

//! Sends status probes and orders to the servers of a group.

use base::prelude::*;

use super::{Failover, REFOLLOW_SILENCE, Stage};
use crate::context::Context;
use crate::detector;
use crate::leader::{Ask, Effect};
use crate::state::Phase;

impl Failover {
    pub(super) fn probe_seats(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        let healthy = self.is_healthy(context);
        self.healthy_at = healthy.then_some((context.now, context.state.index));
        for seat in &context.group.seats {
            let watch = self.watches.get_or_insert(seat);
            if watch.is_due(context.now, healthy)
                && let Some(probe) = probe(context, seat, Ask::Status)
            {
                watch.record_ask(context.now);
                out.push(probe);
            }
        }
    }

    /// Whether the group is healthy, as far as the leader and the keepers know.
    fn is_healthy(&self, context: &Context<'_>) -> bool {
        let group = context.group;
        let Some(primary) = &group.primary else {
            return false;
        };
        let is_healthy = |seat: &Name| {
            self.watches
                .get(seat)
                .is_some_and(|watch| watch.is_healthy(group.term, detector::REPLICA_SILENCE_LIMIT))
        };
        matches!(self.stage, Stage::Idle)
            && group.phase == Phase::Settled
            && !group.leases.is_empty()
            && !self.symptoms.has_unhealthy(context.now, primary, group.term)
            && group.seats.iter().all(is_healthy)
    }

    pub(super) fn order(
        &mut self,
        context: &Context<'_>,
        server: &Name,
        ask: Ask,
        interval: Duration,
        out: &mut Vec<Effect>,
    ) {
        let recent = self.ordered.get(server).is_some_and(|&at| context.now.since(at) < interval);
        let watch = self.watches.get_or_insert(server);
        if recent || !watch.accepts_order(context.now) {
            return;
        }
        if let Some(probe) = probe(context, server, ask) {
            watch.record_order(context.now, ask);
            self.ordered.insert(server.clone(), context.now);
            out.push(probe);
        }
    }

    /// Orders the servers that do not follow the primary to do so.
    pub(super) fn order_to_follow(
        &mut self,
        context: &Context<'_>,
        term: Term,
        primary: &Name,
        interval: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(server) = context.state.servers.get(primary) else {
            return;
        };
        if self.watches.get(primary).is_none_or(|watch| watch.fresh(context.now).is_none()) {
            return;
        }
        let must_follow = |status: &Status| {
            status.term < term
                || (status.term == term
                    && (status.log_term < term || status.silence > REFOLLOW_SILENCE))
        };
        let seats: Vec<Name> = self
            .watches
            .fresh(context.now)
            .filter(|(name, status)| *name != primary && must_follow(status))
            .map(|(name, _)| name.clone())
            .collect();
        for seat in seats {
            self.order(
                context,
                &seat,
                Ask::Follow { term, primary: server.address },
                interval,
                out,
            );
        }
    }
}

fn probe(context: &Context<'_>, server: &Name, ask: Ask) -> Option<Effect> {
    let address = context.state.servers.get(server)?.address;
    let (group, server) = (context.name.clone(), server.clone());
    Some(Effect::Probe { group, server, address, ask })
}

//! When the leader asks the servers of an unfenced group for their status.

use base::mechanism::Mechanism;
use base::prelude::*;

use super::Designation;
use crate::context::Context;
use crate::leader::{Ask, Effect};
use crate::state::Phase;

/// Time between two status probes of a server during the first
/// [`FAST_PROBE_TIME`] of a change.
const FAST_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two status probes of a server while the health of the primary is
/// in doubt, or after [`FAST_PROBE_TIME`].
const SLOW_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time from the start of a change during which servers are probed at
/// [`FAST_PROBE_INTERVAL`].
const FAST_PROBE_TIME: Duration = Duration::from_millis(1_500);

impl Designation {
    /// Sends status probes: to all servers while a change is in progress or may
    /// become due, to none while the group is healthy. Servers are also probed while a
    /// keeper is suspected: if it is suspended, its connections stay open, and those of the
    /// next keeper leave no room for a connection of the leader later.
    pub(super) fn probe_seats(&mut self, context: &Context<'_>, out: &mut Vec<Effect>) {
        let now = context.now;
        let is_suspected = |lease: &wire::log::Lease| {
            Name::new(&lease.entry)
                .is_ok_and(|entry| context.liveness.is_suspected(now, &entry, lease.incarnation))
        };
        let uncovered = self.cover.is_some_and(|cover| cover.is_due(now));
        let healthy = self.is_healthy(context) && !uncovered;
        let suspects = !context.leadership.without.has(Mechanism::SuspectProbes)
            && context.group.leases.iter().any(is_suspected);
        let skips = healthy && !suspects;
        let settled = context.group.phase == Phase::Settled;
        let began = self.trace.as_ref().map(|trace| trace.noticed).filter(|_| !settled);
        let began = began.or(self.leaving_since);
        let is_fast = began.is_some_and(|began| now.since(began) < FAST_PROBE_TIME);
        let interval = if is_fast { FAST_PROBE_INTERVAL } else { SLOW_PROBE_INTERVAL };
        for seat in &context.group.seats {
            let recent = self.probed.get(seat).is_some_and(|&at| now.since(at) < interval);
            let Some(server) = context.state.servers.get(seat) else { continue };
            if skips || recent || !self.watches.get_or_insert(seat).is_due(now, healthy) {
                continue;
            }
            self.watches.get_or_insert(seat).record_ask(now);
            self.asked.insert(seat.clone(), (now, server.incarnation));
            self.probed.insert(seat.clone(), now);
            out.push(probe(context, seat, server.address, Ask::Status));
        }
    }
}

/// Request to a server.
pub(super) fn probe(
    context: &Context<'_>,
    server: &Name,
    address: std::net::SocketAddr,
    ask: Ask,
) -> Effect {
    let (group, server) = (context.name.clone(), server.clone());
    Effect::Probe { group, server, address, ask }
}

//! Passes changes of the control state and of the entry's lease to the shards.

use std::sync::Arc;

use base::prelude::*;
use control::state::Group;
use control::{Phase, State};
use keeper::event::Server;
use keeper::{Event, Lease, Setup, Unfenced};
use wire::log;

use super::shard::{Revision, Shard};
use super::{Host, lock};

/// Longest time between two checks of the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Follows the view until the task is aborted.
pub(super) async fn run(host: Arc<Host>) {
    let mut changes = host.view.changes();
    let mut leased = false;
    configure_shards(&host);
    loop {
        let now = host.clock.now();
        if leased != host.view.has_lease(now) {
            leased = !leased;
            for shard in host.shards() {
                shard.feed(Event::Leased(leased));
            }
        }
        let left = host.view.lease_until().since(now);
        let wait =
            if left.is_zero() { LEASE_CHECK_INTERVAL } else { left.min(LEASE_CHECK_INTERVAL) };
        if let Ok(Ok(())) = tokio::time::timeout(wait, changes.changed()).await {
            changes.borrow_and_update();
            configure_shards(&host);
        }
    }
}

/// Passes each shard its new setup; starts a shard for each new lease. An entry spends
/// nothing on the setups of groups that it doesn't keep: with many groups, each command
/// of the log would cost more than all else that it does.
fn configure_shards(host: &Arc<Host>) {
    host.quotas.refresh(host);
    let setups = host.view.read(|state| {
        let (index, version) = (state.index, state.version);
        let keeps = |(name, group): &(&Name, &Group)| {
            group.lease(host.name.as_str()).is_some() || host.shard(name.as_str()).is_some()
        };
        let kept = state.groups.iter().filter(keeps);
        let setups = kept.map(|(name, group)| {
            let revision = Revision { index, version, term: group.term };
            (name.clone(), revision, setup(host, state, name))
        });
        setups.collect::<Vec<_>>()
    });
    for (group, revision, setup) in setups {
        let known = host.shard(group.as_str());
        if known.is_none() && setup.lease == Lease::None {
            continue;
        }
        let shard = known.unwrap_or_else(|| add_shard(host, &group));
        shard.configure(revision, setup);
    }
}

fn add_shard(host: &Arc<Host>, group: &Name) -> Arc<Shard> {
    let shard = Shard::start(Arc::clone(host), group.clone());
    lock(&host.shards).insert(group.clone(), Arc::clone(&shard));
    shard.feed(Event::Leased(host.view.has_lease(host.clock.now())));
    shard
}

fn setup(host: &Host, state: &State, name: &Name) -> Setup {
    let group = state.groups.get(name);
    let is_own = |lease: &&log::Lease| lease.incarnation == host.incarnation;
    let lease = group.and_then(|group| group.lease(host.name.as_str())).filter(is_own);
    let seats = group.iter().flat_map(|group| &group.seats);
    let declared = state.declarations.groups.get(name).map(|group| group.servers);
    let unfenced = group.filter(|_| state.acknowledges(name.as_str()));
    let settled = group.is_some_and(|group| group.phase == Phase::Settled);
    let seat_count = group.map_or(0, |group| group.seats.len() as u32);
    Setup {
        // a server of an unfenced group acknowledges by itself, without confirmation
        // from other servers
        declared: if unfenced.is_some() { 1 } else { declared.unwrap_or(seat_count) },
        primary: group
            .filter(|_| unfenced.is_none() || settled)
            .and_then(|group| group.primary.clone()),
        servers: seats.filter_map(|seat| server(state, lease, seat, unfenced.is_some())).collect(),
        unfenced: unfenced.map(|group| Unfenced { term: group.term, index: state.index }),
        lease: match lease {
            None => Lease::None,
            Some(lease) if lease.returning => Lease::Returning,
            Some(_) => Lease::Held,
        },
        declarations: Arc::clone(&state.declarations),
        without: host.without,
    }
}

fn server(
    state: &State,
    lease: Option<&log::Lease>,
    name: &Name,
    unfenced: bool,
) -> Option<Server> {
    let server = state.servers.get(name)?;
    let share = lease.and_then(|lease| lease.shares.iter().find(|s| s.server == name.as_str()));
    let slots = share.map_or(0, |share| share.slots);
    Some(Server {
        name: name.clone(),
        incarnation: server.incarnation,
        address: server.address,
        zone: server.zone.clone(),
        labels: server.labels.clone(),
        connections: share.map_or(0, |share| share.connections),
        // a server of an unfenced group queues statements by itself and leaves no slot
        // idle, so each keeper may use all of the slots
        slots: if unfenced && share.is_some() { server.slots } else { slots },
        share: slots,
        leaving: server.leaving,
        expired: server.expired,
    })
}

//! The lease planner: assigns shares of each group's servers to its keepers.
//!
//! The sum of the shares that entries may believe to hold never exceeds a
//! server's limit:
//!
//! - A lease that an entry must lose is first marked as returning. Its shares
//!   are granted again only after the entry reported that it released them, in
//!   a heartbeat sent after it had applied the mark, or after the entry was removed.
//! - A share grows only while every holder has applied the last reduction of
//!   its lease, so that none still relies on an earlier, larger share, and while
//!   no lease of a removed entry may still be in force.
//! - A restarted entry gets no lease on a group while an earlier incarnation
//!   of the entry still holds one.
//!
//! If a server lowers its limits, the shares shrink at once.

use std::collections::BTreeMap;

use base::mechanism::{Mechanism, Without};
use base::prelude::*;
use smallvec::SmallVec;
use wire::log::{Assign, Lease, Share, command};

use crate::flaw::Flaw;
use crate::leader::{Effect, PROPOSAL_TIMEOUT};
use crate::liveness::Liveness;
use crate::rendezvous::{KEEPERS_PER_GROUP, keepers};
use crate::split::{Allocation, split};
use crate::state::{Entry, Group, Server, State};

/// Time for which a group without leases waits for more entries to join.
pub const JOIN_WAIT: Duration = Duration::from_millis(120);

/// Time between two planning passes over all groups while no command is applied.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

type Targets<'a> = SmallVec<[&'a Name; KEEPERS_PER_GROUP]>;

/// Plans the leases of all groups.
#[derive(Debug)]
pub struct Planner {
    /// Generation at which an entry released its lease, by group and entry.
    returned: BTreeMap<(Name, Name), u64>,
    /// When each group without leases first had entries that could hold one.
    empty: BTreeMap<Name, Instant>,
    /// Entries that held the last leases of each group.
    holders: BTreeMap<Name, SmallVec<[String; KEEPERS_PER_GROUP]>>,
    /// Generation on which the last proposal for a group was based, and its time.
    proposed: BTreeMap<Name, (u64, Instant)>,
    /// Index of the state at the last planning pass, and its time.
    planned: Option<(u64, Instant)>,
    /// Entries that may keep groups; [`Planner::targets`] is computed from them.
    candidates: Vec<Candidate>,
    /// Entries that should keep each group, chosen among the candidates.
    targets: BTreeMap<Name, SmallVec<[Name; KEEPERS_PER_GROUP]>>,
    without: Without,
    flaw: Flaw,
}

/// An entry that may keep groups.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Candidate {
    name: Name,
    zone: Name,
}

/// Least weight with which an entry may keep groups: half of the greatest weight,
/// or zero if too few entries reach that.
fn least_weight(weights: impl Iterator<Item = u32> + Clone) -> u32 {
    let most = weights.clone().max().unwrap_or_default();
    let strong = weights.filter(|&weight| weight >= most / 2).count();
    if strong >= KEEPERS_PER_GROUP { most / 2 } else { 0 }
}

impl Planner {
    /// Creates a planner that knows no released leases yet.
    pub fn new(without: Without, flaw: Flaw) -> Self {
        Self {
            without,
            returned: BTreeMap::new(),
            empty: BTreeMap::new(),
            holders: BTreeMap::new(),
            proposed: BTreeMap::new(),
            planned: None,
            candidates: Vec::new(),
            targets: BTreeMap::new(),
            flaw,
        }
    }

    /// Records which returning leases an entry has released. `applied` is the last
    /// index that the entry had applied when it reported so.
    pub fn record_returned(
        &mut self,
        state: &State,
        (entry, incarnation): (&Name, u64),
        applied: u64,
        groups: &[Name],
    ) {
        for name in groups {
            let Some(group) = state.groups.get(name) else {
                continue;
            };
            let returning = |lease: &Lease| lease.returning && lease.incarnation == incarnation;
            if applied >= group.reduced_index && group.lease(entry.as_str()).is_some_and(returning)
            {
                self.returned.insert((name.clone(), entry.clone()), group.generation);
                self.planned = None;
            }
        }
    }

    /// Proposes the next change of each group's leases.
    pub fn tick(
        &mut self,
        now: Instant,
        state: &State,
        liveness: &Liveness,
        out: &mut Vec<Effect>,
    ) {
        let planned =
            |(index, at): (u64, Instant)| index == state.index && now.since(at) < PLAN_INTERVAL;
        if self.planned.is_some_and(planned) {
            return;
        }
        self.planned = Some((state.index, now));
        self.update_targets(state, liveness);
        self.returned.retain(|(group, _), generation| {
            state.groups.get(group).is_some_and(|group| group.generation == *generation)
        });
        let removed_expired = liveness.removed_leases_expired(now);
        for (name, group) in &state.groups {
            let asked = self.proposed.get(name).is_some_and(|&(generation, at)| {
                generation == group.generation && now.since(at) < PROPOSAL_TIMEOUT
            });
            if asked || !self.is_ready(now, state, name, group) {
                continue;
            }
            if let Some(leases) = self.plan(state, (liveness, removed_expired), name, group) {
                self.proposed.insert(name.clone(), (group.generation, now));
                let assign = Assign { group: name.to_string(), base: group.generation, leases };
                out.push(Effect::propose(command::Body::Assign(assign)));
            }
        }
    }

    /// Updates the keepers that each group should have, if groups or candidates
    /// changed.
    fn update_targets(&mut self, state: &State, liveness: &Liveness) {
        let open = state
            .entries
            .iter()
            .filter(|(name, entry)| !entry.draining && !liveness.has_left(name, entry.incarnation));
        let least = least_weight(open.clone().map(|(_, entry)| entry.weight));
        let live = open.filter(|(_, entry)| entry.weight >= least);
        let candidate = |(name, entry): (&Name, &Entry)| Candidate {
            name: name.clone(),
            zone: entry.zone.clone(),
        };
        let candidates: Vec<Candidate> = live.clone().map(candidate).collect();
        if candidates != self.candidates {
            self.candidates = candidates;
            self.targets.clear();
        }
        self.targets.retain(|name, _| state.groups.contains_key(name));
        self.holders.retain(|name, _| state.groups.contains_key(name));
        for name in state.groups.keys() {
            let find = || keepers(name, live.clone()).into_iter().cloned().collect();
            self.targets.entry(name.clone()).or_insert_with(find);
        }
    }

    /// Whether the leases of a group may be planned: the group has leases, no entry is
    /// alive, all its last keepers have joined again, or it has waited for [`JOIN_WAIT`].
    fn is_ready(&mut self, now: Instant, state: &State, name: &Name, group: &Group) -> bool {
        if !group.leases.is_empty() || state.entries.is_empty() {
            self.record_holders(name, group);
            self.empty.remove(name);
            return true;
        }
        if self.has_last_keepers(name) {
            return true;
        }
        let since = *self.empty.entry(name.clone()).or_insert(now);
        now.since(since) >= JOIN_WAIT
    }

    /// Records the holders of a group's leases. Those that have left are kept while no other
    /// entry takes their place.
    fn record_holders(&mut self, name: &Name, group: &Group) {
        let holders = self.holders.entry(name.clone()).or_default();
        if group.leases.iter().any(|lease| !holders.contains(&lease.entry)) {
            *holders = group.leases.iter().map(|lease| lease.entry.clone()).collect();
        }
    }

    /// Whether the keepers that a group should have are those that it had last.
    fn has_last_keepers(&self, name: &Name) -> bool {
        if self.without.has(Mechanism::LastKeepers) {
            return false;
        }
        let (Some(targets), Some(holders)) = (self.targets.get(name), self.holders.get(name))
        else {
            return false;
        };
        let is_held = |target: &Name| holders.iter().any(|holder| holder == target.as_str());
        !targets.is_empty() && targets.len() == holders.len() && targets.iter().all(is_held)
    }

    fn plan(
        &self,
        state: &State,
        (liveness, removed_expired): (&Liveness, bool),
        name: &Name,
        group: &Group,
    ) -> Option<Vec<Lease>> {
        let known = self.targets.get(name).filter(|_| state.declares(name.as_str()));
        let targets: Targets<'_> = known.into_iter().flatten().collect();
        let mut leases: Vec<Lease> = group.leases.to_vec();
        leases.retain(|lease| !self.is_returned(name, group, lease));
        let may_grow = self.flaw == Flaw::GrantEarly || liveness.can_grant(group, removed_expired);
        if may_grow {
            mark_returning(state, group, &targets, &mut leases);
        }
        let leases = share(state, group, &targets, leases, may_grow);
        (leases[..] != group.leases[..]).then_some(leases)
    }

    fn is_returned(&self, name: &Name, group: &Group, lease: &Lease) -> bool {
        if !lease.returning {
            return false;
        }
        if self.flaw == Flaw::GrantEarly {
            return true;
        }
        let entry = Name::new(&lease.entry).ok();
        let released = entry.and_then(|entry| self.returned.get(&(name.clone(), entry)));
        released == Some(&group.generation)
    }
}

/// Moves the shares of the targets towards their due size, as far as shares are free.
fn share(
    state: &State,
    group: &Group,
    targets: &Targets<'_>,
    mut leases: Vec<Lease>,
    may_grow: bool,
) -> Vec<Lease> {
    for lease in &mut leases {
        lease.shares.retain(|share| state.servers.contains_key(share.server.as_str()));
    }
    let open: Targets<'_> =
        targets.iter().copied().filter(|&target| is_open(state, &leases, target)).collect();
    for &target in &open {
        if !leases.iter().any(|lease| lease.entry == target.as_str()) {
            leases.push(new_lease(state, target));
        }
    }
    for (turn, seat) in group.seats.iter().enumerate() {
        share_server(state, seat, turn, (targets, &open), &mut leases, may_grow);
    }
    let held = |lease: &Lease| group.lease(&lease.entry).is_some();
    leases.retain(|lease| held(lease) || !lease.shares.is_empty());
    leases.sort_by(|one, other| one.entry.cmp(&other.entry));
    leases
}

/// Whether the shares of a target may change now: no earlier incarnation of the
/// target holds a lease, and its own lease is not returning.
fn is_open(state: &State, leases: &[Lease], target: &Name) -> bool {
    let incarnation = state.entries.get(target).map(|entry| entry.incarnation);
    let lease = leases.iter().find(|lease| lease.entry == target.as_str());
    lease.is_none_or(|lease| !lease.returning && Some(lease.incarnation) == incarnation)
}

fn new_lease(state: &State, target: &Name) -> Lease {
    let incarnation = state.entries.get(target).map_or(0, |entry| entry.incarnation);
    Lease { entry: target.to_string(), incarnation, shares: Vec::new(), returning: false }
}

/// Marks one lease as returning, unless one is already: that of an entry which is
/// no target, or an oversized one while another target holds no shares. Called
/// only while the returned shares could be granted again.
fn mark_returning(state: &State, group: &Group, targets: &Targets<'_>, leases: &mut [Lease]) {
    if leases.iter().any(|lease| lease.returning) {
        return;
    }
    let has = |target: &Name| {
        leases.iter().any(|lease| lease.entry == target.as_str() && !lease.shares.is_empty())
    };
    let lacking = !targets.iter().all(|target| has(target));
    let must_return = |lease: &&mut Lease| {
        let entry = state.entries.get(lease.entry.as_str());
        let live = entry.is_some_and(|entry| entry.incarnation == lease.incarnation);
        let target = targets.iter().any(|target| target.as_str() == lease.entry);
        live && (!target
            || (lacking && targets.len() == KEEPERS_PER_GROUP && oversized(state, group, lease)))
    };
    if let Some(lease) = leases.iter_mut().find(must_return) {
        lease.returning = true;
    }
}

/// Whether a lease holds more than one keeper's share of any server.
fn oversized(state: &State, group: &Group, lease: &Lease) -> bool {
    let held =
        lease.shares.iter().filter(|share| group.seats.iter().any(|s| s.as_str() == share.server));
    held.into_iter().any(|share| {
        state.servers.get(share.server.as_str()).is_some_and(|server| {
            share.connections > state.grantable(server).div_ceil(2)
                || share.slots > server.slots.div_ceil(2)
        })
    })
}

fn share_server(
    state: &State,
    seat: &Name,
    turn: usize,
    (targets, open): (&Targets<'_>, &Targets<'_>),
    leases: &mut [Lease],
    may_grow: bool,
) {
    let Some(server) = state.servers.get(seat) else {
        return;
    };
    let is_cut = cut(state, server, seat, leases, |lease| {
        open.iter().any(|target| target.as_str() == lease.entry)
    });
    let may_grow = may_grow && !is_cut;
    let share_of =
        |lease: &Lease| lease.shares.iter().find(|share| share.server == seat.as_str()).cloned();
    let is_open = |lease: &Lease| open.iter().any(|target| target.as_str() == lease.entry);
    let closed = leases.iter().filter(|lease| !is_open(lease)).filter_map(share_of);
    let (mut connections_taken, mut slots_taken) = (0, 0);
    for share in closed {
        connections_taken += share.connections;
        slots_taken += share.slots;
    }
    let held: SmallVec<[Share; KEEPERS_PER_GROUP]> = open
        .iter()
        .map(|target| {
            let lease = leases.iter().find(|lease| lease.entry == target.as_str());
            lease.and_then(share_of).unwrap_or_default()
        })
        .collect();
    let parts = |limit, taken, held| {
        let allocation =
            Allocation { limit, unavailable: taken, held, keepers: targets.len(), may_grow };
        split(&allocation, turn)
    };
    let connections = parts(
        state.grantable(server),
        connections_taken,
        held.iter().map(|share| share.connections).collect(),
    );
    let slots = parts(server.slots, slots_taken, held.iter().map(|share| share.slots).collect());
    for (at, target) in open.iter().enumerate() {
        let Some(lease) = leases.iter_mut().find(|lease| lease.entry == target.as_str()) else {
            continue;
        };
        lease.shares.retain(|share| share.server != seat.as_str());
        if connections[at] > 0 || slots[at] > 0 {
            let server = seat.to_string();
            lease.shares.push(Share { server, connections: connections[at], slots: slots[at] });
        }
        lease.shares.sort_by(|one, other| one.server.cmp(&other.server));
    }
}

/// Cuts the shares of a server that lowered its limits, except those that are
/// `spared`, which are split anew. Returns whether the limits were exceeded, in
/// which case no share of the server may grow.
fn cut(
    state: &State,
    server: &Server,
    seat: &Name,
    leases: &mut [Lease],
    spared: impl Fn(&Lease) -> bool,
) -> bool {
    let count = leases.len() as u32;
    let grantable = state.grantable(server);
    let held =
        || leases.iter().flat_map(|lease| &lease.shares).filter(|s| s.server == seat.as_str());
    let over = held().map(|share| share.connections).sum::<u32>() > grantable
        || held().map(|share| share.slots).sum::<u32>() > server.slots;
    if !over {
        return false;
    }
    for lease in leases.iter_mut().filter(|lease| !spared(lease)) {
        for share in lease.shares.iter_mut().filter(|share| share.server == seat.as_str()) {
            share.connections = share.connections.min(grantable / count);
            share.slots = share.slots.min(server.slots / count);
        }
    }
    true
}

//! Failure detector: decides whether a group needs another primary.
//!
//! Silence towards a single observer is not enough, since the observer itself may
//! be partitioned. Repeatedly refused connections are enough, since they show that
//! no process listens. A primary that answers and whose replicas hear its heartbeats
//! is never replaced for being slow.

use std::collections::BTreeMap;

use base::prelude::*;
use wire::control::{Condition, Symptom};

use crate::state::{Group, State};
use crate::watch::Watch;

/// Time without a heartbeat of the primary after which a replica counts as cut off from it.
pub const REPLICA_SILENCE_LIMIT: Duration = Duration::from_millis(400);

/// Time for which a keeper's symptom remains valid.
const SYMPTOM_LIFETIME: Duration = Duration::from_secs(2);

/// Refused connections in a row that suffice without a keeper's symptom.
const SUFFICIENT_REFUSALS: u32 = 2;

/// Cause of a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The group has no primary yet.
    New,
    /// The primary refuses connections, as its process has ended, or is no longer
    /// known to the control state.
    Refused,
    /// The primary does not answer.
    Silent,
    /// The primary is partitioned from its replicas.
    CutOff,
    /// The primary reports the role of a replica.
    Demoted,
    /// The primary announced that it is leaving.
    Leaving,
    /// An earlier failover was not finished, or its chosen primary failed.
    Unfinished,
}

/// Newest symptom that each keeper reported of a group's primary.
#[derive(Clone, Debug, Default)]
pub struct Symptoms {
    keepers: BTreeMap<Name, (Symptom, Instant)>,
}

impl Symptoms {
    /// Records a keeper's symptom.
    pub fn record(&mut self, now: Instant, keeper: Name, symptom: Symptom) {
        self.keepers.retain(|_, (_, at)| now.since(*at) <= SYMPTOM_LIFETIME);
        self.keepers.insert(keeper, (symptom, now));
    }

    /// Whether any keeper reports the primary of a term as unhealthy.
    pub(crate) fn has_unhealthy(&self, now: Instant, primary: &Name, term: Term) -> bool {
        self.unhealthy(now, primary, term).next().is_some()
    }

    /// Keepers that report the primary of a term as unhealthy, each with the
    /// condition that it reported.
    pub(crate) fn unhealthy(
        &self,
        now: Instant,
        primary: &Name,
        term: Term,
    ) -> impl Iterator<Item = (&Name, Condition)> {
        self.keepers.iter().filter_map(move |(keeper, (symptom, at))| {
            let meant = symptom.server == primary.as_str() && symptom.term == term.0;
            let bad =
                symptom.condition() != Condition::Healthy && now.since(*at) <= SYMPTOM_LIFETIME;
            (meant && bad).then(|| (keeper, symptom.condition()))
        })
    }
}

/// Probe results of the servers of a group.
#[derive(Clone, Debug, Default)]
pub struct Watches(BTreeMap<Name, Watch>);

impl Watches {
    /// Probe results of a server.
    pub fn get(&self, server: &Name) -> Option<&Watch> {
        self.0.get(server)
    }

    /// Probe results of a server; adds the server if it is unknown.
    pub fn get_or_insert(&mut self, server: &Name) -> &mut Watch {
        self.0.entry(server.clone()).or_default()
    }

    /// Excludes a stall of the leader itself from the silence of all servers.
    pub fn exclude_stall(&mut self, gap: Duration) {
        for watch in self.0.values_mut() {
            watch.exclude_stall(gap);
        }
    }

    /// Removes servers without a seat.
    pub fn retain(&mut self, seats: &[Name]) {
        self.0.retain(|server, _| seats.contains(server));
    }

    /// Current status reports, by server.
    pub fn fresh(&self, now: Instant) -> impl Iterator<Item = (&Name, &Status)> {
        self.0.iter().filter_map(move |(name, watch)| Some((name, watch.fresh(now)?)))
    }

    /// Highest term in any status report.
    pub fn highest_term(&self) -> Term {
        let terms = self.0.values().filter_map(|watch| Some(watch.status()?.term));
        terms.max().unwrap_or_default()
    }

    /// The primary of the highest term, if a majority has joined that term.
    pub fn majority_primary(&self, now: Instant, majority: usize) -> Option<(Term, Name)> {
        let primaries = self.fresh(now).filter(|(_, status)| status.role == Role::Primary);
        let (name, primary) = primaries.max_by_key(|(_, status)| status.term)?;
        let term = primary.term;
        let joined = |status: &Status| status.term == term && status.log_term == term;
        let count = self.fresh(now).filter(|(_, status)| joined(status)).count();
        (joined(primary) && count >= majority).then(|| (term, name.clone()))
    }
}

/// The cause for which the primary of a settled group must be replaced, if any.
pub fn detect(
    now: Instant,
    state: &State,
    group: &Group,
    watches: &Watches,
    symptoms: &Symptoms,
) -> Option<Cause> {
    let primary = group.primary.as_ref()?;
    let watch = watches.get(primary)?;
    let unhealthy = symptoms.has_unhealthy(now, primary, group.term);
    let refusals = watch.refusals();
    if refusals >= SUFFICIENT_REFUSALS || (refusals > 0 && unhealthy) {
        return Some(Cause::Refused);
    }
    let is_cut_off = is_cut_off(now, group, watches, primary);
    if watch.is_silent(now) && (unhealthy || is_cut_off) {
        return Some(Cause::Silent);
    }
    let status = watch.fresh(now)?;
    if status.term == group.term && status.role != Role::Primary {
        return Some(Cause::Demoted);
    }
    if is_cut_off {
        return Some(Cause::CutOff);
    }
    let leaving = state.servers.get(primary).is_some_and(|server| server.leaving);
    (leaving && can_hand_over(now, state, group, watches)).then_some(Cause::Leaving)
}

/// Whether a majority of the replicas have received no heartbeat of the primary
/// for [`REPLICA_SILENCE_LIMIT`].
fn is_cut_off(now: Instant, group: &Group, watches: &Watches, primary: &Name) -> bool {
    let replicas = group.seats.len().saturating_sub(1);
    let lost = watches
        .fresh(now)
        .filter(|(name, status)| *name != primary && status.term == group.term)
        .filter(|(_, status)| status.silence > REPLICA_SILENCE_LIMIT)
        .count();
    replicas > 0 && lost > replicas / 2
}

/// Whether the servers that are not leaving and have the log of the current term
/// are a majority of the group.
fn can_hand_over(now: Instant, state: &State, group: &Group, watches: &Watches) -> bool {
    let stays = |name: &Name| state.servers.get(name).is_some_and(|server| !server.leaving);
    let ready = watches
        .fresh(now)
        .filter(|(name, status)| stays(name) && status.log_term == group.term)
        .count();
    ready > group.seats.len() / 2
}

//! Whether a group needs another primary.
//!
//! A single vantage point is not enough, since it may be the one that is cut
//! off. A primary that answers and whose replicas hear of it is never
//! replaced for being slow.

use std::collections::BTreeMap;

use base::prelude::*;
use wire::control::{Sight, Symptom};

use crate::state::{Group, State};
use crate::watch::Watch;

/// Time without word of the primary after which a replica has lost it.
pub const REPLICA_SILENCE_LIMIT: Duration = Duration::from_millis(400);

/// Time for which a keeper's symptom stands.
const STANDS: Duration = Duration::from_secs(2);

/// Refusals in a row that need no keeper to agree.
const REFUSALS: u32 = 2;

/// Why a failover began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The group has no primary yet.
    New,
    /// The primary's process is gone.
    Refused,
    /// The primary is silent.
    Silent,
    /// The primary is cut off from its replicas.
    CutOff,
    /// The primary came back as a replica.
    Demoted,
    /// The primary announced that it is leaving.
    Leaving,
    /// A failover was left unfinished, or its choice failed.
    Unfinished,
}

/// What keepers see of a group's primary.
#[derive(Clone, Debug, Default)]
pub struct Symptoms {
    keepers: BTreeMap<Name, (Symptom, Instant)>,
}

impl Symptoms {
    /// Takes what a keeper sees.
    pub fn record(&mut self, now: Instant, keeper: Name, symptom: Symptom) {
        self.keepers.retain(|_, (_, at)| now.since(*at) <= STANDS);
        self.keepers.insert(keeper, (symptom, now));
    }

    /// Whether a keeper sees trouble with the primary of a term.
    pub(crate) fn has_unhealthy(&self, now: Instant, primary: &Name, term: Term) -> bool {
        self.unhealthy(now, primary, term).next().is_some()
    }

    /// The keepers that see trouble with the primary of a term, and what.
    pub(crate) fn unhealthy(
        &self,
        now: Instant,
        primary: &Name,
        term: Term,
    ) -> impl Iterator<Item = (&Name, Sight)> {
        self.keepers.iter().filter_map(move |(keeper, (symptom, at))| {
            let meant = symptom.server == primary.as_str() && symptom.term == term.0;
            let bad = symptom.sight() != Sight::Healthy && now.since(*at) <= STANDS;
            (meant && bad).then(|| (keeper, symptom.sight()))
        })
    }
}

/// The servers of a group as the leader sees them.
#[derive(Clone, Debug, Default)]
pub struct Watches(BTreeMap<Name, Watch>);

impl Watches {
    /// What is seen of a server.
    pub fn get(&self, server: &Name) -> Option<&Watch> {
        self.0.get(server)
    }

    /// What is seen of a server, made known when it was not.
    pub fn get_or_insert(&mut self, server: &Name) -> &mut Watch {
        self.0.entry(server.clone()).or_default()
    }

    /// Takes a time off all silence in which the leader itself stood still.
    pub fn exclude_stall(&mut self, gap: Duration) {
        for watch in self.0.values_mut() {
            watch.exclude_stall(gap);
        }
    }

    /// Forgets servers without a seat.
    pub fn retain(&mut self, seats: &[Name]) {
        self.0.retain(|server, _| seats.contains(server));
    }

    /// Fresh reports, by server.
    pub fn fresh(&self, now: Instant) -> impl Iterator<Item = (&Name, &Status)> {
        self.0.iter().filter_map(move |(name, watch)| Some((name, watch.fresh(now)?)))
    }

    /// Highest term that any report names.
    pub fn highest_term(&self) -> Term {
        let terms = self.0.values().filter_map(|watch| Some(watch.status()?.term));
        terms.max().unwrap_or_default()
    }

    /// The primary of the highest term that a majority has joined, if any.
    pub fn majority_primary(&self, now: Instant, majority: usize) -> Option<(Term, Name)> {
        let primaries = self.fresh(now).filter(|(_, status)| status.role == Role::Primary);
        let (name, primary) = primaries.max_by_key(|(_, status)| status.term)?;
        let term = primary.term;
        let joined = |status: &Status| status.term == term && status.log_term == term;
        let count = self.fresh(now).filter(|(_, status)| joined(status)).count();
        (joined(primary) && count >= majority).then(|| (term, name.clone()))
    }
}

/// Why the primary of a settled group must be replaced, if it must.
pub fn detect(
    now: Instant,
    state: &State,
    group: &Group,
    watches: &Watches,
    symptoms: &Symptoms,
) -> Option<Cause> {
    let primary = group.primary.as_ref()?;
    let watch = watches.get(primary)?;
    let trouble = symptoms.has_unhealthy(now, primary, group.term);
    let refusals = watch.refusals();
    if refusals >= REFUSALS || (refusals > 0 && trouble) {
        return Some(Cause::Refused);
    }
    let lost = lost(now, group, watches, primary);
    if watch.is_silent(now) && (trouble || lost) {
        return Some(Cause::Silent);
    }
    let status = watch.fresh(now)?;
    if status.term == group.term && status.role != Role::Primary {
        return Some(Cause::Demoted);
    }
    if lost {
        return Some(Cause::CutOff);
    }
    let leaving = state.servers.get(primary).is_some_and(|server| server.leaving);
    (leaving && can_hand_over(now, state, group, watches)).then_some(Cause::Leaving)
}

/// Whether a majority of the primary's replicas have not heard of it.
fn lost(now: Instant, group: &Group, watches: &Watches, primary: &Name) -> bool {
    let replicas = group.seats.len().saturating_sub(1);
    let lost = watches
        .fresh(now)
        .filter(|(name, status)| *name != primary && status.term == group.term)
        .filter(|(_, status)| status.silence > REPLICA_SILENCE_LIMIT)
        .count();
    replicas > 0 && lost > replicas / 2
}

/// Whether a majority that stays keeps up with the term.
fn can_hand_over(now: Instant, state: &State, group: &Group, watches: &Watches) -> bool {
    let stays = |name: &Name| state.servers.get(name).is_some_and(|server| !server.leaving);
    let ready = watches
        .fresh(now)
        .filter(|(name, status)| stays(name) && status.log_term == group.term)
        .count();
    ready > group.seats.len() / 2
}

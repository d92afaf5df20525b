//! The ledger and the operations that wait for a loan.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use base::prelude::*;
use config::Declarations;
use control::State as Control;
use keeper::Front;
use quota::{Decision, Ledger, Request, Token, digest};
use wire::data::Run;

use crate::keep::front::Link;
use crate::keep::shard::Shard;

/// Number of teams that have metrics of their own.
const LARGEST_TEAMS: usize = 10;

/// An operation that waits for a loan.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) front: Front,
    pub(super) link: Arc<Link>,
    pub(super) shard: Arc<Shard>,
    pub(super) run: Run,
    pub(super) since: Instant,
    pub(super) until: Instant,
}

/// What is to be done with an operation once the lock is released.
#[derive(Debug)]
pub(super) enum Verdict {
    Run(Waiting, Token),
    Refuse(Waiting, Duration),
    Cancel(Waiting),
}

/// State behind the lock of the limits.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) ledger: Ledger,
    pub(super) waiting: HashMap<String, VecDeque<Waiting>>,
    pub(super) requests: Vec<Request>,
    /// Entries to which a change of shares is to be announced.
    pub(super) announced: Vec<Name>,
    /// Teams that were refused operations, with the time of the last refusal.
    pub(super) exceeded: BTreeMap<String, Instant>,
    /// Names of the teams with a limit, by digest. `None` if two teams have the same digest;
    /// nothing is lent to them then.
    pub(super) names: HashMap<u32, Option<Name>>,
    /// Teams with metrics of their own.
    pub(super) largest: Vec<Name>,
    /// Index of the control state that the ledger follows.
    pub(super) index: Option<u64>,
    pub(super) declarations: Option<Arc<Declarations>>,
}

impl Inner {
    pub(super) fn new(ledger: Ledger) -> Self {
        Self {
            ledger,
            waiting: HashMap::new(),
            requests: Vec::new(),
            announced: Vec::new(),
            exceeded: BTreeMap::new(),
            names: HashMap::new(),
            largest: Vec::new(),
            index: None,
            declarations: None,
        }
    }

    /// Follows the control state. Without teams, before and now, there is nothing to follow.
    pub(super) fn follow(&mut self, now: Instant, state: &Control) {
        let had_teams = self.declarations.as_ref().is_some_and(|known| known.teams.is_some());
        let is_needed = had_teams || state.declarations.teams.is_some();
        if self.index == Some(state.index) || !is_needed {
            return;
        }
        self.index = Some(state.index);
        let leases = state.groups.values().flat_map(|group| &group.leases);
        let holders = leases.filter_map(|lease| Name::new(&lease.entry).ok());
        self.ledger.set_holders(now, state.index, holders.collect());
        self.follow_limits(now, state);
        if let Some(entries) = self.ledger.announce() {
            self.announced = entries;
        }
    }

    pub(super) fn follow_limits(&mut self, now: Instant, state: &Control) {
        let declarations = &state.declarations;
        if self.declarations.as_ref().is_some_and(|known| Arc::ptr_eq(known, declarations)) {
            return;
        }
        let teams = declarations.teams.iter().flatten();
        self.ledger.set_limits(
            now,
            state.index,
            teams.clone().map(|(name, team)| (name, team.quota)),
        );
        self.names.clear();
        for (name, _) in teams.clone().filter(|(_, team)| team.quota.is_some()) {
            let known = self.names.entry(digest(name.as_str()));
            known.and_modify(|known| *known = None).or_insert_with(|| Some(name.clone()));
        }
        let mut largest: Vec<_> = teams
            .filter_map(|(name, team)| team.quota.map(|quota| (quota.rate_per_s, name)))
            .collect();
        largest.sort_by(|one, other| other.0.total_cmp(&one.0));
        self.largest =
            largest.into_iter().take(LARGEST_TEAMS).map(|(_, name)| name.clone()).collect();
        self.declarations = Some(Arc::clone(declarations));
    }

    pub(super) fn has_messages(&self) -> bool {
        !self.requests.is_empty() || !self.announced.is_empty()
    }

    /// Label of a team in metrics; empty for all teams but the largest.
    pub(super) fn label(&self, team: &str) -> String {
        let known = self.largest.iter().any(|name| name.as_str() == team);
        if known { team.to_owned() } else { String::new() }
    }

    pub(super) fn take(&mut self, now: Instant, waiting: Waiting) -> Option<Verdict> {
        let team = waiting.run.team.clone();
        match self.ledger.take(now, &team, &mut self.requests) {
            Decision::Granted(token) => {
                let Some(queue) = self.waiting.get_mut(&team) else {
                    return Some(Verdict::Run(waiting, token));
                };
                // operations that waited before go first
                queue.push_back(waiting);
                queue.pop_front().map(|first| Verdict::Run(first, token))
            }
            Decision::Pending => {
                self.waiting.entry(team).or_default().push_back(waiting);
                None
            }
            Decision::Refused { retry_after } => Some(Verdict::Refuse(waiting, retry_after)),
        }
    }

    pub(super) fn pump(&mut self, now: Instant) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let Self { ledger, waiting, requests, .. } = self;
        for (team, queue) in waiting.iter_mut() {
            while let Some(first) = queue.pop_front() {
                let decision = ledger.resume(now, team, requests);
                let decision = if decision == Decision::Pending && first.until <= now {
                    ledger.expire(now, team)
                } else {
                    decision
                };
                match decision {
                    Decision::Granted(token) => verdicts.push(Verdict::Run(first, token)),
                    Decision::Refused { retry_after } => {
                        verdicts.push(Verdict::Refuse(first, retry_after));
                    }
                    Decision::Pending => {
                        queue.push_front(first);
                        break;
                    }
                }
            }
        }
        waiting.retain(|_, queue| !queue.is_empty());
        verdicts
    }

    /// Removes waiting operations.
    pub(super) fn remove(&mut self, matches: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut removed = Vec::new();
        for (team, queue) in &mut self.waiting {
            for waiting in std::mem::take(queue) {
                if matches(&waiting) {
                    self.ledger.leave(team);
                    removed.push(waiting);
                } else {
                    queue.push_back(waiting);
                }
            }
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
        removed
    }
}

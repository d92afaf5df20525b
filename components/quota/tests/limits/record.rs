//! What a world recorded, and the bound on it.

use base::prelude::*;

use crate::world::{Commit, LEASE, Operation, Outcome, World};

impl World {
    /// Operations of a team that were granted, by time.
    pub fn granted(&self, team: &Name) -> Vec<Instant> {
        let granted = |operation: &Operation| match operation.outcome {
            Outcome::Granted(at) if operation.team == *team => Some(at),
            _ => None,
        };
        let mut granted: Vec<_> = self.operations.iter().filter_map(granted).collect();
        granted.sort_unstable();
        granted
    }

    /// Number of operations of a team that arrived and that were granted from `from` to
    /// `until`.
    pub fn counts(&self, team: &Name, from: Instant, until: Instant) -> (usize, usize) {
        let within = |at: Instant| (from..until).contains(&at);
        let arrived = self.operations.iter().filter(|op| op.team == *team && within(op.at));
        let granted = self.granted(team).into_iter().filter(|&at| within(at));
        (arrived.count(), granted.count())
    }

    /// Panics if more operations ran in a window than the limits allow. A window that
    /// begins less than a window after a lower limit is in force may use the higher one.
    pub fn check_windows(&self, team: &Name) {
        let granted = self.granted(team);
        let window = self.bounds.window;
        let mut first = 0;
        for (last, &until) in granted.iter().enumerate() {
            while until.since(granted[first]) >= window {
                first += 1;
            }
            let (count, from) = (last + 1 - first, granted[first]);
            let allowed = self.highest(team, from - window - LEASE, until);
            assert!(
                count as f64 <= allowed,
                "{count} operations of {team} ran from {from} to {until}; {allowed} are allowed"
            );
        }
    }

    fn highest(&self, team: &Name, from: Instant, until: Instant) -> f64 {
        let ends = |at: usize| self.commits.get(at + 1).map_or(until, |next| next.at);
        let within = self
            .commits
            .iter()
            .enumerate()
            .filter(|(at, commit)| commit.at <= until && ends(*at) >= from);
        let allowed = |commit: &Commit| {
            commit.limits.get(team).map_or(f64::INFINITY, |quota| self.bounds.allowed(*quota))
        };
        within.map(|(_, commit)| allowed(commit)).fold(0.0, f64::max)
    }
}

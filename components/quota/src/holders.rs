//! The hosts that hold a share of a limit, and the share of this host over time.

use std::collections::VecDeque;

use base::prelude::*;
use base::rendezvous;

/// The first `count` of the hosts in a rendezvous hash of the team, so that a host that
/// joins or leaves moves only its own shares.
pub(crate) fn rank(team: &Name, hosts: &[Name], count: usize) -> Vec<Name> {
    let score = |host: &Name| rendezvous::score(team.as_str(), host.as_str());
    let mut ranked = hosts.to_vec();
    ranked.sort_by_cached_key(|host| std::cmp::Reverse(score(host)));
    ranked.truncate(count);
    ranked
}

/// A value that is in force from a time on, until the next value replaces it.
#[derive(Clone, Debug)]
struct Since<T> {
    value: T,
    at: Instant,
    /// Index of the control log at which the value came into force.
    index: u64,
}

/// The value in force and those that it replaced recently, oldest first.
#[derive(Clone, Debug)]
pub(crate) struct Recent<T>(VecDeque<Since<T>>);

impl<T: Clone> Recent<T> {
    pub(crate) fn new(at: Instant, value: T) -> Self {
        Self(VecDeque::from([Since { value, at, index: 0 }]))
    }

    pub(crate) fn push(&mut self, (at, index): (Instant, u64), value: T) {
        self.0.push_back(Since { value, at, index });
    }

    pub(crate) fn last(&self) -> &T {
        &self.0.back().expect("one value is always in force").value
    }

    pub(crate) fn map<U>(&self, convert: impl Fn(&T) -> U) -> Recent<U> {
        let convert = |since: &Since<T>| Since {
            value: convert(&since.value),
            at: since.at,
            index: since.index,
        };
        Recent(self.0.iter().map(convert).collect())
    }

    /// Drops values that were replaced more than `span` ago.
    pub(crate) fn trim(&mut self, now: Instant, span: Duration) {
        while self.expiry(span).is_some_and(|expiry| expiry <= now) {
            self.0.pop_front();
        }
    }

    /// Drops values that were replaced up to an index of the control log.
    pub(crate) fn confirm(&mut self, index: u64) {
        while self.0.get(1).is_some_and(|next| next.index <= index) {
            self.0.pop_front();
        }
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &T> {
        self.0.iter().map(|since| &since.value)
    }

    /// Time at which the oldest value was replaced `span` ago; `None` if there is only
    /// one value.
    pub(crate) fn expiry(&self, span: Duration) -> Option<Instant> {
        self.0.get(1).map(|next| next.at + span)
    }
}

impl Recent<f64> {
    pub(crate) fn min(&self) -> f64 {
        self.0.iter().map(|since| since.value).fold(f64::INFINITY, f64::min)
    }
}

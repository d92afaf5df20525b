//! Detection of duplicate proposals. A message may be delivered twice, but its
//! proposal must enter the log only once.

use std::collections::{BTreeSet, VecDeque};

use crate::SEEN_PROPOSALS;

/// Tokens of the most recent proposals of one member.
#[derive(Debug, Default)]
pub(crate) struct Tokens {
    order: VecDeque<u64>,
    known: BTreeSet<u64>,
}

impl Tokens {
    /// Adds the token of a proposal. Returns false if it is already known.
    pub(crate) fn insert(&mut self, token: u64) -> bool {
        if !self.known.insert(token) {
            return false;
        }
        self.order.push_back(token);
        if self.order.len() > SEEN_PROPOSALS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }
}

//! Proposals that came already: a message may come twice, a proposal not.

use std::collections::{BTreeSet, VecDeque};

use crate::SEEN_PROPOSALS;

/// The newest proposals of one member.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    order: VecDeque<u64>,
    known: BTreeSet<u64>,
}

impl Seen {
    /// Adds a proposal; false when it came before.
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

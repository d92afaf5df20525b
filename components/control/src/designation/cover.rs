//! Finds out whether another server holds all records for which the primary of an unfenced
//! group may be the only holder.
//!
//! A log that leaves a group takes records with it that only the primary holds too. As long
//! as no other server is known to have received them, the answers of the others prove
//! nothing about what was acknowledged (`successor`). Once the primary has reported its
//! position after the loss, and another server has received that position, they do.

use base::prelude::*;

use super::successor::Progress;
use crate::context::Context;
use crate::leader::PROPOSAL_TIMEOUT;

/// Time after the loss of a log from which on a position of the primary counts. A server
/// that leaves may receive records until its process has ended.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Progress for the newest loss of a log.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cover {
    /// `Group::uncovered_index` of the loss.
    index: u64,
    /// When the leader first saw the loss.
    since: Instant,
    /// Position that another server must have received.
    needed: Option<Mark>,
    /// When the end of the loss was proposed last.
    proposed: Option<Instant>,
}

impl Cover {
    /// Follows the state of the group; `None` if no loss is open.
    pub(super) fn follow(known: Option<Self>, context: &Context<'_>) -> Option<Self> {
        let index = context.group.uncovered_index;
        let same = known.filter(|known| known.index == index);
        let new = Self { index, since: context.now, needed: None, proposed: None };
        (index > 0).then(|| same.unwrap_or(new))
    }

    /// Whether positions are needed now.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        now.since(self.since) >= SETTLE_TIME
    }

    /// Index of the loss, if another server holds all records of before the loss and this is
    /// to be proposed now.
    pub(super) fn covered<'a>(
        &mut self,
        now: Instant,
        primary: &Name,
        positions: impl Iterator<Item = (&'a Name, &'a Progress)> + Clone,
    ) -> Option<u64> {
        if self.proposed.is_some_and(|proposed| now.since(proposed) < PROPOSAL_TIMEOUT) {
            return None;
        }
        let settled = self.since + SETTLE_TIME;
        let mut recent = positions.filter(|(_, position)| position.sent >= settled);
        let led = recent.clone().find(|(name, _)| *name == primary).map(|(_, led)| led);
        let led = led.filter(|led| led.role == Role::Primary).map(|led| led.mark);
        let needed = *self.needed.get_or_insert(led?);
        let holds =
            |(name, position): (&Name, &Progress)| name != primary && position.mark >= needed;
        self.proposed = recent.any(holds).then_some(now);
        self.proposed.map(|_| self.index)
    }
}

//! The order in which waiting requests run.
//!
//! Items of a higher priority go first ([`Schedule`]), and items that can no longer meet
//! their objective go last. Items of one priority are queued by flow, and the flows share
//! the capacity by start-time fair queueing ([`Queue`]): the start tag of a flow is the
//! virtual time at which its next item starts. The flow with the lowest start tag goes
//! first, and each item advances the tag of its flow by the cost of the item divided by
//! the weight. A flow that was idle resumes at the current virtual time, so that idle time
//! earns no credit.

mod fair;
mod schedule;
mod wait;

pub use fair::{INITIAL_COST, Queue};
pub use schedule::{LOWER_SHARE_DIVISOR, Place, Rank, Schedule};

/// Decision on an item that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The item leaves the queue.
    Take,
    /// The item stays, and so do the later items of its flow.
    Skip,
    /// The item stays, and no further items are offered.
    Stop,
}

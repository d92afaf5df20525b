//! Rate limits of teams over all hosts.
//!
//! The limit of a team is divided among the hosts that keep database groups: each of
//! its *holders* has a token bucket with an equal share of the rate and of the burst.
//! A host that runs out of tokens borrows from the other holders. No agreement is
//! needed: the shares never sum to more than the limit, and a borrowed token is taken
//! out of the bucket of its lender before it is sent. `docs/design/quota.md` derives
//! the bound on the operations in any window.
//!
//! - [`Bounds`]: what a limit means, and the parameters that follow from it.
//! - [`Ledger`]: the buckets of one host, as a state machine.

mod bounds;
mod bucket;
mod flaw;
mod holders;
mod ledger;
mod lender;
mod message;
mod team;

pub use bounds::Bounds;
pub use flaw::Flaw;
pub use ledger::{Decision, Ledger, Request, Settings, Token};
pub use message::digest;
pub use team::Loan;

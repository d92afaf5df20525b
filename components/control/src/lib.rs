//! The replicated control state and the decisions that the control leader takes on it.
//!
//! - [`state`]: the replicated state; members and entries hold the same copy.
//! - [`mod@apply`]: applies one log command to the state.
//! - [`image`]: the state as bytes.
//! - [`feed`]: what changed and when; [`update`]: what an entry gets of it.
//! - [`leader`]: the decisions of the leading member. [`liveness`] and
//!   [`renewals`] track which entries and backend servers are alive, [`planner`]
//!   assigns leases, [`failover`] selects the primaries of fenced groups, and
//!   [`designation`] those of unfenced groups, whose servers acknowledge commits
//!   by themselves.
//! - [`overview`]: the status report for operators.

pub mod apply;
pub mod changes;
pub mod choice;
pub mod context;
pub mod designation;
pub mod detector;
pub mod failover;
pub mod feed;
pub mod flaw;
pub mod image;
pub mod leader;
pub mod lease;
pub mod liveness;
pub mod overview;
pub mod planner;
pub mod rendezvous;
pub mod renewals;
pub mod split;
pub mod state;
pub mod trace;
pub mod update;
pub mod watch;

pub use apply::{Outcome, Refusal};
pub use changes::Answer;
pub use context::Leadership;
pub use detector::Cause;
pub use feed::Feed;
pub use flaw::Flaw;
pub use leader::{Ask, Effect, Event, Leader, ProbeError};
pub use overview::Overview;
pub use state::{Entry, Group, Phase, Server, State};
pub use trace::Trace;

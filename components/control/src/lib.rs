//! The state that the control log builds, and the leader's decisions on it.
//!
//! - [`state`]: what is decided; members and entries hold the same.
//! - [`mod@apply`]: how one command changes it.
//! - [`image`]: the whole of it as bytes.
//! - [`leader`]: what the leading member does about it. [`liveness`] and
//!   [`renewals`] follow which entries and servers live, [`planner`] hands
//!   out leases, and [`failover`] gives groups their primaries; [`designation`]
//!   does so where servers acknowledge by themselves.
//! - [`overview`]: what operators are told.

pub mod apply;
pub mod changes;
pub mod choice;
pub mod context;
pub mod designation;
pub mod detector;
pub mod failover;
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
pub mod watch;

pub use apply::{Outcome, Refusal};
pub use changes::Answer;
pub use context::Leadership;
pub use detector::Cause;
pub use flaw::Flaw;
pub use leader::{Ask, Effect, Event, Leader, ProbeError};
pub use overview::Overview;
pub use state::{Entry, Group, Phase, Server, State};
pub use trace::Trace;

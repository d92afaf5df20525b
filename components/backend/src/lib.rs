//! The edge towards the backend servers of a database group.
//!
//! Statements reach a server over the PostgreSQL protocol. What the system
//! needs beyond that (term, role, positions, fencing, promotion) stands behind
//! one trait, [`Probe`], so that a group of another make needs one more
//! implementation and nothing else. [`sql::Probe`] asks by SQL functions.
//! Groups whose servers acknowledge by themselves stand behind [`Adapter`].
//! `docs/GROUPS.md` says what each must promise.

pub mod probe;
pub mod sql;
pub mod unfenced;

pub use probe::{Failure, Probe};
pub use unfenced::{Adapter, Connection, Promotion};

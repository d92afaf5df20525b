//! Access to the backend servers of a database group.
//!
//! Statements reach a server over the PostgreSQL protocol. All other operations
//! (term, role, positions, fencing, promotion) go through one trait, [`Probe`], so
//! that another kind of server needs only another implementation of the trait.
//! [`sql::Probe`] implements it with SQL functions. Unfenced groups, whose servers
//! acknowledge commits by themselves, are accessed through [`Adapter`].
//! `docs/GROUPS.md` specifies the guarantees that implementations must give.

pub mod probe;
pub mod sql;
pub mod unfenced;

pub use probe::{Failure, Probe};
pub use unfenced::{Adapter, Connection, Promotion};

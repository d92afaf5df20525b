//! Types shared by all other crates: time, log positions, names, arenas and the
//! status of a backend server.
//!
//! The crate is the lowest layer and uses no sockets, disks or threads.

pub mod arena;
pub mod clock;
pub mod mark;
pub mod mechanism;
pub mod name;
pub mod prelude;
pub mod rate;
pub mod rendezvous;
pub mod status;

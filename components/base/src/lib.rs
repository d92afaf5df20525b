//! Types that every other crate shares: time, log positions, names, arenas
//! and the common error.
//!
//! This is the lowest layer. It knows nothing of sockets, disks or threads.

pub mod arena;
pub mod clock;
pub mod mark;
pub mod name;
pub mod prelude;
pub mod status;

//! Types that nearly every module imports.

pub use std::time::Duration;

pub use error_stack::{Report, ResultExt};

pub use crate::arena::{Arena, Key};
pub use crate::clock::Instant;
pub use crate::mark::{History, Mark, Position, Term};
pub use crate::name::Name;
pub use crate::status::{Role, Status};

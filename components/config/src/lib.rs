//! Declarations: the configuration that operators write, its validation, and the
//! queries that the data path runs on it.
//!
//! - [`model`]: the declarations as types.
//! - [`check`]: validation of the declarations as a whole.
//! - [`text`]: the canonical text of declarations.
//! - [`files`]: reading declarations from a directory of TOML files.
//! - [`mod@diff`]: the differences between two configurations.
//! - [`patch`]: the declarations that a change sets and removes, as the control log
//!   carries them.
//! - [`policy`]: queries of the data path: access, limits, and rules for requests.

pub mod check;
pub mod diff;
pub mod files;
pub mod model;
pub mod patch;
pub mod policy;
pub mod text;

pub use check::{Allowed, Violation};
pub use diff::{Change, diff};
pub use files::{Diagnostic, Problem, Problems};
pub use model::{
    Class, Database, Declarations, Group, Kind, Labels, Limits, Objective, Selector, Service,
};
pub use patch::Patch;
pub use policy::Rule;

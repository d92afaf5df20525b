//! Declarations: the configuration that operators write, its validation, and the
//! queries that the data path runs on it.
//!
//! - [`model`]: the declarations as types.
//! - [`key`]: digests of the keys by which callers are identified.
//! - [`check`]: validation of the declarations as a whole.
//! - [`text`]: the canonical text of declarations.
//! - [`edit`]: what turns one configuration into another, for an entry that has the former.
//! - [`files`]: reading declarations from a directory of TOML files.
//! - [`mod@diff`]: the differences between two configurations.
//! - [`patch`]: the declarations that a change sets and removes, as the control log
//!   carries them.
//! - [`policy`]: queries of the data path: access, limits, and rules for requests.

pub mod check;
pub mod diff;
pub mod edit;
pub mod files;
pub mod key;
pub mod model;
pub mod patch;
pub mod policy;
pub mod text;

pub use check::{Allowed, Violation};
pub use diff::{Change, diff};
pub use edit::Edit;
pub use files::{Diagnostic, Problem, Problems};
pub use key::Digest;
pub use model::{
    Class, Database, Declarations, Group, Kind, Labels, Limits, Objective, Quota, Selector,
    Service, Team,
};
pub use patch::Patch;
pub use policy::Rule;

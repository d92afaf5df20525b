//! Declarations: what operators write, checked, and asked by the system.
//!
//! - [`model`]: the declarations as types, and their canonical text.
//! - [`check`]: whether they make sense as a whole.
//! - [`text`]: their canonical text.
//! - [`files`]: a directory of TOML files, as operators write them.
//! - [`mod@diff`]: what differs between two configurations.
//! - [`patch`]: what a change replaces, as the control log carries it.
//! - [`policy`]: the questions that the data path asks of them.

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

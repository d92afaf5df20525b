//! What the front keeps of one caller between two cycles.

use std::sync::Arc;

use base::prelude::*;
use pg::Prepared;
use pg::answer::Status;
use session::Floors;

use super::cancels;
use super::link::Link;

/// A caller's transaction.
#[derive(Debug, Default)]
pub enum Transaction {
    /// None is open.
    #[default]
    None,
    /// One is open at a keeper.
    Open {
        /// Link to that keeper.
        link: Arc<Link>,
        /// Whether a statement of it failed.
        failed: bool,
    },
    /// It was rolled back; the caller has still to end it.
    RolledBack,
}

impl Transaction {
    /// The status as a caller is told.
    pub fn status(&self) -> Status {
        match self {
            Self::None => Status::Idle,
            Self::Open { failed: false, .. } => Status::Open,
            Self::Open { failed: true, .. } | Self::RolledBack => Status::Failed,
        }
    }

    /// Whether one is open at a keeper.
    pub fn is_open(&self) -> bool {
        matches!(self, Self::Open { .. })
    }
}

/// One caller's session.
#[derive(Debug)]
pub struct Session {
    /// Service that it belongs to.
    pub service: Name,
    /// Database group that it uses.
    pub group: Name,
    /// Name that the caller gave itself.
    pub application: String,
    /// What it has written or seen.
    pub floors: Floors,
    /// Statements that it prepared.
    pub prepared: Prepared,
    /// Its transaction.
    pub transaction: Transaction,
    /// Number towards keepers; another one after each [`Session::renumber`].
    pub number: u64,
    /// Number of its cycles so far.
    pub cycles: u64,
    /// How it can be cancelled.
    pub cancel: cancels::Session,
}

//! State of a caller that the front keeps between two cycles.

use std::sync::Arc;

use base::prelude::*;
use pg::Prepared;
use pg::answer::Status;
use session::Floors;

use super::cancels;
use super::link::Link;

/// State of a caller's transaction.
#[derive(Debug, Default)]
pub enum Transaction {
    /// No transaction is open.
    #[default]
    None,
    /// A transaction is open at a keeper.
    Open {
        /// Link to the keeper that holds the transaction.
        link: Arc<Link>,
        /// Whether a statement of the transaction failed.
        failed: bool,
    },
    /// The transaction was rolled back, and the caller has not ended it yet.
    RolledBack,
}

impl Transaction {
    /// The transaction status to report to the caller.
    pub fn status(&self) -> Status {
        match self {
            Self::None => Status::Idle,
            Self::Open { failed: false, .. } => Status::Open,
            Self::Open { failed: true, .. } | Self::RolledBack => Status::Failed,
        }
    }

    /// Whether the transaction is open at a keeper.
    pub fn is_open(&self) -> bool {
        matches!(self, Self::Open { .. })
    }
}

/// The session of a caller.
#[derive(Debug)]
pub struct Session {
    /// Service that the caller belongs to.
    pub service: Name,
    /// Database group that the session uses.
    pub group: Name,
    /// Value of `application_name`, as the caller set it.
    pub application: String,
    /// Newest position that the session has written or seen in each group; reads must
    /// not show older data.
    pub floors: Floors,
    /// Prepared statements of the session.
    pub prepared: Prepared,
    /// State of the session's current transaction.
    pub transaction: Transaction,
    /// Number of the session at keepers, replaced by a new one each time that a keeper
    /// is told to forget the session or is lost.
    pub number: u64,
    /// Number of cycles that the session has begun.
    pub cycles: u64,
    /// Registration of the session for cancel requests.
    pub cancel: cancels::Session,
}

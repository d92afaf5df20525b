//! Connections to backend servers.

use base::prelude::*;

use crate::event::Front;
use crate::request::Request;
use crate::server::Server;
use crate::service::Service;

/// Status byte of ReadyForQuery outside of a transaction.
pub(crate) const IDLE: u8 = b'I';

/// Status byte of ReadyForQuery in a transaction.
pub(crate) const IN_TRANSACTION: u8 = b'T';

/// A caller, by its link and session.
pub(crate) type Owner = (Front, u64);

/// Where a transaction began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Origin {
    pub(crate) term: Term,
    /// Whether its server was taken for the primary.
    pub(crate) primary: bool,
}

/// One connection, as its group knows it.
#[derive(Debug)]
pub struct Connection {
    pub(crate) server: Key<Server>,
    pub(crate) work: Work,
    /// Status byte of the last ReadyForQuery.
    pub(crate) status: u8,
    /// Caller whose transaction is open on it.
    pub(crate) owner: Option<Owner>,
    /// Term in which that transaction began.
    pub(crate) term: Term,
    /// Whether it began on the primary; it stays a primary's to its end, also
    /// where control names none any more.
    pub(crate) primary: bool,
    pub(crate) service: Option<Key<Service>>,
    pub(crate) paused: bool,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Work {
    /// It is being opened.
    Opening,
    /// Nothing, since then.
    Idle(Instant),
    /// It runs a request's cycle.
    Busy(Key<Request>),
    /// It is asked for a mark after the request's cycle.
    Marking(Key<Request>),
    /// It is asked where its server stands.
    Sampling(Instant),
    /// It holds a transaction open, idle since then.
    Pinned(Instant),
    /// It rolls back; closed if that is not confirmed by then.
    RollingBack(Instant),
    /// It is being closed; a statement may still run on it at the server.
    Closing {
        /// Whether one ran when it was told to close.
        uses_slot: bool,
    },
}

impl Connection {
    pub(crate) fn new(server: Key<Server>) -> Self {
        Self {
            server,
            work: Work::Opening,
            status: IDLE,
            owner: None,
            term: Term::default(),
            primary: false,
            service: None,
            paused: false,
        }
    }

    /// Whether it is being closed.
    pub(crate) fn is_closing(&self) -> bool {
        matches!(self.work, Work::Closing { .. })
    }

    /// Whether it takes one of the server's slots; a mark takes none.
    pub(crate) fn uses_slot(&self) -> bool {
        matches!(
            self.work,
            Work::Busy(_)
                | Work::Sampling(_)
                | Work::RollingBack(_)
                | Work::Closing { uses_slot: true }
        )
    }
}

//! Connections to backend servers.

use base::prelude::*;

use crate::event::Front;
use crate::request::Request;
use crate::server::Server;
use crate::service::Service;
use crate::teams::Team;

/// ReadyForQuery status byte outside of a transaction.
pub(crate) const IDLE: u8 = b'I';

/// ReadyForQuery status byte in a transaction.
pub(crate) const IN_TRANSACTION: u8 = b'T';

/// A caller, identified by its front and its session number.
pub(crate) type Owner = (Front, u64);

/// The term and server role at the start of a transaction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Origin {
    pub(crate) term: Term,
    /// Whether the server was considered the primary.
    pub(crate) primary: bool,
}

/// A connection to a backend server, as its group tracks it.
#[derive(Debug)]
pub struct Connection {
    pub(crate) server: Key<Server>,
    /// Team that was named to the server when the session was started. The
    /// connection runs requests of this team only.
    pub(crate) team: Key<Team>,
    /// Whether opening the connection occupies one of the server's slots.
    pub(crate) opening_uses_slot: bool,
    /// When the connection was requested.
    pub(crate) opened_at: Instant,
    pub(crate) session: Session,
    /// Team for whose new connection this one is being closed.
    pub(crate) evicted_for: Option<Key<Team>>,
    pub(crate) work: Work,
    /// Status byte of the last ReadyForQuery.
    pub(crate) status: u8,
    /// Caller whose transaction is open on the connection.
    pub(crate) owner: Option<Owner>,
    /// Term in which the open transaction began.
    pub(crate) term: Term,
    /// Whether the open transaction began on the primary. The flag holds until
    /// the transaction ends, even if control no longer names a primary.
    pub(crate) primary: bool,
    pub(crate) service: Option<Key<Service>>,
    pub(crate) paused: bool,
}

/// State of the session on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Session {
    /// No request was sent on the connection.
    New,
    /// A request was sent on the connection.
    Used,
    /// The server refused the session because it has too many connections.
    Refused,
}

/// Current activity of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Work {
    /// The connection is being opened.
    Opening,
    /// Idle since the given time.
    Idle(Instant),
    /// Runs the cycle of a request.
    Busy(Key<Request>),
    /// Reads the server's log position after the cycle of a request.
    Marking(Key<Request>),
    /// Reads the server's log position for a sample, since the given time.
    Sampling(Instant),
    /// Holds an open transaction that has been idle since the given time.
    Pinned(Instant),
    /// Rolls back a transaction; closed if the rollback is not confirmed by the
    /// given time.
    RollingBack(Instant),
    /// The connection is being closed. A statement may still run on the server.
    Closing {
        /// Whether the connection occupied one of the server's slots when the
        /// close was requested.
        uses_slot: bool,
    },
}

impl Connection {
    pub(crate) fn new(
        now: Instant,
        server: Key<Server>,
        team: Key<Team>,
        opening_uses_slot: bool,
    ) -> Self {
        Self {
            server,
            team,
            opening_uses_slot,
            opened_at: now,
            session: Session::New,
            evicted_for: None,
            work: Work::Opening,
            status: IDLE,
            owner: None,
            term: Term::default(),
            primary: false,
            service: None,
            paused: false,
        }
    }

    /// Whether the connection is being closed.
    pub(crate) fn is_closing(&self) -> bool {
        matches!(self.work, Work::Closing { .. })
    }

    /// Whether the connection occupies one of the server's slots. Reading the
    /// log position after a cycle needs no slot.
    pub(crate) fn uses_slot(&self) -> bool {
        let opens = self.work == Work::Opening && self.opening_uses_slot;
        opens
            || matches!(
                self.work,
                Work::Busy(_)
                    | Work::Sampling(_)
                    | Work::RollingBack(_)
                    | Work::Closing { uses_slot: true }
            )
    }
}

//! State of a request from arrival to end.

use std::collections::VecDeque;

use admit::Rank;
use base::prelude::*;
use bytes::Bytes;
use wire::data::{Class, End, Run};

use crate::conn::{Connection, IDLE, Owner};
use crate::event::{Cause, Front, Kind, Piece};
use crate::place::Flow;
use crate::server::Server;
use crate::service::Service;
use crate::teams::Team;

/// Maximum number of bytes of one answer that are held back.
pub(crate) const MAX_HELD_BYTES: usize = 1 << 20;

/// Length of the longest answer that may be an error and is held back for a read on a
/// replica.
const MAX_ERROR_BYTES: usize = 4 << 10;

/// The time reserved for running a request is at most the time from its arrival
/// to its deadline, divided by this number.
const MARGIN_DIVISOR: u32 = 10;

/// Queue that a request waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lane {
    /// Runs on the primary.
    Primary,
    /// Runs on the primary while [`Lane::Primary`] is empty.
    Spare,
    /// Runs on a replica.
    Replica,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waits for a sample or for a replica to catch up.
    Parked,
    /// Waits in a queue.
    Queued(Lane),
    /// Waits for a slot to continue its open transaction.
    Urgent(Key<Connection>),
    /// Waits for the next attempt.
    Backoff(Instant),
    /// Runs on a connection.
    Running(Key<Connection>),
    /// The cycle has ended; the log position after it is being read.
    Marking(Key<Connection>),
    /// The cycle has ended; a majority must confirm it.
    Acking,
    /// In doubt: the connection was lost or the primary was replaced during the
    /// attempt.
    Doubt,
    /// Ended; the rest of the answer is sent as the caller grants credit.
    Draining,
}

impl Stage {
    /// Name of the stage in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Parked => "parked",
            Self::Queued(_) => "queued",
            Self::Urgent(_) => "urgent",
            Self::Backoff(_) => "backoff",
            Self::Running(_) => "running",
            Self::Marking(_) => "marking",
            Self::Acking => "acking",
            Self::Doubt => "doubt",
            Self::Draining => "draining",
        }
    }
}

/// Request of a caller, from its arrival to its end.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the properties are independent")]
pub(crate) struct Request {
    pub(crate) front: Front,
    pub(crate) service: Key<Service>,
    pub(crate) team: Key<Team>,
    /// Priority among waiting requests.
    pub(crate) rank: Rank,
    /// Requests with which the capacity is shared fairly.
    pub(crate) flow: Flow,
    pub(crate) run: Run,
    pub(crate) class: Class,
    /// Mark that the session has seen and that the request must see.
    pub(crate) floor: Option<Mark>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) stage: Stage,
    /// Reason to count if the primary serves the read.
    pub(crate) cause: Cause,
    /// Number of attempts before the current one.
    pub(crate) tries: u32,
    /// Server on which an earlier attempt failed, which the next one avoids.
    pub(crate) avoided: Option<Key<Server>>,
    /// Whether a short answer is held back until the cycle ends, since the request may
    /// move to another server.
    pub(crate) may_move: bool,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
    /// Whether the caller or its front has disconnected.
    pub(crate) orphan: bool,
    /// Whether the request was admitted as a probe of the estimate of its run time, and is
    /// not refused in favour of others.
    pub(crate) probes: bool,
    /// Number of bytes of the answer that the caller still accepts.
    pub(crate) window: u64,
    /// Number of parts of the answer already sent.
    pub(crate) parts: u64,
    pub(crate) attempt: Attempt,
    pub(crate) end: Option<End>,
}

/// Time and result of the end of a cycle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Completion {
    pub(crate) at: Instant,
    /// Whether the server answered with an error.
    pub(crate) failed: bool,
}

/// One attempt to run a request on a server.
#[derive(Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) server: Option<Key<Server>>,
    /// Whether the server was considered the primary.
    pub(crate) primary: bool,
    /// Term of the server, or of the open transaction that the request belongs
    /// to.
    pub(crate) term: Term,
    /// Incarnation of the server when the attempt was sent.
    pub(crate) incarnation: u64,
    /// Index of the control log known when the attempt was sent.
    pub(crate) index: u64,
    pub(crate) sent_at: Instant,
    /// Last known position of the server before the attempt was sent.
    pub(crate) position_before: Position,
    /// Position of the primary after the cycle.
    pub(crate) mark_after: Option<Mark>,
    /// How the cycle ended; `None` until its end.
    pub(crate) completion: Option<Completion>,
    /// When the connection was lost, or when the mark after the cycle was found
    /// to be of another term.
    pub(crate) lost_at: Option<Instant>,
    /// Whether a COMMIT was completed, or a statement that may commit by itself.
    pub(crate) committed: bool,
    /// Whether the answer is released only after a majority holds `mark_after`.
    /// In an unfenced group: whether the server acknowledged a commit.
    pub(crate) durable: bool,
    /// If set, the answer is released only after a sample taken since this time
    /// confirms the term.
    pub(crate) verify_since: Option<Instant>,
    pub(crate) held: VecDeque<Bytes>,
    pub(crate) held_bytes: usize,
    /// Status byte that ended the cycle.
    pub(crate) status: u8,
    /// Mark that a read on a replica is certain to have seen.
    pub(crate) mark: Option<Mark>,
}

impl Request {
    pub(crate) fn new(
        now: Instant,
        front: Front,
        (service, team): (Key<Service>, Key<Team>),
        (rank, flow): (Rank, Flow),
        run: Run,
    ) -> Self {
        let class = Class::try_from(run.class).unwrap_or(Class::Write);
        Self {
            front,
            service,
            team,
            rank,
            flow,
            class,
            floor: run.floor.map(Mark::from),
            arrived: now,
            deadline: now + Duration::from_millis(run.deadline_ms),
            stage: Stage::Parked,
            cause: Cause::NoReplica,
            tries: 0,
            avoided: None,
            may_move: false,
            may_have_run: false,
            orphan: false,
            probes: false,
            window: run.window,
            parts: 0,
            attempt: Attempt { status: IDLE, ..Attempt::default() },
            end: None,
            run,
        }
    }

    pub(crate) fn owner(&self) -> Owner {
        (self.front, self.run.caller)
    }

    /// Whether the request may be sent to a replica.
    pub(crate) fn is_read(&self) -> bool {
        self.class == Class::Read && !self.run.in_transaction
    }

    /// Whether the request may have committed data. A request outside of a
    /// transaction may, whatever its declared class; within a transaction, only
    /// a request that is not declared as a read and commits.
    pub(crate) fn may_commit(&self) -> bool {
        let reads = self.run.in_transaction && self.class == Class::Read;
        !reads && (!self.run.in_transaction || self.run.commits || self.attempt.committed)
    }

    /// Whether the answer is held back from the first completed statement on.
    pub(crate) fn holds_answer(&self) -> bool {
        self.attempt.primary && (!self.run.in_transaction || self.run.commits)
    }

    /// Whether the last attempt ended with a server error.
    pub(crate) fn is_failed(&self) -> bool {
        self.attempt.completion.is_some_and(|completion| completion.failed)
    }

    /// Length of the period before the deadline in which the request is no
    /// longer sent. Based on the typical run time, but limited to a part of the
    /// request's own time to its deadline, so that slow statements of other
    /// callers do not use up a short deadline.
    pub(crate) fn margin(&self, typical: Duration) -> Duration {
        typical.min(self.deadline.since(self.arrived) / MARGIN_DIVISOR)
    }

    /// Whether the request must see all writes acknowledged before it arrived.
    pub(crate) fn is_fresh(&self) -> bool {
        self.run.fresh || (self.floor.is_none() && self.run.age_ms == 0)
    }

    /// Returns the time after which a sample must have been taken to satisfy
    /// the request, or `None` if only the session's floor matters.
    pub(crate) fn sampled_since(&self, now: Instant) -> Option<Instant> {
        if self.is_fresh() {
            return Some(self.arrived);
        }
        let age = Duration::from_millis(self.run.age_ms);
        (age > Duration::ZERO).then(|| now - age)
    }

    /// Whether the next piece of the answer is held back. After the first such
    /// piece, all further pieces are held back.
    pub(crate) fn holds_back(&self, piece: &Piece) -> bool {
        let attempt = &self.attempt;
        if !attempt.primary {
            // the end of the cycle tells whether the piece is an error, for which the read is
            // tried on another server
            let short = self.may_move && piece.bytes.len() <= MAX_ERROR_BYTES;
            return !attempt.held.is_empty() || (short && self.parts == 0);
        }
        let due = if self.holds_answer() { Kind::Complete } else { Kind::Commit };
        !attempt.held.is_empty() || piece.kind >= due
    }
}

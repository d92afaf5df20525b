//! Requests from when they come to when they end.

use std::collections::VecDeque;

use base::prelude::*;
use bytes::Bytes;
use wire::data::{Class, End, Run};

use crate::conn::{Connection, IDLE, Owner};
use crate::event::{Cause, Front, Kind, Piece};
use crate::server::Server;
use crate::service::Service;

/// Most bytes of one answer that are held back.
pub(crate) const MAX_HELD_BYTES: usize = 1 << 20;

/// Part of a request's time that is kept for its run at most.
const MARGIN_DIVISOR: u32 = 10;

/// Which queue a request stands in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lane {
    /// Runs on the primary.
    Primary,
    /// Runs on the primary when nothing of [`Lane::Primary`] waits.
    Spare,
    /// Runs on a replica.
    Replica,
}

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waits for a sample or for a replica to catch up.
    Parked,
    /// Waits for its turn.
    Queued(Lane),
    /// Waits for a slot, to go on with its transaction.
    Urgent(Key<Connection>),
    /// Waits before the next try.
    Backoff(Instant),
    /// Was sent.
    Running(Key<Connection>),
    /// Its cycle is over; the position after it is asked for.
    Marking(Key<Connection>),
    /// Its cycle is over; a majority must confirm.
    Acking,
    /// Its connection broke, or its primary was replaced, in the middle.
    Doubt,
    /// Its answer goes out as the caller takes it.
    Draining,
}

impl Stage {
    /// Its name in logs.
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

/// One request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) front: Front,
    pub(crate) service: Key<Service>,
    pub(crate) run: Run,
    pub(crate) class: Class,
    pub(crate) floor: Option<Mark>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) stage: Stage,
    pub(crate) cause: Cause,
    pub(crate) tries: u32,
    /// An earlier try may have run.
    pub(crate) may_have_run: bool,
    /// Nobody waits for its answer any more.
    pub(crate) orphan: bool,
    pub(crate) window: u64,
    pub(crate) parts: u64,
    pub(crate) attempt: Attempt,
    pub(crate) end: Option<End>,
}

/// The end of a cycle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Completion {
    pub(crate) at: Instant,
    /// Whether the server answered with an error.
    pub(crate) failed: bool,
}

/// One try of a request at a server.
#[derive(Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) server: Option<Key<Server>>,
    /// Whether the server was taken for the primary.
    pub(crate) primary: bool,
    /// Term and incarnation of the server as they were known.
    pub(crate) term: Term,
    pub(crate) incarnation: u64,
    /// Index of the control log that the group stood at.
    pub(crate) index: u64,
    pub(crate) sent_at: Instant,
    /// Last known position of the primary before it was sent.
    pub(crate) position_before: Position,
    /// Position of the primary after its cycle.
    pub(crate) mark_after: Option<Mark>,
    /// How its cycle ended, once it has.
    pub(crate) completion: Option<Completion>,
    /// When its connection broke.
    pub(crate) lost_at: Option<Instant>,
    /// Whether a COMMIT came.
    pub(crate) committed: bool,
    /// Whether it is released only once a majority holds `hi`.
    pub(crate) durable: bool,
    /// It is released only once a sample taken since then is verified.
    pub(crate) verify_since: Option<Instant>,
    pub(crate) held: VecDeque<Bytes>,
    pub(crate) held_bytes: usize,
    /// Status byte that closed the cycle.
    pub(crate) status: u8,
    /// What a read on a replica is sure to have seen.
    pub(crate) mark: Option<Mark>,
}

impl Request {
    pub(crate) fn new(now: Instant, front: Front, service: Key<Service>, run: Run) -> Self {
        let class = Class::try_from(run.class).unwrap_or(Class::Write);
        Self {
            front,
            service,
            class,
            floor: run.floor.map(Mark::from),
            arrived: now,
            deadline: now + Duration::from_millis(run.deadline_ms),
            stage: Stage::Parked,
            cause: Cause::NoReplica,
            tries: 0,
            may_have_run: false,
            orphan: false,
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

    /// Whether it goes through the choice of a replica.
    pub(crate) fn is_read(&self) -> bool {
        self.class == Class::Read && !self.run.within
    }

    /// Whether it may have committed something, whatever it was declared as.
    pub(crate) fn may_commit(&self) -> bool {
        let reads = self.run.within && self.class == Class::Read;
        !reads && (!self.run.within || self.run.commits || self.attempt.committed)
    }

    /// Whether its answer is held back from the first complete statement on.
    pub(crate) fn holds_answer(&self) -> bool {
        self.attempt.primary && (!self.run.within || self.run.commits)
    }

    /// Whether the last try ended with an error of the server.
    pub(crate) fn is_failed(&self) -> bool {
        self.attempt.completion.is_some_and(|over| over.failed)
    }

    /// Time before its deadline from which it is not worth sending, given the
    /// usual run time: slow statements of others take little of a short deadline.
    pub(crate) fn margin(&self, typical: Duration) -> Duration {
        typical.min(self.deadline.since(self.arrived) / MARGIN_DIVISOR)
    }

    /// Whether it must see all that was acknowledged before it came.
    pub(crate) fn is_fresh(&self) -> bool {
        self.run.fresh || (self.floor.is_none() && self.run.age_ms == 0)
    }

    /// Samples taken from then on are young enough; none if the floor is.
    pub(crate) fn sampled_since(&self, now: Instant) -> Option<Instant> {
        if self.is_fresh() {
            return Some(self.arrived);
        }
        let age = Duration::from_millis(self.run.age_ms);
        (age > Duration::ZERO).then(|| now - age)
    }

    /// Whether its answer's next piece is held back; once one is, all are.
    pub(crate) fn holds_back(&self, piece: &Piece) -> bool {
        let attempt = &self.attempt;
        if !attempt.primary {
            return false;
        }
        let due = if self.holds_answer() { Kind::Complete } else { Kind::Commit };
        !attempt.held.is_empty() || piece.kind >= due
    }
}

//! Inputs of the core.

use base::prelude::*;
use tokio::sync::{mpsc, oneshot};
use wire::control::{Follow, Heartbeat, Seal, Symptom};
use wire::log::{Announce, Command};
use wire::quorum::{Member, Members, Message, Refusal};

use crate::beacon::Beacon;
use crate::follower::Follower;
use crate::outbox::Outbox;
use crate::status::{Config, Status};

/// Length of the core's input queue.
pub(crate) const QUEUE_INPUTS: usize = 4_096;

/// Sender of inputs to the core.
pub(crate) type Sender = mpsc::Sender<Input>;

/// Input of the core.
#[derive(Debug)]
pub(crate) enum Input {
    /// A member dialled this one; `wants_to_join` if it has no leader and asks to join.
    Hello { member: Member, wants_to_join: bool },
    /// A message from another member.
    Message(Message),
    /// The write with this token and all earlier ones are durable.
    Persisted(u64),
    /// A beacon that another member published.
    Beacon(Beacon),
    /// The disk failed, so the member stops.
    DiskFailed(Report<journal::Failure>),
    /// The first membership, determined by this member.
    Bootstrap(Members),
    /// An entry asks to follow the log; the reply is dropped if the entry is refused.
    Follow { follow: Follow, outbox: Outbox, reply: oneshot::Sender<Key<Follower>> },
    /// A heartbeat of an entry.
    Heartbeat { key: Key<Follower>, heartbeat: Heartbeat },
    /// A keeper reported a symptom of a backend server.
    Symptom { key: Key<Follower>, symptom: Symptom },
    /// A keeper confirmed that it has ended its work for a group's earlier primaries.
    Seal { key: Key<Follower>, seal: Seal },
    /// An entry announced its planned stop.
    Leave { key: Key<Follower> },
    /// The link of an entry ended.
    Closed { key: Key<Follower> },
    /// A probe of a backend server completed.
    Probed(control::Event),
    /// A backend server announced itself.
    Announce { announce: Announce, reply: oneshot::Sender<Result<(), NoLeader>> },
    /// A backend server announced that it is permanently gone.
    Retire { server: Name, reply: oneshot::Sender<Completion> },
    /// A command proposed by an HTTP client or the hosting program.
    Propose { command: Command, reply: oneshot::Sender<Completion> },
    /// A membership change requested by an operator.
    Change { change: quorum::Change, reply: oneshot::Sender<Completion> },
    /// A request for the declarations, answered by a read that the quorum confirms.
    Config { reply: oneshot::Sender<Result<Config, NoLeader>> },
    /// A request for the status of this member.
    Status { reply: oneshot::Sender<Status> },
    /// A planned stop, which transfers leadership before the member ends.
    Stop,
}

/// Failure of a request because no leader is known or the leader was lost before it
/// answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NoLeader;

/// Result of a proposal.
#[derive(Clone, Debug)]
pub(crate) enum Completion {
    /// The command is committed and has been applied by this member.
    Applied { index: u64, outcome: control::Outcome },
    /// The membership change is committed.
    Changed { index: u64 },
    /// The proposal was dropped; `not_run` if it can't have been committed.
    Dropped { not_run: bool },
    /// The membership change was refused.
    Refused(Refusal),
}

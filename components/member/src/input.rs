//! All that reaches the core.

use base::prelude::*;
use tokio::sync::{mpsc, oneshot};
use wire::control::{Beat, Down, Follow, Seal, Symptom};
use wire::log::{Announce, Command};
use wire::quorum::{Member, Members, Message, Refusal};

use crate::beacon::Beacon;
use crate::follower::Follower;
use crate::status::{Config, Status};

/// Inputs that may wait.
pub(crate) const QUEUE: usize = 4_096;

/// The way into the core.
pub(crate) type Sender = mpsc::Sender<Input>;

/// What reaches the core.
#[derive(Debug)]
pub(crate) enum Input {
    /// A member dialled this one; `asks` when it has no leader and wants to join.
    Hello { member: Member, wants_to_join: bool },
    /// A message of a member.
    Message(Message),
    /// A write and all before it are durable.
    Persisted(u64),
    /// What a member published.
    Beacon(Beacon),
    /// The disk failed; the member ends.
    DiskFailed(Report<journal::Failure>),
    /// The first membership is known.
    Bootstrap(Members),
    /// An entry follows.
    Follow { follow: Follow, sender: mpsc::Sender<Down>, reply: oneshot::Sender<Key<Follower>> },
    /// An entry beats.
    Heartbeat { key: Key<Follower>, beat: Beat },
    /// A keeper saw something.
    Symptom { key: Key<Follower>, symptom: Symptom },
    /// A keeper sealed a group.
    Seal { key: Key<Follower>, seal: Seal },
    /// An entry stopped.
    Leave { key: Key<Follower> },
    /// An entry's link ended.
    Closed { key: Key<Follower> },
    /// A probe ended.
    Probed(control::Event),
    /// A backend server announced itself.
    Announce { announce: Announce, reply: oneshot::Sender<Result<(), NoLeader>> },
    /// A backend server said that it is gone for good.
    Retire { server: Name, reply: oneshot::Sender<Completion> },
    /// A command from outside.
    Propose { command: Command, reply: oneshot::Sender<Completion> },
    /// A change of membership from outside.
    Change { change: quorum::Change, reply: oneshot::Sender<Completion> },
    /// The declarations, by a confirmed read.
    Config { reply: oneshot::Sender<Result<Config, NoLeader>> },
    /// What this member knows.
    Status { reply: oneshot::Sender<Status> },
    /// A planned stop: hand over leadership, then end.
    Stop,
}

/// No leader is known, or it was lost before it answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NoLeader;

/// What became of a proposal.
#[derive(Clone, Debug)]
pub(crate) enum Completion {
    /// It is committed and applied here.
    Applied { index: u64, outcome: control::Outcome },
    /// The membership is committed.
    Changed { index: u64 },
    /// It was given up.
    Dropped { not_run: bool },
    /// A change of membership was refused.
    Refused(Refusal),
}

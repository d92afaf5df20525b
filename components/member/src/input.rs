//! All that reaches the core.

use base::prelude::*;
use tokio::sync::{mpsc, oneshot};
use wire::control::{Down, Follow, Heartbeat, Seal, Symptom};
use wire::log::{Announce, Command};
use wire::quorum::{Member, Members, Message, Refusal};

use crate::beacon::Beacon;
use crate::follow::Follower;
use crate::status::{Config, Status};

/// Inputs that may wait.
pub(crate) const QUEUE: usize = 4_096;

/// The way into the core.
pub(crate) type Sender = mpsc::Sender<Input>;

/// What reaches the core.
#[derive(Debug)]
pub(crate) enum Input {
    /// A member dialled this one; `asks` when it has no leader and wants to join.
    Greeted { member: Member, asks: bool },
    /// A message of a member.
    Message(Message),
    /// A write and all before it are durable.
    Persisted(u64),
    /// What a member published.
    Beacon(Beacon),
    /// The disk failed; the member ends.
    Broken(Report<journal::Failure>),
    /// The first membership is known.
    Bootstrap(Members),
    /// An entry follows.
    Opened { follow: Follow, sender: mpsc::Sender<Down>, reply: oneshot::Sender<Key<Follower>> },
    /// An entry beats.
    Beat { key: Key<Follower>, beat: Heartbeat },
    /// A keeper saw something.
    Symptom { key: Key<Follower>, symptom: Symptom },
    /// A keeper sealed a group.
    Seal { key: Key<Follower>, seal: Seal },
    /// An entry stopped.
    Left { key: Key<Follower> },
    /// An entry's link ended.
    Closed { key: Key<Follower> },
    /// A probe ended.
    Probed(control::Event),
    /// A backend server announced itself.
    Announce { announce: Announce, reply: oneshot::Sender<Result<(), Unled>> },
    /// A backend server said that it is gone for good.
    Retire { server: Name, reply: oneshot::Sender<Verdict> },
    /// A command from outside.
    Propose { command: Command, reply: oneshot::Sender<Verdict> },
    /// A change of membership from outside.
    Change { change: quorum::Change, reply: oneshot::Sender<Verdict> },
    /// The declarations, by a confirmed read.
    Config { reply: oneshot::Sender<Result<Config, Unled>> },
    /// What this member knows.
    Status { reply: oneshot::Sender<Status> },
    /// A planned stop: hand over leadership, then end.
    Stop,
}

/// No leader is known, or it was lost before it answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Unled;

/// What became of a proposal.
#[derive(Clone, Debug)]
pub(crate) enum Verdict {
    /// It is committed and applied here.
    Applied { index: u64, outcome: control::Outcome },
    /// The membership is committed.
    Changed { index: u64 },
    /// It was given up.
    Dropped { not_run: bool },
    /// A change of membership was refused.
    Refused(Refusal),
}

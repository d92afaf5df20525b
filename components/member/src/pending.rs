//! Proposals and reads that wait for the quorum.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use control::Ask;
use quorum::{Change, Event};
use tokio::sync::oneshot;
use wire::Message as _;
use wire::control::{Confirm, down};
use wire::log::Command;
use wire::quorum::Heartbeat;

use crate::core::Core;
use crate::follower::Follower;
use crate::input::{Completion, NoLeader};
use crate::status::Config;

/// Largest number of proposals of clients that wait for a result. A further one is dropped
/// as not run, and the client tries again.
const MAX_PROPOSALS: usize = 256;

/// Reply channel of a proposal.
#[derive(Debug)]
pub(crate) struct Pending(oneshot::Sender<Completion>);

impl Pending {
    /// Whether the requester has stopped waiting.
    pub(crate) fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// A server of an unfenced group that is to become its primary.
#[derive(Clone, Debug)]
pub(crate) struct Designation {
    pub(crate) group: Name,
    pub(crate) server: Name,
    pub(crate) address: SocketAddr,
    pub(crate) ask: Ask,
    /// When the quorum was asked to confirm the leader.
    pub(crate) requested_at: Instant,
}

/// Purpose of a confirmed read: a linearizable read, for which a quorum confirms that
/// the leader still leads.
#[derive(Debug)]
pub(crate) enum Read {
    /// A heartbeat of an entry.
    Heartbeat { key: Key<Follower>, sequence: u64, heartbeat: Heartbeat },
    /// Leases that an entry returned in an earlier heartbeat that was not confirmed.
    ReturnedLeases { key: Key<Follower>, heartbeat: Heartbeat },
    /// A designation, which requires that a quorum confirms the leader first.
    Designate(Designation),
    /// A request for the declarations.
    Config(oneshot::Sender<Result<Config, NoLeader>>),
}

impl Core {
    /// Proposes a command and keeps the reply channel until the command completes.
    pub(crate) fn propose(&mut self, command: &Command, reply: oneshot::Sender<Completion>) {
        if self.proposals.len() >= MAX_PROPOSALS {
            drop(reply.send(Completion::Dropped { not_run: true }));
            return;
        }
        let token = self.next_token();
        self.proposals.insert(token, Pending(reply));
        let command = command.encode_to_vec().into();
        self.quorum_events.push_back(Event::Propose { token, command });
    }

    /// Proposes a membership change and keeps the reply channel until it completes.
    pub(crate) fn change(&mut self, change: Change, reply: oneshot::Sender<Completion>) {
        let token = self.next_token();
        self.proposals.insert(token, Pending(reply));
        self.quorum_events.push_back(Event::Change { token, change });
    }

    /// Sends the result of a proposal to its requester.
    pub(crate) fn resolve(&mut self, token: u64, completion: Completion) {
        if let Some(Pending(reply)) = self.proposals.remove(&token) {
            drop(reply.send(completion));
        }
    }

    /// Starts a confirmed read. The leader receives `note` in the same message.
    pub(crate) fn read(&mut self, read: Read, note: Option<Bytes>) {
        let token = self.next_token();
        self.reads.insert(token, read);
        self.quorum_events.push_back(Event::Read { token, note });
    }

    /// Handles a read that the quorum confirmed at an index.
    pub(crate) fn confirm(&mut self, token: u64, index: u64) {
        match self.reads.remove(&token) {
            Some(Read::Heartbeat { key, sequence, .. }) => {
                self.confirm_heartbeat(key, sequence, index);
            }
            Some(read @ Read::Config(_)) => {
                self.confirmed.push((index, read));
                self.answer_reads();
            }
            Some(Read::Designate(designation)) => self.designate(designation),
            Some(Read::ReturnedLeases { .. }) | None => {}
        }
    }

    /// Handles a read that the quorum did not confirm.
    pub(crate) fn reject_read(&mut self, token: u64) {
        match self.reads.remove(&token) {
            Some(Read::Config(reply)) => drop(reply.send(Err(NoLeader))),
            Some(
                Read::Heartbeat { key, heartbeat, .. } | Read::ReturnedLeases { key, heartbeat },
            ) => {
                self.retain_returned(key, heartbeat);
            }
            // the control leader requests the designation again if it still leads
            Some(Read::Designate(_)) | None => {}
        }
    }

    /// Answers the confirmed reads whose index has been applied.
    pub(crate) fn answer_reads(&mut self) {
        let applied = self.state.index;
        let (ready, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.confirmed).into_iter().partition(|(at, _)| *at <= applied);
        self.confirmed = waiting;
        for (_, read) in ready {
            if let Read::Config(reply) = read {
                drop(reply.send(Ok(Config::of(&self.state))));
            }
        }
    }

    fn confirm_heartbeat(&mut self, key: Key<Follower>, sequence: u64, index: u64) {
        self.meter.heartbeats_confirmed.inc();
        let lease_ms = control::lease::LEASE_DURATION.as_millis() as u64;
        let confirm = Confirm { sequence, index, lease_ms };
        self.await_index(key, index);
        self.send_down(key, down::Body::Confirm(confirm));
    }
}

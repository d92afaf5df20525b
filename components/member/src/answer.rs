//! Proposals and reads that somebody waits for.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use control::Ask;
use quorum::{Change, Event};
use tokio::sync::oneshot;
use wire::Message as _;
use wire::control::{Confirm, Down, down};
use wire::log::Command;
use wire::quorum::Heartbeat;

use crate::core::Core;
use crate::follow::Follower;
use crate::input::{Unled, Verdict};
use crate::status::Config;

/// Who waits for a proposal.
#[derive(Debug)]
pub(crate) struct Pending(oneshot::Sender<Verdict>);

impl Pending {
    /// Whether nobody waits any more.
    pub(crate) fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// A server to be designated.
#[derive(Clone, Debug)]
pub(crate) struct Designation {
    pub(crate) group: Name,
    pub(crate) server: Name,
    pub(crate) address: SocketAddr,
    pub(crate) ask: Ask,
}

/// Who waits for a confirmed read.
#[derive(Debug)]
pub(crate) enum Read {
    /// An entry's beat.
    Beat { key: Key<Follower>, sequence: u64, heartbeat: Heartbeat },
    /// Leases that an entry gave up in an earlier beat that was not confirmed.
    Returned { key: Key<Follower>, heartbeat: Heartbeat },
    /// A designation that needs a quorum behind it.
    Designate(Designation),
    /// The declarations.
    Config(oneshot::Sender<Result<Config, Unled>>),
}

impl Core {
    /// Proposes a command for somebody who waits.
    pub(crate) fn propose(&mut self, command: &Command, reply: oneshot::Sender<Verdict>) {
        let token = self.next_token();
        self.proposals.insert(token, Pending(reply));
        let command = command.encode_to_vec().into();
        self.due.push_back(Event::Propose { token, command });
    }

    /// Proposes a change of membership for somebody who waits.
    pub(crate) fn change(&mut self, change: Change, reply: oneshot::Sender<Verdict>) {
        let token = self.next_token();
        self.proposals.insert(token, Pending(reply));
        self.due.push_back(Event::Change { token, change });
    }

    /// Tells who waits what became of a proposal.
    pub(crate) fn resolve(&mut self, token: u64, verdict: Verdict) {
        if let Some(Pending(reply)) = self.proposals.remove(&token) {
            drop(reply.send(verdict));
        }
    }

    /// Asks for a confirmed read.
    pub(crate) fn read(&mut self, read: Read, note: Option<Bytes>) {
        let token = self.next_token();
        self.reads.insert(token, read);
        self.due.push_back(Event::Read { token, note });
    }

    /// A read is confirmed at an index.
    pub(crate) fn confirm(&mut self, token: u64, index: u64) {
        match self.reads.remove(&token) {
            Some(Read::Beat { key, sequence, .. }) => self.confirm_beat(key, sequence, index),
            Some(read @ Read::Config(_)) => {
                self.confirmed.push((index, read));
                self.answer_reads();
            }
            Some(Read::Designate(designation)) => self.designate(designation),
            Some(Read::Returned { .. }) | None => {}
        }
    }

    /// A read was not confirmed.
    pub(crate) fn unconfirm(&mut self, token: u64) {
        match self.reads.remove(&token) {
            Some(Read::Config(reply)) => drop(reply.send(Err(Unled))),
            Some(Read::Beat { key, heartbeat, .. } | Read::Returned { key, heartbeat }) => {
                self.keep_returned(key, heartbeat);
            }
            // the leader asks again, if it still leads
            Some(Read::Designate(_)) | None => {}
        }
    }

    /// Answers confirmed reads whose index is applied.
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

    fn confirm_beat(&mut self, key: Key<Follower>, sequence: u64, index: u64) {
        self.meter.confirmed.inc();
        let lease_ms = control::lease::LEASE_DURATION.as_millis() as u64;
        let confirm = Confirm { sequence, index, lease_ms };
        self.give(key, Down { body: Some(down::Body::Confirm(confirm)) });
    }
}

//! What the leading member decides.
//!
//! A leader is volatile: it is made anew at each election, and what it needs
//! to know beyond the state it learns again from beats, announcements and
//! probes. Its host feeds it events, proposes the commands that it asks for,
//! and carries out its probes.

use std::net::SocketAddr;

use base::prelude::*;
use wire::control::Symptom;
use wire::log::{Announce, Command, Join, command};

use crate::state::State;

/// Time between two [`Event::Tick`].
pub const TICK: Duration = Duration::from_millis(20);

/// Time that a host lets a server wait before it answers [`Ask::Status`] with
/// nothing new.
pub const STATUS_WAIT: Duration = Duration::from_millis(100);

/// A question to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Its report, once it changed or after [`STATUS_WAIT`].
    Status,
    /// Join a term without a primary.
    Fence(Term),
    /// Become the primary of the term that it was fenced at.
    Promote(Term),
    /// Copy from the primary of a term.
    Follow {
        /// The term.
        term: Term,
        /// Where its primary listens.
        primary: SocketAddr,
    },
}

/// Why a backend server did not answer a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Unreached {
    /// Nothing listens at its address.
    Refused,
    /// No answer in time, or the connection broke.
    Silent,
    /// It answered with an error, or with what can't be read.
    Rejected,
}

impl std::error::Error for Unreached {}

/// What a leader is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passed; due each [`TICK`].
    Tick,
    /// The state has applied a committed command.
    Applied {
        /// Index of the command.
        index: u64,
    },
    /// A backend server announced or renewed itself.
    Announced(Announce),
    /// An entry renewed its lease. Due before the beat is confirmed.
    Beat {
        /// The entry.
        entry: Name,
        /// Its incarnation.
        incarnation: u64,
        /// Last index that it had applied when it sent the beat.
        applied: u64,
        /// Groups whose returning lease it has given up.
        returned: Vec<Name>,
    },
    /// An entry asked to follow the log.
    Joined(Join),
    /// An entry stopped and holds no connection any more.
    Left {
        /// The entry.
        entry: Name,
        /// Its incarnation.
        incarnation: u64,
    },
    /// What a keeper sees of a group's primary.
    Symptom {
        /// The entry that keeps.
        entry: Name,
        /// What it sees.
        symptom: Symptom,
    },
    /// The end of a probe; each [`Effect::Probe`] has one.
    Probed {
        /// The group.
        group: Name,
        /// The server.
        server: Name,
        /// What was asked.
        ask: Ask,
        /// The server's report after it.
        result: Result<Status, Unreached>,
    },
}

/// What a leader wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append a command to the log.
    Propose(Command),
    /// Ask a backend server; the host reports the end of it.
    Probe {
        /// The group.
        group: Name,
        /// The server.
        server: Name,
        /// Where it listens.
        address: SocketAddr,
        /// What to ask.
        ask: Ask,
    },
}

impl Effect {
    pub(crate) fn propose(body: command::Body) -> Self {
        Self::Propose(Command { body: Some(body) })
    }
}

/// Decides for the control log while its member leads.
#[derive(Debug)]
pub struct Leader {
    began: Instant,
}

impl Leader {
    /// Makes the leader of a new term of the quorum.
    pub fn new(now: Instant) -> Self {
        Self { began: now }
    }

    /// When it began to lead.
    pub fn began(&self) -> Instant {
        self.began
    }

    /// Takes an event. `state` is what the member has applied.
    pub fn on(&mut self, _now: Instant, state: &State, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Joined(join) => out.push(Effect::propose(command::Body::Join(join))),
            Event::Announced(announce) if state.lacks(&announce) => {
                out.push(Effect::propose(command::Body::Announce(announce)));
            }
            _ => {}
        }
    }
}

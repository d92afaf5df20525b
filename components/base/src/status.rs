//! What a backend server says of itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::mark::{History, Mark, Position, Term};
use crate::name::Name;

/// The part that a backend server plays in its group.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Copies a primary.
    Replica,
}

/// One report of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The server's name.
    pub server: Name,
    /// Raised by each start of the server.
    pub incarnation: u64,
    /// Highest term the server has joined or was fenced at.
    pub term: Term,
    /// Term of the last record in its log.
    pub log_term: Term,
    /// Last position kept durably.
    pub received: Position,
    /// Last position that reads see.
    pub applied: Position,
    /// Part it plays at present.
    pub role: Role,
    /// Time since the primary was last heard of; zero on a primary.
    pub silence: Duration,
    /// Where the terms of its log began.
    pub history: History,
    /// Raised by each change of the report, within one incarnation.
    pub version: u64,
}

impl Status {
    /// Last record kept durably.
    pub fn last(&self) -> Mark {
        Mark { term: self.log_term, position: self.received }
    }

    /// Last record that reads see.
    pub fn applied_mark(&self) -> Mark {
        Mark { term: self.log_term, position: self.applied }
    }

    /// Whether the server keeps the record at `mark` durably, in the very term
    /// it was written in. A server fenced at a higher term counts no more.
    pub fn holds(&self, mark: Mark) -> bool {
        self.term == mark.term && self.log_term == mark.term && self.received >= mark.position
    }

    /// Whether reads on this server see all that was acknowledged up to `mark`.
    ///
    /// A server at a later term holds everything acknowledged in earlier ones,
    /// so what a later term cut off was never acknowledged and need not show.
    pub fn shows(&self, mark: Mark) -> bool {
        if self.log_term < mark.term {
            return false;
        }
        let cut = self.history.start_after(mark.term).map(|next| next.position);
        let needed = cut.map_or(mark.position, |cut| cut.min(mark.position));
        self.applied >= needed
    }
}

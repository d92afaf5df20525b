//! The status that a backend server reports.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::mark::{History, Mark, Position, Term};
use crate::name::Name;

/// Replication role of a backend server in its group.
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
    /// Server that accepts writes.
    Primary,
    /// Server that replicates from a primary.
    Replica,
}

/// A status report of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the server.
    pub server: Name,
    /// Incarnation of the server, raised by each start of it.
    pub incarnation: u64,
    /// Highest term that the server has joined or was fenced at.
    pub term: Term,
    /// Term of the last record in the server's log.
    pub log_term: Term,
    /// Last position that the server has stored durably.
    pub received: Position,
    /// Last position that is visible to reads on the server.
    pub applied: Position,
    /// Current replication role.
    pub role: Role,
    /// Time since the server last heard from its primary; zero on a primary.
    pub silence: Duration,
    /// Start of each term of the server's log.
    pub history: History,
    /// Version of the report, raised by each change of it within an incarnation.
    pub version: u64,
}

impl Status {
    /// Returns the mark of the last record that the server has stored durably.
    pub fn last(&self) -> Mark {
        Mark { term: self.log_term, position: self.received }
    }

    /// Returns the mark of the last record that is visible to reads.
    pub fn applied_mark(&self) -> Mark {
        Mark { term: self.log_term, position: self.applied }
    }

    /// Whether the server has stored the record at `mark` durably and is still in
    /// the term of that mark. A server fenced at a higher term no longer counts
    /// towards the acknowledgement of the record.
    pub fn holds(&self, mark: Mark) -> bool {
        self.term == mark.term && self.log_term == mark.term && self.received >= mark.position
    }

    /// Whether reads on this server see everything acknowledged up to `mark`.
    ///
    /// The log of a later term includes everything acknowledged in earlier terms,
    /// so records that a later term cut off were never acknowledged and need not
    /// be visible.
    pub fn shows(&self, mark: Mark) -> bool {
        if self.log_term < mark.term {
            return false;
        }
        let cut = self.history.start_after(mark.term).map(|next| next.position);
        let needed = cut.map_or(mark.position, |cut| cut.min(mark.position));
        self.applied >= needed
    }
}

//! Between an entry and a control member.
//!
//! The entry dials any member, names the last index it has applied, and from
//! then on is sent what is committed. It beats at a steady pace; a beat is
//! answered only with a quorum behind it, and the answer extends the entry's
//! lease, counted from when the beat was sent.

use crate::log::{Command, Join};
use crate::mark::Mark;

/// What an entry sends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Up {
    /// The message.
    #[prost(oneof = "up::Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<up::Body>,
}

/// The kinds of [`Up`].
pub mod up {
    /// One of an entry's messages.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Follow the log.
        #[prost(message, tag = "1")]
        Follow(super::Follow),
        /// Renew the lease.
        #[prost(message, tag = "2")]
        Beat(super::Beat),
        /// What a keeper sees of a group's primary.
        #[prost(message, tag = "3")]
        Symptom(super::Symptom),
        /// The entry is stopping and holds no connection any more.
        #[prost(message, tag = "4")]
        Leave(super::Leave),
        /// A keeper has ended its work for an earlier primary.
        #[prost(message, tag = "5")]
        Seal(super::Seal),
    }
}

/// Follows the log from an index on.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Follow {
    /// The entry.
    #[prost(message, optional, tag = "1")]
    pub join: Option<Join>,
    /// Last index that the entry has applied; zero when it has nothing.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
}

/// Renews a lease.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Beat {
    /// Number of the beat on this link.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Last index that the entry has applied.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
    /// Groups whose returning lease the entry has given up, all connections closed.
    #[prost(string, repeated, tag = "3")]
    pub returned: Vec<String>,
}

/// What a keeper sees of a server.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Condition {
    /// It answers and its replicas keep up.
    Healthy = 0,
    /// It refuses connections: the process is gone.
    Refused = 1,
    /// It does not answer.
    Silent = 2,
    /// It answers, but a majority of its replicas have lost it.
    CutOff = 3,
}

/// What a keeper sees of a group's primary; sent when it changes.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Symptom {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The server taken for its primary.
    #[prost(string, tag = "2")]
    pub server: String,
    /// Term of that primary.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// What is seen.
    #[prost(enumeration = "Condition", tag = "4")]
    pub condition: i32,
}

/// A keeper that has ended its work for the primaries before a term. It passes
/// on no answer of theirs any more.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Seal {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The term that is intended.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Highest mark that it has acknowledged to a caller; none if it has none.
    #[prost(message, optional, tag = "3")]
    pub mark: Option<Mark>,
    /// Index of the control log that it had applied when it sent that commit.
    #[prost(uint64, tag = "4")]
    pub index: u64,
}

/// An entry that stops.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Leave {}

/// What a member sends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Down {
    /// The message.
    #[prost(oneof = "down::Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<down::Body>,
}

/// The kinds of [`Down`].
pub mod down {
    /// One of a member's messages.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// A piece of the whole state, for an entry too far behind.
        #[prost(message, tag = "1")]
        Image(super::Image),
        /// Committed commands in order.
        #[prost(message, tag = "2")]
        Entries(super::Entries),
        /// A beat is confirmed.
        #[prost(message, tag = "3")]
        Confirm(super::Confirm),
        /// The member cannot serve: dial another.
        #[prost(message, tag = "4")]
        Refuse(super::Refuse),
        /// Where the members listen.
        #[prost(message, tag = "5")]
        Members(super::Members),
    }
}

/// A piece of the whole state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Image {
    /// Index that the state stands at.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Offset of the piece in bytes.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Length of the whole in bytes.
    #[prost(uint64, tag = "3")]
    pub length: u64,
    /// The piece.
    #[prost(bytes = "bytes", tag = "4")]
    pub bytes: bytes::Bytes,
}

/// Committed commands.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entries {
    /// The entries, in order.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
}

/// A committed command.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Its index.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The command; none where the log holds a mark of its own.
    #[prost(message, optional, tag = "2")]
    pub command: Option<Command>,
}

/// Confirms a beat.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Confirm {
    /// Number of the beat.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Index that was committed when the beat was confirmed. The lease is
    /// extended only once the entry has applied up to here.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Length of the lease in milliseconds, from when the beat was sent.
    #[prost(uint64, tag = "3")]
    pub lease_ms: u64,
}

/// Where the members of the quorum listen, for the next dial.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Members {
    /// IP number and port for links of each.
    #[prost(string, repeated, tag = "1")]
    pub links: Vec<String>,
}

/// A member that cannot serve.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Refuse {}

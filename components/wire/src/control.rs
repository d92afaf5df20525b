//! Messages between an entry and a control member.
//!
//! The entry dials any member and names the last index that it has applied; the
//! member then sends it what concerns it of the commands committed after that
//! ([`Update`]), or all commands if it asks for them. The entry sends
//! heartbeats ([`Heartbeat`]) at a fixed interval. The member confirms a heartbeat only
//! after a quorum has confirmed the leader, and the confirmation extends the entry's
//! lease, counted from the time at which the heartbeat was sent.

use crate::log::{Command, Join};
use crate::mark::Mark;

/// A message from an entry to a control member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Up {
    /// Body of the message.
    #[prost(oneof = "up::Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<up::Body>,
}

/// Variants of the body of [`Up`].
pub mod up {
    /// Body of a message from an entry.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Starts to follow the control log.
        #[prost(message, tag = "1")]
        Follow(super::Follow),
        /// Heartbeat that renews the entry's lease.
        #[prost(message, tag = "2")]
        Heartbeat(super::Heartbeat),
        /// Condition of a group's primary, as the entry's keeper observes it.
        #[prost(message, tag = "3")]
        Symptom(super::Symptom),
        /// The entry is stopping and no longer holds any connection.
        #[prost(message, tag = "4")]
        Leave(super::Leave),
        /// The entry's keeper has ended its work for an earlier primary.
        #[prost(message, tag = "5")]
        Seal(super::Seal),
    }
}

/// Starts to follow the control log after an index.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Follow {
    /// Description of the entry that follows the log. Entries always set the field; a
    /// member ignores a request without it.
    #[prost(message, optional, tag = "1")]
    pub join: Option<Join>,
    /// Last index that the entry has applied; zero when it has applied none.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
    /// Whether the member sends updates of what concerns the entry instead of all
    /// commands.
    #[prost(bool, tag = "3")]
    pub updates: bool,
    /// Version of the declarations that the entry has applied.
    #[prost(uint64, tag = "4")]
    pub version: u64,
}

/// A heartbeat that renews an entry's lease.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Sequence number of the heartbeat on this link.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Last index that the entry has applied.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
    /// Names of the groups whose revoked lease the entry has released, with all its
    /// connections closed.
    #[prost(string, repeated, tag = "3")]
    pub returned: Vec<String>,
}

/// Condition of a server, as a keeper observes it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Condition {
    /// None of the other conditions is observed.
    Healthy = 0,
    /// The server refuses connections: its process is gone.
    Refused = 1,
    /// The server does not answer.
    Silent = 2,
    /// The server answers, but a majority of its replicas have lost contact with it or,
    /// in an unfenced group, a commit on it has stalled.
    CutOff = 3,
}

/// Condition of a group's primary, sent whenever the condition changes.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Symptom {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Name of the server that the keeper considers the primary.
    #[prost(string, tag = "2")]
    pub server: String,
    /// Term of that primary.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Observed condition, as a [`Condition`].
    #[prost(enumeration = "Condition", tag = "4")]
    pub condition: i32,
}

/// Confirms that a keeper has ended its work for all primaries of earlier terms and
/// no longer passes on any answer of theirs. Sent only for unfenced groups, whose
/// servers can't be fenced at a new term.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Seal {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Term of the failover that has begun; all earlier terms are sealed.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Highest mark that the keeper has acknowledged to a caller, if any.
    #[prost(message, optional, tag = "3")]
    pub mark: Option<Mark>,
    /// Index of the control log that the keeper had applied when it sent the commit
    /// of that mark; zero without a mark.
    #[prost(uint64, tag = "4")]
    pub index: u64,
}

/// Announces that the entry is stopping.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Leave {}

/// A message from a control member to an entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Down {
    /// Body of the message.
    #[prost(oneof = "down::Body", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<down::Body>,
}

/// Variants of the body of [`Down`].
pub mod down {
    /// Body of a message from a control member.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// A piece of the whole control state, for an entry that needs commands which the
        /// log no longer contains.
        #[prost(message, tag = "1")]
        Image(super::Image),
        /// Committed commands, in log order.
        #[prost(message, tag = "2")]
        Entries(super::Entries),
        /// Confirmation of a heartbeat.
        #[prost(message, tag = "3")]
        Confirm(super::Confirm),
        /// The member can't serve the entry, which must dial another member.
        #[prost(message, tag = "4")]
        Refuse(super::Refuse),
        /// Addresses of all members.
        #[prost(message, tag = "5")]
        Members(super::Members),
        /// What concerns the entry of the changes between two indexes.
        #[prost(message, tag = "6")]
        Update(super::Update),
    }
}

/// A piece of the whole control state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Image {
    /// Last log index included in the state.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Offset of the piece in bytes.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Length of the whole state in bytes.
    #[prost(uint64, tag = "3")]
    pub length: u64,
    /// Content of the piece.
    #[prost(bytes = "bytes", tag = "4")]
    pub bytes: bytes::Bytes,
    /// Whether the state lacks what concerns only this entry. The next [`Update`]
    /// completes the state, which must not be used before.
    #[prost(bool, tag = "5")]
    pub partial: bool,
}

/// What concerns an entry of the changes between two indexes of the control log. The
/// result is the same for an entry whose state is at `base` or at a later index.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Update {
    /// Index that the entry must have reached.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// Index that the entry has reached with the update.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The changes, as encoded by `control::update`; empty if none concerns the entry.
    #[prost(bytes = "bytes", tag = "3")]
    pub content: bytes::Bytes,
    /// The changes, compressed by [`crate::pack`], if that is shorter; `content` is empty
    /// then.
    #[prost(bytes = "bytes", tag = "4")]
    pub packed: bytes::Bytes,
}

/// Committed commands.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entries {
    /// Log entries, in log order.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
}

/// A committed entry of the control log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Index of the log entry.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Command of the log entry; none for an entry that the quorum wrote for itself:
    /// the first entry of a new leader, or a change of membership.
    #[prost(message, optional, tag = "2")]
    pub command: Option<Command>,
}

/// Confirms a heartbeat.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Confirm {
    /// Sequence number of the heartbeat.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Index that was committed when the heartbeat was confirmed. The lease is
    /// extended only once the entry has applied the log up to this index.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Duration of the lease in milliseconds, from the time at which the heartbeat was
    /// sent.
    #[prost(uint64, tag = "3")]
    pub lease_ms: u64,
}

/// Addresses of the members of the quorum, for the entry's next dial.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Members {
    /// IP address and port of each member for links.
    #[prost(string, repeated, tag = "1")]
    pub links: Vec<String>,
}

/// Announces that the member can't serve the entry.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Refuse {}

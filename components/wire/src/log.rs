//! Commands of the control log.
//!
//! Members apply commands once committed, and entries follow the same log and apply
//! them by the same code, so that both hold the same state. Applying a command is
//! deterministic: the result depends on no clock and no other host.

use crate::mark::Mark;
use crate::pack;

/// A command of the control log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Command {
    /// Body of the command.
    #[prost(oneof = "command::Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<command::Body>,
}

/// Variants of the body of [`Command`].
pub mod command {
    /// Body of a command.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Changes the declarations.
        #[prost(message, tag = "1")]
        Configure(super::Configure),
        /// A backend server announced a change of its description.
        #[prost(message, tag = "2")]
        Announce(super::Announce),
        /// A backend server stopped announcing itself, or left for good.
        #[prost(message, tag = "3")]
        Expire(super::Expire),
        /// An entry started.
        #[prost(message, tag = "4")]
        Join(super::Join),
        /// An entry stopped, or its lease expired.
        #[prost(message, tag = "5")]
        Leave(super::Leave),
        /// Shares of a group's connections are granted or revoked.
        #[prost(message, tag = "6")]
        Assign(super::Assign),
        /// A failover begins.
        #[prost(message, tag = "7")]
        Intend(super::Intend),
        /// The new primary is chosen: in a fenced group after a majority of the servers was
        /// fenced, in an unfenced group after each lease was sealed or has ended.
        #[prost(message, tag = "8")]
        Choose(super::Choose),
        /// The new primary leads its group.
        #[prost(message, tag = "9")]
        Establish(super::Establish),
        /// An operator drains or resumes an entry.
        #[prost(message, tag = "10")]
        Drain(super::Drain),
        /// Replaces the declarations by a complete edition.
        #[prost(message, tag = "11")]
        Replace(super::Replace),
        /// Another server holds what the primary of a group may have held alone.
        #[prost(message, tag = "12")]
        Cover(super::Cover),
    }
}

/// Changes the operators' declarations of services and groups, if the change is based
/// on the current version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Configure {
    /// Id of the change, chosen by the client; a retry with the same id gets the
    /// first answer.
    #[prost(string, tag = "1")]
    pub change: String,
    /// Version of the configuration that the change is based on.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Complete declarations as one canonical text; empty if a patch is given.
    #[prost(string, tag = "3")]
    pub content: String,
    /// Text of a patch to the base version.
    #[prost(string, tag = "4")]
    pub patch: String,
}

/// Replaces the declarations by a complete edition, if that edition is the newest.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Replace {
    /// Number of the edition, chosen by the client; the highest number takes effect.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// Complete declarations as one canonical text, compressed by [`pack`].
    #[prost(bytes = "bytes", tag = "4")]
    pub content: bytes::Bytes,
    /// Original document of the declarations, compressed by [`pack`], which is shown
    /// to clients unchanged and not sent to entries.
    #[prost(bytes = "bytes", tag = "5")]
    pub document: bytes::Bytes,
}

impl Replace {
    /// Creates the command for an edition and compresses both texts.
    pub fn new(edition: u64, content: &str, document: &[u8]) -> Self {
        Self { edition, content: pack::pack(content.as_bytes()), document: pack::pack(document) }
    }
}

/// A label of a backend server.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Label {
    /// Key of the label.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value of the label.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// The description of a backend server, as the server announced it.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Announce {
    /// Name of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Incarnation of the server, raised by each start of it; a higher incarnation
    /// replaces a lower one.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Name of the group that the server belongs to.
    #[prost(string, tag = "3")]
    pub group: String,
    /// IP address and port for statements.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Availability zone of the server.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// Labels of the server, sorted by key.
    #[prost(message, repeated, tag = "6")]
    pub labels: Vec<Label>,
    /// Maximum number of connections that the server accepts.
    #[prost(uint32, tag = "7")]
    pub connections: u32,
    /// Maximum number of statements that the server runs concurrently.
    #[prost(uint32, tag = "8")]
    pub slots: u32,
    /// Whether the server is leaving and must receive no new work.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
    /// Whether the server considers itself the primary of its group; false if the
    /// server doesn't report this.
    #[prost(bool, tag = "10")]
    pub primary: bool,
    /// Sequence number of the announcement within the incarnation, or zero if the
    /// server doesn't report one; an announcement with a lower number is outdated.
    #[prost(uint64, tag = "11")]
    pub sequence: u64,
}

/// Records that a backend server is gone. A server that has a seat in its group (a place
/// among the declared number of servers, over which a majority is counted) stays in the
/// control state, marked as expired, unless `left` is set.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Expire {
    /// Name of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Incarnation that is gone; another incarnation is unaffected.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether the server announced that it is gone permanently, and so loses its
    /// seat in the group.
    #[prost(bool, tag = "3")]
    pub left: bool,
}

/// The description of an entry, sent when the entry starts.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Join {
    /// Name of the entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Incarnation of the entry, raised by each start of it.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// IP address and port of the entry's keeper.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Availability zone of the entry.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// IP address and port of the entry's web server; empty if not reported.
    #[prost(string, tag = "5")]
    pub web: String,
    /// Whether the host starts an entry only after the previous process has ended, so
    /// that earlier incarnations of the entry are known to be gone.
    #[prost(bool, tag = "6")]
    pub sole: bool,
    /// Capacity of the entry's host relative to that of others; zero counts as one.
    #[prost(uint32, tag = "7")]
    pub weight: u32,
}

/// Removes an entry that is gone.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Leave {
    /// Name of the entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Incarnation that is gone; a later incarnation is kept.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether the leases of the incarnation are certainly over: the entry has left,
    /// its process has ended, or enough time has passed. Otherwise an incarnation
    /// that held leases counts as a possible holder until a command with `over` set.
    #[prost(bool, tag = "3")]
    pub over: bool,
}

/// An entry's share of one server.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Share {
    /// Name of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Maximum number of connections that the entry may hold.
    #[prost(uint32, tag = "2")]
    pub connections: u32,
    /// Maximum number of statements that the entry may run concurrently.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
}

/// An entry's lease on one group.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Lease {
    /// Name of the entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Incarnation of the entry that holds the lease.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Shares of the entry, one for each server.
    #[prost(message, repeated, tag = "3")]
    pub shares: Vec<Share>,
    /// Whether the lease is being revoked: the entry finishes running requests,
    /// accepts no new ones, and closes its connections.
    #[prost(bool, tag = "4")]
    pub returning: bool,
}

/// Sets all leases on one group.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Assign {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Generation of the group that the assignment is based on; an assignment based on
    /// an outdated generation is refused.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Leases on the group, at most one for each entry.
    #[prost(message, repeated, tag = "3")]
    pub leases: Vec<Lease>,
}

/// Begins a failover.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Intend {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Term of the new primary, higher than all earlier terms of the group. The servers
    /// of a fenced group are fenced at this term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// Records the choice of a new primary.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Choose {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Term of the failover, as in [`Intend`].
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Name of the server to promote.
    #[prost(string, tag = "3")]
    pub server: String,
    /// Mark of the last record in the server's log when the server was fenced or, in an
    /// unfenced group, reported its position.
    #[prost(message, optional, tag = "4")]
    pub start: Option<Mark>,
    /// Incarnation of the server that reported its position; zero in a fenced group.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Term that the server reported as its own, which ends when the server is promoted; none
    /// in a fenced group.
    #[prost(uint64, optional, tag = "6")]
    pub reported_term: Option<u64>,
}

/// Records that the new primary leads: a majority of a fenced group follows it, or the
/// chosen server of an unfenced group reports that it leads.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Establish {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Established term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Name of the primary of that term.
    #[prost(string, tag = "3")]
    pub server: String,
}

/// Drains or resumes an entry at an operator's request.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Drain {
    /// Name of the entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Whether the entry is drained, which means that the entry is assigned no leases
    /// and reports that it is not ready for callers; false resumes the entry.
    #[prost(bool, tag = "2")]
    pub on: bool,
}

/// Records that another server of an unfenced group holds all records that its primary may
/// have held alone, since a log left the group or since the primary took over.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Cover {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Index of the command since which the primary may have held records alone.
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

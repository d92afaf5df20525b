//! Commands of the control log.
//!
//! Members apply them once committed, and entries follow the same log, so that
//! both hold the same state by the same code. Everything here is decided:
//! applying a command asks no clock and no other host.

use crate::mark::Mark;
use crate::pack;

/// One entry of the control log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Command {
    /// The command.
    #[prost(oneof = "command::Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<command::Body>,
}

/// The kinds of [`Command`].
pub mod command {
    /// One command.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Replace the declarations.
        #[prost(message, tag = "1")]
        Configure(super::Configure),
        /// A backend server announced something new of itself.
        #[prost(message, tag = "2")]
        Announce(super::Announce),
        /// A backend server stopped announcing itself.
        #[prost(message, tag = "3")]
        Expire(super::Expire),
        /// An entry started.
        #[prost(message, tag = "4")]
        Join(super::Join),
        /// An entry left, or its lease ran out.
        #[prost(message, tag = "5")]
        Leave(super::Leave),
        /// Shares of a group's connections are granted or taken back.
        #[prost(message, tag = "6")]
        Assign(super::Assign),
        /// A failover begins.
        #[prost(message, tag = "7")]
        Intend(super::Intend),
        /// The new primary is chosen, after a majority was fenced.
        #[prost(message, tag = "8")]
        Choose(super::Choose),
        /// A majority of the group has followed the new primary.
        #[prost(message, tag = "9")]
        Establish(super::Establish),
        /// An operator drains or resumes an entry.
        #[prost(message, tag = "10")]
        Drain(super::Drain),
        /// Replace the declarations by a whole edition.
        #[prost(message, tag = "11")]
        Replace(super::Replace),
    }
}

/// Replaces the declarations.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Configure {
    /// Id of the change, chosen by who asks; a repeat gets the first answer.
    #[prost(string, tag = "1")]
    pub change: String,
    /// Version of the configuration that the change starts from.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// The whole declarations, as one canonical text; empty where a patch is
    /// given.
    #[prost(string, tag = "3")]
    pub content: String,
    /// The text of a patch on the base.
    #[prost(string, tag = "4")]
    pub patch: String,
}

/// Replaces the declarations by a whole edition, if that is the newest.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Replace {
    /// Number of the edition, chosen by who sends it; the highest is in force.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// The whole declarations, as one canonical text, packed.
    #[prost(bytes = "bytes", tag = "4")]
    pub content: bytes::Bytes,
    /// The document that they were read from, to be shown as it came, packed.
    /// Entries don't get it.
    #[prost(bytes = "bytes", tag = "5")]
    pub document: bytes::Bytes,
}

impl Replace {
    /// Packs an edition.
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

/// A backend server as it announced itself.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Announce {
    /// The server's name.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Raised by each start of the server; a higher one replaces a lower one.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Group that it belongs to.
    #[prost(string, tag = "3")]
    pub group: String,
    /// IP number and port for statements.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Availability zone.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// Labels, sorted by key.
    #[prost(message, repeated, tag = "6")]
    pub labels: Vec<Label>,
    /// Connections that it accepts in all.
    #[prost(uint32, tag = "7")]
    pub connections: u32,
    /// Statements that it runs at once.
    #[prost(uint32, tag = "8")]
    pub slots: u32,
    /// Whether it is leaving and must get no new work.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
    /// Whether it takes itself for the primary of its group, where it tells.
    #[prost(bool, tag = "10")]
    pub primary: bool,
    /// Number of the announcement within the incarnation, where it tells; a
    /// lower one is late.
    #[prost(uint64, tag = "11")]
    pub sequence: u64,
}

/// A backend server that is gone.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Expire {
    /// The server's name.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Incarnation that is gone; a later one stays.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether it said that it is gone for good, and loses its seat.
    #[prost(bool, tag = "3")]
    pub left: bool,
}

/// An entry that started.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Join {
    /// The entry's name.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Raised by each start of the entry.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// IP number and port of its keeper.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// IP number and port of its web server; empty when it told none.
    #[prost(string, tag = "5")]
    pub web: String,
    /// Whether its host starts an entry only after the earlier one has ended, so
    /// that its earlier incarnations are known to be gone.
    #[prost(bool, tag = "6")]
    pub sole: bool,
    /// How much its host can carry beside others; zero counts as one.
    #[prost(uint32, tag = "7")]
    pub weight: u32,
}

/// An entry that is gone.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Leave {
    /// The entry's name.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Incarnation that is gone; a later one stays.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether its lease is over for certain: it left, its process has ended, or
    /// enough time has passed.
    #[prost(bool, tag = "3")]
    pub over: bool,
}

/// An entry's share of one server.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Share {
    /// The server's name.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Connections that the entry may hold.
    #[prost(uint32, tag = "2")]
    pub connections: u32,
    /// Statements that the entry may run at once.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
}

/// An entry's lease on one group.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Lease {
    /// The entry's name.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Incarnation of the entry that holds it.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Shares, by server.
    #[prost(message, repeated, tag = "3")]
    pub shares: Vec<Share>,
    /// Whether it is being taken back: the entry finishes what runs, takes
    /// nothing new, and gives the connections up.
    #[prost(bool, tag = "4")]
    pub returning: bool,
}

/// All leases on one group.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Assign {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Generation that the planner started from; an older one is refused.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Leases, by entry.
    #[prost(message, repeated, tag = "3")]
    pub leases: Vec<Lease>,
}

/// A failover that begins.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Intend {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Term to fence at; it must pass each earlier term of the group.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// The choice of a new primary.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Choose {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The intended term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Server to promote.
    #[prost(string, tag = "3")]
    pub server: String,
    /// Last record of the server's log when it was fenced.
    #[prost(message, optional, tag = "4")]
    pub start: Option<Mark>,
}

/// A primary that a majority follows.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Establish {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Term that is established.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The primary of that term.
    #[prost(string, tag = "3")]
    pub server: String,
}

/// An operator's wish for an entry.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Drain {
    /// The entry's name.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Whether it is to keep no groups and take no callers.
    #[prost(bool, tag = "2")]
    pub on: bool,
}

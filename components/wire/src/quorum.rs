//! Control members among themselves.
//!
//! A link between members carries [`Hello`] once in each direction and then
//! [`Message`]s from the end that dialled. Loss, repetition and reordering of
//! messages are harmless.

use bytes::Bytes;

use crate::control::{Seal, Symptom};
use crate::log::{Announce, Join, Leave};

/// The first message of each end of a link.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Hello {
    /// The member as it knows itself.
    #[prost(message, optional, tag = "1")]
    pub member: Option<Member>,
    /// Whether it has no log and no membership yet.
    #[prost(bool, tag = "2")]
    pub fresh: bool,
    /// Whether it knows no leader and asks to be a member.
    #[prost(bool, tag = "3")]
    pub asks: bool,
    /// Whether it says that messages come, as long as some do.
    #[prost(bool, tag = "4")]
    pub confirms: bool,
}

/// A member of the quorum.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Member {
    /// Identity, drawn at random with the data folder.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Name of the host.
    #[prost(string, tag = "2")]
    pub name: String,
    /// IP number and port for links.
    #[prost(string, tag = "3")]
    pub link: String,
    /// IP number and port for HTTP.
    #[prost(string, tag = "4")]
    pub web: String,
    /// Whether it counts for the quorum; a learner only copies.
    #[prost(bool, tag = "5")]
    pub voter: bool,
    /// Where it publishes beacons, in its own [`Hello`] only.
    #[prost(string, tag = "6")]
    pub beacon: String,
}

/// The whole membership.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Members {
    /// Members, in the order they came.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

/// An entry of the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Its index; the first is one.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that wrote it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Member that proposed it; zero for none.
    #[prost(uint64, tag = "3")]
    pub origin: u64,
    /// Number of the proposal at that member.
    #[prost(uint64, tag = "4")]
    pub token: u64,
    /// What it says; none for the mark that a new leader writes.
    #[prost(oneof = "entry::Body", tags = "5, 6")]
    pub body: Option<entry::Body>,
}

/// The kinds of [`Entry`].
pub mod entry {
    /// What an entry says.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// An encoded command.
        #[prost(bytes = "bytes", tag = "5")]
        Command(bytes::Bytes),
        /// The membership from here on.
        #[prost(message, tag = "6")]
        Members(super::Members),
    }
}

/// A message from one member to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Sender.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Receiver; another one drops it.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Term of the sender; of a pre-vote, the term that it asks for.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// The message.
    #[prost(oneof = "message::Body", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17")]
    pub body: Option<message::Body>,
}

/// The kinds of [`Message`].
pub mod message {
    /// One message.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Asks whether a vote would be given.
        #[prost(message, tag = "4")]
        PreVote(super::Vote),
        /// Answers that.
        #[prost(message, tag = "5")]
        PreVoted(super::Voted),
        /// Asks for a vote.
        #[prost(message, tag = "6")]
        Vote(super::Vote),
        /// Answers that.
        #[prost(message, tag = "7")]
        Voted(super::Voted),
        /// Entries from the leader, or none as a heartbeat.
        #[prost(message, tag = "8")]
        Append(super::Append),
        /// Answers that.
        #[prost(message, tag = "9")]
        Appended(super::Appended),
        /// A piece of a snapshot.
        #[prost(message, tag = "10")]
        Install(super::Install),
        /// Answers that.
        #[prost(message, tag = "11")]
        Installed(super::Installed),
        /// The receiver is to campaign at once.
        #[prost(message, tag = "12")]
        Campaign(super::Campaign),
        /// Asks the leader for a confirmed read.
        #[prost(message, tag = "13")]
        Read(super::Read),
        /// Answers that.
        #[prost(message, tag = "14")]
        Confirmed(super::Confirmed),
        /// Passes a proposal on to the leader.
        #[prost(message, tag = "15")]
        Propose(super::Propose),
        /// The leader refuses a change of membership.
        #[prost(message, tag = "16")]
        Refused(super::Refused),
        /// What entries and backend servers told a member, for the leader.
        #[prost(message, tag = "17")]
        Forward(super::Forward),
    }
}

/// A candidate's log.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Vote {
    /// Index of its last entry.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// Term of its last entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
    /// Whether the leader asked it to campaign.
    #[prost(bool, tag = "3")]
    pub transfer: bool,
}

/// An answer to a candidate.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Voted {
    /// Whether it has the vote.
    #[prost(bool, tag = "1")]
    pub granted: bool,
}

/// Entries from the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Append {
    /// Index of the entry before the first.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// Last committed index.
    #[prost(uint64, tag = "3")]
    pub commit: u64,
    /// Heartbeat round; echoed.
    #[prost(uint64, tag = "4")]
    pub round: u64,
    /// The entries.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<Entry>,
}

/// An answer to [`Append`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Appended {
    /// Whether the entry before the first was found.
    #[prost(bool, tag = "1")]
    pub matched: bool,
    /// Last index that is the same and durable; if not matched, where to try.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The round.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// A piece of a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Install {
    /// Index of the last entry in the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Membership at that entry.
    #[prost(message, optional, tag = "3")]
    pub members: Option<Members>,
    /// Offset of the piece in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Length of the whole in bytes.
    #[prost(uint64, tag = "5")]
    pub length: u64,
    /// The piece.
    #[prost(bytes = "bytes", tag = "6")]
    pub bytes: Bytes,
}

/// An answer to [`Install`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Installed {
    /// Index of the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Offset that is needed next.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Whether the snapshot is in force and durable.
    #[prost(bool, tag = "3")]
    pub done: bool,
}

/// Tells a member to campaign at once.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Campaign {}

/// Asks the leader for a confirmed read on behalf of all that wait.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Read {
    /// Number of the batch.
    #[prost(uint64, tag = "1")]
    pub batch: u64,
    /// What the leader must have heard before it confirms.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub notes: Vec<Bytes>,
}

/// A confirmed read.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Confirmed {
    /// Number of the batch.
    #[prost(uint64, tag = "1")]
    pub batch: u64,
    /// Index that was committed when the read began.
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

/// A proposal on its way to the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Propose {
    /// Number of the proposal at the sender.
    #[prost(uint64, tag = "1")]
    pub token: u64,
    /// What is proposed.
    #[prost(oneof = "propose::Body", tags = "2, 3, 4")]
    pub body: Option<propose::Body>,
}

/// The kinds of [`Propose`].
pub mod propose {
    /// What is proposed.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// An encoded command.
        #[prost(bytes = "bytes", tag = "2")]
        Command(bytes::Bytes),
        /// Add a member: it learns, then votes.
        #[prost(message, tag = "3")]
        Add(super::Member),
        /// Remove the member with this id.
        #[prost(uint64, tag = "4")]
        Remove(u64),
    }
}

/// Why a change of membership is refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Refusal {
    /// Stands for a reason that this release does not know.
    Other = 0,
    /// Another change is not committed yet.
    Busy = 1,
    /// The leader has committed nothing in its own term yet.
    Early = 2,
    /// It is a member already.
    Known = 3,
    /// It is no member.
    Unknown = 4,
    /// The last voter stays.
    Last = 5,
    /// The voters that would be left and are heard are no quorum.
    Quorum = 6,
}

/// A refused change of membership.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Refused {
    /// Number of the proposal.
    #[prost(uint64, tag = "1")]
    pub token: u64,
    /// Why.
    #[prost(enumeration = "Refusal", tag = "2")]
    pub refusal: i32,
}

/// What entries and backend servers told a member, for the leader. Each part
/// is told again by its source, so that loss is harmless.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    /// Announcements of backend servers.
    #[prost(message, repeated, tag = "1")]
    pub announces: Vec<Announce>,
    /// Entries that left.
    #[prost(message, repeated, tag = "2")]
    pub leaves: Vec<Leave>,
    /// What keepers see.
    #[prost(message, repeated, tag = "3")]
    pub symptoms: Vec<Observed>,
    /// Keepers that ended their work for an earlier primary.
    #[prost(message, repeated, tag = "4")]
    pub seals: Vec<Sealed>,
    /// Hosts that ask to be members.
    #[prost(message, repeated, tag = "5")]
    pub newcomers: Vec<Member>,
}

/// A seal and whose it is.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Sealed {
    /// The entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The seal.
    #[prost(message, optional, tag = "3")]
    pub seal: Option<Seal>,
}

/// A symptom and who saw it.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Observed {
    /// The entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// What it saw.
    #[prost(message, optional, tag = "2")]
    pub symptom: Option<Symptom>,
}

/// A beat of an entry, as the leader must hear of it before it is confirmed.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Heartbeat {
    /// The entry.
    #[prost(message, optional, tag = "1")]
    pub join: Option<Join>,
    /// Last index that the entry has applied.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
    /// Groups whose lease it has given up.
    #[prost(string, repeated, tag = "3")]
    pub returned: Vec<String>,
    /// What it sees at present.
    #[prost(message, repeated, tag = "4")]
    pub symptoms: Vec<Symptom>,
    /// Its newest seal of each group.
    #[prost(message, repeated, tag = "5")]
    pub seals: Vec<Seal>,
}

//! Consensus messages between control members.
//!
//! A link between members carries one [`Hello`] in each direction and then
//! [`Message`]s from the dialer, whose arrival the acceptor confirms by empty
//! `Hello`s. Loss, duplication and reordering of messages are harmless.
//!
//! In this module, [`Entry`] is an entry of the log. The entries that send heartbeats,
//! symptoms and seals are proxy processes, which follow the log through a member.

use bytes::Bytes;

use crate::control::{Seal, Symptom};
use crate::log::{Announce, Join, Leave};

/// The first message of each end of a link, and a confirmation of received messages.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Hello {
    /// Description of the sender.
    #[prost(message, optional, tag = "1")]
    pub member: Option<Member>,
    /// Whether the sender has no log and no membership yet.
    #[prost(bool, tag = "2")]
    pub fresh: bool,
    /// Whether the sender asks to become a member: it has no log, or has had no leader
    /// for too long.
    #[prost(bool, tag = "3")]
    pub wants_to_join: bool,
    /// Whether the sender confirms received messages, by an empty `Hello` from time to
    /// time.
    #[prost(bool, tag = "4")]
    pub confirms: bool,
}

/// A member of the quorum.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Member {
    /// Random id, generated together with the data folder.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Name of the member's host.
    #[prost(string, tag = "2")]
    pub name: String,
    /// IP address and port for links.
    #[prost(string, tag = "3")]
    pub link: String,
    /// IP address and port for HTTP.
    #[prost(string, tag = "4")]
    pub web: String,
    /// Whether the member is a voter, which counts for the quorum; a learner only
    /// replicates the log.
    #[prost(bool, tag = "5")]
    pub voter: bool,
    /// Address at which the member publishes its progress over nng; set only in the
    /// member's own [`Hello`].
    #[prost(string, tag = "6")]
    pub beacon: String,
}

/// The membership of the quorum.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Members {
    /// Members, in the order in which they were added.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

/// An entry of the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Index of the entry; the first index is one.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that wrote the entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Id of the member that proposed the entry; zero for none.
    #[prost(uint64, tag = "3")]
    pub origin: u64,
    /// Number of the proposal at that member.
    #[prost(uint64, tag = "4")]
    pub token: u64,
    /// Content of the entry; none for the first entry that a new leader writes.
    #[prost(oneof = "entry::Body", tags = "5, 6")]
    pub body: Option<entry::Body>,
}

/// Variants of the body of [`Entry`].
pub mod entry {
    /// Content of an entry.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// An encoded command.
        #[prost(bytes = "bytes", tag = "5")]
        Command(bytes::Bytes),
        /// The membership from this entry on.
        #[prost(message, tag = "6")]
        Members(super::Members),
    }
}

/// A message from one member to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Id of the sender.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Id of the receiver; any other member drops the message.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Term of the sender; for a pre-vote, the term of the proposed election.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Body of the message.
    #[prost(oneof = "message::Body", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17")]
    pub body: Option<message::Body>,
}

/// Variants of the body of [`Message`].
pub mod message {
    /// Body of a message.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Asks whether the receiver would grant its vote.
        #[prost(message, tag = "4")]
        PreVote(super::Vote),
        /// Answer to [`Body::PreVote`].
        #[prost(message, tag = "5")]
        PreVoted(super::Voted),
        /// Asks for a vote.
        #[prost(message, tag = "6")]
        Vote(super::Vote),
        /// Answer to [`Body::Vote`].
        #[prost(message, tag = "7")]
        Voted(super::Voted),
        /// Entries from the leader; a heartbeat has none.
        #[prost(message, tag = "8")]
        Append(super::Append),
        /// Answer to [`Body::Append`].
        #[prost(message, tag = "9")]
        Appended(super::Appended),
        /// A piece of a snapshot from the leader.
        #[prost(message, tag = "10")]
        Install(super::Install),
        /// Answer to [`Body::Install`].
        #[prost(message, tag = "11")]
        Installed(super::Installed),
        /// Tells the receiver to campaign at once.
        #[prost(message, tag = "12")]
        Campaign(super::Campaign),
        /// Asks the leader for a confirmed read.
        #[prost(message, tag = "13")]
        Read(super::Read),
        /// Answer to [`Body::Read`].
        #[prost(message, tag = "14")]
        Confirmed(super::Confirmed),
        /// Forwards a proposal to the leader.
        #[prost(message, tag = "15")]
        Propose(super::Propose),
        /// Refusal of a membership change by the leader.
        #[prost(message, tag = "16")]
        Refused(super::Refused),
        /// Forwards reports of entries and backend servers to the leader.
        #[prost(message, tag = "17")]
        Forward(super::Forward),
    }
}

/// A candidate's request for a vote or pre-vote.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Vote {
    /// Index of the last entry in the candidate's log.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// Term of the last entry in the candidate's log.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
    /// Whether the leader told the candidate to campaign.
    #[prost(bool, tag = "3")]
    pub transfer: bool,
}

/// An answer to a candidate.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Voted {
    /// Whether the vote is granted.
    #[prost(bool, tag = "1")]
    pub granted: bool,
}

/// Entries from the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Append {
    /// Index of the log entry before the first of `entries`.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term of the log entry at `prev_index`.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// Last committed index.
    #[prost(uint64, tag = "3")]
    pub commit: u64,
    /// Heartbeat round, echoed in the answer.
    #[prost(uint64, tag = "4")]
    pub round: u64,
    /// Entries to append.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<Entry>,
}

/// An answer to [`Append`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Appended {
    /// Whether the receiver's log contains the entry at `prev_index` and `prev_term`.
    #[prost(bool, tag = "1")]
    pub matched: bool,
    /// If matched, the last index at which both logs agree and that is durable;
    /// otherwise the index at which the leader should try next.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Heartbeat round of the [`Append`].
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// A piece of a snapshot to install.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Install {
    /// Index of the last log entry in the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the last log entry in the snapshot.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Membership at the last log entry in the snapshot.
    #[prost(message, optional, tag = "3")]
    pub members: Option<Members>,
    /// Offset of the piece in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Length of the whole snapshot in bytes.
    #[prost(uint64, tag = "5")]
    pub length: u64,
    /// Content of the piece.
    #[prost(bytes = "bytes", tag = "6")]
    pub bytes: Bytes,
}

/// An answer to [`Install`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Installed {
    /// Index of the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Offset of the piece that the receiver needs next, in bytes.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Whether the snapshot is installed and durable.
    #[prost(bool, tag = "3")]
    pub done: bool,
}

/// Tells a member to campaign at once.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Campaign {}

/// Asks the leader for a confirmed read on behalf of all waiting reads of a member.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Read {
    /// Number of the batch of reads at the sender.
    #[prost(uint64, tag = "1")]
    pub batch: u64,
    /// Notes of the reads, each an encoded [`Heartbeat`], which the leader must process
    /// before it confirms the batch.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub notes: Vec<Bytes>,
}

/// Confirms a batch of reads.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Confirmed {
    /// Number of the batch of reads.
    #[prost(uint64, tag = "1")]
    pub batch: u64,
    /// Index that was committed when the reads began.
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

/// A proposal forwarded to the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Propose {
    /// Number of the proposal at the sender.
    #[prost(uint64, tag = "1")]
    pub token: u64,
    /// Content of the proposal.
    #[prost(oneof = "propose::Body", tags = "2, 3, 4")]
    pub body: Option<propose::Body>,
}

/// Variants of the body of [`Propose`].
pub mod propose {
    /// Content of a proposal.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// An encoded command.
        #[prost(bytes = "bytes", tag = "2")]
        Command(bytes::Bytes),
        /// Adds a member, first as a learner and then as a voter.
        #[prost(message, tag = "3")]
        Add(super::Member),
        /// Removes the member with this id.
        #[prost(uint64, tag = "4")]
        Remove(u64),
    }
}

/// Reason for which a membership change is refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Refusal {
    /// Reason that this release does not know.
    Other = 0,
    /// Another membership change is not committed yet, or a leadership transfer is in
    /// progress.
    Busy = 1,
    /// The leader has committed no entry of its own term yet, or the member does not
    /// lead.
    Early = 2,
    /// The host to add is already a member.
    Known = 3,
    /// The host to remove is not a member.
    Unknown = 4,
    /// The member to remove is the last voter.
    Last = 5,
    /// The remaining voters that are reachable would not form a quorum.
    Quorum = 6,
}

/// Refusal of a membership change.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Refused {
    /// Number of the proposal.
    #[prost(uint64, tag = "1")]
    pub token: u64,
    /// Reason, as a [`Refusal`].
    #[prost(enumeration = "Refusal", tag = "2")]
    pub refusal: i32,
}

/// Reports of entries, backend servers and new hosts that a member forwards to the
/// leader. A lost message is harmless: each source repeats its report, except for the
/// stop of an entry, which the leader notices by the missing heartbeats.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    /// Announcements of backend servers.
    #[prost(message, repeated, tag = "1")]
    pub announces: Vec<Announce>,
    /// Entries that have stopped.
    #[prost(message, repeated, tag = "2")]
    pub leaves: Vec<Leave>,
    /// Conditions of primaries that keepers observe.
    #[prost(message, repeated, tag = "3")]
    pub symptoms: Vec<Observed>,
    /// Seals of keepers that have ended their work for an earlier primary.
    #[prost(message, repeated, tag = "4")]
    pub seals: Vec<Sealed>,
    /// Hosts that ask to become members.
    #[prost(message, repeated, tag = "5")]
    pub newcomers: Vec<Member>,
}

/// A seal and the entry that sent it.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Sealed {
    /// Name of the entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Incarnation of the entry.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Seal of the entry's keeper.
    #[prost(message, optional, tag = "3")]
    pub seal: Option<Seal>,
}

/// A symptom and the entry that observed it.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Observed {
    /// Name of the entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Symptom observed by the entry's keeper.
    #[prost(message, optional, tag = "2")]
    pub symptom: Option<Symptom>,
}

/// A heartbeat of an entry, which the leader must process before the heartbeat is
/// confirmed to the entry.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Heartbeat {
    /// Description of the entry that sent the heartbeat. Members always set the field;
    /// the leader ignores a heartbeat without it.
    #[prost(message, optional, tag = "1")]
    pub join: Option<Join>,
    /// Last index that the entry has applied.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
    /// Names of the groups whose lease the entry has released.
    #[prost(string, repeated, tag = "3")]
    pub returned: Vec<String>,
    /// Symptoms that the entry's keeper observes at present.
    #[prost(message, repeated, tag = "4")]
    pub symptoms: Vec<Symptom>,
    /// Newest seal of the entry's keeper for each group.
    #[prost(message, repeated, tag = "5")]
    pub seals: Vec<Seal>,
}

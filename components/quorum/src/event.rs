//! Events, effects and settings of a replica.

use base::mechanism::Without;
use bytes::Bytes;
use wire::quorum::{Entry, Member, Members, Message, Refusal};

use crate::barrier::{Hard, Write};
use crate::log::Snapshot;
use crate::{BATCH_ENTRIES, KEPT_ENTRIES, PIECE_BYTES};

/// Deliberate violation of one rule of the protocol, with which tests verify that
/// their checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
pub enum Flaw {
    /// Sends messages before the writes they depend on are durable.
    Unsynced,
    /// Counts learners towards a quorum.
    Learner,
    /// Starts an election without a pre-vote.
    NoPreVote,
    /// Confirms reads without a heartbeat round.
    LocalRead,
    /// Commits entries of earlier terms by counting replicas.
    OldTerm,
}

/// Settings of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Id of the member; never zero.
    pub id: u64,
    /// Seed of the random timeouts; must differ at each start.
    pub seed: u64,
    /// Number of entries kept in memory before the index of a snapshot.
    pub kept_entries: u64,
    /// Maximum number of entries in one message.
    pub batch_entries: usize,
    /// Maximum length of a piece of a snapshot, in bytes.
    pub piece_bytes: usize,
    /// Maximum number of voters. Further learners are promoted only after a voter has left.
    pub max_voters: usize,
    /// Mechanisms that are turned off.
    pub without: Without,
    /// Rule to violate; set in tests only.
    pub flaw: Option<Flaw>,
}

impl Settings {
    /// Creates the default settings for a member with the given id and seed.
    pub fn new(id: u64, seed: u64) -> Self {
        Self {
            id,
            seed,
            kept_entries: KEPT_ENTRIES,
            batch_entries: BATCH_ENTRIES,
            piece_bytes: PIECE_BYTES,
            max_voters: usize::MAX,
            without: Without::default(),
            flaw: None,
        }
    }
}

/// State that the disk held at the start.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Hard state: the current term and the vote in that term.
    pub hard: Hard,
    /// Newest snapshot; the default value if there is none.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Input of a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Passage of time.
    Tick,
    /// Message from another member.
    Message(Message),
    /// Token of a write that is synced together with all earlier writes.
    Persisted(u64),
    /// Proposal of a command.
    Propose {
        /// Unique token of the proposal.
        token: u64,
        /// Encoded command.
        command: Bytes,
    },
    /// Proposal of a membership change.
    Change {
        /// Unique token of the proposal.
        token: u64,
        /// Requested change.
        change: Change,
    },
    /// Request for a linearizable read.
    Read {
        /// Unique token of the read.
        token: u64,
        /// Opaque bytes that are delivered to the leader before it confirms the read.
        note: Option<Bytes>,
    },
    /// Application state at an applied index, as a snapshot for log compaction.
    Compact {
        /// Index up to which the state includes the log.
        index: u64,
        /// Encoded application state.
        data: Bytes,
    },
    /// First membership, for an empty log.
    Bootstrap(Members),
    /// Request to transfer the leadership, because this member is about to stop.
    Transfer,
}

/// Change of the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Adds a member, as a learner until it has caught up. A member with the same
    /// name and another id is replaced by the new one.
    Add(Member),
    /// Removes the member with this id.
    Remove(u64),
}

/// Output of a replica, carried out by the program that embeds it.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write to the disk, in the order of the tokens.
    Persist(Write),
    /// Send a message to another member; delivery is not required.
    Send(Message),
    /// Apply a committed entry; entries arrive in the order of the log.
    Apply(Entry),
    /// Replace the application state by a snapshot.
    Restore(Snapshot),
    /// Confirmation of a read, which may be answered once the index is applied.
    Confirmed {
        /// Unique token of the read.
        token: u64,
        /// Index to apply before the read is answered.
        index: u64,
    },
    /// Failure of a read, which may be requested again.
    Unconfirmed {
        /// Unique token of the read.
        token: u64,
    },
    /// Note of a read, reported at the leader before the read is confirmed.
    Noted(Bytes),
    /// End of waiting for a proposal. Unless `not_run` is set, the proposal may have
    /// been committed or may still be.
    Dropped {
        /// Unique token of the proposal.
        token: u64,
        /// Whether the proposal is guaranteed never to reach the log.
        not_run: bool,
    },
    /// Refusal of a membership change.
    Refused {
        /// Unique token of the proposal.
        token: u64,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// Newest membership after a change, possibly not yet committed.
    Members(Members),
    /// Term, leader and role of the member, after one of them changed.
    Leadership(Leadership),
}

/// Leadership as one member knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// Current term of the member.
    pub term: u64,
    /// Id of the leader in this term, if the member knows one.
    pub leader: Option<u64>,
    /// Whether the member itself is the leader.
    pub leads: bool,
}

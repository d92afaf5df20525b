//! What happens to a replica, and what it wants done.

use bytes::Bytes;
use wire::quorum::{Entry, Member, Members, Message, Refusal};

use crate::hold::{Hard, Write};
use crate::log::Snapshot;
use crate::{BATCH_ENTRIES, KEPT_ENTRIES, PIECE_BYTES};

/// A deliberate break of one rule, by which tests check their own checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
pub enum Flaw {
    /// Answers before the disk does.
    Unsynced,
    /// Counts the copies and votes of learners.
    Learner,
    /// Raises the term without a pre-vote.
    NoPreVote,
    /// Confirms reads without a heartbeat round.
    LocalRead,
    /// Commits entries of earlier terms by counting copies.
    OldTerm,
}

/// Settings of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The member's id; not zero.
    pub id: u64,
    /// Seed of the timers' jitter; another one at each start.
    pub seed: u64,
    /// Entries kept in memory behind a snapshot.
    pub kept_entries: u64,
    /// Entries in one message.
    pub batch_entries: usize,
    /// Length of a piece of a snapshot in bytes.
    pub piece_bytes: usize,
    /// Learners beyond this many voters get no vote until a voter is gone.
    pub max_voters: usize,
    /// A rule to break, in tests only.
    pub flaw: Option<Flaw>,
}

impl Settings {
    /// The settings of a member but for its id and seed.
    pub fn new(id: u64, seed: u64) -> Self {
        Self {
            id,
            seed,
            kept_entries: KEPT_ENTRIES,
            batch_entries: BATCH_ENTRIES,
            piece_bytes: PIECE_BYTES,
            max_voters: usize::MAX,
            flaw: None,
        }
    }
}

/// What the disk held at the start.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Term and vote.
    pub hard: Hard,
    /// Newest snapshot; the default one stands for none.
    pub snapshot: Snapshot,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A message came.
    Message(Message),
    /// The write with this token and all before it are synced.
    Persisted(u64),
    /// A command is proposed, under a number of its own.
    Propose {
        /// The number.
        token: u64,
        /// The encoded command.
        command: Bytes,
    },
    /// A change of membership is proposed, under a number of its own.
    Change {
        /// The number.
        token: u64,
        /// The change.
        change: Change,
    },
    /// A confirmed read is asked for.
    Read {
        /// Number of the read.
        token: u64,
        /// What the leader must have heard before it confirms.
        note: Option<Bytes>,
    },
    /// The host's state at an applied index, to shorten the log with.
    Compact {
        /// The index.
        index: u64,
        /// The encoded state.
        data: Bytes,
    },
    /// A log without entries gets its first membership.
    Bootstrap(Members),
    /// The member stops soon: another is to lead.
    Transfer,
}

/// A change of membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Adds a member: a learner until it has caught up. A member of the same
    /// name and another id is replaced by it.
    Add(Member),
    /// Removes the member with this id.
    Remove(u64),
}

/// What the host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write to the disk, in order.
    Persist(Write),
    /// Send a message; it may be lost.
    Send(Message),
    /// Apply a committed entry; they come in order.
    Apply(Entry),
    /// Put a snapshot in place of the host's state.
    Restore(Snapshot),
    /// A read is confirmed: apply up to the index, then answer.
    Confirmed {
        /// Number of the read.
        token: u64,
        /// The index.
        index: u64,
    },
    /// A read is not confirmed; it may be asked again.
    Unconfirmed {
        /// Number of the read.
        token: u64,
    },
    /// A note that came with a read, at the leader, before it is confirmed.
    Noted(Bytes),
    /// A proposal is given up.
    Dropped {
        /// Number of the proposal.
        token: u64,
        /// Whether it surely never reaches the log.
        not_run: bool,
    },
    /// A change of membership is refused.
    Refused {
        /// Number of the proposal.
        token: u64,
        /// Why.
        refusal: Refusal,
    },
    /// The membership changed; it may not be committed yet.
    Members(Members),
    /// The member's part, or the leader that it knows, changed.
    Leadership(Leadership),
}

/// The part that a member plays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// Its term.
    pub term: u64,
    /// The leader it knows of.
    pub leader: Option<u64>,
    /// Whether it leads.
    pub leads: bool,
}

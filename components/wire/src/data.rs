//! Messages between a front and a keeper.
//!
//! One link carries the requests of many callers. A request is one cycle of the
//! callers' protocol: the client messages up to and including one Query or Sync,
//! answered by the server messages up to and including one ReadyForQuery. The link's
//! handshake identifies both processes and their incarnations, so the request number
//! alone identifies a request; a number is never reused on a link.

use crate::mark::Mark;

/// A message from a front to a keeper.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// Body of the message.
    #[prost(oneof = "ask::Body", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<ask::Body>,
}

/// Variants of the body of [`Ask`].
pub mod ask {
    /// Body of a message from a front.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Runs a request.
        #[prost(message, tag = "1")]
        Run(super::Run),
        /// Allows the keeper to send more of an answer.
        #[prost(message, tag = "2")]
        Credit(super::Credit),
        /// Cancels a running request on behalf of the caller.
        #[prost(message, tag = "3")]
        Cancel(super::Cancel),
        /// Ends the session of a caller that disconnected; an open transaction is
        /// rolled back.
        #[prost(message, tag = "4")]
        Leave(super::Leave),
        /// Announces that the front starts no new transactions on this link.
        #[prost(message, tag = "5")]
        Shutdown(super::Shutdown),
        /// Checks that the keeper is alive.
        #[prost(message, tag = "6")]
        Ping(super::Ping),
        /// Asks for tokens of teams.
        #[prost(message, tag = "7")]
        Borrow(super::Borrow),
    }
}

/// How a request may be routed and retried.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Class {
    /// Class of requests without a declaration: the request may write and runs at most
    /// once.
    Write = 0,
    /// The request may write, and may be retried once the previous attempt is known
    /// to be over.
    Idempotent = 1,
    /// Declared read-only: replicas may serve the request and it may be retried.
    Read = 2,
}

/// A request to run.
#[expect(clippy::struct_excessive_bools, reason = "fields of a message")]
#[derive(Clone, PartialEq, prost::Message)]
pub struct Run {
    /// Number of the request, unique on the link.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Number of the caller's session, unique within the front's incarnation.
    /// Requests of one session run one after another, and a transaction belongs to
    /// its session.
    #[prost(uint64, tag = "2")]
    pub caller: u64,
    /// Name of the service that the caller belongs to.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Name of the database group that runs the request.
    #[prost(string, tag = "4")]
    pub group: String,
    /// Class of the request, as a [`Class`].
    #[prost(enumeration = "Class", tag = "5")]
    pub class: i32,
    /// Whether the session holds an open transaction at this keeper.
    #[prost(bool, tag = "6")]
    pub in_transaction: bool,
    /// Last mark that the session has written or read; reads must include it.
    #[prost(message, optional, tag = "7")]
    pub floor: Option<Mark>,
    /// Whether reads must include everything that was acknowledged before this
    /// request arrived: set for a read that accepts no staleness and, in the
    /// PostgreSQL protocol, for a session without a floor.
    #[prost(bool, tag = "8")]
    pub fresh: bool,
    /// Staleness in milliseconds that a read accepts, unless `fresh` is set.
    #[prost(uint64, tag = "9")]
    pub age_ms: u64,
    /// Time in milliseconds for which a read may wait for a replica.
    #[prost(uint64, tag = "10")]
    pub patience_ms: u64,
    /// Time in milliseconds left before the caller's deadline.
    #[prost(uint64, tag = "11")]
    pub deadline_ms: u64,
    /// Client messages, in the form in which the backend server receives them.
    #[prost(bytes = "bytes", tag = "12")]
    pub payload: bytes::Bytes,
    /// Number of answer bytes that the keeper may send before it receives a [`Credit`].
    #[prost(uint64, tag = "13")]
    pub window: u64,
    /// Version of the configuration that admitted the request.
    #[prost(uint64, tag = "14")]
    pub version: u64,
    /// Trace id of the request in logs.
    #[prost(string, tag = "15")]
    pub trace: String,
    /// Whether the payload ends a transaction (COMMIT, END) or may end one.
    #[prost(bool, tag = "16")]
    pub commits: bool,
    /// Name of the caller's team; empty if callers have no team.
    #[prost(string, tag = "17")]
    pub team: String,
    /// Whether an earlier attempt at a keeper may have run, so that this one counts
    /// against the retry budget of the service.
    #[prost(bool, tag = "18")]
    pub repeats: bool,
}

/// Flow control: allows the keeper to send more of an answer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Credit {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Number of additional answer bytes that may be sent.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
}

/// Cancels a running request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Cancel {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
}

/// Ends a caller's session.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Leave {
    /// Number of the session.
    #[prost(uint64, tag = "1")]
    pub caller: u64,
}

/// Announces that the front starts no new transactions on this link; only requests
/// of open transactions follow. A front sends this message when it stops and as the
/// answer to [`Closing`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Shutdown {}

/// A message from a keeper to a front.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// Body of the message.
    #[prost(oneof = "answer::Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<answer::Body>,
}

/// Variants of the body of [`Answer`].
pub mod answer {
    /// Body of a message from a keeper.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// A part of an answer.
        #[prost(message, tag = "1")]
        Part(super::Part),
        /// The end of an answer.
        #[prost(message, tag = "2")]
        End(super::End),
        /// Announces that the keeper is stopping; new requests must go to another
        /// keeper.
        #[prost(message, tag = "3")]
        Closing(super::Closing),
        /// Answer to a ping.
        #[prost(message, tag = "4")]
        Pong(super::Pong),
        /// Answer to a request for tokens.
        #[prost(message, tag = "5")]
        Loan(super::Loan),
    }
}

/// A part of an answer, made of complete server messages.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Part {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Sequence number of the part, from zero; a gap or duplicate fails the request.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Server messages without the final ReadyForQuery.
    #[prost(bytes = "bytes", tag = "3")]
    pub payload: bytes::Bytes,
}

/// Outcome of a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Outcome {
    /// Outcome that this release does not know; never sent.
    Missing = 0,
    /// The request ran, and its commit, if any, is acknowledged by a majority of the
    /// group or, in an unfenced group, by the primary itself. A request whose statement
    /// failed is done too: the answer contains the server's error.
    Done = 1,
    /// The request did not run, or all its effects are known to be undone.
    NotRun = 2,
    /// The request may have run.
    Unknown = 3,
}

/// Reason for which a request was not run or its outcome is unknown.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Reason {
    /// No reason: the outcome is [`Outcome::Done`].
    None = 0,
    /// The service's queue is full.
    QueueFull = 1,
    /// The deadline would pass before the request could run.
    Deadline = 2,
    /// The entry holds no lease on the group, or the lease is being revoked.
    WrongKeeper = 3,
    /// The entry is stopping.
    Closing = 4,
    /// The entry's lease has expired because the entry lost contact with the control
    /// members.
    Lease = 5,
    /// No server of the group is available.
    Unavailable = 6,
    /// The primary was replaced before the commit was acknowledged.
    Replaced = 7,
    /// The connection to the backend server broke.
    Broken = 8,
    /// The transaction of the request no longer exists.
    TransactionGone = 9,
    /// No selector allows the service to use the group or the group's primary.
    Refused = 10,
    /// The answer exceeds the size that the keeper buffers until the outcome is known.
    TooLarge = 11,
    /// The caller cancelled the request.
    Cancelled = 12,
    /// The service's retry budget is exhausted.
    RetryBudget = 13,
    /// The quota of the caller's team is used up.
    Quota = 14,
}

/// The end of an answer, which is the last message of a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct End {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Number of parts sent before.
    #[prost(uint64, tag = "2")]
    pub parts: u64,
    /// Outcome of the request, as an [`Outcome`].
    #[prost(enumeration = "Outcome", tag = "3")]
    pub outcome: i32,
    /// Reason, as a [`Reason`], when the outcome is not [`Outcome::Done`].
    #[prost(enumeration = "Reason", tag = "4")]
    pub reason: i32,
    /// Transaction status from ReadyForQuery, as an ASCII byte: I, T or E.
    #[prost(uint32, tag = "5")]
    pub status: u32,
    /// Last mark that the session has now written or read in this group.
    #[prost(message, optional, tag = "6")]
    pub mark: Option<Mark>,
    /// Whether a replica served the request.
    #[prost(bool, tag = "7")]
    pub replica: bool,
    /// Time in milliseconds after which the request should be retried; zero if not
    /// specified.
    #[prost(uint64, tag = "8")]
    pub retry_after_ms: u64,
    /// Name of the server that ran the request; empty if none did.
    #[prost(string, tag = "9")]
    pub server: String,
}

/// Checks that a keeper is alive while requests are unanswered.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Ping {}

/// Confirms that a keeper is alive.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Pong {}

/// Announces that a keeper is stopping.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Closing {}

/// Asks a holder of the limits of teams for tokens out of its buckets. Each is answered
/// by a [`Loan`], in the order of the messages on the link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Borrow {
    /// Requested tokens.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<BorrowItem>,
    /// Name of the entry that sends the message; empty unless it has changed its shares.
    #[prost(string, tag = "2")]
    pub entry: String,
    /// Index of the control log up to which that entry has changed its shares.
    #[prost(uint64, tag = "3")]
    pub applied: u64,
}

/// Tokens of one team that are asked for.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct BorrowItem {
    /// Digest of the name of the team, which is shorter than the name.
    #[prost(fixed32, tag = "1")]
    pub team: u32,
    /// Number of tokens beyond the first.
    #[prost(uint32, tag = "2")]
    pub more: u32,
}

/// Answer to a [`Borrow`]. The tokens are no longer in the lender's buckets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loan {
    /// Lent tokens, for each item of the request.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<LoanItem>,
    /// Index of the control log up to which the lender has changed its shares; zero unless
    /// the request names an entry.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
}

/// Tokens of one team that are lent.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct LoanItem {
    /// Number of tokens; zero if the holder has none to lend.
    #[prost(uint32, tag = "1")]
    pub tokens: u32,
    /// Tokens that the holder could still lend, in tenths.
    #[prost(uint32, tag = "2")]
    pub left_tenths: u32,
}

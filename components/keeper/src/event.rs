//! Events that the driver feeds to a group, and effects that the group requests
//! from the driver.

use std::net::SocketAddr;
use std::sync::Arc;

use base::mechanism::Without;
use base::prelude::*;
use bytes::Bytes;
use config::{Declarations, Labels};
use plain::ErrorKind;
use wire::control::Symptom;
use wire::data::{End, Outcome, Part, Reason, Run};

use crate::conn::Connection;

/// Identifies a link to the front half of an entry. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Front(pub u64);

/// An event that the driver passes to a group.
#[derive(Clone, Debug)]
pub enum Event {
    /// A front requests the execution of one cycle: client messages that the
    /// server answers up to one ReadyForQuery.
    Run {
        /// Front that sent the request.
        front: Front,
        /// Request to run.
        run: Run,
    },
    /// A front accepts more bytes of an answer.
    Credit {
        /// Front that grants the credit.
        front: Front,
        /// Number of the request.
        request: u64,
        /// Additional bytes that may be sent.
        bytes: u64,
    },
    /// A caller cancels a request.
    Cancel {
        /// Front of the caller.
        front: Front,
        /// Number of the request.
        request: u64,
    },
    /// A caller has disconnected.
    Leave {
        /// Front of the caller.
        front: Front,
        /// Session number of the caller.
        caller: u64,
    },
    /// The link to a front was closed, and with it the sessions of all its
    /// callers.
    Disconnected {
        /// Front whose link was closed.
        front: Front,
    },
    /// A connection is open and accepts statements.
    Opened {
        /// Connection that was opened.
        conn: Key<Connection>,
    },
    /// The server refused to start a session; [`Event::Closed`] follows.
    Refused {
        /// Connection that could not be opened.
        conn: Key<Connection>,
        /// Reason for the refusal.
        error_kind: ErrorKind,
    },
    /// A connection was closed or could not be opened. No further event of the
    /// connection follows.
    Closed {
        /// Connection that was closed or could not be opened.
        conn: Key<Connection>,
    },
    /// A piece of an answer was received.
    Piece {
        /// Connection on which the piece was received.
        conn: Key<Connection>,
        /// Messages of the piece, and the progress that they show.
        piece: Piece,
    },
    /// ReadyForQuery ended a cycle.
    Cycle {
        /// Connection on which the cycle ran.
        conn: Key<Connection>,
        /// Status byte of ReadyForQuery: I, T or E.
        status: u8,
        /// Whether an error preceded ReadyForQuery.
        failed: bool,
    },
    /// A cycle has ended, or a session was established, on a server that
    /// reports its log position with each answer. [`Event::Opened`] is not sent
    /// for such a connection.
    Reported {
        /// Connection on which the report was received.
        conn: Key<Connection>,
        /// Contents of the report.
        reported: Reported,
    },
    /// The server's answer to [`Effect::Mark`].
    Marked {
        /// Connection on which the mark was read.
        conn: Key<Connection>,
        /// Last record of the server's log.
        mark: Mark,
    },
    /// A server's status report was received.
    Status {
        /// Contents of the report.
        status: Status,
        /// When the report was requested.
        sent: Instant,
    },
    /// A status request or a connection attempt failed.
    Unreachable {
        /// Name of the server.
        server: Name,
        /// Kind of the failure.
        outage: Outage,
    },
    /// Servers, leases or declarations changed.
    Setup(Setup),
    /// The entry gained (`true`) or lost (`false`) its own lease, without which
    /// its lease on the group is not in force either.
    Leased(bool),
    /// The process is shutting down: no new requests are admitted.
    Close,
    /// The time requested by [`Effect::Wake`] was reached.
    Tick,
}

/// Report at the end of a cycle, or when a session was established, on a server
/// that reports its log position with each answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reported {
    /// Status byte of ReadyForQuery: I, T or E.
    pub status: u8,
    /// Error that ended the cycle, if any.
    pub error_kind: Option<ErrorKind>,
    /// Last record visible to reads on the server.
    pub mark: Option<Mark>,
    /// When the first statement of the cycle was sent.
    pub sent: Instant,
}

/// Complete server messages of one answer, without ReadyForQuery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Encoded server messages.
    pub bytes: Bytes,
    /// Progress of the cycle that the messages show.
    pub kind: Kind,
}

/// Progress of a cycle after a piece of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// No statement was completed.
    Plain,
    /// A statement was completed.
    Complete,
    /// A COMMIT was completed, or a statement that may commit by itself.
    Commit,
}

/// How a server failed to respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Outage {
    /// The server refused a connection.
    Refused,
    /// The server did not answer in time.
    Silent,
}

/// State of one group in the control log, as it concerns one entry.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of declared servers, of which a majority must confirm a write.
    pub declared: u32,
    /// Primary of the newest established term.
    pub primary: Option<Name>,
    /// Members of the group that have announced themselves.
    pub servers: Vec<Server>,
    /// Lease of this entry on the group.
    pub lease: Lease,
    /// Declarations in force.
    pub declarations: Arc<Declarations>,
    /// Set if the servers acknowledge commits by themselves and can't be
    /// fenced. `primary` is then `None` during a change of primary.
    pub unfenced: Option<Unfenced>,
    /// Mechanisms that are turned off.
    pub without: Without,
}

/// State of an unfenced group in the control log: one whose servers acknowledge
/// commits by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfenced {
    /// Intended or established term.
    pub term: Term,
    /// Control log index at which the setup was taken.
    pub index: u64,
}

/// State of an entry's lease on a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Lease {
    /// The entry has no lease.
    #[default]
    None,
    /// The entry may use its shares of connections and slots.
    Held,
    /// The entry must finish its work and release its shares.
    Returning,
}

/// A server in a [`Setup`].
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Name of the server.
    pub name: Name,
    /// Incarnation of the server, incremented at each start.
    pub incarnation: u64,
    /// Address for client connections.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub zone: Name,
    /// Labels that selectors match.
    pub labels: Labels,
    /// Maximum number of connections of this entry.
    pub connections: u32,
    /// Maximum number of statements that this entry may run concurrently.
    pub slots: u32,
    /// Slots that the entry's lease grants. Less than `slots` where the server
    /// queues statements by itself, so that a keeper may use slots that other
    /// keepers leave idle.
    pub share: u32,
    /// Whether the server is to be removed. A leaving server gets no new work,
    /// except the primary of an unfenced group for a limited time.
    pub leaving: bool,
    /// Whether the server has stopped announcing itself.
    pub expired: bool,
}

/// An action that the driver must perform. Effects are performed in the order of
/// their output.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open a connection. [`Event::Opened`], [`Event::Reported`] or
    /// [`Event::Closed`] follows.
    Connect {
        /// Key of the new connection.
        conn: Key<Connection>,
        /// Server to connect to.
        server: Name,
        /// Address of the server.
        address: SocketAddr,
        /// Team whose requests the connection runs; `None` if callers have no team.
        team: Option<Name>,
    },
    /// Send client messages to a server.
    Send {
        /// Connection on which the messages are sent.
        conn: Key<Connection>,
        /// Messages of one cycle.
        bytes: Bytes,
        /// Mark that the server must show before it runs the messages, where
        /// the server can wait for one.
        wait: Option<Mark>,
    },
    /// Roll back the transaction that is open on a connection.
    RollBack {
        /// Connection whose transaction is rolled back.
        conn: Key<Connection>,
    },
    /// Read the server's last log position on a connection.
    Mark {
        /// Connection on which the position is read.
        conn: Key<Connection>,
    },
    /// Close a connection; [`Event::Closed`] follows.
    Close {
        /// Connection to close.
        conn: Key<Connection>,
    },
    /// Ask the server to cancel the statement that runs on a connection.
    Cancel {
        /// Connection on which the statement runs.
        conn: Key<Connection>,
    },
    /// Stop reading from a connection.
    Pause {
        /// Connection that is no longer read.
        conn: Key<Connection>,
    },
    /// Resume reading from a connection.
    Resume {
        /// Connection that is read again.
        conn: Key<Connection>,
    },
    /// Send a part of an answer.
    Part {
        /// Front that receives the part.
        front: Front,
        /// Part to send, with the number of its request.
        part: Part,
    },
    /// Send the end of an answer.
    End {
        /// Front that receives the end.
        front: Front,
        /// Message that ends the answer.
        end: End,
    },
    /// Request a status report from a server immediately.
    Sample {
        /// Name of the server.
        server: Name,
    },
    /// Report a symptom of the primary to control.
    Report(Symptom),
    /// Report to control that all work for earlier primaries has ended.
    Seal {
        /// Intended term.
        term: Term,
        /// Highest mark that was acknowledged to a caller.
        mark: Option<Mark>,
        /// Control log index known when the commit of `mark` was sent, or 0
        /// without a mark.
        index: u64,
    },
    /// Feed [`Event::Tick`] at the given time.
    Wake(Instant),
    /// Release the lease: no connection is open any more.
    ReleaseLease,
    /// Slow start or probation of a server has changed.
    Pace {
        /// Name of the server.
        server: Name,
        /// State before the change.
        before: Pace,
        /// State after the change.
        now: Pace,
    },
    /// Increment a counter.
    Count(Count),
    /// Log the end of a request whose outcome is not `Done`, that was retried,
    /// or that took longer than its objective.
    Log(Ended),
}

/// Slow start and probation of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    /// Number of concurrent statements in slow start; `None` without slow start.
    pub window: Option<u32>,
    /// Whether the server fails more reads than its peers and gets single ones only.
    pub probation: bool,
}

/// Log record of the end of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Request id in logs.
    pub trace: String,
    /// Outcome reported to the caller.
    pub outcome: Outcome,
    /// Reason for the outcome.
    pub reason: Reason,
    /// Stage of the request when it ended.
    pub stage: &'static str,
    /// Server of the last attempt.
    pub server: Option<Name>,
    /// Whether `server` was considered the primary.
    pub primary: bool,
    /// Number of attempts before the last one.
    pub tries: u32,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time since the last attempt was sent.
    pub sent: Option<Duration>,
    /// Term of the attempt; in an unfenced group, the term that control has
    /// intended or established.
    pub term: Term,
    /// Whether control names a primary.
    pub led: bool,
    /// Whether the entry holds its own lease.
    pub leased: bool,
    /// Version of the configuration that admitted the request.
    pub version: u64,
    /// Age of the latest sample of the primary.
    pub sample: Option<Duration>,
}

/// Event for which a counter is incremented.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// A read was sent to a replica.
    ReplicaRead,
    /// A read was sent to the primary.
    PrimaryRead(Cause),
    /// A request was retried.
    Retry,
    /// A connection was opened.
    Opened,
    /// A request of a team was sent on a connection that had served the team before.
    Hit,
    /// An idle connection was closed to make room for one of another team.
    Evicted,
    /// A request of the given priority was refused for load.
    Shed(Shed, u32),
}

/// Why a request was refused for load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Shed {
    /// An earlier attempt may have run at another keeper, and the service spent its
    /// retries.
    RetryBudget,
    /// The service has as many open requests as its limit allows.
    Limit,
    /// The request would have been answered after its objective.
    Objective,
    /// The request waited, and would have been answered after its objective because of a
    /// new request of a higher priority or of a flow with less work.
    Displaced,
}

/// Why a read was sent to the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// No replica that the service may reach is usable.
    NoReplica,
    /// No replica shows the mark of the session or of the fresh sample.
    Behind,
    /// The data of all replicas is older than the read accepts.
    Old,
    /// The replicas that qualify have no free slot. In an unfenced group, counted
    /// for every read that the primary serves.
    Busy,
}

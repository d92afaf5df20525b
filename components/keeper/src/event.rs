//! What a group is told, and what it asks of its host.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use config::{Declarations, Labels};
use plain::Fault;
use wire::control::Symptom;
use wire::data::{End, Outcome, Part, Reason, Run};

use crate::conn::Connection;

/// A link of a front; a number is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Front(pub u64);

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A front asks for one cycle.
    Run {
        /// Who asks.
        front: Front,
        /// The cycle.
        run: Run,
    },
    /// A front takes more of an answer.
    Credit {
        /// Who takes.
        front: Front,
        /// Number of the request.
        request: u64,
        /// Bytes more.
        bytes: u64,
    },
    /// A caller cancels a request.
    Cancel {
        /// Its front.
        front: Front,
        /// Number of the request.
        request: u64,
    },
    /// A caller has gone.
    Leave {
        /// Its front.
        front: Front,
        /// Number of its session.
        caller: u64,
    },
    /// A link has gone, and all its callers.
    Disconnected {
        /// The link.
        front: Front,
    },
    /// A connection stands and takes statements.
    Opened {
        /// The connection.
        conn: Key<Connection>,
    },
    /// A connection is closed, or never opened. Nothing of it follows.
    Closed {
        /// The connection.
        conn: Key<Connection>,
    },
    /// A piece of an answer.
    Piece {
        /// The connection.
        conn: Key<Connection>,
        /// The piece.
        piece: Piece,
    },
    /// ReadyForQuery came for a cycle.
    Cycle {
        /// The connection.
        conn: Key<Connection>,
        /// Its status byte: I, T or E.
        status: u8,
        /// Whether an error came before it.
        failed: bool,
    },
    /// A cycle is over, or a session stands, on a server that tells its position
    /// with each answer. No [`Event::Opened`] comes of such a connection.
    Reported {
        /// The connection.
        conn: Key<Connection>,
        /// What the server told.
        reported: Reported,
    },
    /// The server's answer to [`Effect::Mark`].
    Marked {
        /// The connection.
        conn: Key<Connection>,
        /// Last record of the server's log.
        mark: Mark,
    },
    /// A server's report.
    Status {
        /// The report.
        status: Status,
        /// When it was asked for.
        sent: Instant,
    },
    /// A server gave no report.
    Unreachable {
        /// The server.
        server: Name,
        /// Why.
        outage: Outage,
    },
    /// Servers, leases or declarations changed.
    Setup(Setup),
    /// The entry's lease was lost or gained.
    Leased(bool),
    /// The process is to stop: nothing new is taken.
    Close,
    /// Time passed.
    Tick,
}

/// The end of a cycle on a server that tells its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reported {
    /// Status byte: I, T or E.
    pub status: u8,
    /// The error that came before it, if one did.
    pub fault: Option<Fault>,
    /// Last record that reads on the server show.
    pub mark: Option<Mark>,
    /// When the first statement of the cycle was sent.
    pub sent: Instant,
}

/// Whole server messages of one answer, without ReadyForQuery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The messages.
    pub bytes: Bytes,
    /// What is among them.
    pub kind: Kind,
}

/// What a piece tells of its cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// No statement is complete by it.
    Plain,
    /// A statement is complete.
    Complete,
    /// A COMMIT is complete, or a statement that may commit by itself.
    Commit,
}

/// Why a server gave no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Outage {
    /// It refuses connections.
    Refused,
    /// It did not answer.
    Silent,
}

/// What the control log says of a group.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of servers that a majority is counted against.
    pub declared: u32,
    /// Primary of the newest established term.
    pub primary: Option<Name>,
    /// Servers that have a seat and announced themselves.
    pub servers: Vec<Server>,
    /// This entry's lease on the group.
    pub lease: Lease,
    /// Declarations in force.
    pub declarations: Arc<Declarations>,
    /// Set where the servers acknowledge by themselves. The primary is then
    /// `None` while a change of it is under way.
    pub unfenced: Option<Unfenced>,
}

/// What the control log says of a group whose servers acknowledge by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfenced {
    /// Term that is intended or established.
    pub term: Term,
    /// Index of the control log that this stands at.
    pub index: u64,
}

/// An entry's lease on a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Lease {
    /// It has none.
    #[default]
    None,
    /// It may use its shares.
    Held,
    /// It is to finish and give them up.
    Returning,
}

/// A server of a [`Setup`].
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name.
    pub name: Name,
    /// Raised by each start of the server.
    pub incarnation: u64,
    /// Where it takes statements.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Its labels.
    pub labels: Labels,
    /// Connections that this entry may hold.
    pub connections: u32,
    /// Statements that this entry may run at once.
    pub slots: u32,
    /// Slots of the entry's lease; less than `slots` where a server queues by
    /// itself, so that keepers may use what others leave.
    pub share: u32,
    /// Whether it is to get no new work.
    pub leaving: bool,
    /// Whether its announcements stopped.
    pub expired: bool,
}

/// What the host is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open a connection; [`Event::Opened`] or [`Event::Closed`] follows.
    Connect {
        /// Its key.
        conn: Key<Connection>,
        /// Server to connect to.
        server: Name,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Send client messages.
    Send {
        /// The connection.
        conn: Key<Connection>,
        /// The messages of one cycle.
        bytes: Bytes,
        /// What the server must show before it runs them, where it can wait.
        wait: Option<Mark>,
    },
    /// Roll back the transaction that is open on a connection.
    RollBack {
        /// The connection.
        conn: Key<Connection>,
    },
    /// Ask for the server's last position on this connection.
    Mark {
        /// The connection.
        conn: Key<Connection>,
    },
    /// Close a connection; [`Event::Closed`] follows.
    Close {
        /// The connection.
        conn: Key<Connection>,
    },
    /// Ask the server to cancel what runs on a connection.
    Cancel {
        /// The connection.
        conn: Key<Connection>,
    },
    /// Stop reading from a connection.
    Pause {
        /// The connection.
        conn: Key<Connection>,
    },
    /// Read from a connection again.
    Resume {
        /// The connection.
        conn: Key<Connection>,
    },
    /// Send a part of an answer.
    Part {
        /// Who gets it.
        front: Front,
        /// The part.
        part: Part,
    },
    /// Send the end of an answer.
    End {
        /// Who gets it.
        front: Front,
        /// The end.
        end: End,
    },
    /// Ask a server for a report at once.
    Sample {
        /// The server.
        server: Name,
    },
    /// Tell control what is seen of the primary.
    Report(Symptom),
    /// Tell control that the work for earlier primaries is over.
    Seal {
        /// Term that is intended.
        term: Term,
        /// Highest mark that was acknowledged to a caller.
        mark: Option<Mark>,
        /// Index of the control log at which that commit was sent.
        index: u64,
    },
    /// Tick at this time.
    Wake(Instant),
    /// The lease is given up: no connection is left.
    ReleaseLease,
    /// Count something.
    Count(Count),
    /// Log the end of a request that was not done, or not at the first try.
    Log(Ended),
}

/// How a request ended, and what decided it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The request's id in logs.
    pub trace: String,
    /// How it ended.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// How far it was.
    pub stage: &'static str,
    /// Server that it was sent to last.
    pub server: Option<Name>,
    /// Whether that was taken for the primary.
    pub primary: bool,
    /// Tries before the last one.
    pub tries: u32,
    /// Time since it came.
    pub waited: Duration,
    /// Time since it was sent last.
    pub sent: Option<Duration>,
    /// Term that control has intended or established.
    pub term: Term,
    /// Whether control names a primary.
    pub led: bool,
    /// Whether the entry holds its lease.
    pub leased: bool,
    /// Version of the configuration that admitted it.
    pub version: u64,
    /// Age of the youngest sample of the primary.
    pub sample: Option<Duration>,
}

/// Something counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// A replica served a read.
    ReplicaRead,
    /// The primary served a read.
    PrimaryRead(Cause),
    /// A request was tried again.
    Retry,
    /// A connection was opened.
    Opened,
}

/// Why a read went to the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// No replica that the service may reach can be used.
    NoReplica,
    /// No replica shows the session's floor or the fresh sample.
    Behind,
    /// No replica is young enough.
    Old,
    /// The replicas that qualify have no free slot.
    Busy,
}

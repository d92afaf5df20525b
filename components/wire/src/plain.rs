//! Messages of the plain protocol, in which callers send statements in another format
//! than that of PostgreSQL. A front sends a [`Task`] in the payload of a
//! [`crate::data::Run`], and the keeper answers with a [`Reply`] in the payload of a
//! [`crate::data::Part`].

use bytes::Bytes;

/// A statement and the session state that it needs.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Task {
    /// Statement id chosen by the caller, passed on unchanged.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// Text of the statement, passed on unchanged; empty if `execute` is set.
    #[prost(bytes = "bytes", tag = "2")]
    pub text: Bytes,
    /// Prepared statement to execute instead of a text.
    #[prost(message, optional, tag = "3")]
    pub execute: Option<Execute>,
    /// Session values, by name.
    #[prost(message, repeated, tag = "4")]
    pub values: Vec<Value>,
    /// Transaction to begin before the statement, as a [`Begin`].
    #[prost(enumeration = "Begin", tag = "5")]
    pub begin: i32,
}

/// Kind of transaction to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Begin {
    /// No transaction is begun.
    None = 0,
    /// Transaction that may write.
    Write = 1,
    /// Read-only transaction.
    Read = 2,
}

/// A prepared statement with its arguments.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Execute {
    /// Whether the statement writes.
    #[prost(bool, tag = "1")]
    pub writes: bool,
    /// Definition of the prepared statement; equal definitions mean the same statement.
    #[prost(bytes = "bytes", tag = "2")]
    pub shape: Bytes,
    /// Arguments, passed on unchanged.
    #[prost(bytes = "bytes", tag = "3")]
    pub arguments: Bytes,
}

/// A value set in a session.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Message)]
pub struct Value {
    /// Name of the value.
    #[prost(bytes = "bytes", tag = "1")]
    pub name: Bytes,
    /// Value set under that name.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// The complete answer to a [`Task`].
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Reply {
    /// Rows, as the server sent them.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub rows: Vec<Bytes>,
    /// Final message of the server after a success, as the server sent it.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub complete: Option<Bytes>,
    /// Error of the server, as the server sent it; set if `complete` is not.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub error: Option<Bytes>,
}

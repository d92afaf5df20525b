//! Plain statements as they travel between a front and a keeper, in the
//! payload of a [`crate::data::Run`] and of a [`crate::data::Part`].

use bytes::Bytes;

/// One statement, and the state of its session that it needs.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Task {
    /// The caller's id of it, passed on as it came.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// Text of the statement, passed on as it came; empty where `execute` is set.
    #[prost(bytes = "bytes", tag = "2")]
    pub text: Bytes,
    /// A prepared statement to execute in place of a text.
    #[prost(message, optional, tag = "3")]
    pub execute: Option<Execute>,
    /// Values of the session, by name.
    #[prost(message, repeated, tag = "4")]
    pub values: Vec<Value>,
    /// Whether a transaction is to be begun before the statement.
    #[prost(enumeration = "Begin", tag = "5")]
    pub begin: i32,
}

/// How a transaction is begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Begin {
    /// None is begun.
    None = 0,
    /// It may write.
    Write = 1,
    /// It only reads.
    Read = 2,
}

/// A prepared statement with its arguments.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Execute {
    /// Whether it writes.
    #[prost(bool, tag = "1")]
    pub writes: bool,
    /// What was prepared; statements of one shape are the same.
    #[prost(bytes = "bytes", tag = "2")]
    pub shape: Bytes,
    /// Arguments, passed on as they came.
    #[prost(bytes = "bytes", tag = "3")]
    pub arguments: Bytes,
}

/// A value that a session has set.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Message)]
pub struct Value {
    /// Its name.
    #[prost(bytes = "bytes", tag = "1")]
    pub name: Bytes,
    /// The value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// The whole answer to a task.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Reply {
    /// Rows, as they came.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub rows: Vec<Bytes>,
    /// What the server closed a success with, as it came.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub complete: Option<Bytes>,
    /// The server's error, as it came; set where `complete` is not.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub error: Option<Bytes>,
}

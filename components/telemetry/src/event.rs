//! Log events that trace requests and changes of groups through several processes.
//!
//! Each event is a line of the log, with a message and fields. Programs that write
//! logs and programs that read them both take the message and the names of the
//! fields from here, so that a field means the same in every process.

use base::prelude::*;
use slog::{KV, Record, Result, Serializer};

/// Value of a field.
pub trait Value {
    /// Writes the value under the name of its field.
    fn emit(&self, name: &'static str, out: &mut dyn Serializer) -> Result;
}

impl Value for u64 {
    fn emit(&self, name: &'static str, out: &mut dyn Serializer) -> Result {
        out.emit_u64(name, *self)
    }
}

impl Value for u32 {
    fn emit(&self, name: &'static str, out: &mut dyn Serializer) -> Result {
        out.emit_u32(name, *self)
    }
}

impl Value for bool {
    fn emit(&self, name: &'static str, out: &mut dyn Serializer) -> Result {
        out.emit_bool(name, *self)
    }
}

impl Value for str {
    fn emit(&self, name: &'static str, out: &mut dyn Serializer) -> Result {
        out.emit_str(name, self)
    }
}

impl Value for Name {
    fn emit(&self, name: &'static str, out: &mut dyn Serializer) -> Result {
        out.emit_str(name, self.as_str())
    }
}

/// Writes the duration in whole milliseconds.
impl Value for Duration {
    fn emit(&self, name: &'static str, out: &mut dyn Serializer) -> Result {
        out.emit_u64(name, u64::try_from(self.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Value for Mark {
    fn emit(&self, name: &'static str, out: &mut dyn Serializer) -> Result {
        out.emit_arguments(name, &format_args!("{self}"))
    }
}

impl<T: Value + ?Sized> Value for &T {
    fn emit(&self, name: &'static str, out: &mut dyn Serializer) -> Result {
        (**self).emit(name, out)
    }
}

impl<T: Value> Value for Option<T> {
    fn emit(&self, name: &'static str, out: &mut dyn Serializer) -> Result {
        match self {
            Some(value) => value.emit(name, out),
            None => out.emit_none(name),
        }
    }
}

/// Declares an event: its message, its fields, and their names in the log.
macro_rules! event {
    ($(#[$doc:meta])* $event:ident, $message:literal,
     $($(#[$field_doc:meta])* $field:ident: $kind:ty = $name:literal,)*) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug)]
        pub struct $event<'a> {
            $($(#[$field_doc])* pub $field: $kind,)*
        }

        impl $event<'_> {
            /// Message of the event's line.
            pub const MESSAGE: &'static str = $message;

            /// Names of the event's fields, in order.
            pub const FIELDS: &'static [&'static str] = &[$($name),*];

            /// Logs the event.
            pub fn log(&self, log: &slog::Logger) {
                slog::info!(log, $message; self);
            }
        }

        impl KV for $event<'_> {
            fn serialize(&self, _: &Record<'_>, out: &mut dyn Serializer) -> Result {
                $(self.$field.emit($name, out)?;)*
                Ok(())
            }
        }
    };
}

/// Name of the field that holds the id of a request, in all events of requests.
pub const REQUEST: &str = "request";

/// Name of the field that holds the name of a database group.
pub const GROUP: &str = "group";

/// Name of the field that holds an index in the control log.
pub const INDEX: &str = "index";

event! {
    /// A front end answered a statement late or with an error.
    Answered, "a statement was late or not done",
    /// Id of the request.
    request: &'a str = "request",
    /// Database that the caller named.
    database: &'a Name = "database",
    /// Group that holds the database.
    group: &'a Name = "group",
    /// Access of the statement: read or write.
    access: &'a str = "access",
    /// Whether the statement ran and its commit, if any, was acknowledged.
    done: bool = "done",
    /// Reason why the statement was not done.
    reason: &'a str = "reason",
    /// Time from the statement to its answer.
    took: Duration = "took_ms",
    /// Time within which the statement should be answered; zero if no such time is
    /// declared.
    objective: Duration = "objective_ms",
    /// Version of the declarations under which the statement was admitted.
    version: u64 = "version",
    /// Remaining time of the entry's lease.
    lease: Duration = "lease_ms",
    /// Answer to the caller, if the statement was not done.
    answer: &'a str = "answer",
}

event! {
    /// A keeper ended a request that was not done, was retried, or took longer than
    /// `objective_ms` of its database.
    Ended, "a request ended",
    /// Id of the request.
    request: &'a str = "request",
    /// Group of the request.
    group: &'a Name = "group",
    /// Outcome of the request.
    outcome: &'a str = "outcome",
    /// Reason for the outcome.
    reason: &'a str = "reason",
    /// Stage of the request when it ended.
    stage: &'static str = "stage",
    /// Server of the last attempt.
    server: Option<&'a Name> = "server",
    /// Whether that server is the primary.
    primary: bool = "primary",
    /// Number of attempts before the last one.
    tries: u32 = "tries",
    /// Time since the request arrived.
    waited: Duration = "waited_ms",
    /// Time since the request was last sent to a server.
    sent: Option<Duration> = "sent_ms",
    /// Term of the primary.
    term: u64 = "term",
    /// Whether control names a primary for the group.
    led: bool = "led",
    /// Whether the entry's lease was valid.
    leased: bool = "leased",
    /// Version of the declarations that the request came with.
    version: u64 = "version",
    /// Age of the latest sample of the primary.
    sample: Option<Duration> = "sample_ms",
}

event! {
    /// The leader of the control members applied a command.
    Applied, "applied",
    /// Index of the command in the control log.
    index: u64 = "index",
    /// Term of the leader.
    term: u64 = "term",
    /// Kind of the command.
    command: &'a str = "command",
    /// Subject of the command, such as a server, an entry, or a group and its term.
    subject: &'a str = "subject",
    /// Outcome of the command.
    outcome: &'a str = "outcome",
}

event! {
    /// A keeper learned that a group's primary or term, or its own lease, changed.
    Learned, "a group changed",
    /// Name of the group.
    group: &'a Name = "group",
    /// Index up to which the keeper has applied the control log.
    index: u64 = "index",
    /// Version of the declarations.
    version: u64 = "version",
    /// Primary to which new work may be sent.
    primary: Option<&'a Name> = "primary",
    /// Term that control has intended or established.
    term: u64 = "term",
    /// State of the keeper's lease on the group.
    lease: &'static str = "lease",
}

event! {
    /// A keeper detected a symptom of a failing primary, or that the primary has
    /// recovered.
    Symptom, "symptom of a primary",
    /// Name of the group.
    group: &'a Name = "group",
    /// Name of the primary.
    server: &'a str = "server",
    /// Condition of the primary.
    condition: &'a str = "sight",
    /// Term of the primary.
    term: u64 = "term",
}

event! {
    /// A keeper ended its work for the primaries of earlier terms.
    Sealed, "work for earlier primaries is over",
    /// Name of the group.
    group: &'a Name = "group",
    /// Term up to which all work has ended.
    term: u64 = "term",
    /// Highest mark that was returned to callers.
    mark: Option<Mark> = "mark",
    /// Index up to which the keeper has applied the control log.
    index: u64 = "index",
}

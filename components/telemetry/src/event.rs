//! The events that a request or a belief of the system can be followed by, so
//! that a field means the same in every process.
//!
//! Each is a line of the log: its message, and its fields by their names here.
//! Whoever reads logs takes both from here too.

use base::prelude::*;
use slog::{KV, Record, Result, Serializer};

/// A value of a field.
pub trait Value {
    /// Puts the value out under its name.
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

/// In whole milliseconds.
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

/// Declares an event: its message, and its fields with their names in the log.
macro_rules! event {
    ($(#[$doc:meta])* $event:ident, $message:literal,
     $($(#[$field_doc:meta])* $field:ident: $kind:ty = $name:literal,)*) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug)]
        pub struct $event<'a> {
            $($(#[$field_doc])* pub $field: $kind,)*
        }

        impl $event<'_> {
            /// The message of its line.
            pub const MESSAGE: &'static str = $message;

            /// Names of its fields, in order.
            pub const FIELDS: &'static [&'static str] = &[$($name),*];

            /// Writes its line.
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

/// Name of the field that holds a request's id, in each event of a request.
pub const REQUEST: &str = "request";

/// Name of the field that holds a database group.
pub const GROUP: &str = "group";

/// Name of the field that holds an index of the control log.
pub const INDEX: &str = "index";

event! {
    /// A front answered a statement late or with an error.
    Answered, "a statement was late or not done",
    /// Id of the request.
    request: &'a str = "request",
    /// Database that the caller named.
    database: &'a Name = "database",
    /// Group that it belongs to.
    group: &'a Name = "group",
    /// Whether it reads or writes.
    access: &'a str = "access",
    /// Whether it was done.
    done: bool = "done",
    /// Why it was not.
    reason: &'a str = "reason",
    /// Time from the statement to its answer.
    took: Duration = "took_ms",
    /// Time in which it should be answered.
    objective: Duration = "objective_ms",
    /// Version of the declarations that it was admitted under.
    version: u64 = "version",
    /// What was left of the entry's lease.
    lease: Duration = "lease_ms",
    /// What the caller was told, if it was not done.
    answer: &'a str = "answer",
}

event! {
    /// A keeper ended a request that was not done, or not at its first try.
    Ended, "a request ended",
    /// Id of the request.
    request: &'a str = "request",
    /// Its group.
    group: &'a Name = "group",
    /// How it ended.
    outcome: &'a str = "outcome",
    /// Why.
    reason: &'a str = "reason",
    /// Where it stood when it ended.
    stage: &'static str = "stage",
    /// Server of its last try.
    server: Option<&'a Name> = "server",
    /// Whether that is the primary.
    primary: bool = "primary",
    /// Tries before the last.
    tries: u32 = "tries",
    /// Time since it came.
    waited: Duration = "waited_ms",
    /// Time since it was sent last.
    sent: Option<Duration> = "sent_ms",
    /// Term of the primary.
    term: u64 = "term",
    /// Whether control names a primary.
    led: bool = "led",
    /// Whether the entry's lease held.
    leased: bool = "leased",
    /// Version of the declarations that it came with.
    version: u64 = "version",
    /// Age of the youngest sample of the primary.
    sample: Option<Duration> = "sample_ms",
}

event! {
    /// A member that leads applied a command.
    Applied, "applied",
    /// Index of the command.
    index: u64 = "index",
    /// Term of the member that leads.
    term: u64 = "term",
    /// Kind of the command.
    command: &'a str = "command",
    /// Whom it concerns.
    subject: &'a str = "subject",
    /// What became of it.
    outcome: &'a str = "outcome",
}

event! {
    /// A keeper learned that a group's primary, its term or its own lease changed.
    Learned, "a group changed",
    /// The group.
    group: &'a Name = "group",
    /// Index of the control log that the keeper has applied.
    index: u64 = "index",
    /// Version of the declarations.
    version: u64 = "version",
    /// Primary that new work may go to.
    primary: Option<&'a Name> = "primary",
    /// Term that control has intended or established.
    term: u64 = "term",
    /// The keeper's lease on the group.
    lease: &'static str = "lease",
}

event! {
    /// A keeper saw something wrong with a primary, or that it is well again.
    Symptom, "symptom of a primary",
    /// The group.
    group: &'a Name = "group",
    /// The primary.
    server: &'a str = "server",
    /// What is wrong.
    condition: &'a str = "sight",
    /// Term of the primary.
    term: u64 = "term",
}

event! {
    /// A keeper ended its work for the primaries of earlier terms.
    Sealed, "work for earlier primaries is over",
    /// The group.
    group: &'a Name = "group",
    /// Term up to which it is over.
    term: u64 = "term",
    /// Highest mark that was passed on.
    mark: Option<Mark> = "mark",
    /// Index of the control log that the keeper has applied.
    index: u64 = "index",
}

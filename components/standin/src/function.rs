//! Parsing of the SQL functions by which the system operates a server.

use std::net::SocketAddr;

use base::prelude::*;

use crate::sql;

/// A call of one of the `trefoil_` functions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Function {
    /// Reports the server's status once the log's version differs from `after`, or
    /// after `wait`.
    Status {
        /// Version of the log that the client knows.
        after: u64,
        /// Longest time to wait for another version.
        wait: Duration,
    },
    /// Fences the server at a term: no commit of a lower term follows.
    Fence(Term),
    /// Promotes the server to the primary of a term.
    Promote(Term),
    /// Makes the server replicate from a primary.
    Follow {
        /// Term of the primary.
        term: Term,
        /// Address of the primary.
        primary: SocketAddr,
    },
    /// Returns term and position of the last applied log entry.
    Mark,
}

/// Parses `SELECT * FROM trefoil_NAME(ARGUMENTS)`; `None` for any other statement.
pub fn parse(text: &str) -> Option<Function> {
    let lower =
        sql::strip_leading_comments(text).trim_end_matches([';', ' ', '\n']).to_ascii_lowercase();
    let (head, rest) = lower.split_once('(')?;
    let (arguments, tail) = rest.split_once(')')?;
    let words: Vec<_> = head.split_whitespace().collect();
    let ["select", "*", "from", name] = words.as_slice() else {
        return None;
    };
    if !tail.trim().is_empty() {
        return None;
    }
    let arguments: Vec<_> = arguments.split(',').map(str::trim).collect();
    parse_call(name, &arguments)
}

fn parse_call(name: &str, arguments: &[&str]) -> Option<Function> {
    match (name, arguments) {
        ("trefoil_status", [after, wait]) => {
            let wait = Duration::from_millis(wait.parse().ok()?);
            Some(Function::Status { after: after.parse().ok()?, wait })
        }
        ("trefoil_fence", [term]) => Some(Function::Fence(Term(term.parse().ok()?))),
        ("trefoil_promote", [term]) => Some(Function::Promote(Term(term.parse().ok()?))),
        ("trefoil_follow", [term, primary]) => {
            let primary = primary.trim_matches('\'').parse().ok()?;
            Some(Function::Follow { term: Term(term.parse().ok()?), primary })
        }
        ("trefoil_mark", [""]) => Some(Function::Mark),
        _ => None,
    }
}

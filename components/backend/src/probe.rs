//! Operations on a backend server other than statements.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;

/// Failure of a request to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// Nothing listens at the server's address: the process is gone.
    Refused,
    /// The server did not answer in time.
    Timeout,
    /// The connection was lost.
    Broken,
    /// The server answered with an error.
    Rejected,
    /// The server's answer could not be parsed.
    Malformed,
}

impl std::error::Error for Failure {}

/// A connection to a server for status and control, separate from the connections
/// for statements.
///
/// Requests on one probe run one after another. A probe can't be used after a
/// failure.
pub trait Probe: fmt::Debug + Send {
    /// Returns the server's status once the version of the status differs from
    /// `after`, or when `wait` has elapsed; at once when `wait` is zero.
    fn status(
        &mut self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Status, Report<Failure>>> + Send;

    /// Fences the server at `term`, in which it has no primary yet: once the server has
    /// answered, it accepts no writes and replicates no records of a lower term.
    /// Idempotent; a server in a higher term is unchanged, and the returned status shows
    /// that term.
    fn fence(&mut self, term: Term)
    -> impl Future<Output = Result<Status, Report<Failure>>> + Send;

    /// Promotes a server that is fenced at exactly `term` to the primary of that term.
    /// Idempotent; a server in any other term is unchanged.
    fn promote(
        &mut self,
        term: Term,
    ) -> impl Future<Output = Result<Status, Report<Failure>>> + Send;

    /// Makes the server a replica of the primary of `term` at address `primary`;
    /// records that this primary does not have are truncated. A server in a higher
    /// term is unchanged.
    fn follow(
        &mut self,
        term: Term,
        primary: SocketAddr,
    ) -> impl Future<Output = Result<Status, Report<Failure>>> + Send;
}

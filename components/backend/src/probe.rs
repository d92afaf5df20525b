//! What the system asks of a backend server beyond statements.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;

/// Why a server did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// Nothing listens at its address: the process is gone.
    Refused,
    /// No answer in time.
    Timeout,
    /// The connection broke.
    Broken,
    /// The server answered with an error.
    Rejected,
    /// The answer could not be read.
    Malformed,
}

impl std::error::Error for Failure {}

/// One connection for questions about a server, apart from its statements.
///
/// Requests on one probe run in turn. A probe that failed is of no more use.
pub trait Probe: fmt::Debug + Send {
    /// Reports once its version differs from `after`, or when `wait` is over.
    /// A `wait` of zero reports at once.
    fn status(
        &mut self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Status, Report<Failure>>> + Send;

    /// Joins `term` without a primary: from when it answers, the server takes
    /// no write and copies no record of a lower term. Repeatable; at a server
    /// of a higher term it changes nothing, and the report tells so.
    fn fence(&mut self, term: Term)
    -> impl Future<Output = Result<Status, Report<Failure>>> + Send;

    /// Makes a server fenced at exactly `term` the primary of that term.
    /// Repeatable; at any other term it changes nothing.
    fn promote(
        &mut self,
        term: Term,
    ) -> impl Future<Output = Result<Status, Report<Failure>>> + Send;

    /// Copies from the primary of `term` at `primary`, cutting off what that
    /// primary does not hold. At a server of a higher term it changes nothing.
    fn follow(
        &mut self,
        term: Term,
        primary: SocketAddr,
    ) -> impl Future<Output = Result<Status, Report<Failure>>> + Send;
}

//! Access to the servers of unfenced groups.
//!
//! Servers of such groups acknowledge commits by themselves and can't be fenced; a
//! service outside of the system promotes them. The traits of this module are
//! independent of the protocols of both.

use std::fmt::Debug;
use std::net::SocketAddr;

use base::prelude::*;
use futures::future::BoxFuture;

use crate::probe::Failure;

/// Adapter to the servers of unfenced groups and to the service that promotes them.
pub trait Adapter: Debug + Send + Sync {
    /// Returns a connection to one server, which is opened by the first request.
    fn connection(&self, group: &Name, server: &Name, address: SocketAddr) -> Box<dyn Connection>;

    /// Has a server promoted to the primary of its group. Idempotent.
    fn promote(&self, promotion: Promotion) -> BoxFuture<'_, Result<(), Report<Failure>>>;
}

/// A connection to one server.
pub trait Connection: Debug + Send {
    /// Requests the status of the server.
    fn status(&mut self) -> BoxFuture<'_, Result<Status, Report<Failure>>>;
}

/// An order to promote a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promotion {
    /// Name of the group.
    pub group: Name,
    /// Name of the server to promote.
    pub server: Name,
    /// Name of the control member that gives the order.
    pub holder: Name,
    /// Fencing token, higher for each later holder, by which the promoting service can
    /// reject the order of an earlier holder.
    pub token: u64,
}

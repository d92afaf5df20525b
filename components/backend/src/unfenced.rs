//! Servers that acknowledge by themselves, and who promotes them.
//!
//! Such servers can't be fenced; they take orders from outside of the system.
//! What they speak stands behind these traits.

use std::fmt::Debug;
use std::net::SocketAddr;

use base::prelude::*;
use futures::future::BoxFuture;

use crate::probe::Failure;

/// The way to servers, and to whoever promotes them.
pub trait Adapter: Debug + Send + Sync {
    /// A line to one server; it connects when it is first asked.
    fn connection(&self, group: &Name, server: &Name, address: SocketAddr) -> Box<dyn Connection>;

    /// Has a server made the primary of its group. Repeatable.
    fn promote(&self, promotion: Promotion) -> BoxFuture<'_, Result<(), Report<Failure>>>;
}

/// A line to one server.
pub trait Connection: Debug + Send {
    /// Asks where the server stands.
    fn status(&mut self) -> BoxFuture<'_, Result<Status, Report<Failure>>>;
}

/// An order that a server is to lead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promotion {
    /// The group.
    pub group: Name,
    /// The server.
    pub server: Name,
    /// Name of the member that orders it.
    pub holder: Name,
    /// Rises with each holder.
    pub token: u64,
}

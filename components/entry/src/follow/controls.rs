//! Addresses of the control members, from the settings and from the members
//! themselves.

use std::net::SocketAddr;

use tokio::sync::watch;
use wire::control::Members;

/// Addresses at which control members accept links.
#[derive(Clone, Debug)]
pub struct Controls {
    /// Addresses from the settings, which may change while the process runs.
    configured: watch::Receiver<Vec<SocketAddr>>,
    /// Addresses from the last list that a member sent.
    announced: Vec<SocketAddr>,
    /// Address at which a member on this host would accept links.
    local: Option<SocketAddr>,
}

impl Controls {
    /// Creates a list from settings that may change.
    pub fn watch(configured: watch::Receiver<Vec<SocketAddr>>) -> Self {
        Self { configured, announced: Vec::new(), local: None }
    }

    /// Adds the address of a member that may run on this host. It is dialled first: after
    /// a loss of power it is back at the same time as the entry, and other hosts may not be.
    #[must_use]
    pub fn with_local(mut self, local: SocketAddr) -> Self {
        self.local = Some(local);
        self
    }

    /// Address at which a member on this host would accept links, if one may run here.
    pub fn local(&self) -> Option<SocketAddr> {
        self.local
    }

    /// Returns all known addresses, each of them once.
    pub fn known(&self) -> Vec<SocketAddr> {
        let mut known = self.announced.clone();
        known.extend(self.configured.borrow().iter());
        known.sort_unstable();
        known.dedup();
        known
    }

    /// Takes over the addresses that a member sent; ignores those that cannot be
    /// parsed, and the whole list if none can be.
    pub fn learn(&mut self, members: &Members) {
        let announced: Vec<_> = members.links.iter().filter_map(|link| link.parse().ok()).collect();
        if !announced.is_empty() {
            self.announced = announced;
        }
    }
}

impl From<Vec<SocketAddr>> for Controls {
    fn from(fixed: Vec<SocketAddr>) -> Self {
        let (_, configured) = watch::channel(fixed);
        Self::watch(configured)
    }
}

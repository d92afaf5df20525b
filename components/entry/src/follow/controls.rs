//! Where control members listen: as the settings say, and as members told.

use std::net::SocketAddr;

use tokio::sync::watch;
use wire::control::Members;

/// Addresses of the members' links.
#[derive(Clone, Debug)]
pub struct Controls {
    /// As the settings say; they may change while the process runs.
    set: watch::Receiver<Vec<SocketAddr>>,
    /// As a member told last.
    told: Vec<SocketAddr>,
}

impl Controls {
    /// Goes by settings that may change.
    pub fn watch(set: watch::Receiver<Vec<SocketAddr>>) -> Self {
        Self { set, told: Vec::new() }
    }

    /// All addresses that are known, each once.
    pub fn known(&self) -> Vec<SocketAddr> {
        let mut known = self.told.clone();
        known.extend(self.set.borrow().iter());
        known.sort_unstable();
        known.dedup();
        known
    }

    /// Takes what a member told; addresses that can't be read are passed over.
    pub fn learn(&mut self, members: &Members) {
        let told: Vec<_> = members.links.iter().filter_map(|link| link.parse().ok()).collect();
        if !told.is_empty() {
            self.told = told;
        }
    }
}

impl From<Vec<SocketAddr>> for Controls {
    fn from(fixed: Vec<SocketAddr>) -> Self {
        let (_, set) = watch::channel(fixed);
        Self::watch(set)
    }
}

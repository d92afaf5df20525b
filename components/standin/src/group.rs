//! The servers of a group, and the faults injected into them.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use slog::info;

use crate::counters::Counts;
use crate::failure::Failure;
use crate::fault::Fault;
use crate::server::Server;
use crate::settings::Settings;

const FIRST_TERM: Term = Term(1);

/// A database group whose servers run in this process.
#[derive(Debug)]
pub struct Group {
    settings: Arc<Settings>,
    servers: Vec<Arc<Server>>,
    // the drop of the group removes the folder of the databases
    _folder: tempfile::TempDir,
}

impl Group {
    /// Starts all servers of a group.
    ///
    /// # Errors
    /// [`Failure::Folder`], [`Failure::Database`], [`Failure::Name`] or
    /// [`Failure::Listen`].
    pub async fn start(settings: Settings) -> Result<Self, Report<Failure>> {
        let settings = Arc::new(settings);
        let folder = tempfile::tempdir().change_context(Failure::Folder)?;
        let servers = (0..settings.servers).map(|n| Server::new(&settings, n, folder.path()));
        let servers = servers.collect::<Result<Vec<_>, _>>()?;
        for server in &servers {
            server.set_peers(servers.iter().map(Arc::downgrade).collect());
            server.start().await?;
        }
        let group = Self { settings, servers, _folder: folder };
        if group.settings.settled {
            group.promote_first();
        }
        Ok(group)
    }

    fn promote_first(&self) {
        let Some((first, others)) = self.servers.split_first() else {
            return;
        };
        first.change(|storage| {
            storage.log.fence(FIRST_TERM);
            storage.log.promote(FIRST_TERM);
        });
        for other in others {
            other.change(|storage| storage.log.follow(FIRST_TERM, first.address()));
        }
    }

    /// Name of the group.
    pub fn name(&self) -> &Name {
        &self.settings.name
    }

    /// Addresses of all servers, by number.
    pub fn servers(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|server| server.address()).collect()
    }

    /// Status of each server, also of crashed ones.
    pub fn statuses(&self) -> Vec<Status> {
        self.servers.iter().map(|server| server.status()).collect()
    }

    /// Counters of each server.
    pub fn counts(&self) -> Vec<Counts> {
        self.servers.iter().map(|server| server.counters.counts()).collect()
    }

    /// Number of the running primary with the highest term.
    pub fn primary(&self) -> Option<usize> {
        let running = |index: &usize| self.servers[*index].is_running();
        let statuses = self.statuses();
        let primaries = (0..statuses.len()).filter(|index| statuses[*index].role == Role::Primary);
        primaries.filter(running).max_by_key(|index| statuses[*index].term)
    }

    /// Injects a fault into the group, or removes all faults.
    ///
    /// # Errors
    /// [`Failure::Fault`] if there is no primary or no server of that number,
    /// [`Failure::Listen`] if a server can't restart.
    pub async fn inject(&self, fault: Fault) -> Result<(), Report<Failure>> {
        info!(
            self.settings.log, "injecting a fault";
            "group" => %self.settings.name, "fault" => ?fault
        );
        let primary = || self.primary().ok_or_else(|| Report::new(Failure::Fault));
        let server = |index: usize| self.servers.get(index).ok_or(Failure::Fault);
        match fault {
            Fault::PrimaryCrash => self.servers[primary()?].crash().await,
            Fault::PrimaryPartition => self.servers[primary()?].set_partitioned(true),
            Fault::ReplicaLag(lag) => self.servers.iter().for_each(|server| server.set_lag(lag)),
            Fault::Heal => self.heal().await?,
            Fault::Leave(index) => server(index)?.set_leaving(true),
            Fault::Slow(index, times) => server(index)?.set_slowdown(times),
        }
        Ok(())
    }

    async fn heal(&self) -> Result<(), Report<Failure>> {
        for server in &self.servers {
            server.set_partitioned(false);
            server.set_slowdown(1);
            server.set_lag(self.settings.lag);
            server.set_leaving(false);
            server.start().await?;
        }
        Ok(())
    }

    /// Stops all servers; open connections are reset.
    pub async fn stop(self) {
        for server in &self.servers {
            server.crash().await;
        }
    }
}

//! A cluster in one process: starts all components, and stops, kills or isolates
//! them.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use base::clock::Clock;
use base::mechanism::Without;
use base::prelude::*;
use reqwest::StatusCode;
use slog::{Logger, info};
use tempfile::TempDir;
use tokio::sync::Mutex;

use crate::admin;
use crate::fault;
use crate::scenario::{self, Scenario};

/// Time limit for the declarations to be applied, and separately for all entries and
/// groups to become ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);

const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a cluster.
#[derive(Debug)]
pub struct Settings {
    /// Example that determines sizes and declarations.
    pub scenario: Scenario,
    /// Number of entries.
    pub entries: usize,
    /// Number of control members.
    pub controls: usize,
    /// Address of the first entry; the others take the ports after it. With port 0,
    /// every entry takes a free port.
    pub listen: SocketAddr,
    /// Address of the first control member's web server.
    pub admin: SocketAddr,
    /// Folder for the control members' data; a temporary one if `None`.
    pub data: Option<PathBuf>,
    /// Replication lag of the groups.
    pub lag: Duration,
    /// Seed of the first control member and of the first group; each further one adds
    /// its index.
    pub seed: u64,
    /// Logger of all components.
    pub log: Logger,
}

impl Settings {
    /// Settings with free ports on the loopback interface.
    pub fn new(scenario: Scenario, log: Logger) -> Self {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            scenario,
            entries: 3,
            controls: 3,
            listen: free,
            admin: free,
            data: None,
            lag: scenario::REPLICA_LAG,
            seed: 1,
            log,
        }
    }
}

/// Why a cluster did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// The temporary folder for data could not be created.
    Data,
    /// A control member did not start.
    Member,
    /// An entry did not start.
    Entry,
    /// A stand-in group did not start.
    Group,
    /// The declarations of the example could not be read.
    Declarations,
    /// The control members rejected the declarations or did not apply them in time, or
    /// the components were not ready in time.
    Timeout,
}

impl std::error::Error for Failure {}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    settings: Settings,
    clock: Clock,
    key: link::Key,
    // keeps a temporary folder until the cluster is dropped
    _folder: Option<TempDir>,
    members: Vec<Member>,
    entries: Mutex<Vec<Entry>>,
    groups: fault::Groups,
}

#[derive(Debug)]
struct Member {
    peer: member::Peer,
    handle: Mutex<Option<member::Handle>>,
}

#[derive(Debug)]
struct Entry {
    name: Name,
    zone: Name,
    callers: SocketAddr,
    link: SocketAddr,
    web: SocketAddr,
    starts: u64,
    handle: Option<entry::Handle>,
}

impl Cluster {
    /// Starts all components and waits until each entry can serve callers.
    ///
    /// # Errors
    /// [`Failure`], with the error of the component that failed as its cause, if there
    /// is one.
    pub async fn start(settings: Settings) -> Result<Self, Report<Failure>> {
        let clock = Clock::start();
        let key = generate_key();
        let (data, folder) = prepare_data(&settings)?;
        let groups = fault::Groups::default();
        let members = start_members(&settings, &data, &key, clock, &groups).await?;
        let webs: Vec<_> = members.iter().map(|member| member.peer.web).collect();
        groups.start(&settings, &webs).await?;
        let cluster = Self {
            entries: Mutex::new(new_entries(&settings)?),
            settings,
            clock,
            key,
            _folder: folder,
            members,
            groups,
        };
        cluster.declare().await?;
        for index in 0..cluster.settings.entries {
            cluster.start_entry(index).await?;
        }
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Address of each entry for callers.
    pub async fn entries(&self) -> Vec<SocketAddr> {
        self.entries.lock().await.iter().map(|entry| entry.callers).collect()
    }

    /// Address of each entry's web server.
    pub async fn webs(&self) -> Vec<SocketAddr> {
        self.entries.lock().await.iter().map(|entry| entry.web).collect()
    }

    /// Address of each control member's web server.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|member| member.peer.web).collect()
    }

    /// The stand-in groups.
    pub fn groups(&self) -> &fault::Groups {
        &self.groups
    }

    /// Shuts an entry down gracefully.
    pub async fn stop_entry(&self, index: usize) {
        let handle = self.entries.lock().await[index].handle.take();
        if let Some(handle) = handle {
            handle.stop().await;
        }
    }

    /// Ends an entry abruptly, like a crash.
    pub async fn kill_entry(&self, index: usize) {
        let handle = self.entries.lock().await[index].handle.take();
        if let Some(handle) = handle {
            handle.kill();
        }
    }

    /// Starts an entry that is not running, at its previous addresses.
    ///
    /// # Errors
    /// [`Failure::Entry`] when the entry cannot bind its addresses.
    pub async fn start_entry(&self, index: usize) -> Result<(), Report<Failure>> {
        let mut entries = self.entries.lock().await;
        let controls: Vec<_> = self.members.iter().map(|member| member.peer.link).collect();
        let entry = &mut entries[index];
        entry.starts += 1;
        let bound = entry::bind(entry::Settings {
            name: entry.name.clone(),
            zone: entry.zone.clone(),
            incarnation: entry.starts,
            callers: entry.callers,
            link: entry.link,
            web: entry.web,
            sole: false,
            weight: 1,
            controls: controls.into(),
            key: self.key.clone(),
            users: None,
            tls: None,
            without: Without::default(),
            dialect: None,
            quota: quota::Bounds::default(),
            log: self.settings.log.clone(),
            clock: self.clock,
        });
        let bound = bound.await.change_context(Failure::Entry)?;
        let addresses = bound.addresses();
        entry.callers = addresses.callers;
        entry.link = addresses.link;
        entry.web = addresses.web;
        entry.handle = Some(bound.start());
        Ok(())
    }

    /// Shuts an entry down gracefully and starts it again.
    ///
    /// # Errors
    /// [`Failure::Entry`] when the entry cannot bind its addresses.
    pub async fn restart_entry(&self, index: usize) -> Result<(), Report<Failure>> {
        self.stop_entry(index).await;
        self.start_entry(index).await
    }

    /// Isolates a control member from all others, or reconnects it.
    pub async fn isolate_control(&self, index: usize, isolated: bool) {
        if let Some(handle) = self.members[index].handle.lock().await.as_ref() {
            handle.isolate(isolated);
        }
    }

    /// Stops all components: first the entries, then the groups, then the control
    /// members.
    pub async fn stop(self) {
        for index in 0..self.settings.entries {
            self.stop_entry(index).await;
        }
        self.groups.stop().await;
        for member in &self.members {
            let handle = member.handle.lock().await.take();
            if let Some(handle) = handle {
                handle.stop().await;
            }
        }
        info!(self.settings.log, "cluster stopped");
    }

    async fn declare(&self) -> Result<(), Report<Failure>> {
        let declarations = self.settings.scenario.declarations();
        let content = declarations.change_context(Failure::Declarations)?.canonical();
        let change = admin::Change { id: "first", base: 0, content: &content };
        let (client, admins) = (reqwest::Client::new(), self.admins());
        match admin::submit(&client, &admins, change, READY_POLL_INTERVAL, READY_TIMEOUT).await {
            // a conflict means that the data of an earlier run already holds declarations
            Some(status) if status.is_success() || status == StatusCode::CONFLICT => Ok(()),
            Some(_) | None => Err(Report::new(Failure::Timeout)),
        }
    }

    /// Waits until each entry is ready and can run a query on each group, for which
    /// the group needs a primary.
    async fn wait_ready(&self) -> Result<(), Report<Failure>> {
        let client = reqwest::Client::new();
        let all_ready = async {
            for web in self.webs().await {
                wait_until(async || admin::is_ready(&client, web).await).await;
            }
            for address in self.entries().await {
                for group in self.settings.scenario.groups() {
                    wait_until(async || can_query(address, self.settings.scenario, group).await)
                        .await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, all_ready).await.change_context(Failure::Timeout)
    }
}

async fn wait_until(condition: impl AsyncFn() -> bool) {
    while !condition().await {
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
}

async fn can_query(address: SocketAddr, scenario: Scenario, group: &str) -> bool {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user(scenario.service()).dbname(group);
    let Ok((client, connection)) = config.connect(tokio_postgres::NoTls).await else {
        return false;
    };
    let driver = tokio::spawn(connection);
    let is_served = client.simple_query("select 1").await.is_ok();
    drop(client);
    drop(driver.await);
    is_served
}

fn prepare_data(settings: &Settings) -> Result<(PathBuf, Option<TempDir>), Report<Failure>> {
    if let Some(path) = &settings.data {
        return Ok((path.clone(), None));
    }
    let folder = TempDir::with_prefix("trefoil-").change_context(Failure::Data)?;
    Ok((folder.path().to_owned(), Some(folder)))
}

fn generate_key() -> link::Key {
    let mut bytes = [0; link::key::MIN_BYTES * 2];
    rand::Rng::fill_bytes(&mut rand::rng(), &mut bytes);
    link::Key::new(&bytes).expect("a generated link key is long enough")
}

fn name(text: &str) -> Name {
    Name::new(text).expect("names of the cluster's components are valid")
}

fn zone(scenario: Scenario, index: usize) -> Name {
    let zones = scenario.zones();
    name(zones[index % zones.len()])
}

async fn start_members(
    settings: &Settings,
    data: &std::path::Path,
    key: &link::Key,
    clock: Clock,
    groups: &fault::Groups,
) -> Result<Vec<Member>, Report<Failure>> {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut bound = Vec::new();
    let mut peers = Vec::new();
    for index in 0..settings.controls {
        let name = name(&format!("control-{}", index + 1));
        let member = member::bind(member::Settings {
            data: data.join(name.as_str()),
            name: name.clone(),
            link: free,
            web: if index == 0 { settings.admin } else { free },
            key: key.clone(),
            log: settings.log.clone(),
            clock,
            seed: settings.seed.wrapping_add(index as u64),
            beacons: true,
            adapter: None,
            without: base::mechanism::Without::default(),
        });
        let member = member.await.change_context(Failure::Member)?;
        let addresses = member.addresses();
        peers.push(member::Peer { name, link: addresses.link, web: addresses.web });
        bound.push(member);
    }
    let mut members = Vec::new();
    for (member, peer) in bound.into_iter().zip(&peers) {
        let handle = member.start(peers.clone(), fault::routes(groups.clone()));
        let handle = handle.change_context(Failure::Member)?;
        members.push(Member { peer: peer.clone(), handle: Mutex::new(Some(handle)) });
    }
    Ok(members)
}

fn new_entries(settings: &Settings) -> Result<Vec<Entry>, Report<Failure>> {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let first = settings.listen.port();
    let address = |index: usize| -> Result<SocketAddr, Report<Failure>> {
        if first == 0 {
            return Ok(settings.listen);
        }
        let port = u16::try_from(index).ok().and_then(|index| first.checked_add(index));
        Ok(SocketAddr::new(settings.listen.ip(), port.ok_or(Failure::Entry)?))
    };
    let entry = |index: usize| {
        Ok(Entry {
            name: name(&format!("entry-{}", index + 1)),
            zone: zone(settings.scenario, index),
            callers: address(index)?,
            link: free,
            web: free,
            starts: 0,
            handle: None,
        })
    };
    (0..settings.entries).map(entry).collect()
}

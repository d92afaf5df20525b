//! Binding, starting and stopping a member.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use backend::Adapter;
use base::clock::Clock;
use base::mechanism::Without;
use base::prelude::*;
use quorum::Replica;
use rand::Rng;
use slog::{Logger, info, o, warn};
use telemetry::Health;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::quorum::Member;

use crate::api::Api;
use crate::beacon::Beacons;
use crate::core::Core;
use crate::disk::{self, Disk};
use crate::input::{self, Input};
use crate::leaves::Leaves;
use crate::meter::Meter;
use crate::peers::Links;
use crate::probe::Probes;
use crate::roster::{self, Roster};
use crate::updates::Updates;
use crate::waits::Waits;
use crate::{bootstrap, join, link, web};

/// Longest time that a planned stop waits for the transfer of leadership and the
/// results of pending proposals, and again for the end of the member's tasks.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings of a member.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the member's host.
    pub name: Name,
    /// Folder in which the member stores its data.
    pub data: PathBuf,
    /// Address for links of members and entries; port 0 selects a free port.
    pub link: SocketAddr,
    /// Address of the HTTP interface; port 0 selects a free port.
    pub web: SocketAddr,
    /// Key shared by all processes of the system.
    pub key: ::link::Key,
    /// Logger of the member.
    pub log: Logger,
    /// Clock of the process.
    pub clock: Clock,
    /// Seed of the timers' jitter.
    pub seed: u64,
    /// Whether the member publishes its progress in beacons and receives those of other
    /// members.
    pub beacons: bool,
    /// Access to the servers of unfenced groups, if any exist.
    pub adapter: Option<Arc<dyn Adapter>>,
    /// Mechanisms that are turned off.
    pub without: Without,
}

/// Source of the membership for a member without a log.
#[derive(Clone, Debug)]
pub enum Origin {
    /// Static list of all peers of the first membership, this member included.
    Peers(Vec<Peer>),
    /// Addresses at which members may be found.
    Seeds(Seeds),
}

/// Addresses at which members may be found.
#[derive(Clone, Debug)]
pub struct Seeds {
    /// Link addresses, which may change while the process runs.
    pub links: watch::Receiver<Vec<SocketAddr>>,
    /// Whether the seeds may bootstrap the first membership, because the system starts
    /// for the first time.
    pub founding: bool,
    /// Number of members that may be lost at once, including their disks.
    pub tolerance: usize,
}

impl Origin {
    /// Number of members that may be lost at once, where it is known.
    fn tolerance(&self) -> Option<usize> {
        match self {
            Self::Peers(_) => None,
            Self::Seeds(seeds) => Some(seeds.tolerance),
        }
    }
}

fn quorum_settings(
    id: u64,
    seed: u64,
    tolerance: Option<usize>,
    without: Without,
) -> quorum::Settings {
    let max_voters = tolerance.map_or(usize::MAX, roster::voters);
    quorum::Settings { max_voters, without, ..quorum::Settings::new(id, seed) }
}

impl From<Vec<Peer>> for Origin {
    fn from(peers: Vec<Peer>) -> Self {
        Self::Peers(peers)
    }
}

/// A member of the first membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the member's host.
    pub name: Name,
    /// Address for links of members and entries.
    pub link: SocketAddr,
    /// Address of the HTTP interface.
    pub web: SocketAddr,
}

/// Addresses at which a member listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for links of members and entries.
    pub link: SocketAddr,
    /// Address of the HTTP interface.
    pub web: SocketAddr,
}

/// Failure to start a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The member can't listen on an address.
    Listen {
        /// Address to listen on.
        address: SocketAddr,
    },
    /// The data folder can't be used.
    Data {
        /// Path of the data folder.
        path: PathBuf,
    },
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address } => write!(f, "could not listen on {address}"),
            Self::Data { path } => write!(f, "could not use the data folder {}", path.display()),
        }
    }
}

impl std::error::Error for Failure {}

/// A member that has bound its addresses and opened its data folder.
#[derive(Debug)]
pub struct Bound {
    settings: Settings,
    link: TcpListener,
    web: TcpListener,
    addresses: Addresses,
    opened: disk::Opened,
    core: input::Sender,
    inputs: mpsc::Receiver<Input>,
}

/// Binds a member's addresses and opens its data folder.
///
/// # Errors
/// [`Failure`] if an address or the data folder can't be used, with the system error
/// attached.
pub async fn bind(settings: Settings) -> Result<Bound, Report<Failure>> {
    let link = listen(settings.link).await?;
    let web = listen(settings.web).await?;
    let address = |listener: &TcpListener, wanted| {
        listener.local_addr().change_context(Failure::Listen { address: wanted })
    };
    let addresses =
        Addresses { link: address(&link, settings.link)?, web: address(&web, settings.web)? };
    let opened = disk::open(&settings.data, random_id())?;
    let (core, inputs) = mpsc::channel(input::QUEUE_INPUTS);
    Ok(Bound { settings, link, web, addresses, opened, core, inputs })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Report<Failure>> {
    TcpListener::bind(address).await.change_context(Failure::Listen { address })
}

/// Generates a random id other than zero, which stands for no id.
fn random_id() -> u64 {
    rand::rng().next_u64().max(1)
}

impl Bound {
    /// Addresses at which the member listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Handle for requests to the member once it runs.
    pub fn api(&self) -> Api {
        Api::new(self.core.clone(), &self.settings.key)
    }

    /// Starts the member. A membership in the data folder takes precedence over
    /// `origin`. The routes of `extra` are served in addition to the member's own.
    ///
    /// # Errors
    /// [`Failure::Data`] if the data folder holds a state that can't be decoded, or a
    /// thread can't be started.
    pub fn start(
        self,
        origin: impl Into<Origin>,
        extra: axum::Router,
    ) -> Result<Handle, Report<Failure>> {
        let Self { settings, link: listener, web, addresses, opened, core, inputs } = self;
        let origin = origin.into();
        let log = settings.log.new(o!("member" => settings.name.to_string()));
        let failure = || Failure::Data { path: settings.data.clone() };
        let mut own = own(&settings, addresses, &origin, opened.id);
        let open = || Beacons::open(addresses.link.ip(), settings.key.clone());
        let beacons = settings.beacons.then(open).and_then(|beacons| {
            beacons.inspect_err(|error| warn!(log, "beacons disabled"; "error" => %error)).ok()
        });
        own.beacon = beacons.as_ref().map(Beacons::address).unwrap_or_default();
        info!(log, "starting the member"; "id" => own.id, "link" => own.link.clone(),
            "web" => own.web.clone(), "cut_bytes" => opened.cut_bytes);

        let scope = Scope::default();
        let mut disk = Disk::start(opened.journal, core.clone()).change_context_lazy(failure)?;
        let state = crate::apply::state(&opened.stored.snapshot);
        let state = state.map_err(|report| {
            disk.kill();
            report.change_context(failure())
        })?;
        let now = settings.clock.now();
        let seed = settings.seed ^ random_id();
        let tolerance = origin.tolerance();
        let without = settings.without;
        let quorum = quorum_settings(own.id, seed, tolerance, without);
        let replica = Replica::new(now, quorum, opened.stored);
        let fresh = Arc::new(AtomicBool::new(replica.is_fresh()));
        let isolated = Arc::new(AtomicBool::new(false));
        let wants_to_join = Arc::new(AtomicBool::new(replica.is_fresh()));
        let endpoint = link::Endpoint {
            own: own.clone(),
            key: settings.key.clone(),
            fresh: Arc::clone(&fresh),
            wants_to_join: Arc::clone(&wants_to_join),
            isolated: Arc::clone(&isolated),
            log: log.clone(),
        };
        let (meter, metrics) = Meter::new();
        let health = Health::new();

        if let Some(beacons) = &beacons {
            let received = beacons.receive(core.clone(), scope.token.clone());
            received.change_context_lazy(failure)?;
        }
        scope.spawn(link::serve(listener, endpoint.clone(), core.clone(), scope.clone()));
        find_members(origin, replica.is_fresh(), &endpoint, &core, &scope);
        let routes = web::routes(Api::new(core.clone(), &settings.key), endpoint.clone())
            .merge(telemetry::web::routes(health.clone(), metrics))
            .merge(extra);
        let stopped = scope.token.clone().cancelled_owned();
        let served = telemetry::web::serve(web, routes, stopped);
        scope.tracker.spawn(async move { drop(served.await) });
        let core_task = Core {
            clock: settings.clock,
            log,
            own,
            fresh,
            replica,
            updates: Updates::new(now, &state),
            state,
            leadership: quorum::Leadership::default(),
            leader: None,
            writes: disk.writes(),
            links: Links::new(endpoint, scope.clone()),
            beacons,
            beacons_received: BTreeMap::new(),
            probes: Probes::new(
                core.clone(),
                scope.clone(),
                settings.name,
                settings.adapter,
                settings.clock,
            ),
            followers: Arena::new(),
            applied: Vec::new(),
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed: Vec::new(),
            token: random_id() >> 1,
            forward: wire::quorum::Forward::default(),
            failovers: std::collections::VecDeque::new(),
            entry_indexes: BTreeMap::new(),
            health,
            meter,
            stopping_since: None,
            ticks: 0,
            quorum_events: std::collections::VecDeque::new(),
            leader_events: Vec::new(),
            leaderless_since: Some(now),
            control_leadership: control::Leadership { token: 0, last_chosen: Some(now), without },
            roster: Roster::new(tolerance),
            waits: Waits::default(),
            leaves: Leaves::default(),
            wants_to_join,
        };
        let ended = scope.token.clone();
        scope.spawn(async move {
            core_task.run(inputs).await;
            ended.cancel();
        });
        Ok(Handle { core, scope, disk, addresses, isolated })
    }
}

/// Starts the task that founds a membership or joins one.
fn find_members(
    origin: Origin,
    fresh: bool,
    endpoint: &link::Endpoint,
    core: &input::Sender,
    scope: &Scope,
) {
    let (endpoint, core) = (endpoint.clone(), core.clone());
    match origin {
        Origin::Peers(peers) if fresh => scope.spawn(bootstrap::run(peers, endpoint, core)),
        Origin::Peers(_) => {}
        Origin::Seeds(seeds) => scope.spawn(join::run(seeds, endpoint, core)),
    }
}

fn own(settings: &Settings, addresses: Addresses, origin: &Origin, id: u64) -> Member {
    let peers = match origin {
        Origin::Peers(peers) => peers.as_slice(),
        Origin::Seeds(_) => &[],
    };
    let listed = peers.iter().find(|peer| peer.name == settings.name);
    let (link, web) = listed.map_or((addresses.link, addresses.web), |peer| (peer.link, peer.web));
    Member {
        id,
        name: settings.name.to_string(),
        link: link.to_string(),
        web: web.to_string(),
        voter: true,
        beacon: String::new(),
    }
}

/// Group of tasks that are cancelled together.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scope {
    pub(crate) token: CancellationToken,
    pub(crate) tracker: TaskTracker,
}

impl Scope {
    /// Spawns a task that is dropped when the scope is cancelled.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let token = self.token.clone();
        self.tracker.spawn(async move {
            token.run_until_cancelled_owned(task).await;
        });
    }
}

/// Handle of a running member.
#[derive(Debug)]
pub struct Handle {
    core: input::Sender,
    scope: Scope,
    disk: Disk,
    addresses: Addresses,
    isolated: Arc<AtomicBool>,
}

impl Handle {
    /// Addresses at which the member listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Completes when the member has ended, including after a disk failure.
    pub async fn ended(&self) {
        self.scope.token.cancelled().await;
    }

    /// Starts or ends an isolation, in which the member drops all messages to and from
    /// members and entries and refuses their new links.
    pub fn isolate(&self, isolated: bool) {
        self.isolated.store(isolated, std::sync::atomic::Ordering::Release);
    }

    /// Performs a planned stop: transfers leadership, completes pending proposals, and
    /// ends the member.
    pub async fn stop(mut self) {
        if self.core.send(Input::Stop).await.is_ok() {
            drop(tokio::time::timeout(STOP_TIMEOUT, self.scope.token.cancelled()).await);
        }
        self.scope.token.cancel();
        self.scope.tracker.close();
        drop(tokio::time::timeout(STOP_TIMEOUT, self.scope.tracker.wait()).await);
        self.disk.kill();
    }

    /// Ends the member at once as a crash would; writes that are not synced are lost.
    pub fn kill(mut self) {
        self.scope.token.cancel();
        self.disk.kill();
    }
}

//! Binding, starting and stopping a member.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use backend::Adapter;
use base::clock::Clock;
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
use crate::meter::Meter;
use crate::peers::Links;
use crate::probe::Probes;
use crate::roster::{self, Roster};
use crate::{boot, join, link, web};

/// Longest time that a planned stop tries to hand over leadership.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings of a member.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of its host.
    pub name: Name,
    /// Data folder.
    pub data: PathBuf,
    /// Where members and entries dial; port 0 takes a free one.
    pub link: SocketAddr,
    /// Where HTTP is served; port 0 takes a free one.
    pub web: SocketAddr,
    /// Key that the system's processes share.
    pub key: ::link::Key,
    /// Where it logs.
    pub log: Logger,
    /// The process's clock.
    pub clock: Clock,
    /// Seed of the timers' jitter.
    pub seed: u64,
    /// Whether it publishes how far it is.
    pub beacons: bool,
    /// The way to servers that acknowledge by themselves, where groups have such.
    pub outside: Option<Arc<dyn Adapter>>,
}

/// How a member without a log comes to a membership.
#[derive(Clone, Debug)]
pub enum Origin {
    /// The first membership, itself included.
    Named(Vec<Peer>),
    /// Addresses at which members may be found.
    Seeds(Seeds),
}

/// Where members may be found.
#[derive(Clone, Debug)]
pub struct Seeds {
    /// Links; they may change while the process runs.
    pub links: watch::Receiver<Vec<SocketAddr>>,
    /// Whether the seeds may found the first membership: the system starts for
    /// the first time.
    pub founding: bool,
    /// Members that may be lost at once, with their disks.
    pub tolerance: usize,
}

impl From<Vec<Peer>> for Origin {
    fn from(peers: Vec<Peer>) -> Self {
        Self::Named(peers)
    }
}

/// A member of the first membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of its host.
    pub name: Name,
    /// Where it takes links.
    pub link: SocketAddr,
    /// Where it serves HTTP.
    pub web: SocketAddr,
}

/// Where a member listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Links.
    pub link: SocketAddr,
    /// HTTP.
    pub web: SocketAddr,
}

/// Why a member can't start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// An address can't be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
    },
    /// The data folder can't be used.
    Data {
        /// The folder.
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

/// A member whose addresses and data folder are taken.
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

/// Takes a member's addresses and data folder.
///
/// # Errors
/// [`Failure`], with what the system says attached.
pub async fn bind(settings: Settings) -> Result<Bound, Report<Failure>> {
    let link = listen(settings.link).await?;
    let web = listen(settings.web).await?;
    let address = |listener: &TcpListener, wanted| {
        listener.local_addr().change_context(Failure::Listen { address: wanted })
    };
    let addresses =
        Addresses { link: address(&link, settings.link)?, web: address(&web, settings.web)? };
    let opened = disk::open(&settings.data, draw_id())?;
    let (core, inputs) = mpsc::channel(input::QUEUE);
    Ok(Bound { settings, link, web, addresses, opened, core, inputs })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Report<Failure>> {
    TcpListener::bind(address).await.change_context(Failure::Listen { address })
}

fn draw_id() -> u64 {
    rand::rng().next_u64().max(1)
}

impl Bound {
    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// What a program may ask of the member once it runs.
    pub fn api(&self) -> Api {
        Api::new(self.core.clone())
    }

    /// Starts the member. A data folder that knows a membership goes by that.
    /// `extra` is served beside the member's own routes.
    ///
    /// # Errors
    /// [`Failure::Data`] when the data holds a state that can't be read.
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
            beacons.inspect_err(|error| warn!(log, "no beacons"; "error" => %error)).ok()
        });
        own.beacon = beacons.as_ref().map(Beacons::address).unwrap_or_default();
        info!(log, "starts"; "id" => own.id, "link" => own.link.clone(), "web" => own.web.clone(),
            "cut_bytes" => opened.cut_bytes);

        let scope = Scope::default();
        let mut disk = Disk::start(opened.journal, core.clone()).change_context_lazy(failure)?;
        let state = crate::apply::state(&opened.stored.snapshot);
        let state = state.map_err(|report| {
            disk.kill();
            report.change_context(failure())
        })?;
        let now = settings.clock.now();
        let seed = settings.seed ^ draw_id();
        let tolerance = match &origin {
            Origin::Named(_) => None,
            Origin::Seeds(seeds) => Some(seeds.tolerance),
        };
        let voters = tolerance.map_or(usize::MAX, roster::voters);
        let quorum = quorum::Settings { max_voters: voters, ..quorum::Settings::new(own.id, seed) };
        let replica = Replica::new(now, quorum, opened.stored);
        let fresh = Arc::new(AtomicBool::new(replica.is_fresh()));
        let cut = Arc::new(AtomicBool::new(false));
        let asks = Arc::new(AtomicBool::new(replica.is_fresh()));
        let end = link::End {
            own: own.clone(),
            key: settings.key.clone(),
            fresh: Arc::clone(&fresh),
            asks: Arc::clone(&asks),
            cut: Arc::clone(&cut),
            log: log.clone(),
        };
        let (meter, metrics) = Meter::new();
        let health = Health::new();

        if let Some(beacons) = &beacons {
            let received = beacons.receive(core.clone(), scope.token.clone());
            received.change_context_lazy(failure)?;
        }
        scope.spawn(link::serve(listener, end.clone(), core.clone(), scope.clone()));
        match origin {
            Origin::Named(peers) if replica.is_fresh() => {
                scope.spawn(boot::find(peers, end.clone(), core.clone()));
            }
            Origin::Named(_) => {}
            Origin::Seeds(seeds) => scope.spawn(join::run(seeds, end.clone(), core.clone())),
        }
        let routes = web::routes(Api::new(core.clone()), end.clone())
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
            state,
            part: quorum::Leadership::default(),
            leader: None,
            writes: disk.writes(),
            links: Links::new(end, scope.clone()),
            beacons,
            heard: BTreeMap::new(),
            probes: Probes::new(core.clone(), scope.clone(), settings.name, settings.outside),
            followers: Arena::new(),
            applied: Vec::new(),
            image: None,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed: Vec::new(),
            token: draw_id() >> 1,
            forward: wire::quorum::Forward::default(),
            failovers: std::collections::VecDeque::new(),
            seen: BTreeMap::new(),
            health,
            meter,
            stopping: None,
            ticks: 0,
            due: std::collections::VecDeque::new(),
            late: Vec::new(),
            unled: Some(now),
            past: control::Leadership { token: 0, last_chosen: Some(now) },
            roster: Roster::new(tolerance),
            asks,
        };
        let ended = scope.token.clone();
        scope.spawn(async move {
            core_task.run(inputs).await;
            ended.cancel();
        });
        Ok(Handle { core, scope, disk, addresses, cut })
    }
}

fn own(settings: &Settings, addresses: Addresses, origin: &Origin, id: u64) -> Member {
    let peers = match origin {
        Origin::Named(peers) => peers.as_slice(),
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

/// Tasks that end together.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scope {
    pub(crate) token: CancellationToken,
    pub(crate) tracker: TaskTracker,
}

impl Scope {
    /// Spawns a task that is dropped when the scope ends.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let token = self.token.clone();
        self.tracker.spawn(async move {
            token.run_until_cancelled_owned(task).await;
        });
    }
}

/// A member that runs.
#[derive(Debug)]
pub struct Handle {
    core: input::Sender,
    scope: Scope,
    disk: Disk,
    addresses: Addresses,
    cut: Arc<AtomicBool>,
}

impl Handle {
    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Completes when the member has ended, also by itself, as on a failed disk.
    pub async fn ended(&self) {
        self.scope.token.cancelled().await;
    }

    /// Cuts the member off from members and entries, in silence, or ends that.
    pub fn isolate(&self, cut: bool) {
        self.cut.store(cut, std::sync::atomic::Ordering::Release);
    }

    /// A planned stop: hands leadership over, finishes answers, ends.
    pub async fn stop(mut self) {
        if self.core.send(Input::Stop).await.is_ok() {
            drop(tokio::time::timeout(STOP_TIMEOUT, self.scope.token.cancelled()).await);
        }
        self.scope.token.cancel();
        self.scope.tracker.close();
        drop(tokio::time::timeout(STOP_TIMEOUT, self.scope.tracker.wait()).await);
        self.disk.kill();
    }

    /// Drops everything at once, as a crash would; what is not synced is lost.
    pub fn kill(mut self) {
        self.scope.token.cancel();
        self.disk.kill();
    }
}

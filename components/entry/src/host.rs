//! Starting and stopping an entry.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use axum::Router;
use axum::routing::get;
use base::clock::Clock;
use base::prelude::*;
use link::Key;
use pg::scram::Users;
use plain::Dialect;
use prometheus_client::registry::Registry;
use slog::{Logger, error, info, warn};
use telemetry::Health;
use tokio::net::TcpListener;
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;
use wire::log::Join;

use crate::front::tls::{self, Tls};
use crate::view::Symptoms;
use crate::{View, follow, front, keep};

/// Time between two looks at whether the entry can take work.
const READY_CHECK: Duration = Duration::from_millis(100);

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Raised by each start of the entry.
    pub incarnation: u64,
    /// Whether the host starts an entry only after the earlier one has ended.
    pub sole: bool,
    /// How much the host can carry beside others; groups are kept by those that
    /// carry most.
    pub weight: u32,
    /// Where callers connect; port 0 takes a free one.
    pub callers: SocketAddr,
    /// Where fronts of other entries connect.
    pub link: SocketAddr,
    /// Where health and metrics are served.
    pub web: SocketAddr,
    /// Links of the control members.
    pub controls: follow::Controls,
    /// The key that the system's processes share.
    pub key: Key,
    /// File of users; without one each login is trusted.
    pub users: Option<PathBuf>,
    /// Files for TLS towards callers.
    pub tls: Option<Tls>,
    /// Protocol of plain statements, towards callers and backend servers; none
    /// where they speak PostgreSQL.
    pub dialect: Option<Arc<dyn Dialect>>,
    /// Log.
    pub log: Logger,
    /// Time.
    pub clock: Clock,
}

/// How an entry is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Time in which the balancer notices that the entry is not ready.
    pub balancer: Duration,
    /// Time in which transactions may end.
    pub limit: Duration,
}

impl Default for Stop {
    fn default() -> Self {
        Self { balancer: Duration::from_secs(1), limit: Duration::from_secs(20) }
    }
}

/// An entry that could not start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// An address could not be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
    },
    /// The file of users can't be read.
    Users {
        /// Its path.
        path: PathBuf,
    },
    /// The files for TLS can't be used.
    Tls,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address } => write!(f, "could not listen on {address}"),
            Self::Users { path } => write!(f, "could not read users from {}", path.display()),
            Self::Tls => f.write_str("the files for TLS can't be used"),
        }
    }
}

impl std::error::Error for Failure {}

/// Addresses that an entry listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where fronts connect.
    pub link: SocketAddr,
    /// Where health and metrics are served.
    pub web: SocketAddr,
}

/// An entry that listens and does not serve yet.
#[derive(Debug)]
pub struct Bound {
    settings: Settings,
    addresses: Addresses,
    callers: TcpListener,
    link: TcpListener,
    web: TcpListener,
    users: Option<Users>,
    tls: Option<Acceptor>,
}

/// A TLS acceptor, which has no debug form of its own.
#[derive(Clone)]
struct Acceptor(TlsAcceptor);

impl fmt::Debug for Acceptor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Acceptor(..)")
    }
}

/// Listens on all addresses of an entry and reads its files.
///
/// # Errors
/// Each [`Failure`].
pub async fn bind(settings: Settings) -> Result<Bound, Report<Failure>> {
    let users = settings.users.as_ref().map(users).transpose()?;
    let tls = settings.tls.as_ref().map(tls::load).transpose().change_context(Failure::Tls)?;
    let (callers, callers_address) = listen(settings.callers).await?;
    let (link, link_address) = listen(settings.link).await?;
    let (web, web_address) = listen(settings.web).await?;
    let addresses = Addresses { callers: callers_address, link: link_address, web: web_address };
    Ok(Bound { settings, addresses, callers, link, web, users, tls: tls.map(Acceptor) })
}

fn users(path: &PathBuf) -> Result<Users, Report<Failure>> {
    let failure = || Failure::Users { path: path.clone() };
    let text = std::fs::read_to_string(path).change_context_lazy(failure)?;
    text.parse::<Users>().map_err(|report| report.change_context(failure()))
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Report<Failure>> {
    let failure = Failure::Listen { address };
    let listener = TcpListener::bind(address).await.change_context_lazy(|| failure.clone())?;
    let bound = listener.local_addr().change_context(failure)?;
    Ok((listener, bound))
}

impl Bound {
    /// Addresses that the entry listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Starts all halves of the entry.
    pub fn start(self) -> Handle {
        let (view, symptoms) = View::new();
        let metrics = Arc::new(Mutex::new(Registry::default()));
        let health = Health::new();
        let ended = CancellationToken::new();
        let ready = readiness(self.settings.clone(), view.clone(), health.clone());
        let ready = tokio::spawn(ended.clone().run_until_cancelled_owned(ready));
        let front = front::start(front::Settings {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.settings.incarnation,
            listener: self.callers,
            key: self.settings.key.clone(),
            users: self.users,
            tls: self.tls.map(|acceptor| acceptor.0),
            dialect: self.settings.dialect.clone(),
            view: view.clone(),
            clock: self.settings.clock,
            metrics: Arc::clone(&metrics),
            log: self.settings.log.clone(),
        });
        let routes = telemetry::web::routes(health.clone(), Arc::clone(&metrics));
        let routes = routes.merge(burn_routes(front.front()));
        tokio::spawn(web(self.settings.log.clone(), self.web, routes, ended.clone()));
        Handle {
            log: self.settings.log.clone(),
            front,
            keep: keep::start(keep::Settings {
                name: self.settings.name.clone(),
                zone: self.settings.zone.clone(),
                incarnation: self.settings.incarnation,
                listener: self.link,
                key: self.settings.key.clone(),
                view: view.clone(),
                clock: self.settings.clock,
                dialect: self.settings.dialect.clone(),
                metrics,
                log: self.settings.log.clone(),
            }),
            follow: start_follow(self.settings, self.addresses, view.clone(), symptoms),
            view,
            health,
            ready,
            ended,
        }
    }
}

fn start_follow(
    settings: Settings,
    addresses: Addresses,
    view: View,
    symptoms: Symptoms,
) -> follow::Handle {
    let join = Join {
        entry: settings.name.as_str().to_owned(),
        incarnation: settings.incarnation,
        address: addresses.link.to_string(),
        zone: settings.zone.as_str().to_owned(),
        web: addresses.web.to_string(),
        sole: settings.sole,
        weight: settings.weight,
    };
    let Settings { controls, key, clock, log, .. } = settings;
    follow::start(follow::Settings { join, controls, key, view, symptoms, clock, log })
}

/// `GET /v1/burn`: what the entry counted against the objectives of services.
fn burn_routes(front: Arc<front::Front>) -> Router {
    Router::new().route("/v1/burn", get(async move || axum::Json(front.page())))
}

async fn web(log: Logger, listener: TcpListener, routes: Router, ended: CancellationToken) {
    let served = telemetry::web::serve(listener, routes, ended.cancelled_owned()).await;
    if let Err(report) = served {
        error!(log, "health and metrics are not served any more"; "error" => #%report);
    }
}

/// Keeps readiness true to whether the entry can take work.
async fn readiness(settings: Settings, view: View, health: Health) {
    let mut check = tokio::time::interval(READY_CHECK);
    loop {
        check.tick().await;
        let draining = view
            .read(|state| state.entries.get(&settings.name).is_some_and(|entry| entry.draining));
        let ready = view.has_lease(settings.clock.now()) && !draining;
        if health.set_ready(ready) != ready {
            info!(settings.log, "readiness changed"; "ready" => ready);
        }
    }
}

/// An entry that runs.
#[derive(Debug)]
pub struct Handle {
    log: Logger,
    front: front::Handle,
    keep: keep::Handle,
    follow: follow::Handle,
    view: View,
    health: Health,
    ready: tokio::task::JoinHandle<Option<()>>,
    ended: CancellationToken,
}

impl Handle {
    /// What the entry knows of the control log.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Whether the entry takes new work, for a server of its own.
    pub fn health(&self) -> Health {
        self.health.clone()
    }

    /// Whether the entry takes new work.
    pub fn is_ready(&self) -> bool {
        self.health.is_ready()
    }

    /// Stops as planned, with the default [`Stop`].
    pub async fn stop(self) {
        self.stop_with(Stop::default()).await;
    }

    /// Stops as planned: is not ready, lets the balancer notice, takes no new
    /// callers, finishes what runs, gives the leases back and leaves.
    pub async fn stop_with(self, stop: Stop) {
        self.ready.abort();
        self.health.set_ready(false);
        info!(self.log, "stopping"; "limit_ms" => stop.limit.as_millis() as u64);
        tokio::time::sleep(stop.balancer).await;
        let cut = self.front.close(stop.limit).await;
        if cut > 0 {
            warn!(self.log, "callers were cut at the limit"; "callers" => cut);
        }
        self.keep.close().await;
        self.front.end();
        self.follow.leave().await;
        self.ended.cancel();
        info!(self.log, "stopped");
    }

    /// Drops everything at once, as a crash does.
    pub fn kill(self) {
        self.ready.abort();
        self.front.kill();
        self.keep.kill();
        self.follow.kill();
        self.ended.cancel();
    }
}

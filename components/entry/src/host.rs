//! Starts and stops an entry.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use axum::Router;
use axum::routing::get;
use base::clock::Clock;
use base::mechanism::{Mechanism, Without};
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

/// Time between two checks of whether the entry is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry.
    pub name: Name,
    /// Availability zone of the entry.
    pub zone: Name,
    /// Incarnation of the entry; each start of the entry raises it.
    pub incarnation: u64,
    /// Whether the host starts the entry only after its previous process has ended.
    pub sole: bool,
    /// Capacity of the host relative to the hosts of other entries. Only entries with
    /// at least half of the greatest weight keep groups, unless there are too few such
    /// entries.
    pub weight: u32,
    /// Listen address for callers; port 0 takes a free port.
    pub callers: SocketAddr,
    /// Listen address for the fronts of other entries.
    pub link: SocketAddr,
    /// Listen address for health and metrics.
    pub web: SocketAddr,
    /// Addresses at which control members accept links.
    pub controls: follow::Controls,
    /// Key that all processes of the system share.
    pub key: Key,
    /// File with the users that may log in; without a file each login is trusted.
    pub users: Option<PathBuf>,
    /// Certificate and key files for TLS towards callers; `None` disables TLS.
    pub tls: Option<Tls>,
    /// Protocol for plain statements, spoken with callers and backend servers; `None`
    /// if they speak PostgreSQL.
    pub dialect: Option<Arc<dyn Dialect>>,
    /// How far the limits of teams may be exceeded.
    pub quota: quota::Bounds,
    /// Mechanisms that are turned off.
    pub without: Without,
    /// Logger for events of the entry.
    pub log: Logger,
    /// Clock of the process.
    pub clock: Clock,
}

/// Default of [`Stop::statements`].
const STATEMENT_LIMIT: Duration = Duration::from_secs(5);

/// Shortest time for the keeper to end what runs there for callers of other entries.
const KEEPER_GRACE: Duration = Duration::from_millis(200);

/// Time limits of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Wait for the load balancer to notice that the entry is not ready.
    pub balancer: Duration,
    /// Time limit for open transactions to finish.
    pub limit: Duration,
    /// Further time for statements that still run then. What remains is ended, so the
    /// process must be left a little longer than both together.
    pub statements: Duration,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            balancer: Duration::from_secs(1),
            limit: Duration::from_secs(20),
            statements: STATEMENT_LIMIT,
        }
    }
}

/// Error that keeps an entry from starting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The entry cannot listen on an address.
    Listen {
        /// Address to listen on.
        address: SocketAddr,
    },
    /// The file of users cannot be read or parsed.
    Users {
        /// Path of the file.
        path: PathBuf,
    },
    /// The certificate or key file for TLS cannot be used.
    Tls,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address } => write!(f, "could not listen on {address}"),
            Self::Users { path } => write!(f, "could not read users from {}", path.display()),
            Self::Tls => f.write_str("could not load the certificate and key for TLS"),
        }
    }
}

impl std::error::Error for Failure {}

/// Addresses that an entry listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the fronts of other entries.
    pub link: SocketAddr,
    /// Listen address for health and metrics.
    pub web: SocketAddr,
}

/// An entry whose addresses are bound, but that does not serve yet.
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

/// A TLS acceptor with an implementation of `Debug`, which [`TlsAcceptor`] lacks.
#[derive(Clone)]
struct Acceptor(TlsAcceptor);

impl fmt::Debug for Acceptor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Acceptor(..)")
    }
}

/// Binds all addresses of an entry and reads its files.
///
/// # Errors
/// Returns a [`Failure`] if an address cannot be bound or a file cannot be used.
pub async fn bind(settings: Settings) -> Result<Bound, Report<Failure>> {
    let users = settings.users.as_ref().map(read_users).transpose()?;
    let tls = settings.tls.as_ref().map(tls::load).transpose().change_context(Failure::Tls)?;
    let (callers, callers_address) = listen(settings.callers).await?;
    let (link, link_address) = listen(settings.link).await?;
    let (web, web_address) = listen(settings.web).await?;
    let addresses = Addresses { callers: callers_address, link: link_address, web: web_address };
    Ok(Bound { settings, addresses, callers, link, web, users, tls: tls.map(Acceptor) })
}

fn read_users(path: &PathBuf) -> Result<Users, Report<Failure>> {
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
    /// Returns the addresses that the entry listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Starts the front, the keeper, the link to control and the web server.
    pub fn start(self) -> Handle {
        let (view, symptoms) = View::new();
        let metrics = Arc::new(Mutex::new(Registry::default()));
        let health = Health::new();
        let ended = CancellationToken::new();
        let ready = update_readiness(self.settings.clone(), view.clone(), health.clone());
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
            without: self.settings.without,
            metrics: Arc::clone(&metrics),
            log: self.settings.log.clone(),
        });
        let links = front.front().keepers();
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
                quota: self.settings.quota,
                links,
                without: self.settings.without,
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

/// Serves `GET /v1/burn`: the entry's counts of requests against the objectives of
/// services.
fn burn_routes(front: Arc<front::Front>) -> Router {
    Router::new().route("/v1/burn", get(async move || axum::Json(front.page())))
}

async fn web(log: Logger, listener: TcpListener, routes: Router, ended: CancellationToken) {
    let served = telemetry::web::serve(listener, routes, ended.cancelled_owned()).await;
    if let Err(report) = served {
        error!(log, "web server for health and metrics failed"; "error" => #%report);
    }
}

/// Updates readiness: an entry is ready while it holds its lease, control confirms its
/// heartbeats, and it is not draining.
async fn update_readiness(settings: Settings, view: View, health: Health) {
    let mut check = tokio::time::interval(READY_CHECK_INTERVAL);
    loop {
        check.tick().await;
        let draining = view
            .read(|state| state.entries.get(&settings.name).is_some_and(|entry| entry.draining));
        let now = settings.clock.now();
        let confirmed = view.is_confirmed(now) || settings.without.has(Mechanism::EarlyUnready);
        let ready = view.has_lease(now) && confirmed && !draining;
        if health.set_ready(ready) != ready {
            info!(settings.log, "readiness changed"; "ready" => ready);
        }
    }
}

/// Handle to a running entry.
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
    /// Returns the control state and lease of the entry.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the readiness of the entry, for a health server outside of the entry.
    pub fn health(&self) -> Health {
        self.health.clone()
    }

    /// Whether the entry accepts new callers.
    pub fn is_ready(&self) -> bool {
        self.health.is_ready()
    }

    /// Stops the entry gracefully, with the default limits of [`Stop`].
    pub async fn stop(self) {
        self.stop_with(Stop::default()).await;
    }

    /// Stops the entry gracefully: clears readiness, waits for the load balancer to
    /// notice, accepts no new callers, finishes running requests and transactions,
    /// gives back the leases, and tells control that the entry leaves.
    pub async fn stop_with(self, stop: Stop) {
        self.ready.abort();
        self.health.set_ready(false);
        info!(self.log, "stopping"; "limit_ms" => stop.limit.as_millis() as u64);
        tokio::time::sleep(stop.balancer).await;
        let until = tokio::time::Instant::now() + stop.limit + stop.statements;
        let interrupted = self.front.close(stop.limit, stop.statements).await;
        if interrupted > 0 {
            warn!(self.log, "time limit for open transactions reached; they were ended";
                "callers" => interrupted);
        }
        let until = until.max(tokio::time::Instant::now() + KEEPER_GRACE);
        if tokio::time::timeout_at(until, self.keep.close()).await.is_err() {
            warn!(self.log, "time limit for stopping reached; the keeper's work was ended");
        }
        self.front.close_links();
        self.follow.leave().await;
        self.ended.cancel();
        info!(self.log, "stopped");
    }

    /// Drops all links and connections at once, as in a crash.
    pub fn kill(self) {
        self.ready.abort();
        self.front.kill();
        self.keep.kill();
        self.follow.kill();
        self.ended.cancel();
    }
}

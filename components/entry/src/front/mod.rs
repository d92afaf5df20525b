//! The caller side of an entry.
//!
//! Each caller has one task. The task of a PostgreSQL caller groups the caller's
//! messages into cycles, each of which is answered up to one ReadyForQuery. The task
//! looks up in the declarations how each cycle or plain statement may be run, sends it
//! to a keeper of the database group and forwards the answer.
//!
//! - [`conn`]: the connection of a PostgreSQL caller.
//! - [`login`]: startup and authentication of a PostgreSQL caller.
//! - [`session`]: state of a caller between two cycles.
//! - [`caller`]: the task of a PostgreSQL caller.
//! - [`admit`]: access checks and the declared rule of a request.
//! - `dispatch`: sends one request to the keepers of its group and retries it.
//! - [`attempt`]: the result of one attempt, and whether it may be retried.
//! - `run`: runs one cycle of a PostgreSQL caller.
//! - `plain`: callers of plain statements.
//! - `local`: cycles that the front answers without a keeper.
//! - [`choose`]: the order in which keepers are tried.
//! - [`keepers`], [`link`]: the links to keepers.
//! - [`patience`]: how long a read waits for a silent keeper.
//! - `counts`: requests counted against the objectives of services.
//! - [`cancels`]: cancel requests.
//! - [`tls`]: TLS towards callers.
//! - [`metrics`]: metrics of a front.

pub mod admit;
pub mod attempt;
pub mod caller;
pub mod cancels;
pub mod choose;
pub mod conn;
mod counts;
mod dispatch;
pub mod keepers;
pub mod link;
mod local;
pub mod login;
pub mod metrics;
pub mod patience;
mod plain;
mod run;
pub mod session;
pub mod tls;

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use ::plain::Dialect;
use ::session::Keys;
use base::clock::Clock;
use base::mechanism::{Mechanism, Without};
use base::prelude::*;
use pg::scram::{SALT_BYTES, Users};
use slog::{Logger, debug, info, warn};
use telemetry::web::Metrics as Registry;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::View;

/// Time between a failed accept and the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time without a lease after which idle callers are disconnected: an entry that
/// is cut off from control can't serve them, and other entries can.
const UNLEASED_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an idle caller may still send a request after the front has begun to
/// stop or lost its lease: a request that is on its way is answered, not cut off.
const IDLE_GRACE: Duration = Duration::from_millis(100);

/// Time for the answers to statements that were still running at the end of a stop.
const OVER_GRACE: Duration = Duration::from_millis(300);

/// Time between two checks of the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Settings of a front.
pub struct Settings {
    /// Name of the entry.
    pub name: Name,
    /// Availability zone of the entry.
    pub zone: Name,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Listener for callers.
    pub listener: TcpListener,
    /// Key that the system's processes share.
    pub key: ::link::Key,
    /// Users and their password verifiers; without them every login is trusted.
    pub users: Option<Users>,
    /// TLS towards callers; without it callers connect in plain text only.
    pub tls: Option<TlsAcceptor>,
    /// Protocol of plain statements; `None` if callers speak PostgreSQL.
    pub dialect: Option<Arc<dyn Dialect>>,
    /// The control state as this entry has applied it, and the entry's lease.
    pub view: View,
    /// Clock of the process; the lease in the view is measured on it too.
    pub clock: Clock,
    /// Mechanisms that are turned off.
    pub without: Without,
    /// Registry for the metrics of the front.
    pub metrics: Registry,
    /// Logger of the front.
    pub log: Logger,
}

impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings").field("name", &self.name).finish_non_exhaustive()
    }
}

/// Whether a front serves callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The front accepts callers.
    Open,
    /// The front has no lease and disconnects idle callers.
    Unleased,
    /// The front is stopping and finishes open requests and transactions.
    Closing,
    /// The time for open transactions is over: statements that run are answered, and the
    /// next statement of a transaction is refused unless it ends the transaction.
    Ending,
    /// The time for statements is over too: those that still run are answered as unfinished.
    Over,
}

impl Phase {
    /// Whether the front is stopping.
    pub fn is_stopping(self) -> bool {
        matches!(self, Self::Closing | Self::Ending | Self::Over)
    }

    /// Whether the time for open transactions is over.
    pub fn ends_transactions(self) -> bool {
        matches!(self, Self::Ending | Self::Over)
    }

    /// Whether a caller that sends nothing is disconnected; `idle` is one without an open
    /// transaction.
    fn disconnects(self, idle: bool) -> bool {
        match self {
            Self::Open => false,
            Self::Unleased | Self::Closing => idle,
            Self::Ending | Self::Over => true,
        }
    }
}

/// State that all callers of a front share.
pub struct Front {
    name: Name,
    zone: Name,
    incarnation: u64,
    view: View,
    clock: Clock,
    /// Mechanisms that are turned off.
    without: Without,
    keys: Keys,
    key: ::link::Key,
    users: Option<Users>,
    tls: Option<TlsAcceptor>,
    dialect: Option<Arc<dyn Dialect>>,
    keepers: Arc<keepers::Keepers>,
    cancels: Arc<cancels::Cancels>,
    phase: watch::Sender<Phase>,
    /// Version of the declarations that the entry has applied.
    version: watch::Sender<u64>,
    next_session: AtomicU64,
    /// Budget of reads that leave a silent keeper early.
    early: Mutex<retry::Budget>,
    metrics: metrics::Metrics,
    counts: counts::Counts,
    log: Logger,
}

impl fmt::Debug for Front {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Front").field("name", &self.name).finish_non_exhaustive()
    }
}

impl Front {
    /// Returns a session number that this front has not used before.
    fn next_session_number(&self) -> u64 {
        self.next_session.fetch_add(1, Ordering::Relaxed)
    }

    /// The links to keepers.
    pub fn keepers(&self) -> Arc<keepers::Keepers> {
        Arc::clone(&self.keepers)
    }

    /// Requests counted against the objectives of services.
    pub fn page(&self) -> burn::Page {
        self.counts.page(self.clock.now(), &self.name, self.incarnation)
    }

    /// Salt for the login of an unknown user. The salt is the same for every login
    /// of one name, as a known user's is, so that the two can't be told apart.
    fn decoy_salt(&self, user: &str) -> [u8; SALT_BYTES] {
        let proof = self.key.prove(&[b"salt", user.as_bytes()]);
        *proof.first_chunk().expect("a proof is longer than a salt")
    }
}

/// A running front.
#[derive(Debug)]
pub struct Handle {
    front: Arc<Front>,
    callers: TaskTracker,
    stop: CancellationToken,
    kill: CancellationToken,
}

/// Starts a front.
pub fn start(settings: Settings) -> Handle {
    let Settings { name, zone, incarnation, listener, key, users, tls, dialect, .. } = settings;
    let (view, clock) = (settings.view, settings.clock);
    let log = settings.log;
    let metrics = {
        let registry = settings.metrics.lock();
        let mut registry = registry.unwrap_or_else(PoisonError::into_inner);
        metrics::Metrics::new(&mut registry)
    };
    let links = keepers::Keepers::new(&name, incarnation, key.clone(), clock, log.clone());
    let front = Arc::new(Front {
        name,
        zone,
        incarnation,
        view,
        clock,
        without: settings.without,
        keys: Keys::new(key.bytes()),
        key,
        users,
        tls,
        dialect,
        keepers: Arc::new(links),
        cancels: Arc::default(),
        phase: watch::Sender::new(Phase::Open),
        version: watch::Sender::new(0),
        next_session: AtomicU64::new(1),
        early: Mutex::new(retry::Budget::new(patience::EARLY_SHARE)),
        metrics,
        counts: counts::Counts::default(),
        log,
    });
    let handle = Handle {
        front,
        callers: TaskTracker::new(),
        stop: CancellationToken::new(),
        kill: CancellationToken::new(),
    };
    tokio::spawn(handle.stop.clone().run_until_cancelled_owned(accept(
        Arc::clone(&handle.front),
        listener,
        handle.callers.clone(),
        handle.kill.clone(),
    )));
    let cleanup = drop_stale(Arc::clone(&handle.front));
    tokio::spawn(handle.kill.clone().run_until_cancelled_owned(cleanup));
    let watch = watch_lease(Arc::clone(&handle.front));
    tokio::spawn(handle.stop.clone().run_until_cancelled_owned(watch));
    handle
}

impl Handle {
    /// State that all callers of the front share.
    pub fn front(&self) -> Arc<Front> {
        Arc::clone(&self.front)
    }

    /// Accepts no new callers, disconnects idle ones at once and every other one when its
    /// transaction ends. After `transactions`, open transactions are ended at their next
    /// pause. Statements that run go on for `statements` more, and are answered as
    /// unfinished then. Returns the number of callers that were active when the time for
    /// transactions ended.
    pub async fn close(&self, transactions: Duration, statements: Duration) -> usize {
        self.stop.cancel();
        self.front.phase.send_replace(Phase::Closing);
        self.callers.close();
        drop(tokio::time::timeout(transactions, self.callers.wait()).await);
        let interrupted = self.callers.len();
        self.front.phase.send_replace(Phase::Ending);
        drop(tokio::time::timeout(statements, self.callers.wait()).await);
        self.front.phase.send_replace(Phase::Over);
        drop(tokio::time::timeout(OVER_GRACE, self.callers.wait()).await);
        self.kill.cancel();
        self.callers.wait().await;
        self.front.keepers.send_shutdown().await;
        interrupted
    }

    /// Closes the links to keepers; to be called once no request is open any more.
    pub fn close_links(&self) {
        self.front.keepers.close();
    }

    /// Drops all callers and links at once, as a crash does.
    pub fn kill(&self) {
        self.stop.cancel();
        self.kill.cancel();
        self.front.keepers.close();
    }
}

async fn accept(
    front: Arc<Front>,
    listener: TcpListener,
    callers: TaskTracker,
    kill: CancellationToken,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let task = serve(Arc::clone(&front), stream);
                callers.spawn(kill.clone().run_until_cancelled_owned(task));
            }
            Err(error) => {
                warn!(front.log, "could not accept a caller connection"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(front: Arc<Front>, stream: tokio::net::TcpStream) {
    if let Some(dialect) = front.dialect.clone() {
        front.metrics.callers.inc();
        plain::serve(Arc::clone(&front), stream, dialect).await;
        front.metrics.callers.dec();
        return;
    }
    // boxed, so that the task of an idle caller stays small in memory
    match Box::pin(login::login(&front, stream)).await {
        Ok(Some(caller)) => {
            front.metrics.callers.inc();
            caller.serve().await;
            front.metrics.callers.dec();
        }
        Ok(None) => {}
        Err(report) => {
            debug!(front.log, "caller login failed"; "reason" => %report.current_context());
        }
    }
}

/// Waits until a caller without a running statement sends input, or is to be disconnected.
/// `idle` is a caller without an open transaction. Returns whether the caller is still to be
/// served.
async fn wait_for_input(
    phase: &mut watch::Receiver<Phase>,
    idle: bool,
    input: impl Future<Output = Result<(), Report<conn::Disconnect>>>,
) -> Result<bool, Report<conn::Disconnect>> {
    tokio::pin!(input);
    while !phase.borrow_and_update().disconnects(idle) {
        tokio::select! {
            biased;
            filled = &mut input => return filled.map(|()| true),
            changed = phase.changed() => if changed.is_err() {
                return Ok(false);
            },
        }
    }
    match tokio::time::timeout(IDLE_GRACE, input).await {
        Ok(filled) => filled.map(|()| true),
        Err(_elapsed) => Ok(false),
    }
}

/// Waits until statements that still run are to be answered as unfinished.
async fn wait_until_over(mut phase: watch::Receiver<Phase>) {
    if phase.wait_for(|phase| *phase == Phase::Over).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Sets the phase when the lease has been missing for [`UNLEASED_TIMEOUT`], and
/// when a lease is held again.
async fn watch_lease(front: Arc<Front>) {
    loop {
        // returns at once when the lease is extended, since callers that are accepted from
        // then on must not be disconnected because of the old phase
        front.view.wait_for_extension(LEASE_CHECK_INTERVAL).await;
        let missing = front.clock.now().since(front.view.lease_until());
        let disconnects = !front.without.has(Mechanism::IdleDisconnect);
        let lost = missing > UNLEASED_TIMEOUT && disconnects;
        let next = if lost { Phase::Unleased } else { Phase::Open };
        let changed = front.phase.send_if_modified(|phase| {
            let changes = !phase.is_stopping() && *phase != next;
            if changes {
                *phase = next;
            }
            changes
        });
        if changed {
            info!(front.log, "lease was lost or regained"; "leased" => next == Phase::Open,
                "gone_ms" => missing.as_millis() as u64);
        }
    }
}

/// Closes links to entries that have left or restarted, and drops counts of
/// objectives that are no longer declared, whenever the view changes.
async fn drop_stale(front: Arc<Front>) {
    let mut changes = front.view.changes();
    let mut version = 0;
    while changes.changed().await.is_ok() {
        let (current, declarations) = front.view.read(|state| {
            front.keepers.close_stale(state);
            (state.version, Arc::clone(&state.declarations))
        });
        if current != version {
            version = current;
            front.version.send_replace(version);
            front.counts.retain(&declarations);
        }
    }
}

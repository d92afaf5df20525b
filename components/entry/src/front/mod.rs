//! The half of an entry that meets callers.
//!
//! Each caller has one task. It groups the caller's messages into cycles, says
//! by the declarations how each may be run, sends it to a keeper of the group
//! and passes the answer on.
//!
//! - [`conn`]: a caller's connection.
//! - [`login`]: from an accepted connection to a session.
//! - [`session`]: what is kept of a caller between two cycles.
//! - [`caller`]: its task.
//! - [`admit`]: what the declarations say of a request.
//! - `errand`: one request at the keepers of its group; [`verdict`]: what
//!   follows from an attempt. [`run`] is that for a caller of PostgreSQL.
//! - `plain`: a caller of plain statements.
//! - [`local`]: cycles that the front answers by itself.
//! - [`choose`], [`keepers`], [`link`]: keepers and the links to them.
//! - [`counts`]: what is counted against the objectives of services.
//! - [`cancels`]: cancel requests.
//! - [`tls`], [`metrics`]: what their names say.

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
mod plain;
mod run;
pub mod session;
pub mod tls;

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};

use ::plain::Dialect;
use ::session::Keys;
use base::clock::Clock;
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

/// Time before a listener that failed is tried again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time without a lease after which idle callers are let go: an entry that is
/// cut off from control can't serve them, and others can.
const UNLEASED: Duration = Duration::from_millis(500);

/// Time between two looks at the lease.
const LEASE_CHECK: Duration = Duration::from_millis(200);

/// Settings of a front.
pub struct Settings {
    /// Name of the entry.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Where callers connect.
    pub listener: TcpListener,
    /// The key that the system's processes share.
    pub key: ::link::Key,
    /// Users and their passwords; without them each login is trusted.
    pub users: Option<Users>,
    /// TLS towards callers.
    pub tls: Option<TlsAcceptor>,
    /// Protocol of plain statements; none where callers speak PostgreSQL.
    pub dialect: Option<Arc<dyn Dialect>>,
    /// What is known of the control log.
    pub view: View,
    /// Time.
    pub clock: Clock,
    /// Where metrics are registered.
    pub metrics: Registry,
    /// Log.
    pub log: Logger,
}

impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings").field("name", &self.name).finish_non_exhaustive()
    }
}

/// How far a front is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes callers.
    Open,
    /// It has no lease, and lets idle callers go.
    Unleased,
    /// It finishes what runs.
    Closing,
}

/// What all callers of a front share.
pub struct Front {
    name: Name,
    zone: Name,
    incarnation: u64,
    view: View,
    clock: Clock,
    keys: Keys,
    key: ::link::Key,
    users: Option<Users>,
    tls: Option<TlsAcceptor>,
    dialect: Option<Arc<dyn Dialect>>,
    keepers: keepers::Keepers,
    cancels: Arc<cancels::Cancels>,
    phase: watch::Sender<Phase>,
    numbers: AtomicU64,
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
    /// A number that no session had before.
    fn next_session_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// What was counted against the objectives of services.
    pub fn page(&self) -> burn::Page {
        self.counts.page(self.clock.now(), &self.name, self.incarnation)
    }

    /// The salt of a user that is not known: the same each time.
    fn decoy_salt(&self, user: &str) -> [u8; SALT_BYTES] {
        let proof = self.key.prove(&[b"salt", user.as_bytes()]);
        *proof.first_chunk().expect("a proof is longer than a salt")
    }
}

/// A front that runs.
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
        keys: Keys::new(key.bytes()),
        key,
        users,
        tls,
        dialect,
        keepers: links,
        cancels: Arc::default(),
        phase: watch::Sender::new(Phase::Open),
        numbers: AtomicU64::new(1),
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
    let sweep = sweep(Arc::clone(&handle.front));
    tokio::spawn(handle.kill.clone().run_until_cancelled_owned(sweep));
    let watch = watch_lease(Arc::clone(&handle.front));
    tokio::spawn(handle.stop.clone().run_until_cancelled_owned(watch));
    handle
}

impl Handle {
    /// What its callers share.
    pub fn front(&self) -> Arc<Front> {
        Arc::clone(&self.front)
    }

    /// Takes no new callers, lets go of idle ones at once and of each other one
    /// when its transaction ends. After `limit` those that still run are cut.
    /// Returns how many were.
    pub async fn close(&self, limit: Duration) -> usize {
        self.stop.cancel();
        self.front.phase.send_replace(Phase::Closing);
        self.callers.close();
        drop(tokio::time::timeout(limit, self.callers.wait()).await);
        let cut = self.callers.len();
        self.kill.cancel();
        self.callers.wait().await;
        self.front.keepers.send_farewell().await;
        cut
    }

    /// Breaks the links to keepers, once nothing is asked any more.
    pub fn close_links(&self) {
        self.front.keepers.close();
    }

    /// Drops everything at once.
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
                warn!(front.log, "a caller could not be accepted"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
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
    // boxed, so that the task of an idle caller stays small
    match Box::pin(login::login(&front, stream)).await {
        Ok(Some(caller)) => {
            front.metrics.callers.inc();
            caller.serve().await;
            front.metrics.callers.dec();
        }
        Ok(None) => {}
        Err(report) => {
            debug!(front.log, "a login failed"; "reason" => %report.current_context());
        }
    }
}

/// Waits for input of a caller that stands between two requests, or for another
/// phase; whether the caller stays.
async fn wait_for_input(
    phase: &mut watch::Receiver<Phase>,
    input: impl Future<Output = Result<(), Report<conn::Disconnect>>>,
) -> Result<bool, Report<conn::Disconnect>> {
    if *phase.borrow_and_update() != Phase::Open {
        // a request that came before the phase was seen is still run
        return match tokio::time::timeout(Duration::ZERO, input).await {
            Ok(filled) => filled.map(|()| true),
            Err(_nothing) => Ok(false),
        };
    }
    tokio::select! {
        biased;
        filled = input => filled.map(|()| true),
        changed = phase.changed() => Ok(changed.is_ok()),
    }
}

/// Notices when the lease is gone for good, and when one is back.
async fn watch_lease(front: Arc<Front>) {
    let mut check = tokio::time::interval(LEASE_CHECK);
    loop {
        check.tick().await;
        let gone = front.clock.now().since(front.view.lease_until());
        let next = if gone > UNLEASED { Phase::Unleased } else { Phase::Open };
        let changed = front.phase.send_if_modified(|phase| {
            let changes = *phase != Phase::Closing && *phase != next;
            if changes {
                *phase = next;
            }
            changes
        });
        if changed {
            info!(front.log, "the lease is lost or back"; "leased" => next == Phase::Open,
                "gone_ms" => gone.as_millis() as u64);
        }
    }
}

/// Breaks links to entries that are gone, and forgets counts for objectives
/// that are, as the view changes.
async fn sweep(front: Arc<Front>) {
    let mut changes = front.view.changes();
    let mut version = 0;
    while changes.changed().await.is_ok() {
        let (current, declarations) = front.view.read(|state| {
            front.keepers.close_stale(state);
            (state.version, Arc::clone(&state.declarations))
        });
        if current != version {
            version = current;
            front.counts.retain(&declarations);
        }
    }
}

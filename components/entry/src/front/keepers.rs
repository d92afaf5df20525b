//! Links to keepers, established on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::clock::Clock;
use base::prelude::*;
use control::State;
use link::{Peer, Purpose};
use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use wire::data::{Shutdown, ask};

use super::choose::Keeper;
use super::link::{Lent, Link, NotSent};
use super::patience::Patience;

/// Delay before a keeper is dialled again after the first failure; the delay doubles
/// with each further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(20);

/// Longest delay before a keeper is dialled again.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Time limit of one attempt to dial a keeper; short, since callers wait for it.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Length of the queue of received loans.
const QUEUE_LOANS: usize = 1_024;

/// Loans received from keepers.
pub type Loans = mpsc::Receiver<Lent>;

/// The link to one keeper, and the state of dialling it.
#[derive(Debug, Default)]
struct Slot {
    live: Mutex<Option<Arc<Link>>>,
    /// Whether the last attempt to dial the keeper failed.
    failing: AtomicBool,
    dial: tokio::sync::Mutex<Dial>,
}

/// Backoff of one keeper; its lock also keeps callers from dialling concurrently.
#[derive(Debug, Default)]
struct Dial {
    failures: u32,
    not_before: Instant,
}

impl Slot {
    fn live(&self) -> Option<Arc<Link>> {
        let live = self.live.lock().unwrap_or_else(PoisonError::into_inner);
        live.as_ref().filter(|link| link.is_live()).cloned()
    }

    fn replace_link(&self, link: Option<Arc<Link>>) -> Option<Arc<Link>> {
        let mut live = self.live.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut live, link)
    }
}

/// The links of a front to keepers, by address of the keeper.
#[derive(Debug)]
pub struct Keepers {
    own: Peer,
    key: link::Key,
    clock: Clock,
    log: Logger,
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
    loans: mpsc::Sender<Lent>,
    received: Mutex<Option<Loans>>,
}

impl Keepers {
    /// Makes an empty set of links for the entry `name`.
    pub fn new(name: &Name, incarnation: u64, key: link::Key, clock: Clock, log: Logger) -> Self {
        let own = Peer::new(name.as_str(), incarnation, Purpose::Data);
        let (loans, received) = mpsc::channel(QUEUE_LOANS);
        let received = Mutex::new(Some(received));
        Self { own, key, clock, log, slots: Mutex::default(), loans, received }
    }

    /// Returns the receiver of the keepers' loans, at the first call.
    pub fn take_loans(&self) -> Option<Loans> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Returns the link to a keeper, and dials the keeper if there is no live link.
    ///
    /// # Errors
    /// [`NotSent`] if dialling fails, if the peer at the address is not this keeper, or
    /// if the delay after a failure has not passed.
    pub async fn link(&self, keeper: &Keeper) -> Result<Arc<Link>, Report<NotSent>> {
        let slot = Arc::clone(self.slots().entry(keeper.address).or_default());
        if let Some(link) = slot.live() {
            return Ok(link);
        }
        let mut dial = slot.dial.lock().await;
        if let Some(link) = slot.live() {
            return Ok(link);
        }
        if self.clock.now() < dial.not_before {
            return Err(Report::new(NotSent));
        }
        match self.dial(keeper).await {
            Ok(link) => {
                *dial = Dial::default();
                slot.failing.store(false, Ordering::Release);
                slot.replace_link(Some(Arc::clone(&link)));
                Ok(link)
            }
            Err(report) => {
                let wait = BACKOFF_MIN * 2_u32.saturating_pow(dial.failures.min(8));
                dial.failures = dial.failures.saturating_add(1);
                slot.failing.store(true, Ordering::Release);
                dial.not_before = self.clock.now() + wait.min(BACKOFF_MAX);
                Err(report)
            }
        }
    }

    /// Whether a keeper has announced that it is stopping.
    pub fn is_closing(&self, keeper: &Keeper) -> bool {
        let slot = self.slots().get(&keeper.address).cloned();
        slot.and_then(|slot| slot.live()).is_some_and(|link| link.is_closing())
    }

    /// Whether the link to a keeper is open and was silent for longer than a request's
    /// patience.
    pub fn is_silent(&self, keeper: &Keeper, patience: Patience, now: Instant) -> bool {
        let slot = self.slots().get(&keeper.address).cloned();
        let live = slot.and_then(|slot| slot.live());
        live.is_some_and(|link| patience.is_exceeded(link.silence(now)))
    }

    /// Whether a keeper was silent for longer than a request's patience, or could not be
    /// dialled.
    pub fn is_unresponsive(&self, keeper: &Keeper, patience: Patience, now: Instant) -> bool {
        let Some(slot) = self.slots().get(&keeper.address).cloned() else {
            return false;
        };
        match slot.live() {
            Some(link) => patience.is_exceeded(link.silence(now)),
            None => slot.failing.load(Ordering::Acquire),
        }
    }

    async fn dial(&self, keeper: &Keeper) -> Result<Arc<Link>, Report<NotSent>> {
        let dial = link::dial(keeper.address, &self.own, &self.key);
        let dialled = tokio::time::timeout(DIAL_TIMEOUT, dial).await.change_context(NotSent);
        let dialled = dialled.and_then(|dialled| dialled.change_context(NotSent));
        let (peer, reader, writer) = dialled.inspect_err(|report| {
            warn!(self.log, "could not connect to keeper";
                "keeper" => %keeper.name, "address" => %keeper.address, "error" => #%report);
        })?;
        if peer.name != keeper.name.as_str() {
            return Err(Report::new(NotSent));
        }
        info!(self.log, "linked to a keeper"; "keeper" => %keeper.name);
        Ok(Link::start(
            keeper.name.clone(),
            peer.incarnation,
            (reader, writer),
            self.clock,
            self.loans.clone(),
        ))
    }

    /// Closes the links to entries that have left or restarted.
    pub fn close_stale(&self, state: &State) {
        self.slots().retain(|_, slot| {
            let Some(link) = slot.live() else {
                return true;
            };
            let restarted = |entry: &control::state::Entry| entry.incarnation > link.incarnation;
            let current = state.entries.get(&link.name).is_some_and(|entry| !restarted(entry));
            if !current {
                link.close();
            }
            current
        });
    }

    /// Announces on each link that this front sends no new requests.
    pub async fn send_shutdown(&self) {
        let links: Vec<_> = self.slots().values().filter_map(|slot| slot.live()).collect();
        for link in links {
            link.send(ask::Body::Shutdown(Shutdown {})).await;
        }
    }

    /// Closes all links.
    pub fn close(&self) {
        for slot in std::mem::take(&mut *self.slots()).into_values() {
            if let Some(link) = slot.replace_link(None) {
                link.close();
            }
        }
    }

    fn slots(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Slot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! What an entry knows of the control log, shared between its halves.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use base::prelude::*;
use control::State;
use tokio::sync::{Notify, mpsc, watch};
use wire::control::{Seal, Symptom};

/// Symptoms that may wait for the link to control; more are dropped, and a
/// keeper that still sees one reports it again.
const SYMPTOMS: usize = 256;

/// A shared handle on the control state as this entry has applied it.
#[derive(Clone, Debug)]
pub struct View {
    shared: Arc<Shared>,
    changed: watch::Sender<u64>,
    symptoms: mpsc::Sender<Symptom>,
}

#[derive(Debug)]
struct Shared {
    state: RwLock<State>,
    lease_until: AtomicU64,
    /// Tells that a lease was extended.
    leased: Notify,
    returned: Mutex<Vec<Name>>,
    given_up: Notify,
    /// The newest seal of each group.
    seals: Mutex<BTreeMap<String, Seal>>,
    sealed: Notify,
}

/// Symptoms on their way to control.
pub type Symptoms = mpsc::Receiver<Symptom>;

impl View {
    /// Makes a view of the empty state, without a lease.
    pub fn new() -> (Self, Symptoms) {
        let (symptoms, reported) = mpsc::channel(SYMPTOMS);
        let shared = Shared {
            state: RwLock::default(),
            lease_until: AtomicU64::new(0),
            leased: Notify::new(),
            returned: Mutex::default(),
            given_up: Notify::new(),
            seals: Mutex::default(),
            sealed: Notify::new(),
        };
        let changed = watch::Sender::new(0);
        (Self { shared: Arc::new(shared), changed, symptoms }, reported)
    }

    /// Asks something of the state.
    pub fn read<T>(&self, ask: impl FnOnce(&State) -> T) -> T {
        ask(&self.shared.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the state, as a committed command does, and wakes who waits.
    pub fn write(&self, change: impl FnOnce(&mut State)) {
        let index = {
            let mut state = self.shared.state.write().unwrap_or_else(PoisonError::into_inner);
            change(&mut state);
            state.index
        };
        self.changed.send_replace(index);
    }

    /// Tells of each change, by the index that was applied last.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Whether the lease still runs.
    pub fn has_lease(&self, now: Instant) -> bool {
        now < self.lease_until()
    }

    /// When the lease runs out.
    pub fn lease_until(&self) -> Instant {
        Instant::from_micros(self.shared.lease_until.load(Ordering::Acquire))
    }

    /// Extends the lease; an earlier end changes nothing.
    pub fn extend_lease(&self, until: Instant) {
        self.shared.lease_until.fetch_max(until.as_micros(), Ordering::AcqRel);
        self.shared.leased.notify_waiters();
    }

    /// Waits until the lease is extended, for `limit` at most.
    pub async fn wait_for_extension(&self, limit: Duration) {
        drop(tokio::time::timeout(limit, self.shared.leased.notified()).await);
    }

    /// Reports what a keeper sees of a primary.
    pub fn report(&self, symptom: Symptom) {
        drop(self.symptoms.try_send(symptom));
    }

    /// Notes that a returning lease is given up: all its connections are closed.
    pub fn give_up(&self, group: Name) {
        let mut returned = self.shared.returned.lock().unwrap_or_else(PoisonError::into_inner);
        if !returned.contains(&group) {
            returned.push(group);
        }
        drop(returned);
        self.shared.given_up.notify_one();
    }

    /// Notes that the work for earlier primaries of a group is over.
    pub fn seal(&self, seal: Seal) {
        let mut seals = self.shared.seals.lock().unwrap_or_else(PoisonError::into_inner);
        seals.insert(seal.group.clone(), seal);
        drop(seals);
        self.shared.sealed.notify_one();
    }

    /// Waits until a group is sealed.
    pub async fn wait_for_seal(&self) {
        self.shared.sealed.notified().await;
    }

    /// The newest seal of each group.
    pub fn seals(&self) -> Vec<Seal> {
        let seals = self.shared.seals.lock().unwrap_or_else(PoisonError::into_inner);
        seals.values().cloned().collect()
    }

    /// Waits until a group is given up.
    pub async fn wait_for_given_up(&self) {
        self.shared.given_up.notified().await;
    }

    /// Groups given up since control last heard of it.
    pub fn take_returned(&self) -> Vec<Name> {
        let mut returned = self.shared.returned.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut returned)
    }
}

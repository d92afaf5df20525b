//! The control state that an entry has applied, and the entry's lease, shared
//! between its front and its keeper.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use base::prelude::*;
use control::State;
use control::lease::LEASE_DURATION;
use tokio::sync::{Notify, mpsc, watch};
use wire::control::{Seal, Symptom};

/// Length of the queue of symptoms for the link to control. While the queue is full,
/// new symptoms are dropped; a keeper reports a symptom again while it persists.
const QUEUE_SYMPTOMS: usize = 256;

/// Time after the last confirmed heartbeat from which an entry counts as probably cut off:
/// two heartbeats, and the time in which a confirmation usually arrives.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(900);

/// Shared handle to the control state as this entry has applied it.
#[derive(Clone, Debug)]
pub struct View {
    shared: Arc<Shared>,
    changed: watch::Sender<u64>,
    symptoms: mpsc::Sender<Symptom>,
}

#[derive(Debug)]
struct Shared {
    state: RwLock<State>,
    /// End of the entry's lease in microseconds of the process's clock.
    lease_until: AtomicU64,
    /// Notified when the lease is extended.
    lease_extended: Notify,
    /// Groups whose leases were released since the last call of
    /// [`View::take_released`].
    released: Mutex<Vec<Name>>,
    /// Notified when the lease of a group is released.
    lease_released: Notify,
    /// Newest seal of each group: the report to control that the keeper has ended its
    /// work for the earlier primaries of the group.
    seals: Mutex<BTreeMap<String, Seal>>,
    /// Notified when a group is sealed.
    sealed: Notify,
}

/// Receiver of the symptoms to send to control.
pub type Symptoms = mpsc::Receiver<Symptom>;

impl View {
    /// Creates a view of an empty control state, without a lease.
    pub fn new() -> (Self, Symptoms) {
        let (symptoms, reported) = mpsc::channel(QUEUE_SYMPTOMS);
        let shared = Shared {
            state: RwLock::default(),
            lease_until: AtomicU64::new(0),
            lease_extended: Notify::new(),
            released: Mutex::default(),
            lease_released: Notify::new(),
            seals: Mutex::default(),
            sealed: Notify::new(),
        };
        let changed = watch::Sender::new(0);
        (Self { shared: Arc::new(shared), changed, symptoms }, reported)
    }

    /// Calls `read` with the state and returns its result.
    pub fn read<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.shared.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies a change, such as a committed command, to the state and notifies the
    /// receivers of [`View::changes`].
    pub fn write(&self, change: impl FnOnce(&mut State)) {
        let index = {
            let mut state = self.shared.state.write().unwrap_or_else(PoisonError::into_inner);
            change(&mut state);
            state.index
        };
        self.changed.send_replace(index);
    }

    /// Returns a receiver that is notified of each change of the state; its value is
    /// the index of the last applied command.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Whether the entry holds its lease at the time `now`.
    pub fn has_lease(&self, now: Instant) -> bool {
        now < self.lease_until()
    }

    /// Time at which the lease expires.
    pub fn lease_until(&self) -> Instant {
        Instant::from_micros(self.shared.lease_until.load(Ordering::Acquire))
    }

    /// Whether control has confirmed a heartbeat of the entry lately. An entry whose
    /// heartbeats stay without confirmation is probably cut off, long before its lease
    /// expires.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.lease_until() + CONFIRM_TIMEOUT > now + LEASE_DURATION
    }

    /// Extends the lease until `until`; has no effect if the lease already lasts
    /// longer.
    pub fn extend_lease(&self, until: Instant) {
        self.shared.lease_until.fetch_max(until.as_micros(), Ordering::AcqRel);
        self.shared.lease_extended.notify_waiters();
    }

    /// Waits until the lease is extended, but no longer than `limit`.
    pub async fn wait_for_extension(&self, limit: Duration) {
        drop(tokio::time::timeout(limit, self.shared.lease_extended.notified()).await);
    }

    /// Reports a symptom that a keeper observes on a primary.
    pub fn report(&self, symptom: Symptom) {
        drop(self.symptoms.try_send(symptom));
    }

    /// Records that the returning lease of a group is released: the keeper has closed
    /// all connections of the group.
    pub fn release_lease(&self, group: Name) {
        let mut released = self.shared.released.lock().unwrap_or_else(PoisonError::into_inner);
        if !released.contains(&group) {
            released.push(group);
        }
        drop(released);
        self.shared.lease_released.notify_one();
    }

    /// Records that the keeper has ended its work for the earlier primaries of a
    /// group.
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

    /// Returns the newest seal of each group.
    pub fn seals(&self) -> Vec<Seal> {
        let seals = self.shared.seals.lock().unwrap_or_else(PoisonError::into_inner);
        seals.values().cloned().collect()
    }

    /// Waits until the lease of a group is released.
    pub async fn wait_for_released_lease(&self) {
        self.shared.lease_released.notified().await;
    }

    /// Returns the groups whose leases were released since the last call.
    pub fn take_released(&self) -> Vec<Name> {
        let mut released = self.shared.released.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut released)
    }
}

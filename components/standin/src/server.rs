//! A server of a group: its listener, limits and faults.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicI32, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::{SystemTime, UNIX_EPOCH};

use base::clock::Clock;
use base::prelude::*;
use slog::{Logger, o, warn};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::counters::Counters;
use crate::failure::{Failure, Rejection};
use crate::function::Function;
use crate::settings::Settings;
use crate::storage::Storage;
use crate::{announce, replication, session};

/// A server of a group.
#[derive(Debug)]
pub struct Server {
    /// Name of the server.
    pub name: Name,
    /// Availability zone of the server.
    pub zone: Name,
    /// Settings of the server's group.
    pub settings: Arc<Settings>,
    /// Counters of connections, statements and commits.
    pub counters: Counters,
    /// Slots for concurrent statements.
    pub slots: Semaphore,
    /// Logger that adds the server's name.
    pub log: Logger,
    storage: Mutex<Storage>,
    // log version that the receivers of `changes` see
    version: watch::Sender<u64>,
    clock: Clock,
    address: Mutex<SocketAddr>,
    incarnation: AtomicU64,
    // time of the last batch from the primary, in microseconds of `clock`
    last_contact: AtomicU64,
    partitioned: AtomicBool,
    leaving: AtomicBool,
    slowdown: AtomicU32,
    // time from the receipt of an entry to its application, in microseconds
    lag: AtomicU64,
    peers: OnceLock<Vec<Weak<Server>>>,
    lifecycle: Mutex<Lifecycle>,
    // notifications that cancel the statements of sessions, by process id and secret
    cancels: Mutex<HashMap<(i32, i32), Arc<Notify>>>,
    next_session: AtomicI32,
}

#[derive(Debug)]
enum Lifecycle {
    // the bound socket keeps other processes from taking the port
    Stopped { _port: Option<TcpSocket> },
    // `token` ends all tasks of the server, its child `data` only the data sessions
    Running { token: CancellationToken, data: CancellationToken, tasks: TaskTracker },
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    /// Creates a server that does not run yet, with its database in a subfolder of
    /// `folder`.
    ///
    /// # Errors
    /// [`Failure::Name`], [`Failure::Folder`] or [`Failure::Database`].
    pub fn new(
        settings: &Arc<Settings>,
        index: usize,
        folder: &Path,
    ) -> Result<Arc<Self>, Report<Failure>> {
        let name = Name::new(&format!("{}-{index}", settings.name));
        let name = name.change_context(Failure::Name)?;
        let folder = folder.join(name.as_str().replace(['/', ':'], "_"));
        std::fs::create_dir_all(&folder).change_context(Failure::Folder)?;
        let storage = Storage::open(&folder).change_context(Failure::Database)?;
        let zone = settings.zones.get(index % settings.zones.len().max(1));
        Ok(Arc::new(Self {
            zone: zone.unwrap_or(&settings.name).clone(),
            counters: Counters::default(),
            slots: Semaphore::new(settings.slots),
            log: settings.log.new(o!("server" => name.to_string())),
            storage: Mutex::new(storage),
            version: watch::Sender::new(1),
            clock: Clock::start(),
            address: Mutex::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
            incarnation: AtomicU64::new(0),
            last_contact: AtomicU64::new(0),
            partitioned: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            slowdown: AtomicU32::new(1),
            lag: AtomicU64::new(settings.lag.as_micros() as u64),
            peers: OnceLock::new(),
            lifecycle: Mutex::new(Lifecycle::Stopped { _port: None }),
            cancels: Mutex::default(),
            next_session: AtomicI32::new(1),
            settings: Arc::clone(settings),
            name,
        }))
    }

    /// Sets the servers of the group, among which a replica finds its primary; only the
    /// first call has an effect.
    pub fn set_peers(&self, peers: Vec<Weak<Self>>) {
        drop(self.peers.set(peers));
    }

    /// Starts the listener, replication and announcements. The server listens on the
    /// address of its previous start if that is still free. Does nothing if the
    /// server runs.
    ///
    /// # Errors
    /// [`Failure::Listen`].
    pub async fn start(self: &Arc<Self>) -> Result<(), Report<Failure>> {
        if self.is_running() {
            return Ok(());
        }
        let previous = self.address();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = match TcpListener::bind(previous).await {
            Ok(listener) => listener,
            Err(_taken) => TcpListener::bind(any).await.change_context(Failure::Listen)?,
        };
        *lock(&self.address) = listener.local_addr().change_context(Failure::Listen)?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.incarnation.fetch_max(since_epoch.as_micros() as u64, Ordering::AcqRel);
        let token = CancellationToken::new();
        let data = token.child_token();
        let tasks = TaskTracker::new();
        tasks.spawn(run_until(
            token.clone(),
            accept_connections(Arc::clone(self), listener, token.clone()),
        ));
        tasks.spawn(run_until(token.clone(), replication::pull_entries(Arc::clone(self))));
        tasks.spawn(run_until(token.clone(), replication::apply_entries(Arc::clone(self))));
        tasks.spawn(run_until(token.clone(), announce::run(Arc::clone(self))));
        *lock(&self.lifecycle) = Lifecycle::Running { token, data, tasks };
        if let Some(rebuild) = self.with_storage(Storage::unfinished_rebuild) {
            self.spawn(replication::rebuild_database(Arc::clone(self), rebuild));
        }
        Ok(())
    }

    /// Stops the server at once, as a crash does: connections are reset. Log and
    /// database are kept, and the port stays reserved.
    pub async fn crash(&self) {
        let tasks = {
            let mut lifecycle = lock(&self.lifecycle);
            let Lifecycle::Running { token, tasks, .. } = &*lifecycle else {
                return;
            };
            token.cancel();
            tasks.close();
            let tasks = tasks.clone();
            *lifecycle = Lifecycle::Stopped { _port: None };
            tasks
        };
        tasks.wait().await;
        self.change(|storage| storage.log.restart());
        *lock(&self.lifecycle) = Lifecycle::Stopped { _port: self.reserve_port() };
    }

    // a socket that is bound but does not listen refuses connections
    fn reserve_port(&self) -> Option<TcpSocket> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_reuseaddr(true).ok()?;
        socket.bind(self.address()).ok()?;
        Some(socket)
    }

    /// Whether the server is running: started, and not crashed since.
    pub fn is_running(&self) -> bool {
        matches!(*lock(&self.lifecycle), Lifecycle::Running { .. })
    }

    /// Token whose cancellation ends the present data sessions, which are those of
    /// database clients and not of probes.
    pub fn data_token(&self) -> CancellationToken {
        match &*lock(&self.lifecycle) {
            Lifecycle::Running { data, .. } => data.clone(),
            Lifecycle::Stopped { .. } => {
                let token = CancellationToken::new();
                token.cancel();
                token
            }
        }
    }

    /// Ends all data sessions, as the restart of a database server after a rewind
    /// does.
    pub fn close_data_sessions(&self) {
        if let Lifecycle::Running { token, data, .. } = &mut *lock(&self.lifecycle) {
            data.cancel();
            *data = token.child_token();
        }
    }

    /// Spawns a task that [`Server::crash`] waits for; drops the task if the server is
    /// not running.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Lifecycle::Running { tasks, .. } = &*lock(&self.lifecycle) {
            tasks.spawn(task);
        }
    }

    /// Address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        *lock(&self.address)
    }

    /// Incarnation of the server, taken at each start from the system time in
    /// microseconds since the Unix epoch; never decreases.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Present time of the server's clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Runs a function on log and database without notifying the receivers of
    /// [`Server::changes`].
    pub fn with_storage<T>(&self, function: impl FnOnce(&mut Storage) -> T) -> T {
        function(&mut lock(&self.storage))
    }

    /// Changes log or database, and notifies the receivers of [`Server::changes`] if
    /// the log's version is higher.
    pub fn change<T>(&self, change: impl FnOnce(&mut Storage) -> T) -> T {
        let (answer, version) = {
            let mut storage = lock(&self.storage);
            (change(&mut storage), storage.log.version())
        };
        self.version.send_if_modified(|known| {
            let newer = version > *known;
            *known = version.max(*known);
            newer
        });
        answer
    }

    /// Subscribes to the version of the log.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// The server of this group that listens on `address`.
    pub fn peer(&self, address: SocketAddr) -> Option<Arc<Self>> {
        let peers = self.peers.get().into_iter().flatten().filter_map(Weak::upgrade);
        peers.into_iter().find(|peer| peer.address() == address)
    }

    /// Whether log entries can pass from `other` to this server.
    pub fn is_connected_to(&self, other: &Self) -> bool {
        let partitioned = |server: &Self| server.partitioned.load(Ordering::Acquire);
        other.is_running() && !partitioned(self) && !partitioned(other)
    }

    /// Partitions the server from the other servers of its group, or ends the
    /// partition.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.store(partitioned, Ordering::Release);
    }

    /// Records the present time as that of the last batch from the primary.
    pub fn record_contact(&self) {
        self.last_contact.store(self.now().as_micros(), Ordering::Release);
    }

    /// Time from the receipt of an entry to its application.
    pub fn lag(&self) -> Duration {
        Duration::from_micros(self.lag.load(Ordering::Acquire))
    }

    /// Sets the time from the receipt of an entry to its application.
    pub fn set_lag(&self, lag: Duration) {
        self.lag.store(lag.as_micros() as u64, Ordering::Release);
    }

    /// Time that each statement holds its slot in addition to its execution, slowdown
    /// included.
    pub fn statement_time(&self) -> Duration {
        self.settings.statement_time * self.slowdown.load(Ordering::Acquire)
    }

    /// Sets the factor by which [`Settings::statement_time`] is multiplied; 0 counts
    /// as 1.
    pub fn set_slowdown(&self, times: u32) {
        self.slowdown.store(times.max(1), Ordering::Release);
    }

    /// Whether the server's announcements say that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Sets whether the server's announcements say that it leaves.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Status report of the server.
    pub fn status(&self) -> Status {
        let last_contact = Instant::from_micros(self.last_contact.load(Ordering::Acquire));
        let silence = self.now().since(last_contact);
        self.with_storage(|storage| Status {
            server: self.name.clone(),
            incarnation: self.incarnation(),
            term: storage.log.term(),
            log_term: storage.log.last().term,
            received: storage.log.last().position,
            applied: storage.log.applied().position,
            role: storage.log.role(),
            silence: if storage.log.role() == Role::Primary { Duration::ZERO } else { silence },
            history: storage.log.history(),
            version: storage.log.version(),
        })
    }

    /// Executes a function and returns the server's status afterwards.
    ///
    /// # Errors
    /// The error of a pending entry that could not be applied for a promotion.
    pub async fn call(&self, function: Function) -> Result<Status, Rejection> {
        match function {
            Function::Status { after, wait } => {
                let mut changes = self.changes();
                let newer = changes.wait_for(|version| *version != after);
                drop(tokio::time::timeout(wait, newer).await);
            }
            Function::Fence(term) => self.change(|storage| storage.log.fence(term)),
            Function::Promote(term) => self.change(|storage| storage.promote(term))?,
            Function::Follow { term, primary } => {
                self.change(|storage| storage.log.follow(term, primary));
            }
            Function::Mark => {}
        }
        Ok(self.status())
    }

    /// Registers a session: returns its process id and secret key for cancel
    /// requests, and the notification that cancels its statement.
    pub fn register_session(&self) -> ((i32, i32), Arc<Notify>) {
        let pid = self.next_session.fetch_add(1, Ordering::Relaxed);
        let key = (pid, rand::random());
        let cancel = Arc::new(Notify::new());
        lock(&self.cancels).insert(key, Arc::clone(&cancel));
        (key, cancel)
    }

    /// Removes a session, after which its key cancels nothing.
    pub fn unregister_session(&self, key: (i32, i32)) {
        lock(&self.cancels).remove(&key);
    }

    /// Cancels the statement that a session is running; an unknown key is ignored.
    pub fn cancel(&self, key: (i32, i32)) {
        if let Some(cancel) = lock(&self.cancels).get(&key) {
            cancel.notify_waiters();
        }
    }
}

async fn run_until(token: CancellationToken, task: impl Future<Output = ()>) {
    token.run_until_cancelled(task).await;
}

async fn accept_connections(server: Arc<Server>, listener: TcpListener, token: CancellationToken) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let session = session::serve(Arc::clone(&server), stream, token.clone());
                server.spawn(session);
            }
            Err(error) => {
                warn!(server.log, "could not accept a connection"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

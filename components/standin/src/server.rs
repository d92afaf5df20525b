//! One server of a group: its listener, limits and faults.

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

/// One server.
#[derive(Debug)]
pub struct Server {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Settings of its group.
    pub settings: Arc<Settings>,
    /// What it counts.
    pub counters: Counters,
    /// Statements that may run at once.
    pub slots: Semaphore,
    /// Where it logs.
    pub log: Logger,
    storage: Mutex<Storage>,
    changed: watch::Sender<u64>,
    clock: Clock,
    address: Mutex<SocketAddr>,
    incarnation: AtomicU64,
    last_contact: AtomicU64,
    partitioned: AtomicBool,
    leaving: AtomicBool,
    slowdown: AtomicU32,
    lag: AtomicU64,
    peers: OnceLock<Vec<Weak<Server>>>,
    life: Mutex<Life>,
    cancels: Mutex<HashMap<(i32, i32), Arc<Notify>>>,
    sessions: AtomicI32,
}

#[derive(Debug)]
enum Life {
    // the socket keeps the port from being taken by another
    Stopped { _port: Option<TcpSocket> },
    Running { token: CancellationToken, data: CancellationToken, tasks: TaskTracker },
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    /// Makes a server that does not run yet; its database goes into `folder`.
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
            changed: watch::Sender::new(1),
            clock: Clock::start(),
            address: Mutex::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
            incarnation: AtomicU64::new(0),
            last_contact: AtomicU64::new(0),
            partitioned: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            slowdown: AtomicU32::new(1),
            lag: AtomicU64::new(settings.lag.as_micros() as u64),
            peers: OnceLock::new(),
            life: Mutex::new(Life::Stopped { _port: None }),
            cancels: Mutex::default(),
            sessions: AtomicI32::new(1),
            settings: Arc::clone(settings),
            name,
        }))
    }

    /// Makes the other servers of the group known; only the first call counts.
    pub fn set_peers(&self, peers: Vec<Weak<Self>>) {
        drop(self.peers.set(peers));
    }

    /// Starts to listen, to copy and to announce, on the address of the last
    /// start where that is still free.
    ///
    /// # Errors
    /// [`Failure::Listen`].
    pub async fn start(self: &Arc<Self>) -> Result<(), Report<Failure>> {
        if self.is_running() {
            return Ok(());
        }
        let wanted = self.address();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = match TcpListener::bind(wanted).await {
            Ok(listener) => listener,
            Err(_taken) => TcpListener::bind(any).await.change_context(Failure::Listen)?,
        };
        *lock(&self.address) = listener.local_addr().change_context(Failure::Listen)?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.incarnation.fetch_max(since.as_micros() as u64, Ordering::AcqRel);
        let token = CancellationToken::new();
        let data = token.child_token();
        let tasks = TaskTracker::new();
        tasks.spawn(until(token.clone(), listen(Arc::clone(self), listener, token.clone())));
        tasks.spawn(until(token.clone(), replication::pull_entries(Arc::clone(self))));
        tasks.spawn(until(token.clone(), replication::apply_entries(Arc::clone(self))));
        tasks.spawn(until(token.clone(), announce::run(Arc::clone(self))));
        *lock(&self.life) = Life::Running { token, data, tasks };
        if let Some(rebuild) = self.read(Storage::unfinished_rebuild) {
            self.spawn(replication::rebuild_database(Arc::clone(self), rebuild));
        }
        Ok(())
    }

    /// Ends the server at once, as a crash does: connections are reset. Its
    /// log and database stay, and its port stays taken.
    pub async fn crash(&self) {
        let tasks = {
            let mut life = lock(&self.life);
            let Life::Running { token, tasks, .. } = &*life else {
                return;
            };
            token.cancel();
            tasks.close();
            let tasks = tasks.clone();
            *life = Life::Stopped { _port: None };
            tasks
        };
        tasks.wait().await;
        self.change(|storage| storage.log.restart());
        *lock(&self.life) = Life::Stopped { _port: self.reserve() };
    }

    // a socket that is bound but does not listen refuses connections
    fn reserve(&self) -> Option<TcpSocket> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_reuseaddr(true).ok()?;
        socket.bind(self.address()).ok()?;
        Some(socket)
    }

    /// Whether the server's process lives.
    pub fn is_running(&self) -> bool {
        matches!(*lock(&self.life), Life::Running { .. })
    }

    /// Token that ends data sessions.
    pub fn data_token(&self) -> CancellationToken {
        match &*lock(&self.life) {
            Life::Running { data, .. } => data.clone(),
            Life::Stopped { .. } => {
                let token = CancellationToken::new();
                token.cancel();
                token
            }
        }
    }

    /// Ends all data sessions, as the restart after a rewind does.
    pub fn close_data_sessions(&self) {
        if let Life::Running { token, data, .. } = &mut *lock(&self.life) {
            data.cancel();
            *data = token.child_token();
        }
    }

    /// Runs a task that ends with the server.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Life::Running { tasks, .. } = &*lock(&self.life) {
            tasks.spawn(task);
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        *lock(&self.address)
    }

    /// Raised by each start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// The present time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Asks something of log and database.
    pub fn read<T>(&self, ask: impl FnOnce(&mut Storage) -> T) -> T {
        ask(&mut lock(&self.storage))
    }

    /// Changes log or database, and wakes who waits.
    pub fn change<T>(&self, change: impl FnOnce(&mut Storage) -> T) -> T {
        let (answer, version) = {
            let mut storage = lock(&self.storage);
            (change(&mut storage), storage.log.version())
        };
        self.changed.send_if_modified(|known| {
            let newer = version > *known;
            *known = version.max(*known);
            newer
        });
        answer
    }

    /// Tells of each change of the log.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The server at an address, if it is one of this group.
    pub fn peer(&self, address: SocketAddr) -> Option<Arc<Self>> {
        let peers = self.peers.get().into_iter().flatten().filter_map(Weak::upgrade);
        peers.into_iter().find(|peer| peer.address() == address)
    }

    /// Whether records can pass between two servers.
    pub fn is_connected_to(&self, other: &Self) -> bool {
        let partitioned = |server: &Self| server.partitioned.load(Ordering::Acquire);
        other.is_running() && !partitioned(self) && !partitioned(other)
    }

    /// Cuts the server off from its group, or joins it again.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.store(partitioned, Ordering::Release);
    }

    /// Notes that the primary was heard of.
    pub fn record_contact(&self) {
        self.last_contact.store(self.now().as_micros(), Ordering::Release);
    }

    /// Time between the receipt of a record and its sight by reads.
    pub fn lag(&self) -> Duration {
        Duration::from_micros(self.lag.load(Ordering::Acquire))
    }

    /// Sets the lag.
    pub fn set_lag(&self, lag: Duration) {
        self.lag.store(lag.as_micros() as u64, Ordering::Release);
    }

    /// Time that a statement holds its slot.
    pub fn statement_time(&self) -> Duration {
        self.settings.statement_time * self.slowdown.load(Ordering::Acquire)
    }

    /// Makes statements take so many times as long.
    pub fn set_slowdown(&self, times: u32) {
        self.slowdown.store(times.max(1), Ordering::Release);
    }

    /// Whether it announces that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Announces that it leaves, or that it stays.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// What the server says of itself.
    pub fn status(&self) -> Status {
        let last_contact = Instant::from_micros(self.last_contact.load(Ordering::Acquire));
        let silence = self.now().since(last_contact);
        self.read(|storage| Status {
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

    /// Carries out a function and reports.
    ///
    /// # Errors
    /// A record's failure while a server is promoted.
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

    /// Makes a session's number and key, by which its statements are cancelled.
    pub fn register_session(&self) -> ((i32, i32), Arc<Notify>) {
        let pid = self.sessions.fetch_add(1, Ordering::Relaxed);
        let key = (pid, rand::random());
        let cancel = Arc::new(Notify::new());
        lock(&self.cancels).insert(key, Arc::clone(&cancel));
        (key, cancel)
    }

    /// Forgets a session's key.
    pub fn unregister_session(&self, key: (i32, i32)) {
        lock(&self.cancels).remove(&key);
    }

    /// Cancels what a session runs.
    pub fn cancel(&self, key: (i32, i32)) {
        if let Some(cancel) = lock(&self.cancels).get(&key) {
            cancel.notify_waiters();
        }
    }
}

async fn until(token: CancellationToken, task: impl Future<Output = ()>) {
    token.run_until_cancelled(task).await;
}

async fn listen(server: Arc<Server>, listener: TcpListener, token: CancellationToken) {
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

//! The state machine of a group behind its lock, and the tasks of the group.
//!
//! Effects are executed after the lock is released, in the order in which the
//! group emitted them, whichever task executes them.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use base::clock::Clock;
use base::prelude::*;
use keeper::{Connection, Count, Effect, Ended, Event, Group, Lease, Pace, Setup};
use slog::{Logger, info, warn};
use telemetry::event::{self, Learned, Sealed, Symptom};
use tokio::sync::watch;
use wire::data::answer;

use super::conn::{self, Command, Control};
use super::plain;
use super::probe::Prober;
use super::{Host, lock};

/// Shortest time between two ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(2);

/// A group with its connections, probers and timer.
#[derive(Debug)]
pub(super) struct Shard {
    name: Name,
    host: Arc<Host>,
    inner: Mutex<Inner>,
    /// Connections and probers; locked while effects are executed.
    tasks: Mutex<TaskSet>,
    /// Time of the next tick that the group has asked for.
    wake: watch::Sender<Instant>,
    timer: Mutex<Option<tokio::task::AbortHandle>>,
    /// Primary, term and lease in the last log line about the control state.
    logged: Mutex<Assignment>,
}

/// Revision of the control state from which a [`Setup`] was made.
#[derive(Clone, Copy, Debug)]
pub(super) struct Revision {
    /// Index of the last applied command of the control log.
    pub(super) index: u64,
    /// Version of the declarations.
    pub(super) version: u64,
    /// Newest term of the group, whether its primary is only intended or already
    /// established.
    pub(super) term: Term,
}

/// Primary and term of a group, and this entry's lease on the group.
#[derive(Debug, Default, PartialEq, Eq)]
struct Assignment {
    primary: Option<Name>,
    term: Term,
    lease: Lease,
}

/// The group and its queued effects.
#[derive(Debug)]
struct Inner {
    group: Group,
    /// Effects that are not executed yet, oldest first.
    effects: VecDeque<Effect>,
    /// Buffer for the effects of one event, reused to avoid allocations.
    scratch: Vec<Effect>,
    /// Whether the group was last told that the entry holds its lease.
    leased: bool,
}

/// Running tasks of a shard, except for its timer.
#[derive(Debug, Default)]
struct TaskSet {
    conns: HashMap<Key<Connection>, Control>,
    probers: BTreeMap<Name, Prober>,
    /// Whether the group is unfenced: its servers acknowledge commits by
    /// themselves and report their position with each answer, so they are not
    /// probed.
    unfenced: bool,
    /// Whether [`Shard::stop`] was called; effects are discarded from then on.
    stopped: bool,
}

impl Shard {
    pub(super) fn start(host: Arc<Host>, name: Name) -> Arc<Self> {
        let group = Group::new(name.clone(), host.zone.clone(), host.incarnation);
        let (effects, scratch) = (VecDeque::new(), Vec::new());
        let inner = Inner { group, effects, scratch, leased: false };
        let shard = Arc::new(Self {
            name,
            host,
            inner: Mutex::new(inner),
            tasks: Mutex::default(),
            wake: watch::Sender::new(Instant::ZERO),
            timer: Mutex::default(),
            logged: Mutex::default(),
        });
        let timer = tokio::spawn(tick(Arc::clone(&shard)));
        *lock(&shard.timer) = Some(timer.abort_handle());
        shard
    }

    pub(super) fn name(&self) -> &Name {
        &self.name
    }

    pub(super) fn log(&self) -> &Logger {
        &self.host.log
    }

    pub(super) fn clock(&self) -> Clock {
        self.host.clock
    }

    pub(super) fn is_drained(&self) -> bool {
        lock(&self.inner).group.is_drained()
    }

    /// Passes an event to the group and executes the effects.
    pub(super) fn feed(self: &Arc<Self>, event: Event) {
        let now = self.host.clock.now();
        lock(&self.inner).handle(now, event, self.host.view.has_lease(now));
        self.run_effects();
    }

    /// Applies a change of the control state.
    pub(super) fn configure(self: &Arc<Self>, revision: Revision, setup: Setup) {
        self.log_change(revision, &setup);
        self.set_probers(&mut lock(&self.tasks), &setup);
        self.feed(Event::Setup(setup));
    }

    /// Logs one line if the primary, the term or the lease has changed.
    fn log_change(&self, revision: Revision, setup: &Setup) {
        let (primary, lease) = (setup.primary.clone(), setup.lease);
        let current = Assignment { primary, term: revision.term, lease };
        let mut logged = lock(&self.logged);
        if *logged == current {
            return;
        }
        let learned = Learned {
            group: &self.name,
            index: revision.index,
            version: revision.version,
            primary: setup.primary.as_ref(),
            term: revision.term.0,
            lease: setup.lease.into(),
        };
        learned.log(&self.host.log);
        *logged = current;
    }

    fn set_probers(self: &Arc<Self>, tasks: &mut TaskSet, setup: &Setup) {
        tasks.unfenced = setup.unfenced.is_some();
        if tasks.stopped || tasks.unfenced || setup.lease == Lease::None {
            tasks.probers.clear();
            return;
        }
        let is_current = |name: &Name, prober: &Prober| {
            setup.servers.iter().any(|s| s.name == *name && s.address == prober.address)
        };
        tasks.probers.retain(|name, prober| is_current(name, prober));
        for server in &setup.servers {
            let start = || Prober::start(self, &server.name, server.address);
            tasks.probers.entry(server.name.clone()).or_insert_with(start);
        }
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, conn: Key<Connection>) {
        lock(&self.tasks).conns.remove(&conn);
    }

    /// Aborts all connections, probers and the timer at once.
    pub(super) fn stop(&self) {
        let taken = {
            let mut tasks = lock(&self.tasks);
            tasks.stopped = true;
            (std::mem::take(&mut tasks.conns), std::mem::take(&mut tasks.probers))
        };
        for control in taken.0.values() {
            control.abort();
        }
        if let Some(timer) = lock(&self.timer).take() {
            timer.abort();
        }
    }

    /// Executes queued effects until none is left.
    fn run_effects(self: &Arc<Self>) {
        let mut tasks = lock(&self.tasks);
        loop {
            let Some(effect) = lock(&self.inner).effects.pop_front() else {
                return;
            };
            if !tasks.stopped {
                self.execute(&mut tasks, effect);
            }
        }
    }

    fn execute(self: &Arc<Self>, tasks: &mut TaskSet, effect: Effect) {
        match effect {
            Effect::Connect { conn, server, address, team } => {
                self.host.metrics.count(Count::Opened);
                let dialect = self.host.dialect.clone().filter(|_| tasks.unfenced);
                let control = match dialect {
                    Some(dialect) => plain::open(self, conn, (server, address), team, dialect),
                    None => conn::open(self, conn, address),
                };
                tasks.conns.insert(conn, control);
            }
            Effect::Send { conn, bytes, wait } => tasks.send(conn, Command::Send { bytes, wait }),
            Effect::RollBack { conn } => tasks.send(conn, Command::RollBack),
            Effect::Mark { conn } => tasks.send(conn, Command::Mark),
            Effect::Close { conn } => tasks.send(conn, Command::Close),
            Effect::Cancel { conn } => tasks.send(conn, Command::Cancel),
            Effect::Pause { conn } => tasks.pause(conn, true),
            Effect::Resume { conn } => tasks.pause(conn, false),
            Effect::Part { front, part } => {
                self.host.fronts.send(&self.host, front, answer::Body::Part(part));
            }
            Effect::End { front, end } => {
                self.host.metrics.end(&end);
                self.host.fronts.send(&self.host, front, answer::Body::End(end));
            }
            Effect::Sample { server } => {
                if let Some(prober) = tasks.probers.get(&server) {
                    prober.sample();
                }
            }
            Effect::Report(symptom) => {
                let condition = symptom.condition().to_string();
                let (server, term) = (symptom.server.as_str(), symptom.term);
                Symptom { group: &self.name, server, condition: &condition, term }
                    .log(&self.host.log);
                self.host.view.report(symptom);
            }
            Effect::Seal { term, mark, index } => {
                Sealed { group: &self.name, term: term.0, mark, index }.log(&self.host.log);
                let (group, mark) = (self.name.to_string(), mark.map(Into::into));
                self.host.view.seal(wire::control::Seal { group, term: term.0, mark, index });
            }
            Effect::Wake(at) => drop(self.wake.send_replace(at)),
            Effect::ReleaseLease => self.host.view.release_lease(self.name.clone()),
            Effect::Count(count) => self.host.metrics.count(count),
            Effect::Pace { server, before, now } => self.show_pace(&server, before, now),
            Effect::Log(ended) => self.log_end(&ended),
        }
    }
}

impl Shard {
    /// Updates the metrics of a server's slow start and probation, and logs one line where
    /// either begins or ends.
    fn show_pace(&self, server: &Name, before: Pace, now: Pace) {
        self.host.metrics.pace(&self.name, server, now);
        let log = &self.host.log;
        let (group, server) = (self.name.as_str(), server.as_str());
        if before.window.is_some() != now.window.is_some() {
            info!(log, "slow start of a server changed";
                "group" => group, "server" => server, "slow_start" => now.window.is_some());
        }
        if before.probation != now.probation {
            warn!(log, "probation of a server changed";
                "group" => group, "server" => server, "probation" => now.probation);
        }
    }

    /// Logs one line for a request that failed or needed a retry.
    fn log_end(&self, ended: &Ended) {
        let line = event::Ended {
            request: &ended.trace,
            group: &self.name,
            outcome: &ended.outcome.to_string(),
            reason: &ended.reason.to_string(),
            stage: ended.stage,
            server: ended.server.as_ref(),
            primary: ended.primary,
            tries: ended.tries,
            waited: ended.waited,
            sent: ended.sent,
            term: ended.term.0,
            led: ended.led,
            leased: ended.leased,
            version: ended.version,
            sample: ended.sample,
        };
        line.log(&self.host.log);
    }
}

impl Inner {
    /// Passes an event to the group and queues the effects.
    fn handle(&mut self, now: Instant, event: Event, leased: bool) {
        if let Event::Leased(held) = event {
            self.leased = held;
        } else if self.leased && !leased {
            // the lease expired while the process was paused, before `follow` noticed
            self.leased = false;
            self.group.on(now, Event::Leased(false), &mut self.scratch);
        }
        self.group.on(now, event, &mut self.scratch);
        self.effects.extend(self.scratch.drain(..));
    }
}

impl TaskSet {
    fn send(&self, conn: Key<Connection>, command: Command) {
        if let Some(control) = self.conns.get(&conn) {
            control.send(command);
        }
    }

    fn pause(&self, conn: Key<Connection>, paused: bool) {
        if let Some(control) = self.conns.get(&conn) {
            control.pause(paused);
        }
    }
}

/// Sends a tick to the group at the time of its last [`Effect::Wake`], at least
/// [`MIN_TICK_INTERVAL`] after the tick before.
async fn tick(shard: Arc<Shard>) {
    let mut wake = shard.wake.subscribe();
    let mut earliest = Instant::ZERO;
    loop {
        let at = (*wake.borrow_and_update()).max(earliest);
        let at = tokio::time::Instant::from_std(shard.host.clock.at(at));
        tokio::select! {
            () = tokio::time::sleep_until(at) => {
                shard.feed(Event::Tick);
                earliest = shard.host.clock.now() + MIN_TICK_INTERVAL;
            }
            changed = wake.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

//! One group under its lock.
//!
//! Effects are carried out after the lock is released, in the order in which
//! they were put out, whichever task puts them out.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use base::clock::Clock;
use base::prelude::*;
use keeper::{Connection, Count, Effect, Ended, Event, Group, Lease, Setup};
use slog::Logger;
use telemetry::event::{self, Learned, Sealed, Sighted};
use tokio::sync::watch;
use wire::data::answer;

use super::conn::{self, Command, Control};
use super::plain;
use super::probe::Prober;
use super::{Host, lock};

/// Least time between two ticks.
const LEAST_TICK: Duration = Duration::from_millis(2);

/// One group and what the host holds for it.
#[derive(Debug)]
pub(super) struct Shard {
    name: Name,
    host: Arc<Host>,
    inner: Mutex<Inner>,
    /// Held while effects are carried out.
    tools: Mutex<Tools>,
    wake: watch::Sender<Instant>,
    timer: Mutex<Option<tokio::task::AbortHandle>>,
    /// What was logged last of the control state.
    belief: Mutex<Belief>,
}

/// Where the control state stands that a keeper is told of.
#[derive(Clone, Copy, Debug)]
pub(super) struct Revision {
    /// Index of the last command applied.
    pub(super) index: u64,
    /// Version of the declarations.
    pub(super) version: u64,
    /// Term of the group that control has intended or established.
    pub(super) term: Term,
}

/// What a keeper goes by.
#[derive(Debug, Default, PartialEq, Eq)]
struct Belief {
    primary: Option<Name>,
    term: Term,
    lease: Lease,
}

#[derive(Debug)]
struct Inner {
    group: Group,
    effects: VecDeque<Effect>,
    scratch: Vec<Effect>,
    /// Whether the group takes the entry's lease for held.
    leased: bool,
}

#[derive(Debug, Default)]
struct Tools {
    conns: HashMap<Key<Connection>, Control>,
    probers: BTreeMap<Name, Prober>,
    /// Whether the servers tell their position with each answer.
    solo: bool,
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
            tools: Mutex::default(),
            wake: watch::Sender::new(Instant::ZERO),
            timer: Mutex::default(),
            belief: Mutex::default(),
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
        lock(&self.inner).group.is_over()
    }

    /// Feeds an event and carries out what follows.
    pub(super) fn feed(self: &Arc<Self>, event: Event) {
        let now = self.host.clock.now();
        lock(&self.inner).take(now, event, self.host.view.has_lease(now));
        self.carry_out();
    }

    /// Takes a change of the control state in.
    pub(super) fn configure(self: &Arc<Self>, revision: Revision, setup: Setup) {
        self.tell_change(revision, &setup);
        self.set_probers(&mut lock(&self.tools), &setup);
        self.feed(Event::Setup(setup));
    }

    /// One line when another primary, term or lease is learned of.
    fn tell_change(&self, revision: Revision, setup: &Setup) {
        let (primary, lease) = (setup.primary.clone(), setup.lease);
        let belief = Belief { primary, term: revision.term, lease };
        let mut known = lock(&self.belief);
        if *known == belief {
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
        *known = belief;
    }

    fn set_probers(self: &Arc<Self>, tools: &mut Tools, setup: &Setup) {
        tools.solo = setup.solo.is_some();
        if tools.stopped || tools.solo || setup.lease == Lease::None {
            tools.probers.clear();
            return;
        }
        let same = |name: &Name, prober: &Prober| {
            setup.servers.iter().any(|s| s.name == *name && s.address == prober.address)
        };
        tools.probers.retain(|name, prober| same(name, prober));
        for server in &setup.servers {
            let start = || Prober::start(self, &server.name, server.address);
            tools.probers.entry(server.name.clone()).or_insert_with(start);
        }
    }

    /// Forgets a connection that has ended.
    pub(super) fn forget(&self, conn: Key<Connection>) {
        lock(&self.tools).conns.remove(&conn);
    }

    /// Drops all at once.
    pub(super) fn stop(&self) {
        let tools = {
            let mut tools = lock(&self.tools);
            tools.stopped = true;
            (std::mem::take(&mut tools.conns), std::mem::take(&mut tools.probers))
        };
        for control in tools.0.values() {
            control.abort();
        }
        if let Some(timer) = lock(&self.timer).take() {
            timer.abort();
        }
    }

    fn carry_out(self: &Arc<Self>) {
        let mut tools = lock(&self.tools);
        loop {
            let Some(effect) = lock(&self.inner).effects.pop_front() else {
                return;
            };
            if !tools.stopped {
                self.act(&mut tools, effect);
            }
        }
    }

    fn act(self: &Arc<Self>, tools: &mut Tools, effect: Effect) {
        match effect {
            Effect::Connect { conn, server, address } => {
                self.host.metrics.count(Count::Opened);
                let dialect = self.host.dialect.clone().filter(|_| tools.solo);
                let control = match dialect {
                    Some(dialect) => plain::open(self, conn, server, address, dialect),
                    None => conn::open(self, conn, address),
                };
                tools.conns.insert(conn, control);
            }
            Effect::Send { conn, bytes, wait } => tools.send(conn, Command::Send { bytes, wait }),
            Effect::RollBack { conn } => tools.send(conn, Command::RollBack),
            Effect::Mark { conn } => tools.send(conn, Command::Mark),
            Effect::Close { conn } => tools.send(conn, Command::Close),
            Effect::Cancel { conn } => tools.send(conn, Command::Cancel),
            Effect::Pause { conn } => tools.pause(conn, true),
            Effect::Resume { conn } => tools.pause(conn, false),
            Effect::Part { front, part } => {
                self.host.fronts.send(front, answer::Body::Part(part));
            }
            Effect::End { front, end } => {
                self.host.metrics.end(&end);
                self.host.fronts.send(front, answer::Body::End(end));
            }
            Effect::Sample { server } => {
                if let Some(prober) = tools.probers.get(&server) {
                    prober.sample();
                }
            }
            Effect::Report(symptom) => {
                let sight = symptom.sight().to_string();
                let (server, term) = (symptom.server.as_str(), symptom.term);
                Sighted { group: &self.name, server, sight: &sight, term }.log(&self.host.log);
                self.host.view.report(symptom);
            }
            Effect::Seal { term, mark, index } => {
                Sealed { group: &self.name, term: term.0, mark, index }.log(&self.host.log);
                let (group, mark) = (self.name.to_string(), mark.map(Into::into));
                self.host.view.seal(wire::control::Seal { group, term: term.0, mark, index });
            }
            Effect::Wake(at) => drop(self.wake.send_replace(at)),
            Effect::GiveUp => self.host.view.give_up(self.name.clone()),
            Effect::Count(count) => self.host.metrics.count(count),
            Effect::Log(ended) => self.log_end(&ended),
        }
    }
}

impl Shard {
    /// One line for a request that was not done, or not at the first try.
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
    fn take(&mut self, now: Instant, event: Event, leased: bool) {
        if let Event::Leased(told) = event {
            self.leased = told;
        } else if self.leased && !leased {
            // the lease ran out while the process stood still
            self.leased = false;
            self.group.on(now, Event::Leased(false), &mut self.scratch);
        }
        self.group.on(now, event, &mut self.scratch);
        self.effects.extend(self.scratch.drain(..));
    }
}

impl Tools {
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

/// Ticks when the group asked for it.
async fn tick(shard: Arc<Shard>) {
    let mut wake = shard.wake.subscribe();
    let mut least = Instant::ZERO;
    loop {
        let at = (*wake.borrow_and_update()).max(least);
        let at = tokio::time::Instant::from_std(shard.host.clock.at(at));
        tokio::select! {
            () = tokio::time::sleep_until(at) => {
                shard.feed(Event::Tick);
                least = shard.host.clock.now() + LEAST_TICK;
            }
            changed = wake.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

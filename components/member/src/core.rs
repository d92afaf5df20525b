//! The task that owns the member's state machines.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use base::clock::Clock;
use base::prelude::*;
use bytes::Bytes;
use control::{Leader, State};
use quorum::{Event, Leadership, Replica};
use slog::{Logger, crit, info};
use telemetry::Health;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use wire::quorum::message::Body;
use wire::quorum::{Forward, Member, Message};

use crate::answer::{Pending, Read};
use crate::beacon::{Beacon, Beacons};
use crate::disk::Writes;
use crate::follow::Follower;
use crate::host::STOP_TIMEOUT;
use crate::input::Input;
use crate::meter::Meter;
use crate::peers::Links;
use crate::probe::Probes;
use crate::roster::Roster;
use crate::status::Steps;

/// Inputs taken between two looks at the timer.
const BURST: usize = 256;

/// Ticks of the quorum between two of the control leader.
const CONTROL_TICKS: u64 =
    control::leader::TICK.as_micros() as u64 / quorum::TICK_INTERVAL.as_micros() as u64;

/// Ticks between two beacons.
const BEACON_TICKS: u64 = 20;

/// Ticks between two looks at the membership.
const ROSTER_TICKS: u64 = 20;

/// Ticks between two rounds of tidying.
const TIDY_TICKS: u64 = 100;

#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) own: Member,
    pub(crate) fresh: Arc<AtomicBool>,
    pub(crate) replica: Replica,
    pub(crate) state: State,
    pub(crate) part: Leadership,
    /// Decides for the state while this member leads.
    pub(crate) leader: Option<Leader>,
    pub(crate) writes: Writes,
    pub(crate) links: Links,
    pub(crate) beacons: Option<Beacons>,
    /// The newest beacon of each member, and when it came.
    pub(crate) heard: BTreeMap<u64, (Beacon, Instant)>,
    pub(crate) probes: Probes,
    pub(crate) followers: Arena<Follower>,
    /// Entries applied since followers were told.
    pub(crate) applied: Vec<wire::control::Entry>,
    /// The newest image for entries, and its index.
    pub(crate) image: Option<(u64, Bytes)>,
    pub(crate) proposals: BTreeMap<u64, Pending>,
    pub(crate) reads: BTreeMap<u64, Read>,
    /// Confirmed reads that wait for their index to be applied.
    pub(crate) confirmed: Vec<(u64, Read)>,
    pub(crate) token: u64,
    /// What waits to go to the leader.
    pub(crate) forward: Forward,
    pub(crate) failovers: VecDeque<Steps>,
    /// Last index that each entry is known to have applied.
    pub(crate) seen: BTreeMap<String, u64>,
    pub(crate) health: Health,
    pub(crate) meter: Meter,
    /// When a planned stop began.
    pub(crate) stopping: Option<Instant>,
    pub(crate) ticks: u64,
    /// Events that the quorum has still to take.
    pub(crate) due: VecDeque<Event>,
    /// Events for the control leader's next tick.
    pub(crate) late: Vec<control::Event>,
    /// Since when no leader is known.
    pub(crate) unled: Option<Instant>,
    /// When things happened that a leader must know the time of.
    pub(crate) past: control::Leadership,
    /// Hosts that asked to be members, while this member leads.
    pub(crate) roster: Roster,
    /// Whether it has known no leader for some time.
    pub(crate) asks: Arc<AtomicBool>,
}

impl Core {
    /// Runs until the inputs end, the disk fails or a planned stop is over.
    pub(crate) async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut tick = tokio::time::interval(quorum::TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut burst = Vec::with_capacity(BURST);
        self.links.keep(self.replica.members());
        while !self.is_over() {
            tokio::select! {
                count = inputs.recv_many(&mut burst, BURST) => {
                    if count == 0 {
                        return;
                    }
                }
                _ = tick.tick() => self.tick(),
            }
            for input in burst.drain(..) {
                if let Input::Broken(report) = input {
                    crit!(self.log, "the disk failed: the member ends"; "failure" => ?report);
                    return;
                }
                self.take(input);
                self.settle();
            }
            self.settle();
            self.tell_followers();
            self.pass_on();
        }
        info!(self.log, "ends as planned");
    }

    fn is_over(&self) -> bool {
        let Some(since) = self.stopping else { return false };
        let late = self.now().since(since) >= STOP_TIMEOUT;
        let handed_over = !self.part.leads || self.links.is_alone();
        late || (handed_over && self.proposals.is_empty())
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.due.push_back(Event::Tick);
        self.settle();
        if self.ticks.is_multiple_of(CONTROL_TICKS) {
            self.tick_leader();
        }
        if self.ticks.is_multiple_of(BEACON_TICKS) {
            self.publish();
        }
        if self.ticks.is_multiple_of(TIDY_TICKS) {
            self.tidy();
        }
        if self.ticks.is_multiple_of(ROSTER_TICKS) {
            self.plan_members();
        }
        self.refuse_unled();
    }

    fn tidy(&mut self) {
        self.proposals.retain(|_, pending| !pending.is_closed());
        self.seen.retain(|entry, _| self.state.entries.contains_key(entry.as_str()));
        self.compact();
        self.meter.set(&self.replica, self.followers.len());
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Greeted { member, asks } => self.greet(&member, asks),
            Input::Beacon(beacon) => self.hear_beacon(beacon),
            Input::Message(message) => self.receive(message),
            Input::Persisted(token) => self.due.push_back(Event::Persisted(token)),
            Input::Bootstrap(members) => self.due.push_back(Event::Bootstrap(members)),
            Input::Opened { follow, sender, reply } => self.open(follow, sender, reply),
            Input::Beat { key, beat } => self.beat(key, beat),
            Input::Symptom { key, symptom } => self.symptom(key, symptom),
            Input::Seal { key, seal } => self.seal(key, seal),
            Input::Left { key } => self.left(key),
            Input::Closed { key } => drop(self.followers.remove(key)),
            Input::Probed(event) => self.lead(event),
            Input::Announce { announce, reply } => self.announce(announce, reply),
            Input::Retire { server, reply } => self.retire(&server, reply),
            Input::Propose { command, reply } => self.propose(&command, reply),
            Input::Change { change, reply } => self.change(change, reply),
            Input::Config { reply } => self.read(Read::Config(reply), None),
            Input::Status { reply } => drop(reply.send(self.status())),
            Input::Stop => self.stop(),
            Input::Broken(_) => {}
        }
    }

    fn receive(&mut self, message: Message) {
        if let Some(Body::Forward(forward)) = message.body {
            self.hear(forward);
            return;
        }
        self.due.push_back(Event::Message(message));
        self.fresh.store(self.replica.is_fresh(), Ordering::Release);
    }

    fn greet(&mut self, member: &Member, asks: bool) {
        self.links.greet(member);
        if asks {
            self.forward.newcomers.push(member.clone());
        }
        if let Some(beacons) = &mut self.beacons {
            beacons.hear(member);
        }
    }

    fn publish(&mut self) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let sequence = since.unwrap_or_default().as_millis() as u64;
        let id = self.own.id;
        let (index, term) = (self.state.index, self.part.term);
        let leader = self.part.leader.unwrap_or(0);
        if let Some(beacons) = &self.beacons {
            beacons.publish(&Beacon { id, sequence, index, term, leader });
        }
    }

    fn hear_beacon(&mut self, beacon: Beacon) {
        let newest = self.heard.get(&beacon.id).map_or(0, |(known, _)| known.sequence);
        let listed = self.name_of(beacon.id).is_some();
        if listed && beacon.sequence > newest {
            let now = self.now();
            self.heard.insert(beacon.id, (beacon, now));
        }
    }

    fn stop(&mut self) {
        self.health.set_ready(false);
        self.stopping = Some(self.now());
        self.due.push_back(Event::Transfer);
        self.refuse_all();
    }
}

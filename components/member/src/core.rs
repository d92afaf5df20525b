//! The task that owns the member's state machines.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use base::clock::Clock;
use base::prelude::*;
use control::{Leader, State};
use quorum::{Event, Leadership, Replica};
use slog::{Logger, crit, info};
use telemetry::Health;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use wire::quorum::message::Body;
use wire::quorum::{Forward, Member, Message};

use crate::beacon::{Beacon, Beacons};
use crate::disk::Writes;
use crate::follower::Follower;
use crate::host::STOP_TIMEOUT;
use crate::input::Input;
use crate::leaves::Leaves;
use crate::meter::Meter;
use crate::peers::Links;
use crate::pending::{Pending, Read};
use crate::probe::Probes;
use crate::roster::Roster;
use crate::status::Steps;
use crate::updates::Updates;
use crate::waits::Waits;

/// Largest number of inputs handled between two checks of the timer.
const BURST_INPUTS: usize = 256;

/// Quorum ticks per tick of the control leader.
const CONTROL_TICKS: u64 =
    control::leader::TICK.as_micros() as u64 / quorum::TICK_INTERVAL.as_micros() as u64;

/// Quorum ticks between two beacons.
const BEACON_TICKS: u64 = 20;

/// Quorum ticks between two checks of the membership.
const ROSTER_TICKS: u64 = 20;

/// Quorum ticks between two cleanups.
const CLEANUP_TICKS: u64 = 100;

/// State of the task that owns the member's state machines.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    /// Description of this member.
    pub(crate) own: Member,
    /// Whether this member has neither log entries nor a snapshot.
    pub(crate) fresh: Arc<AtomicBool>,
    /// Quorum state machine of this member, with its copy of the log.
    pub(crate) replica: Replica,
    /// Control state after the last applied log entry.
    pub(crate) state: State,
    /// Term and leader of the quorum, as last reported by `replica`.
    pub(crate) leadership: Leadership,
    /// Control leader, present while this member leads and has applied a log entry
    /// of its own term.
    pub(crate) leader: Option<Leader>,
    pub(crate) writes: Writes,
    pub(crate) links: Links,
    pub(crate) beacons: Option<Beacons>,
    /// Newest beacon of each member and the time of its receipt, by member id.
    pub(crate) beacons_received: BTreeMap<u64, (Beacon, Instant)>,
    pub(crate) probes: Probes,
    pub(crate) followers: Arena<Follower>,
    /// Log entries applied since the last batch sent to followers.
    pub(crate) applied: Vec<wire::control::Entry>,
    /// What entries are sent of the state.
    pub(crate) updates: Updates,
    /// Proposals without a result, by token.
    pub(crate) proposals: BTreeMap<u64, Pending>,
    /// Reads that the quorum has yet to confirm, by token.
    pub(crate) reads: BTreeMap<u64, Read>,
    /// Confirmed reads whose index has yet to be applied.
    pub(crate) confirmed: Vec<(u64, Read)>,
    /// Last token given to a proposal or read.
    pub(crate) token: u64,
    /// Data to be forwarded to the leader.
    pub(crate) forward: Forward,
    /// Steps of recent failovers.
    pub(crate) failovers: VecDeque<Steps>,
    /// Last index that each entry is known to have applied, by entry name.
    pub(crate) entry_indexes: BTreeMap<String, u64>,
    pub(crate) health: Health,
    pub(crate) meter: Meter,
    /// Start of a planned stop; zero if a snapshot could not be decoded, so that the
    /// stop counts as timed out.
    pub(crate) stopping_since: Option<Instant>,
    /// Number of quorum ticks since the start.
    pub(crate) ticks: u64,
    /// Events that the quorum has yet to process.
    pub(crate) quorum_events: VecDeque<Event>,
    /// Events for the control leader's next tick.
    pub(crate) leader_events: Vec<control::Event>,
    /// Time since which no leader has been known.
    pub(crate) leaderless_since: Option<Instant>,
    /// When this member last applied a choice of a primary, for the control leader that
    /// it runs after an election.
    pub(crate) control_leadership: control::Leadership,
    /// Policy for membership changes, applied while this member leads.
    pub(crate) roster: Roster,
    /// What changes of primaries wait for, as far as it is logged.
    pub(crate) waits: Waits,
    /// Announcements of leaving servers that are not acknowledged yet.
    pub(crate) leaves: Leaves,
    /// Whether this member asks to join a membership: set at the start if it has no
    /// log, and later whenever it has had no leader for too long.
    pub(crate) wants_to_join: Arc<AtomicBool>,
}

impl Core {
    /// Runs until the inputs end, the disk fails or a planned stop has completed.
    pub(crate) async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut tick = tokio::time::interval(quorum::TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut burst = Vec::with_capacity(BURST_INPUTS);
        self.links.update(self.replica.members());
        while !self.is_drained() {
            tokio::select! {
                count = inputs.recv_many(&mut burst, BURST_INPUTS) => {
                    if count == 0 {
                        return;
                    }
                }
                _ = tick.tick() => self.tick(),
            }
            for input in burst.drain(..) {
                if let Input::DiskFailed(report) = input {
                    crit!(self.log, "the disk failed; the member stops"; "failure" => ?report);
                    return;
                }
                self.on_input(input);
                self.process_events();
            }
            self.process_events();
            self.send_applied();
            self.flush_forward();
        }
        info!(self.log, "the member stops");
    }

    /// Whether a planned stop has completed or timed out.
    fn is_drained(&self) -> bool {
        let Some(since) = self.stopping_since else { return false };
        let timed_out = self.now().since(since) >= STOP_TIMEOUT;
        let handed_over = !self.leadership.leads || self.links.is_alone();
        timed_out || (handed_over && self.proposals.is_empty())
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.quorum_events.push_back(Event::Tick);
        self.process_events();
        if self.ticks.is_multiple_of(CONTROL_TICKS) {
            self.tick_leader();
            self.leaves.answer(self.now(), &self.state);
        }
        if self.ticks.is_multiple_of(BEACON_TICKS) {
            self.publish();
        }
        if self.ticks.is_multiple_of(CLEANUP_TICKS) {
            self.clean_up();
        }
        if self.ticks.is_multiple_of(ROSTER_TICKS) {
            self.update_membership();
        }
        self.refuse_if_leaderless();
    }

    fn clean_up(&mut self) {
        self.proposals.retain(|_, pending| !pending.is_closed());
        self.entry_indexes.retain(|entry, _| self.state.entries.contains_key(entry.as_str()));
        self.compact();
        let queued = self.followers.iter().map(|(_, follower)| follower.outbox.queued()).sum();
        self.meter.set(&self.replica, self.followers.len(), queued);
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Hello { member, wants_to_join } => self.on_hello(&member, wants_to_join),
            Input::Beacon(beacon) => self.on_beacon(beacon),
            Input::Message(message) => self.on_message(message),
            Input::Persisted(token) => self.quorum_events.push_back(Event::Persisted(token)),
            Input::Bootstrap(members) => self.quorum_events.push_back(Event::Bootstrap(members)),
            Input::Follow { follow, outbox, reply } => self.add_follower(follow, outbox, reply),
            Input::Heartbeat { key, heartbeat } => self.on_heartbeat(key, heartbeat),
            Input::Symptom { key, symptom } => self.report_symptom(key, symptom),
            Input::Seal { key, seal } => self.report_seal(key, seal),
            Input::Leave { key } => self.report_leave(key),
            Input::Closed { key } => drop(self.followers.remove(key)),
            Input::Probed(event) => self.notify_leader(event),
            Input::Announce { announce, reply } => self.announce(announce, reply),
            Input::Retire { server, reply } => self.retire(&server, reply),
            Input::Propose { command, reply } => self.propose(&command, reply),
            Input::Change { change, reply } => self.change(change, reply),
            Input::Config { reply } => self.read(Read::Config(reply), None),
            Input::Status { reply } => drop(reply.send(self.status())),
            Input::Stop => self.stop(),
            Input::DiskFailed(_) => {}
        }
    }

    fn on_message(&mut self, message: Message) {
        if let Some(Body::Forward(forward)) = message.body {
            self.on_forward(forward);
            return;
        }
        self.quorum_events.push_back(Event::Message(message));
        self.fresh.store(self.replica.is_fresh(), Ordering::Release);
    }

    fn on_hello(&mut self, member: &Member, wants_to_join: bool) {
        self.links.admit(member);
        if wants_to_join {
            self.forward.newcomers.push(member.clone());
        }
        if let Some(beacons) = &mut self.beacons {
            beacons.subscribe(member);
        }
    }

    fn publish(&mut self) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let sequence = since.unwrap_or_default().as_millis() as u64;
        let id = self.own.id;
        let (index, term) = (self.state.index, self.leadership.term);
        let leader = self.leadership.leader.unwrap_or(0);
        if let Some(beacons) = &self.beacons {
            beacons.publish(&Beacon { id, sequence, index, term, leader });
        }
    }

    fn on_beacon(&mut self, beacon: Beacon) {
        let newest = self.beacons_received.get(&beacon.id).map_or(0, |(known, _)| known.sequence);
        let listed = self.name_of(beacon.id).is_some();
        if listed && beacon.sequence > newest {
            let now = self.now();
            self.beacons_received.insert(beacon.id, (beacon, now));
        }
    }

    fn stop(&mut self) {
        self.health.set_ready(false);
        self.stopping_since = Some(self.now());
        self.quorum_events.push_back(Event::Transfer);
        self.refuse_all();
    }
}

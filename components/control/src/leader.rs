//! Decisions of the leading member.
//!
//! A leader stores nothing: each election creates a new leader, which learns from
//! heartbeats, announcements and probes all that the replicated state does not
//! contain. The driver of a leader passes events to it, proposes the commands that it
//! requests, and executes its probes.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use base::mechanism::Without;
use base::prelude::*;
use smallvec::SmallVec;
use wire::control::{Seal, Symptom};
use wire::log::{Announce, Command, Join, command};

use crate::context::{Context, Leadership};
use crate::designation::Designation;
use crate::designation::wait::Pending;
use crate::failover::Failover;
use crate::flaw::Flaw;
use crate::liveness::Liveness;
use crate::planner::Planner;
use crate::renewals::Renewals;
use crate::state::{Entry, State};
use crate::trace::Trace;

/// Time after which a proposal that has not changed the state is repeated.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of finished failovers whose timelines are kept.
const MAX_TRACES: usize = 32;

/// Time between two [`Event::Tick`] events.
pub const TICK: Duration = Duration::from_millis(20);

/// Longest time for which a server may hold back its answer to [`Ask::Status`]
/// while its status is unchanged (long polling).
pub const STATUS_WAIT: Duration = Duration::from_millis(100);

/// A request to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Report the status, once it has changed or after [`STATUS_WAIT`].
    Status,
    /// Fence the server: join a term without a primary.
    Fence(Term),
    /// Promote the server to primary of the term at which it was fenced.
    Promote(Term),
    /// Make a server of an unfenced group the primary, through the interface that
    /// promotes such servers. The driver sends this request only while a quorum
    /// confirms that its member leads.
    Designate {
        /// Fencing token; rises with each leader.
        token: u64,
    },
    /// Replicate from the primary of a term.
    Follow {
        /// Term that the server is to join.
        term: Term,
        /// Address of the primary of the term.
        primary: SocketAddr,
    },
}

/// Reason for which a probe of a backend server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ProbeError {
    /// The connection was refused: no process listens at the server's address.
    Refused,
    /// The answer timed out, or the connection was lost.
    Silent,
    /// The server answered with an error or with a malformed message.
    Rejected,
}

impl std::error::Error for ProbeError {}

/// Input of the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed; due every [`TICK`].
    Tick,
    /// The state has applied a committed command.
    Applied {
        /// Index of the command.
        index: u64,
    },
    /// A backend server announced itself, for the first time or as a renewal.
    Announced(Announce),
    /// An entry sent a heartbeat to renew its leases. The driver must pass this event
    /// to the leader before it confirms the heartbeat.
    Heartbeat {
        /// Name of the entry.
        entry: Name,
        /// Incarnation of the entry.
        incarnation: u64,
        /// Last index that the entry had applied when it sent the heartbeat.
        applied: u64,
        /// Groups whose returning lease the entry has released.
        returned: Vec<Name>,
    },
    /// An entry requested to follow the log.
    Joined(Join),
    /// An entry stopped and holds no connections any more.
    Left {
        /// Name of the entry.
        entry: Name,
        /// Incarnation of the entry.
        incarnation: u64,
    },
    /// A keeper reported the health of a group's primary.
    Symptom {
        /// Entry of the keeper.
        entry: Name,
        /// Health of the primary as the keeper sees it.
        symptom: Symptom,
    },
    /// A keeper has ended its work for an earlier primary, whose answers it no longer
    /// passes on.
    Sealed {
        /// Entry of the keeper.
        entry: Name,
        /// Incarnation of the entry.
        incarnation: u64,
        /// Intended term, and the highest mark that the keeper has acknowledged.
        seal: Seal,
    },
    /// A probe has ended; each [`Effect::Probe`] leads to exactly one such event.
    Probed {
        /// Group of the server.
        group: Name,
        /// The server that was probed.
        server: Name,
        /// The request that was sent.
        ask: Ask,
        /// The server's status after the request, or the failure.
        result: Result<Status, ProbeError>,
    },
}

/// Output of the leader, for its driver to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append a command to the log.
    Propose(Command),
    /// Send a request to a backend server; the driver reports the result with
    /// [`Event::Probed`]. An order, which is any request but [`Ask::Status`], must
    /// not wait behind a status request to the same server.
    Probe {
        /// Group of the server.
        group: Name,
        /// The server to probe.
        server: Name,
        /// Address of the server.
        address: SocketAddr,
        /// The request to send.
        ask: Ask,
    },
}

impl Effect {
    pub(crate) fn propose(body: command::Body) -> Self {
        Self::Propose(Command { body: Some(body) })
    }
}

/// Time between two ticks above which the leader itself has stalled, so that the
/// silence of other hosts in that time proves nothing.
const STALL_LIMIT: Duration = Duration::from_millis(100);

/// Shortest time between two ticks because of applied commands. A tick looks at all
/// entries, servers and groups, so with one for each command the work would grow with the
/// square of the size.
const APPLIED_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two checks of all servers' announcements while no command is applied.
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Proposes commands and probes servers while its member leads the quorum.
#[derive(Debug)]
pub struct Leader {
    started: Instant,
    ticked: Instant,
    /// Index of the state at the last check of all announcements, and its time.
    renewals_checked: Option<(u64, Instant)>,
    liveness: Liveness,
    renewals: Renewals,
    planner: Planner,
    /// Incarnation of each entry whose join was proposed, and the time of the proposal.
    joining: BTreeMap<Name, (u64, Instant)>,
    failovers: BTreeMap<Name, Failover>,
    designations: BTreeMap<Name, Designation>,
    leadership: Leadership,
    traces: VecDeque<Trace>,
    flaw: Flaw,
}

impl Leader {
    /// Creates the leader of a new term of the quorum.
    pub fn new(now: Instant) -> Self {
        Self::with_flaw(now, Flaw::None)
    }

    /// Creates the leader of a new term with the facts that it is given at its election.
    pub fn with_leadership(now: Instant, leadership: Leadership) -> Self {
        let planner = Planner::new(leadership.without, Flaw::None);
        Self { planner, leadership, ..Self::new(now) }
    }

    /// Creates a leader that breaks a rule, for a test that must detect it.
    #[doc(hidden)]
    pub fn with_flaw(now: Instant, flaw: Flaw) -> Self {
        Self {
            started: now,
            ticked: now,
            renewals_checked: None,
            liveness: Liveness::new(now, flaw),
            renewals: Renewals::new(),
            planner: Planner::new(Without::default(), flaw),
            joining: BTreeMap::new(),
            failovers: BTreeMap::new(),
            designations: BTreeMap::new(),
            leadership: Leadership::default(),
            traces: VecDeque::new(),
            flaw,
        }
    }

    /// When the member started to lead.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Last index that an incarnation of an entry is known to have applied.
    pub fn applied(&self, entry: &Name, incarnation: u64) -> u64 {
        self.liveness.applied(entry, incarnation)
    }

    /// Newest status report of a server, if no probe of the server has failed since
    /// and the report is no older than the probe interval of a healthy group allows.
    pub fn status(&self, now: Instant, group: &str, server: &Name) -> Option<&Status> {
        let failover = self.failovers.get(group).map(Failover::watches);
        let designation = self.designations.get(group).map(Designation::watches);
        failover.or(designation)?.get(server)?.recent(now)
    }

    /// Timelines of the newest failovers of this leader, finished ones oldest first,
    /// then those in progress.
    pub fn traces(&self) -> impl Iterator<Item = &Trace> {
        let failovers = self.failovers.values().filter_map(Failover::trace);
        let all = failovers.chain(self.designations.values().filter_map(Designation::trace));
        self.traces.iter().chain(all.filter(|trace| trace.established.is_none()))
    }

    /// What the changes of primaries in progress wait for, by group.
    pub fn pending(&self) -> impl Iterator<Item = (&Name, &Pending)> {
        let designations = self.designations.iter();
        designations.filter_map(|(group, designation)| Some((group, designation.pending()?)))
    }

    /// Handles an event. `state` is the state that the member has applied.
    pub fn on(&mut self, now: Instant, state: &State, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, state, out),
            Event::Applied { .. } => {
                if now.since(self.ticked) >= APPLIED_TICK_INTERVAL {
                    self.tick(now, state, out);
                } else {
                    self.step_changes(now, state, out);
                }
            }
            Event::Sealed { entry, incarnation, seal } => {
                let Ok(group) = Name::new(&seal.group) else {
                    return;
                };
                self.designation(&group).record_seal(entry, incarnation, seal);
                self.step(now, state, &group, out);
            }
            Event::Announced(announce) => self.renewals.record_announce(now, state, announce, out),
            Event::Heartbeat { entry, incarnation, applied, returned } => {
                self.liveness.record_heartbeat(now, entry.clone(), incarnation, applied);
                self.planner.record_returned(state, (&entry, incarnation), applied, &returned);
                if !returned.is_empty() {
                    self.planner.tick(now, state, &self.liveness, out);
                }
            }
            Event::Joined(join) => self.propose_join(now, state, join, out),
            Event::Left { entry, incarnation } => {
                self.liveness.mark_left(now, entry, incarnation);
                self.liveness.tick(now, state, out);
            }
            Event::Symptom { entry, symptom } => {
                let Ok(group) = Name::new(&symptom.group) else {
                    return;
                };
                if state.acknowledges(group.as_str()) {
                    self.designation(&group).record_symptom(now, entry, symptom);
                } else {
                    self.failover(now, &group).record_symptom(now, entry, symptom);
                }
                self.step(now, state, &group, out);
            }
            Event::Probed { group, server, ask, result } => {
                let result = result.as_ref().map_err(|&error| error);
                if state.acknowledges(group.as_str()) {
                    self.designation(&group).record_result(now, &server, ask, result);
                } else {
                    self.failover(now, &group).record_result(now, &server, ask, result);
                }
                self.step(now, state, &group, out);
            }
        }
    }

    fn tick(&mut self, now: Instant, state: &State, out: &mut Vec<Effect>) {
        let gap = now.since(self.ticked);
        self.ticked = now;
        if gap > STALL_LIMIT {
            self.failovers.values_mut().for_each(|failover| failover.exclude_stall(gap));
            self.designations.values_mut().for_each(|designation| designation.exclude_stall(gap));
        }
        let renewals_checked = |(index, at): (u64, Instant)| {
            index == state.index && now.since(at) < RENEWAL_CHECK_INTERVAL
        };
        if !self.renewals_checked.is_some_and(renewals_checked) {
            self.renewals_checked = Some((state.index, now));
            self.renewals.tick(now, state, out);
        }
        self.joining.retain(|_, (_, at)| now.since(*at) < PROPOSAL_TIMEOUT);
        self.liveness.tick(now, state, out);
        self.planner.tick(now, state, &self.liveness, out);
        let fenced =
            |group: &Name| state.declares(group.as_str()) && !state.acknowledges(group.as_str());
        self.failovers.retain(|group, _| fenced(group));
        self.designations.retain(|group, _| state.acknowledges(group.as_str()));
        for group in state.groups.keys() {
            let can_skip = |failover: &Failover| failover.can_skip_step(now, state.index);
            if !self.failovers.get(group).is_some_and(can_skip) {
                self.step(now, state, group, out);
            }
        }
    }

    /// Proposes that an entry joins, unless a proposal for it is open: each heartbeat of an
    /// entry that is not in the state yet asks for one.
    fn propose_join(&mut self, now: Instant, state: &State, join: Join, out: &mut Vec<Effect>) {
        let Some((name, entry)) = Entry::from_join(&join) else {
            return;
        };
        let known = state.entries.get(&name);
        if known.is_some_and(|known| known.incarnation >= entry.incarnation) {
            return;
        }
        let is_open = |&(incarnation, at): &(u64, Instant)| {
            incarnation == entry.incarnation && now.since(at) < PROPOSAL_TIMEOUT
        };
        if self.joining.get(&name).is_some_and(is_open) {
            return;
        }
        self.joining.insert(name, (entry.incarnation, now));
        out.push(Effect::propose(command::Body::Join(join)));
    }

    /// Goes on with the changes of primaries that are in progress.
    fn step_changes(&mut self, now: Instant, state: &State, out: &mut Vec<Effect>) {
        let failovers = self.failovers.iter().filter(|(_, failover)| failover.is_in_progress());
        let designations =
            self.designations.iter().filter(|(_, designation)| designation.is_in_progress());
        let groups: SmallVec<[Name; 4]> = failovers
            .map(|(group, _)| group.clone())
            .chain(designations.map(|(group, _)| group.clone()))
            .collect();
        for group in groups {
            self.step(now, state, &group, out);
        }
    }

    fn failover(&mut self, now: Instant, group: &Name) -> &mut Failover {
        self.failovers.entry(group.clone()).or_insert_with(|| Failover::new(now))
    }

    fn designation(&mut self, group: &Name) -> &mut Designation {
        self.designations.entry(group.clone()).or_default()
    }

    fn step(&mut self, now: Instant, state: &State, name: &Name, out: &mut Vec<Effect>) {
        let Some(group) = state.groups.get(name).filter(|_| state.declares(name.as_str())) else {
            return;
        };
        let (liveness, leadership, flaw) = (&self.liveness, self.leadership, self.flaw);
        let context = Context { now, state, name, group, liveness, leadership, flaw };
        let trace = if state.acknowledges(name.as_str()) {
            let designation = self.designations.entry(name.clone()).or_default();
            let was_in_progress = designation.is_in_progress();
            designation.step(&context, out);
            designation.trace().filter(|_| was_in_progress)
        } else {
            let fresh = || Failover::new(now);
            let failover = self.failovers.entry(name.clone()).or_insert_with(fresh);
            let was_in_progress = failover.is_in_progress();
            failover.step(&context, out);
            failover.trace().filter(|_| was_in_progress)
        };
        let finished = trace.filter(|trace| trace.established.is_some()).cloned();
        self.traces.extend(finished);
        if self.traces.len() > MAX_TRACES {
            self.traces.pop_front();
        }
    }
}

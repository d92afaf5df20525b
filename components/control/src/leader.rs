//! What the leading member decides.
//!
//! A leader is volatile: it is made anew at each election, and what it needs
//! to know beyond the state it learns again from beats, announcements and
//! probes. Its host feeds it events, proposes the commands that it asks for,
//! and carries out its probes.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use base::prelude::*;
use wire::control::{Seal, Symptom};
use wire::log::{Announce, Command, Join, command};

use crate::context::{Context, Leadership};
use crate::designation::Designation;
use crate::failover::Failover;
use crate::flaw::Flaw;
use crate::liveness::Liveness;
use crate::planner::Planner;
use crate::renewals::Renewals;
use crate::state::{Entry, State};
use crate::trace::Trace;

/// Time after which a proposal that changed nothing is made again.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Failovers that are remembered.
const TRACES: usize = 32;

/// Time between two [`Event::Tick`].
pub const TICK: Duration = Duration::from_millis(20);

/// Time that a host lets a server wait before it answers [`Ask::Status`] with
/// nothing new.
pub const STATUS_WAIT: Duration = Duration::from_millis(100);

/// A question to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Its report, once it changed or after [`STATUS_WAIT`].
    Status,
    /// Join a term without a primary.
    Fence(Term),
    /// Become the primary of the term that it was fenced at.
    Promote(Term),
    /// Lead the next term, by the word of whoever promotes servers that can't be
    /// fenced. The host asks only while a quorum confirms that it leads.
    Designate {
        /// Rises with each leader.
        token: u64,
    },
    /// Copy from the primary of a term.
    Follow {
        /// The term.
        term: Term,
        /// Where its primary listens.
        primary: SocketAddr,
    },
}

/// Why a backend server did not answer a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ProbeError {
    /// Nothing listens at its address.
    Refused,
    /// No answer in time, or the connection broke.
    Silent,
    /// It answered with an error, or with what can't be read.
    Rejected,
}

impl std::error::Error for ProbeError {}

/// What a leader is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passed; due each [`TICK`].
    Tick,
    /// The state has applied a committed command.
    Applied {
        /// Index of the command.
        index: u64,
    },
    /// A backend server announced or renewed itself.
    Announced(Announce),
    /// An entry renewed its lease. Due before the beat is confirmed.
    Beat {
        /// The entry.
        entry: Name,
        /// Its incarnation.
        incarnation: u64,
        /// Last index that it had applied when it sent the beat.
        applied: u64,
        /// Groups whose returning lease it has given up.
        returned: Vec<Name>,
    },
    /// An entry asked to follow the log.
    Joined(Join),
    /// An entry stopped and holds no connection any more.
    Left {
        /// The entry.
        entry: Name,
        /// Its incarnation.
        incarnation: u64,
    },
    /// What a keeper sees of a group's primary.
    Symptom {
        /// The entry that keeps.
        entry: Name,
        /// What it sees.
        symptom: Symptom,
    },
    /// A keeper has ended its work for an earlier primary.
    Sealed {
        /// The entry that keeps.
        entry: Name,
        /// Its incarnation.
        incarnation: u64,
        /// What it told.
        seal: Seal,
    },
    /// The end of a probe; each [`Effect::Probe`] has one.
    Probed {
        /// The group.
        group: Name,
        /// The server.
        server: Name,
        /// What was asked.
        ask: Ask,
        /// The server's report after it.
        result: Result<Status, ProbeError>,
    },
}

/// What a leader wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append a command to the log.
    Propose(Command),
    /// Ask a backend server; the host reports the end of it. An order must not
    /// wait behind a status question to the same server.
    Probe {
        /// The group.
        group: Name,
        /// The server.
        server: Name,
        /// Where it listens.
        address: SocketAddr,
        /// What to ask.
        ask: Ask,
    },
}

impl Effect {
    pub(crate) fn propose(body: command::Body) -> Self {
        Self::Propose(Command { body: Some(body) })
    }
}

/// Time between two ticks from which on the leader itself stood still, and
/// nobody else's silence may be concluded from it.
const STALL: Duration = Duration::from_millis(100);

/// Time between two looks at all servers' announcements when nothing was applied.
const PACE: Duration = Duration::from_millis(100);

/// Decides for the control log while its member leads.
#[derive(Debug)]
pub struct Leader {
    began: Instant,
    ticked: Instant,
    looked: Option<(u64, Instant)>,
    liveness: Liveness,
    renewals: Renewals,
    planner: Planner,
    failovers: BTreeMap<Name, Failover>,
    designations: BTreeMap<Name, Designation>,
    leadership: Leadership,
    traces: VecDeque<Trace>,
    flaw: Flaw,
}

impl Leader {
    /// Makes the leader of a new term of the quorum.
    pub fn new(now: Instant) -> Self {
        Self::with_flaw(now, Flaw::None)
    }

    /// Makes the leader of a new term that knows of the time before.
    pub fn with_leadership(now: Instant, leadership: Leadership) -> Self {
        Self { leadership, ..Self::new(now) }
    }

    /// Makes a leader that breaks a rule, for a test that must find it.
    #[doc(hidden)]
    pub fn with_flaw(now: Instant, flaw: Flaw) -> Self {
        Self {
            began: now,
            ticked: now,
            looked: None,
            liveness: Liveness::new(now, flaw),
            renewals: Renewals::new(),
            planner: Planner::new(flaw),
            failovers: BTreeMap::new(),
            designations: BTreeMap::new(),
            leadership: Leadership::default(),
            traces: VecDeque::new(),
            flaw,
        }
    }

    /// When it began to lead.
    pub fn started(&self) -> Instant {
        self.began
    }

    /// Last index that an entry is known to have applied.
    pub fn applied(&self, entry: &Name, incarnation: u64) -> u64 {
        self.liveness.applied(entry, incarnation)
    }

    /// Newest report of a server, if it came within the pace of a well group.
    pub fn status(&self, now: Instant, group: &str, server: &Name) -> Option<&Status> {
        let failover = self.failovers.get(group).map(Failover::watches);
        let designation = self.designations.get(group).map(Designation::watches);
        failover.or(designation)?.get(server)?.recent(now)
    }

    /// Failovers that it led, oldest first, with those that are under way.
    pub fn traces(&self) -> impl Iterator<Item = &Trace> {
        let failovers = self.failovers.values().filter_map(Failover::trace);
        let open = failovers.chain(self.designations.values().filter_map(Designation::trace));
        self.traces.iter().chain(open.filter(|trace| trace.established.is_none()))
    }

    /// Takes an event. `state` is what the member has applied.
    pub fn on(&mut self, now: Instant, state: &State, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, state, out),
            Event::Applied { .. } => {
                self.designations.values_mut().for_each(Designation::record_applied);
                self.tick(now, state, out);
            }
            Event::Sealed { entry, incarnation, seal } => {
                let Ok(group) = Name::new(&seal.group) else {
                    return;
                };
                self.designation(&group).record_seal(entry, incarnation, seal);
                self.step(now, state, &group, out);
            }
            Event::Announced(announce) => self.renewals.record_announce(now, state, announce, out),
            Event::Beat { entry, incarnation, applied, returned } => {
                self.liveness.beat(now, entry.clone(), incarnation, applied);
                self.planner.record_returned(state, (&entry, incarnation), applied, &returned);
                if !returned.is_empty() {
                    self.planner.tick(now, state, &self.liveness, out);
                }
            }
            Event::Joined(join) => joined(state, join, out),
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
                let result = result.as_ref().map_err(|&unreached| unreached);
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
        if gap > STALL {
            self.failovers.values_mut().for_each(|failover| failover.exclude_stall(gap));
            self.designations.values_mut().for_each(|designation| designation.exclude_stall(gap));
        }
        let looked = |(index, at): (u64, Instant)| index == state.index && now.since(at) < PACE;
        if !self.looked.is_some_and(looked) {
            self.looked = Some((state.index, now));
            self.renewals.tick(now, state, out);
        }
        self.liveness.tick(now, state, out);
        self.planner.tick(now, state, &self.liveness, out);
        let fenced =
            |group: &Name| state.declares(group.as_str()) && !state.acknowledges(group.as_str());
        self.failovers.retain(|group, _| fenced(group));
        self.designations.retain(|group, _| state.acknowledges(group.as_str()));
        for group in state.groups.keys() {
            let rests = |failover: &Failover| failover.can_skip_step(now, state.index);
            if !self.failovers.get(group).is_some_and(rests) {
                self.step(now, state, group, out);
            }
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
        let over = if state.acknowledges(name.as_str()) {
            let designation = self.designations.entry(name.clone()).or_default();
            let open = designation.is_in_progress();
            designation.step(&context, out);
            designation.trace().filter(|_| open)
        } else {
            let fresh = || Failover::new(now);
            let failover = self.failovers.entry(name.clone()).or_insert_with(fresh);
            let open = failover.is_in_progress();
            failover.step(&context, out);
            failover.trace().filter(|_| open)
        };
        let over = over.filter(|trace| trace.established.is_some()).cloned();
        self.traces.extend(over);
        if self.traces.len() > TRACES {
            self.traces.pop_front();
        }
    }
}

fn joined(state: &State, join: Join, out: &mut Vec<Effect>) {
    let Some((name, entry)) = Entry::from_join(&join) else {
        return;
    };
    let known = state.entries.get(&name);
    if known.is_none_or(|known| known.incarnation < entry.incarnation) {
        out.push(Effect::propose(command::Body::Join(join)));
    }
}

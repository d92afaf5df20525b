//! Load shedding in unfenced groups: requests that could not be answered in
//! time are refused at once.
//!
//! Without shedding, queues under overload grow until all waiting requests are
//! answered late or not at all. A request that no slot can run at once is refused if
//! it can't end within its objective after the work that is served before it: that of
//! higher priorities, and its fair part of that of its own. A request of a lower priority
//! that no longer fits because of a new request is refused in favour of that one, unless
//! it has waited so long already that a late answer is better than a late refusal. A
//! request that a slot can run is never refused, and neither is a single probe of an
//! estimate that no run time corrected for a while: estimates are corrected only by
//! requests that run. Requests that wait because no server is usable, as during a change
//! of primary, are not refused for load.

use base::mechanism::Mechanism;
use base::prelude::*;
use smallvec::SmallVec;
use wire::data::{Class, Outcome, Reason, Run};

use crate::admission::QUEUE_RETRY_AFTER;
use crate::estimate::{Expected, Kind};
use crate::event::{Count, Effect, Front, Shed};
use crate::flaw::Flaw;
use crate::group::Group;
use crate::request::{Lane, Request, Stage};
use crate::server::Server;
use crate::service::Service;
use crate::teams::Team;
use crate::unfenced::{Need, will_show_soon};

/// Part of its objective after which a waiting request is no longer refused in favour of
/// another one, as a divisor: callers count a later refusal as a late one.
const DISPLACED_WITHIN_DIVISOR: u32 = 4;

/// Maximum number of waiting requests that are refused in favour of one new request.
const MAX_DISPLACED: usize = 4;

/// Shortest and longest time after which a refused caller is asked to come back. The
/// shortest covers the way to a caller in another zone and back several times over.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// Part of the objective that is kept for the way between the caller and this keeper, and
/// for estimates that are too low, as a divisor.
const MARGIN_DIVISOR: u32 = 10;

/// Part of the objective that a request may wait for a slot, as a divisor. An operation may
/// consist of several statements, of which each waits, and callers may leave before the
/// end of the objective. A longer queue adds no throughput: a third of an objective is
/// several run times.
const QUEUED_DIVISOR: u32 = 3;

/// Expected wait of a request.
#[derive(Clone, Copy, Debug)]
struct Wait {
    /// Time until the request is sent to a server.
    queued: Duration,
    /// Run time of the request itself.
    run: Expected,
}

impl Group {
    /// Refuses a new request that still waits after requests were dispatched and
    /// would be answered too late, or requests of lower priority that would because of it.
    pub(crate) fn shed(&mut self, now: Instant, key: Key<Request>, out: &mut Vec<Effect>) {
        let off = self.has_flaw(Flaw::AdmitAll) || !self.uses(Mechanism::Admission);
        if !self.is_unfenced() || off {
            return;
        }
        if self.exceeds_retry_budget(key) {
            return self.refuse(now, key, Shed::RetryBudget, out);
        }
        if !self.would_be_late(now, key) {
            return self.displace(now, key, out);
        }
        let probes = !self.has_flaw(Flaw::NoProbes);
        let admitted = self.may_run_now(now, key) || (probes && self.admits_probe(now, key));
        if !admitted || self.has_flaw(Flaw::CountSuspension) {
            self.refuse(now, key, Shed::Objective, out);
        }
    }

    fn refuse(&mut self, now: Instant, key: Key<Request>, cause: Shed, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        out.push(Effect::Count(Count::Shed(cause, request.rank.priority)));
        let reason = match cause {
            Shed::RetryBudget => Reason::RetryBudget,
            Shed::Limit | Shed::Objective | Shed::Displaced => Reason::QueueFull,
        };
        self.finish(now, key, Outcome::NotRun, reason, out);
    }

    /// Whether a request that an earlier attempt at another keeper may have run has to wait,
    /// and its service spent its retries. Retries of fronts and of this keeper share the
    /// budget. A retry that a slot runs at once delays nothing, and is free.
    fn exceeds_retry_budget(&mut self, key: Key<Request>) -> bool {
        let Some(request) = self.requests.get(key).filter(|request| request.run.repeats) else {
            return false;
        };
        let waits = matches!(request.stage, Stage::Queued(_) | Stage::Parked);
        let off = self.has_flaw(Flaw::UnlimitedRetries) || !self.uses(Mechanism::RetryBudget);
        if !waits || off {
            return false;
        }
        self.services.get_mut(request.service).is_none_or(|service| !service.budget.withdraw())
    }

    /// Refuses requests of lower priority, or of flows with more work, that would be
    /// answered too late because of a new request.
    fn displace(&mut self, now: Instant, key: Key<Request>, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let Stage::Queued(lane) = request.stage else {
            return;
        };
        let rank = request.rank;
        for _ in 0..MAX_DISPLACED {
            let tails: SmallVec<[_; 8]> = self.lanes.get(lane).tails_from(rank).collect();
            let displaced = tails.into_iter().find(|tail| {
                *tail != key && self.may_displace(now, *tail) && self.would_be_late(now, *tail)
            });
            let Some(displaced) = displaced else {
                return;
            };
            self.refuse(now, displaced, Shed::Displaced, out);
        }
    }

    /// Whether a waiting request may be refused in favour of another one: not if it has
    /// waited for long, or an attempt was made already.
    fn may_displace(&self, now: Instant, key: Key<Request>) -> bool {
        let Some(request) = self.requests.get(key).filter(|r| r.tries == 0 && !r.probes) else {
            return false;
        };
        let objective = self.services.get(request.service).and_then(|service| service.objective);
        let limit = objective.map(|objective| objective / DISPLACED_WITHIN_DIVISOR);
        limit.is_some_and(|limit| now.since(request.arrived) < limit)
    }

    /// Whether a waiting request is expected to end after its objective. False where no
    /// server is usable, since it does not wait because of load then.
    fn would_be_late(&self, now: Instant, key: Key<Request>) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let objective = self.services.get(request.service).and_then(|service| service.objective);
        let Some(objective) = objective else {
            return false;
        };
        let Some(wait) = self.wait(now, Some(key), request) else {
            return false;
        };
        let sent_at = now + wait.queued;
        let ends_by = request.arrived + objective.saturating_sub(objective / MARGIN_DIVISOR);
        sent_at > request.arrived + objective / QUEUED_DIVISOR || sent_at + wait.run.usual > ends_by
    }

    /// Lane of a waiting request; `None` if it does not wait for a slot.
    fn lane_of(&self, now: Instant, request: &Request) -> Option<Lane> {
        match request.stage {
            Stage::Queued(lane) => Some(lane),
            // no replica shows what the read needs, but the primary may serve it
            Stage::Parked => self.unfenced_lane(now, request),
            _ => None,
        }
    }

    /// Expected wait of a request; `None` if it waits for something else than a slot.
    fn wait(&self, now: Instant, key: Option<Key<Request>>, request: &Request) -> Option<Wait> {
        let lane = self.lane_of(now, request)?;
        let slots = self.slots_for(now, request, lane);
        if slots == 0 {
            return None;
        }
        let run = self.expected(request, lane);
        let schedule = self.lanes.get(lane);
        let besides = run.mean * self.waiting_besides(now, request, lane);
        let queued = key.and_then(|key| schedule.wait(now, key, besides, slots));
        let queued = queued
            .unwrap_or_else(|| schedule.wait_new(now, &self.place(request, lane), besides, slots));
        // the slots are taken, and the one that serves the request may have been taken last
        Some(Wait { queued: queued.saturating_add(run.mean), run })
    }

    /// Number of requests that are served before those in a lane, or with them, but wait
    /// elsewhere: statements of open transactions, and parked reads.
    fn waiting_besides(&self, now: Instant, request: &Request, lane: Lane) -> u32 {
        let primary = self.usable_control_primary(now).map(|(key, _)| key);
        let in_lane = |server| (Some(server) == primary) == (lane != Lane::Replica);
        let servers = self.servers.iter().filter(|(key, _)| in_lane(*key));
        let urgent: usize = servers.map(|(_, server)| server.urgent.len()).sum();
        let parks = |key: &&Key<Request>| {
            let other = self.requests.get(**key).filter(|other| other.rank <= request.rank);
            other.is_some_and(|other| other.run.request != request.run.request)
        };
        let parked =
            if lane == Lane::Replica { self.parked.iter().filter(parks).count() } else { 0 };
        u32::try_from(urgent + parked).unwrap_or(u32::MAX)
    }

    /// Whether a free slot can run a request, and no request goes before it.
    fn may_run_now(&self, now: Instant, key: Key<Request>) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let Some(lane) = self.lane_of(now, request) else {
            return false;
        };
        let first = self.lanes.get(lane).is_first(key);
        first && self.servers_for(now, request, lane).any(|server| self.free_slots(server) > 0)
    }

    /// Whether a request that would be late may run as a probe of its estimate, because
    /// none of its kind ran for the time of an objective.
    fn admits_probe(&mut self, now: Instant, key: Key<Request>) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let Some(lane) = self.lane_of(now, request) else {
            return false;
        };
        let kind = Kind::new(request.class == Class::Read, lane != Lane::Replica);
        let Some(service) = self.services.get_mut(request.service) else {
            return false;
        };
        let objective = service.objective.unwrap_or(Duration::MAX);
        let admits = service.estimates.admits_probe(now, kind, objective);
        if let Some(request) = self.requests.get_mut(key) {
            request.probes = admits;
        }
        admits
    }

    /// Number of slots that serve a lane at present: this keeper's share, or more where
    /// it uses more.
    fn slots_for(&self, now: Instant, request: &Request, lane: Lane) -> u32 {
        let share = |key| self.servers.get(key).map_or(0, |server: &Server| server.share);
        let used = |key| share(key).max(self.running(key));
        let slots: u32 = self.servers_for(now, request, lane).map(used).sum();
        let primary = self.usable_control_primary(now).filter(|_| lane == Lane::Replica);
        let known = matches!(self.need(now, request), Need::Mark(_));
        let on_primary = primary.filter(|_| known).map_or(0, |(key, _)| self.spare_slots(key));
        slots + on_primary
    }

    /// Servers that serve the requests of a lane. The primary also serves reads that a
    /// replica may serve, as far as its slots are spare; it is not included for these.
    fn servers_for(
        &self,
        now: Instant,
        request: &Request,
        lane: Lane,
    ) -> impl Iterator<Item = Key<Server>> {
        let primary = self.usable_control_primary(now).map(|(key, _)| key);
        let need = self.need(now, request);
        let in_lane = move |key: Key<Server>, server: &Server| match (lane, need) {
            (Lane::Replica, Need::Mark(mark)) => {
                Some(key) != primary
                    && server.is_available(now)
                    && will_show_soon(now, server, mark)
            }
            (Lane::Replica, Need::Unknown) => false,
            (Lane::Primary | Lane::Spare, _) => Some(key) == primary,
        };
        let servers = self.servers.iter().filter(move |(key, server)| in_lane(*key, server));
        servers.map(|(key, _)| key)
    }

    /// Longest time after which the caller of a request that is refused for load is asked to
    /// come back; the shortest is half of it. That is the time until the work that is served
    /// before the request is done.
    pub(crate) fn drain_time(&self, now: Instant, key: Key<Request>) -> Option<Duration> {
        let request = self.requests.get(key)?;
        self.drain_time_of(now, Some(key), request)
    }

    fn drain_time_of(
        &self,
        now: Instant,
        key: Option<Key<Request>>,
        request: &Request,
    ) -> Option<Duration> {
        if !self.is_unfenced() || self.has_flaw(Flaw::FixedReturn) {
            return None;
        }
        self.services.get(request.service)?.objective?;
        let wait = self.wait(now, key, request)?;
        Some(wait.queued.clamp(RETRY_AFTER.0, RETRY_AFTER.1) * 2)
    }

    /// Counts a request that is refused because its service has too many open ones, and
    /// returns the time after which its caller may come back.
    pub(crate) fn refuse_at_limit(
        &mut self,
        now: Instant,
        front: Front,
        (service, team): (Key<Service>, Key<Team>),
        run: &Run,
        out: &mut Vec<Effect>,
    ) -> Duration {
        let rank = self.rank(service, team);
        out.push(Effect::Count(Count::Shed(Shed::Limit, rank.0.priority)));
        let mut request = Request::new(now, front, (service, team), rank, run.clone());
        if !request.is_read() {
            request.stage = Stage::Queued(Lane::Primary);
        }
        match self.drain_time_of(now, None, &request) {
            Some(longest) => self.backoff.jitter(longest),
            None => QUEUE_RETRY_AFTER,
        }
    }
}

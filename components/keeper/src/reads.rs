//! Verified samples of the primary's position, and the choice of a server for
//! reads.

use base::mechanism::Mechanism;
use base::prelude::*;
use route::{Candidate, Need, Sample, qualify};
use smallvec::SmallVec;

use crate::event::{Cause, Effect};
use crate::flaw::Flaw;
use crate::group::Group;
use crate::request::{Lane, Request, Stage};
use crate::server::{Report, Server};
use crate::teams::Team;
use crate::unfenced::{self, will_show_soon};

/// Timeout of a sampling round.
const ROUND_TIMEOUT: Duration = Duration::from_millis(50);

/// Time for which background sampling continues after the last read that
/// accepts a bounded age.
const BACKGROUND_SAMPLING: Duration = Duration::from_secs(5);

/// Minimum and maximum interval of background sampling.
const SAMPLE_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_millis(100));

/// Minimum time that a read waits for a busy replica before an idle primary
/// serves it.
const BUSY_PATIENCE: Duration = Duration::from_millis(100);

/// Sampling rounds. One round serves all requests that arrived before its
/// start.
#[derive(Debug, Default)]
pub(crate) struct Sampling {
    /// Requests wait for a sample taken at or after this time.
    requested_since: Instant,
    /// Start of the current round.
    round: Option<Instant>,
    /// Latest sample of the primary whose term a majority confirmed.
    pub(crate) verified: Option<Sample>,
    /// End of background sampling for reads that accept a bounded age.
    age_reads_until: Instant,
    /// Smallest age accepted by the reads that keep background sampling running.
    age: Duration,
}

impl Sampling {
    pub(crate) fn is_busy(&self, now: Instant) -> bool {
        self.round.is_some() || now < self.age_reads_until
    }

    /// Requests a sample taken at or after `since`.
    pub(crate) fn request_since(&mut self, since: Instant) {
        self.requested_since = self.requested_since.max(since);
    }

    /// Keeps background sampling running for a read that accepts the given age.
    pub(crate) fn note_age(&mut self, now: Instant, age: Duration) {
        let known = if now < self.age_reads_until { self.age } else { age };
        self.age = known.min(age);
        self.age_reads_until = now + BACKGROUND_SAMPLING;
    }

    /// Whether a sample taken at or after `since` is available.
    pub(crate) fn covers(&self, since: Instant) -> bool {
        self.verified.is_some_and(|sample| sample.taken >= since)
    }

    /// Whether reads that accept a bounded age need a sample younger than `1 /
    /// part` of that age, and none was requested recently.
    pub(crate) fn needs_sample(&self, now: Instant, part: u32) -> bool {
        let asked = self.round.is_some_and(|round| now.since(round) <= ROUND_TIMEOUT);
        now < self.age_reads_until && !asked && !self.covers(now - self.age / part)
    }

    /// Records that a sample was requested from the primary.
    pub(crate) fn note_requested(&mut self, now: Instant) {
        self.round = Some(now);
    }

    /// Starts a round if one is due; returns whether it did.
    fn start_round(&mut self, now: Instant) -> bool {
        if let Some(round) = self.round {
            let open = !self.covers(round) && now.since(round) <= ROUND_TIMEOUT;
            if open {
                return false;
            }
            self.round = None;
        }
        let wanted = self.requested_since > Instant::ZERO && !self.covers(self.requested_since);
        let step = (self.age / 4).clamp(SAMPLE_INTERVAL.0, SAMPLE_INTERVAL.1);
        let aged = now < self.age_reads_until && !self.covers(now - step);
        if wanted || aged {
            self.round = Some(now);
        }
        wanted || aged
    }
}

impl Group {
    /// Notes which sample a read needs, for the next sampling round: a sample of the
    /// primary's position taken after the read arrived, or one within the age that the
    /// read accepts.
    pub(crate) fn request_sample_for(&mut self, now: Instant, key: Key<Request>) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if request.is_fresh() && self.unfenced.is_some() {
            return;
        }
        if request.is_fresh() {
            self.sampling.request_since(request.arrived);
        } else if request.run.age_ms > 0 {
            self.sampling.note_age(now, Duration::from_millis(request.run.age_ms));
        }
    }

    /// Requests status reports from all servers if a sampling round is due.
    pub(crate) fn sample(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.is_unfenced() {
            return self.sample_unfenced(now, out);
        }
        if !self.sampling.start_round(now) {
            return;
        }
        let members = self.servers.iter().filter(|(_, server)| server.configured);
        out.extend(members.map(|(_, server)| Effect::Sample { server: server.name.clone() }));
    }

    /// Stores the latest sample that the reports support.
    pub(crate) fn verify(&mut self) {
        let Some(sample) = self.verified_sample() else {
            return;
        };
        if !self.sampling.covers(sample.taken) || !self.is_same_term(sample) {
            self.sampling.verified = Some(sample);
            self.ring.push(sample);
        }
    }

    fn is_same_term(&self, sample: Sample) -> bool {
        self.sampling.verified.is_some_and(|known| known.mark.term == sample.mark.term)
    }

    /// Returns the primary's position and the time after which a majority
    /// confirmed the primary's term.
    fn verified_sample(&self) -> Option<Sample> {
        let (key, term) = self.primary()?;
        let primary = self.servers.get(key)?.report.as_ref()?;
        let mark = Mark { term, position: primary.status.received };
        if self.has_flaw(Flaw::Unverified) {
            return Some(Sample { taken: primary.requested_at, mark });
        }
        let reports = self.servers.iter().filter_map(|(_, server)| server.report.as_ref());
        let mut sent: Vec<_> = reports
            .filter(|report| report.status.term == term)
            .map(|report| report.requested_at)
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let taken = sent.get(self.majority() - 1)?;
        Some(Sample { taken: primary.requested_at.min(*taken), mark })
    }

    /// Queues parked reads for which a lane can be chosen now.
    pub(crate) fn unpark(&mut self, now: Instant) {
        let parked = std::mem::take(&mut self.parked);
        for key in parked {
            self.park_or_queue(now, key);
        }
    }

    /// Queues a parked read if a lane can be chosen, else keeps it parked.
    pub(crate) fn park_or_queue(&mut self, now: Instant, key: Key<Request>) {
        let Some(request) = self.requests.get(key).filter(|r| r.stage == Stage::Parked) else {
            return;
        };
        match self.lane(now, request) {
            Some((lane, cause)) => {
                self.set_cause(key, cause);
                self.queue(key, lane);
            }
            None => self.parked.push(key),
        }
    }

    fn set_cause(&mut self, key: Key<Request>, cause: Cause) {
        if let Some(request) = self.requests.get_mut(key) {
            request.cause = cause;
        }
    }

    /// Chooses the lane of a parked read, and the reason in case the primary
    /// serves it. Returns `None` while the read must wait.
    fn lane(&self, now: Instant, request: &Request) -> Option<(Lane, Cause)> {
        if self.is_unfenced() {
            return Some((self.unfenced_lane(now, request)?, Cause::Busy));
        }
        if self.qualified(now, request).next().is_some() {
            return Some((Lane::Replica, Cause::Busy));
        }
        let since = request.sampled_since(now);
        let sampled = since.is_none_or(|since| self.sampling.covers(since));
        let replica = self.replicas(now, request).next().is_some();
        let patience = Duration::from_millis(request.run.patience_ms);
        let patient = replica && now < request.arrived + patience;
        if !sampled || patient || !self.can_reach_primary(request) {
            return None;
        }
        let aged = request.run.age_ms > 0 && !request.is_fresh();
        let cause = match (replica, aged) {
            (false, _) => Cause::NoReplica,
            (true, true) => Cause::Old,
            (true, false) => Cause::Behind,
        };
        Some((if aged { Lane::Spare } else { Lane::Primary }, cause))
    }

    fn can_reach_primary(&self, request: &Request) -> bool {
        let service = self.services.get(request.service);
        let reaches = |key| service.is_some_and(|service| service.reaches(key));
        self.primary().is_none_or(|(key, _)| reaches(key))
    }

    /// Usable replicas that the request's service may reach.
    fn replicas(
        &self,
        now: Instant,
        request: &Request,
    ) -> impl Iterator<Item = (Key<Server>, &Server, &Report)> {
        let service = self.services.get(request.service);
        let primary = self.primary().map(|(key, _)| key);
        self.servers.iter().filter_map(move |(key, server)| {
            let report = server.report.as_ref()?;
            let unfenced = self.is_unfenced();
            let trusted = report.requested_at > server.distrusted_at || unfenced;
            let usable = server.is_available(now) && !server.expired && trusted;
            let replica = Some(key) != primary && (unfenced || report.status.role == Role::Replica);
            let reached = service.is_some_and(|service| service.reaches(key));
            (usable && replica && reached).then_some((key, server, report))
        })
    }

    /// Replicas that show the data a read needs, each with the mark that a read
    /// there is certain to see. In an unfenced group, includes replicas that are
    /// expected to show the mark soon, since the read waits there for the mark.
    fn qualified(
        &self,
        now: Instant,
        request: &Request,
    ) -> impl Iterator<Item = (Key<Server>, &Server, Option<Mark>)> {
        let need = Need { floor: request.floor, since: request.sampled_since(now) };
        let unfenced_need = self.is_unfenced().then(|| self.need(now, request));
        self.replicas(now, request).filter_map(move |(key, server, report)| {
            let mark = match unfenced_need {
                Some(unfenced::Need::Mark(mark)) if will_show_soon(now, server, mark) => Some(mark),
                Some(_) => return None,
                None => qualify(&report.status, need, &self.ring)?,
            };
            Some((key, server, mark))
        })
    }

    /// The qualified replicas with the properties that the choice between them
    /// depends on, including replicas without a free slot. In an unfenced group
    /// the primary is added if all of them are busy, and a server on which the
    /// request has failed is included only if there is no other.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        request: &Request,
    ) -> impl Iterator<Item = Candidate<Key<Server>>> {
        let candidate = |(key, server, mark): (Key<Server>, &Server, Option<Mark>)| Candidate {
            server: key,
            same_zone: server.zone == self.zone && !self.is_unfenced(),
            free: if now < server.full_until { 0 } else { self.ready_slots(key, request.team) },
            waiting: server.urgent.len() as u32,
            cost: 0,
            unused: if self.starts.judges { server.gauge.unused(now) } else { Duration::ZERO },
            probe: false,
            mark,
        };
        let mut found: SmallVec<[_; 4]> = self.qualified(now, request).map(candidate).collect();
        if self.is_unfenced() {
            self.rate_candidates(now, &mut found);
        }
        let avoided = take_avoided(&mut found, request);
        let busy = found.iter().all(|candidate| candidate.free == 0);
        let spare = if busy && self.is_unfenced() { self.spare_primary(now) } else { None };
        let spare = spare.and_then(|key| Some(candidate((key, self.servers.get(key)?, None))));
        let alone = found.is_empty() && spare.is_none();
        found.into_iter().chain(spare).chain(avoided.filter(|_| alone))
    }

    /// Returns the primary of an unfenced group if no work that needs the
    /// primary is waiting and this keeper's share has room. Reads beyond the
    /// share would take slots granted to other keepers.
    fn spare_primary(&self, now: Instant) -> Option<Key<Server>> {
        let (key, _) = self.usable_control_primary(now)?;
        let room = self.running(key) < self.spare_slots(key);
        (room && !self.awaits_primary()).then_some(key)
    }

    /// Whether work that needs the primary is waiting.
    fn awaits_primary(&self) -> bool {
        let waits =
            |request: &Request| matches!(request.stage, Stage::Backoff(_)) && !request.is_read();
        !self.lanes.primary.is_empty() || self.requests.iter().any(|(_, request)| waits(request))
    }

    /// Number of slots on a primary that this keeper may use for reads: its
    /// share, but at least one; none if such reads are turned off.
    pub(crate) fn spare_slots(&self, primary: Key<Server>) -> u32 {
        if !self.uses(Mechanism::PrimaryReads) {
            return 0;
        }
        self.servers.get(primary).map_or(0, |server| server.share).max(1)
    }

    /// Number of free slots on a server, or 0 if no connection of the team to it is idle.
    pub(crate) fn ready_slots(&self, key: Key<Server>, team: Key<Team>) -> u32 {
        if self.idle_of(key, team).is_some() { self.free_slots(key) } else { 0 }
    }

    /// Moves reads that waited too long for a busy replica to the primary, if
    /// it has no work of its own.
    pub(crate) fn spill_to_primary(&mut self, now: Instant) {
        if !self.lanes.primary.is_empty() || self.lanes.replica.is_empty() || self.is_unfenced() {
            return;
        }
        let is_overdue = |request: &Request| {
            let patience = Duration::from_millis(request.run.patience_ms).max(BUSY_PATIENCE);
            let waits = request.stage == Stage::Queued(Lane::Replica);
            waits && now.since(request.arrived) > patience
        };
        let moved = self.requests.iter().filter(|(_, request)| is_overdue(request));
        let moved: Vec<_> = moved.map(|(key, _)| key).collect();
        for key in moved {
            self.lanes.replica.remove(key);
            self.queue(key, Lane::Spare);
        }
    }
}

/// Removes the server on which a read has failed from its candidates, and returns it.
fn take_avoided(
    found: &mut SmallVec<[Candidate<Key<Server>>; 4]>,
    request: &Request,
) -> Option<Candidate<Key<Server>>> {
    let avoided = found.iter().position(|found| Some(found.server) == request.avoided)?;
    Some(found.remove(avoided))
}

//! Load shedding in unfenced groups: requests that could not be answered in
//! time are refused at once.
//!
//! Without shedding, queues under overload grow until all waiting requests are
//! answered late or not at all. A request that no slot can run at once is refused if
//! the work queued up to and including it takes longer than its objective, so that
//! admitted requests are answered in time. A request that a slot can run is never
//! refused: the estimate of the run time is corrected only by requests that run.
//! Requests that wait because no server is usable, as during a change of primary, are
//! not refused for load.

use base::prelude::*;
use wire::data::{Outcome, Reason};

use crate::event::Effect;
use crate::group::Group;
use crate::request::{Lane, Request, Stage};
use crate::server::Server;
use crate::unfenced::{Need, will_show_soon};

impl Group {
    /// Refuses a new request that still waits after requests were dispatched and
    /// would be answered too late.
    pub(crate) fn shed(&mut self, now: Instant, key: Key<Request>, out: &mut Vec<Effect>) {
        if self.would_wait_too_long(now, key) {
            self.finish(now, key, Outcome::NotRun, Reason::QueueFull, out);
        }
    }

    /// Whether the work queued up to and including a new request takes longer
    /// than the request's objective. Always false in a fenced group.
    pub(crate) fn would_wait_too_long(&self, now: Instant, key: Key<Request>) -> bool {
        let Some(request) = self.requests.get(key).filter(|_| self.is_unfenced()) else {
            return false;
        };
        let objective = self.services.get(request.service).and_then(|service| service.objective);
        let lane = match request.stage {
            Stage::Queued(lane) => Some(lane),
            // no replica shows what the read needs, but the primary may serve it
            Stage::Parked => self.unfenced_lane(now, request),
            _ => None,
        };
        let (Some(objective), Some(lane)) = (objective, lane) else {
            return false;
        };
        let work = self.typical_run_time * self.waiting(lane);
        // a single slot finishes this work in time, so the slots need no counting
        if work <= objective {
            return false;
        }
        let slots = self.slots_for(now, request, lane);
        slots > 0 && work / slots > objective
    }

    /// Number of requests that wait in a lane.
    fn waiting(&self, lane: Lane) -> u32 {
        let count = match lane {
            Lane::Primary => self.lanes.primary.len(),
            Lane::Spare => self.lanes.spare.len(),
            // parked reads, which no server can serve at present, wait as well
            Lane::Replica => self.lanes.replica.len() + self.parked.len(),
        };
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Number of slots in this keeper's share that serve a lane at present.
    fn slots_for(&self, now: Instant, request: &Request, lane: Lane) -> u32 {
        let primary = self.usable_control_primary(now).map(|(key, _)| key);
        let share = |key| self.servers.get(key).map_or(0, |server: &Server| server.share);
        if lane == Lane::Primary {
            return primary.map_or(0, share);
        }
        let Need::Mark(mark) = self.need(now, request) else {
            return 0;
        };
        let serves = |key: Key<Server>, server: &Server| {
            Some(key) != primary && server.is_available(now) && will_show_soon(now, server, mark)
        };
        let replicas = self.servers.iter().filter(|(key, server)| serves(*key, server));
        let slots: u32 = replicas.map(|(_, server)| server.share).sum();
        slots + primary.map_or(0, |key| self.spare_slots(key))
    }
}

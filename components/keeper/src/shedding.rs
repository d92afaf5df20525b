//! Whether a request had better be refused than wait behind others.
//!
//! Under more load than the servers bear each queue would grow until all that
//! waits is answered late or not at all. A request before which more work waits
//! than can be done within its objective is refused at once, so that those that
//! are taken are answered in time. Where no server can be used the wait is not
//! for load but for a change of primary, and requests wait on.

use base::prelude::*;

use crate::group::Group;
use crate::request::{Lane, Request, Stage};
use crate::server::Server;
use crate::unfenced::{Need, will_show_soon};

impl Group {
    /// Whether the work that waits before a new request takes longer than its
    /// objective.
    pub(crate) fn would_wait_too_long(&self, now: Instant, key: Key<Request>) -> bool {
        let Some(request) = self.requests.get(key).filter(|_| self.is_unfenced()) else {
            return false;
        };
        let objective = self.services.get(request.service).and_then(|service| service.objective);
        let (Some(objective), Stage::Queued(lane)) = (objective, request.stage) else {
            return false;
        };
        let work = self.typical_run_time * self.waiting(lane);
        // with every slot to itself it would wait no longer than for all of it
        if work <= objective {
            return false;
        }
        let slots = self.slots_for(now, request, lane);
        slots > 0 && work / slots > objective
    }

    /// Requests that wait in a lane.
    fn waiting(&self, lane: Lane) -> u32 {
        let count = match lane {
            Lane::Primary => self.lanes.primary.len(),
            Lane::Spare => self.lanes.spare.len(),
            // those that no server shows enough to at present wait too
            Lane::Replica => self.lanes.replica.len() + self.parked.len(),
        };
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Slots of this keeper's share that serve a lane at present.
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

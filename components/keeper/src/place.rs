//! The place of a request among the waiting ones.

use admit::{INITIAL_COST, Place, Rank, Schedule};
use base::mechanism::Mechanism;
use base::prelude::*;
use wire::data::Class;

use crate::estimate::{Expected, Kind};
use crate::flaw::Flaw;
use crate::group::Group;
use crate::request::{Lane, Request};
use crate::service::Service;
use crate::teams::Team;

/// Requests that get one fair share of the capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Flow {
    /// Requests of a service whose callers have no team.
    Service(Key<Service>),
    /// Requests of a team, to all services with the same priority.
    Team(Key<Team>),
}

/// Queues of requests that wait for a slot: `primary` and `replica` by the server
/// role that the requests need, and `spare` for reads that run on the primary
/// only while `primary` is empty.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    pub(crate) primary: Schedule<Flow, Key<Request>>,
    pub(crate) spare: Schedule<Flow, Key<Request>>,
    pub(crate) replica: Schedule<Flow, Key<Request>>,
}

impl Lanes {
    pub(crate) fn get(&self, lane: Lane) -> &Schedule<Flow, Key<Request>> {
        match lane {
            Lane::Primary => &self.primary,
            Lane::Spare => &self.spare,
            Lane::Replica => &self.replica,
        }
    }

    pub(crate) fn get_mut(&mut self, lane: Lane) -> &mut Schedule<Flow, Key<Request>> {
        match lane {
            Lane::Primary => &mut self.primary,
            Lane::Spare => &mut self.spare,
            Lane::Replica => &mut self.replica,
        }
    }
}

impl Group {
    /// Returns the priority and the flow of a request.
    pub(crate) fn rank(&self, service: Key<Service>, team: Key<Team>) -> (Rank, Flow) {
        if !self.is_unfenced() {
            return (Rank::default(), Flow::Service(service));
        }
        if self.has_flaw(Flaw::ArrivalOrder) || !self.uses(Mechanism::Order) {
            return (Rank::default(), Flow::Service(Key::from_bits(0)));
        }
        let priority = self.services.get(service).map_or(0, |service| service.priority);
        match self.teams.priority(team) {
            Some(of_team) => (Rank { priority, team: of_team }, Flow::Team(team)),
            None => (Rank { priority, team: 0 }, Flow::Service(service)),
        }
    }

    /// Returns the place of a request in a lane.
    pub(crate) fn place(&self, request: &Request, lane: Lane) -> Place<Flow> {
        let service = self.services.get(request.service);
        let by_service = matches!(request.flow, Flow::Service(_));
        let weight = service.filter(|_| by_service).map_or(1, |service| service.weight);
        let objective =
            service.and_then(|service| service.objective).filter(|_| self.is_unfenced());
        let expected = self.expected(request, lane);
        let until = objective.map(|objective| request.arrived + objective);
        let until = until.filter(|_| !self.has_flaw(Flaw::ArrivalOrder));
        Place {
            rank: request.rank,
            flow: request.flow,
            weight,
            until,
            latest_start: until.map(|until| until - expected.usual.min(expected.mean)),
            work: if self.is_unfenced() { expected.mean } else { INITIAL_COST },
        }
    }

    /// Expected run time of a request in a lane.
    pub(crate) fn expected(&self, request: &Request, lane: Lane) -> Expected {
        let kind = Kind::new(request.class == Class::Read, lane != Lane::Replica);
        let service = self.services.get(request.service);
        let typical = Expected { mean: self.typical_run_time, usual: self.typical_run_time };
        service.and_then(|service| service.estimates.expected(kind)).unwrap_or(typical)
    }
}

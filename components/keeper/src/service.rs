//! State of services in one group.

use base::prelude::*;
use config::model::{Declarations, Limits};
use pace::Usual;
use retry::Budget;
use smallvec::SmallVec;

use crate::estimate::Estimates;
use crate::server::Server;

/// Kind of a request, by which run times on different servers are compared. Unlike
/// [`estimate::Kind`](crate::estimate::Kind), it doesn't depend on the role of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Read,
    Write,
    Transaction,
}

/// A service that has sent requests to this group.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: Name,
    pub(crate) weight: u32,
    pub(crate) limits: Limits,
    /// Declared priority; zero is the highest.
    pub(crate) priority: u32,
    /// Target time for answering a request.
    pub(crate) objective: Option<Duration>,
    /// Weight of a request that has to wait for a new connection.
    pub(crate) urgency: f64,
    /// Estimates of the run times of its requests in an unfenced group, by which requests
    /// are ordered and refused.
    pub(crate) estimates: Estimates,
    /// Number of requests that have not ended.
    pub(crate) open_requests: u32,
    /// Usual run times by kind of request, with which the answers of servers are compared.
    usual: [Usual; 3],
    /// Retry budget of the service.
    pub(crate) budget: Budget,
    /// Servers that selectors allow the service to reach.
    pub(crate) reach: SmallVec<[Key<Server>; 4]>,
}

impl Service {
    pub(crate) fn new(name: Name) -> Self {
        let limits = Limits::default();
        let budget = Budget::new(limits.retry_share);
        Self {
            name,
            weight: 1,
            limits,
            priority: 0,
            objective: None,
            urgency: 1.0,
            estimates: Estimates::default(),
            usual: [Usual::default(); 3],
            open_requests: 0,
            budget,
            reach: SmallVec::new(),
        }
    }

    /// Applies the declarations of the service.
    pub(crate) fn update(
        &mut self,
        group: &Name,
        declarations: &Declarations,
        servers: &Arena<Server>,
    ) {
        if let Some((_, weight, limits)) = declarations.limits(self.name.as_str()) {
            self.weight = weight;
            self.limits = limits.clone();
            self.budget.set_share(self.limits.retry_share);
        }
        let database = declarations.databases.get(self.name.as_str());
        self.priority = database.map_or(0, |database| database.priority);
        let objective = database.map(|database| Duration::from_millis(database.objective_ms));
        self.objective = objective.filter(|objective| !objective.is_zero());
        self.urgency = pool::urgency(self.priority, self.objective);
        let reached = |server: &Server| {
            declarations.can_access_server(self.name.as_str(), group.as_str(), &server.labels)
        };
        let reach = servers.iter().filter(|(_, server)| reached(server)).map(|(key, _)| key);
        self.reach = reach.collect();
    }

    /// Usual run time of one kind of request.
    pub(crate) fn usual(&self, kind: Kind) -> Usual {
        self.usual[kind as usize]
    }

    pub(crate) fn usual_mut(&mut self, kind: Kind) -> &mut Usual {
        &mut self.usual[kind as usize]
    }

    pub(crate) fn reaches(&self, server: Key<Server>) -> bool {
        self.reach.contains(&server)
    }
}

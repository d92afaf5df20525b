//! Requests to backend servers on persistent connections.
//!
//! Each server has two connections: one for status reports, which may block at the
//! server, and one for all other requests, called orders, which therefore never
//! queue behind a report.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use backend::Probe as _;
use backend::{Adapter, Promotion, sql};
use base::clock::Clock;
use base::prelude::*;
use control::leader::STATUS_WAIT;
use control::{Ask, Event, ProbeError};
use tokio::sync::mpsc;

use crate::host::Scope;
use crate::input::{Input, Sender};
use crate::permit::Permit;

/// Length of the request queue of one connection.
const QUEUE_REQUESTS: usize = 16;

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Target of a connection: a server, and whether the connection carries orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Target {
    server: Name,
    address: SocketAddr,
    order: bool,
}

/// A request to a server.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) group: Name,
    pub(crate) ask: Ask,
    /// Time limit of a request that only the leader may send.
    pub(crate) permit: Option<Permit>,
}

/// Request queues of all connections.
#[derive(Debug)]
pub(crate) struct Probes {
    core: Sender,
    scope: Scope,
    /// Name of this member, sent as the holder with each promotion.
    own: Name,
    adapter: Option<Arc<dyn Adapter>>,
    clock: Clock,
    queues: HashMap<Target, mpsc::Sender<Request>>,
}

impl Probes {
    pub(crate) fn new(
        core: Sender,
        scope: Scope,
        own: Name,
        adapter: Option<Arc<dyn Adapter>>,
        clock: Clock,
    ) -> Self {
        Self { core, scope, own, adapter, clock, queues: HashMap::new() }
    }

    /// Sends a request to a server; the core receives the answer as an input. If the
    /// request can't be queued, returns an event that reports the server as silent.
    pub(crate) fn ask(
        &mut self,
        server: Name,
        address: SocketAddr,
        request: Request,
        unfenced: bool,
    ) -> Option<Event> {
        let target = Target { server, address, order: request.ask != Ask::Status };
        self.queues.retain(|_, queue| !queue.is_closed());
        if !self.queues.contains_key(&target) {
            let (queue, due) = mpsc::channel(QUEUE_REQUESTS);
            match self.adapter.clone().filter(|_| unfenced) {
                Some(adapter) => {
                    let (group, own, clock) = (request.group.clone(), self.own.clone(), self.clock);
                    let access = Unfenced { group, own, adapter, clock };
                    self.scope.spawn(run_unfenced(target.clone(), access, due, self.core.clone()));
                }
                None => self.scope.spawn(run(target.clone(), due, self.core.clone())),
            }
            self.queues.insert(target.clone(), queue);
        }
        let put = self.queues.get(&target)?.try_send(request);
        let (mpsc::error::TrySendError::Full(unsent) | mpsc::error::TrySendError::Closed(unsent)) =
            put.err()?;
        Some(probed(unsent.group, target.server, unsent.ask, Err(ProbeError::Silent)))
    }
}

fn probed(group: Name, server: Name, ask: Ask, result: Result<Status, ProbeError>) -> Event {
    Event::Probed { group, server, ask, result }
}

/// Serves the requests of one connection to a server of a fenced group.
async fn run(target: Target, mut due: mpsc::Receiver<Request>, core: Sender) {
    let mut connection = None;
    while let Ok(Some(request)) = tokio::time::timeout(IDLE_TIMEOUT, due.recv()).await {
        let answer = execute(&mut connection, target.address, request.ask).await;
        let event = probed(request.group, target.server.clone(), request.ask, answer);
        if core.send(Input::Probed(event)).await.is_err() {
            return;
        }
    }
}

/// Access to a server of an unfenced group.
#[derive(Debug)]
struct Unfenced {
    group: Name,
    own: Name,
    adapter: Arc<dyn Adapter>,
    clock: Clock,
}

/// Serves the requests of one connection to a server of an unfenced group.
async fn run_unfenced(
    target: Target,
    access: Unfenced,
    mut due: mpsc::Receiver<Request>,
    core: Sender,
) {
    let Unfenced { group, own, adapter, clock } = access;
    let mut connection = adapter.connection(&group, &target.server, target.address);
    while let Ok(Some(request)) = tokio::time::timeout(IDLE_TIMEOUT, due.recv()).await {
        let status = match request.ask {
            Ask::Designate { token } => {
                let (group, server, holder) = (group.clone(), target.server.clone(), own.clone());
                let promotion = Promotion { group, server, holder, token };
                let left = request.permit.and_then(|permit| permit.remaining(clock.now()));
                match promote(adapter.as_ref(), promotion, left).await {
                    Ok(()) => connection.status().await,
                    Err(report) => Err(report),
                }
            }
            Ask::Status => connection.status().await,
            Ask::Fence(_) | Ask::Promote(_) | Ask::Follow { .. } => {
                Err(Report::new(backend::Failure::Rejected))
            }
        };
        let answer = status.map_err(|report| probe_error(*report.current_context()));
        let event = probed(request.group, target.server.clone(), request.ask, answer);
        if core.send(Input::Probed(event)).await.is_err() {
            return;
        }
    }
}

/// Promotes a server within the time left. Without any, the request is not sent.
async fn promote(
    adapter: &dyn Adapter,
    promotion: Promotion,
    left: Option<Duration>,
) -> Result<(), Report<backend::Failure>> {
    let timeout = || Report::new(backend::Failure::Timeout);
    let left = left.ok_or_else(timeout)?;
    tokio::time::timeout(left, adapter.promote(promotion)).await.map_err(|_elapsed| timeout())?
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    probe: sql::Probe,
    /// Version of the last status report on this connection.
    version: u64,
}

/// Sends a request on the open connection, and retries once on a new connection if
/// the old one was broken. All requests are idempotent.
async fn execute(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    ask: Ask,
) -> Result<Status, ProbeError> {
    let reused = connection.is_some();
    match try_execute(connection, address, ask).await {
        Err(backend::Failure::Broken) if reused => try_execute(connection, address, ask).await,
        answer => answer,
    }
    .map_err(probe_error)
}

async fn try_execute(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    ask: Ask,
) -> Result<Status, backend::Failure> {
    let mut current = match connection.take() {
        Some(current) => current,
        None => connect(address).await?,
    };
    let (after, probe) = (current.version, &mut current.probe);
    let answered = match ask {
        Ask::Status => probe.status(after, STATUS_WAIT).await,
        Ask::Fence(term) => probe.fence(term).await,
        Ask::Promote(term) => probe.promote(term).await,
        Ask::Follow { term, primary } => probe.follow(term, primary).await,
        Ask::Designate { .. } => return Err(backend::Failure::Rejected),
    };
    let status = answered.map_err(|report| *report.current_context())?;
    current.version = status.version;
    *connection = Some(current);
    Ok(status)
}

async fn connect(address: SocketAddr) -> Result<Connection, backend::Failure> {
    let connected = sql::Probe::connect(address, sql::TIMEOUT).await;
    let probe = connected.map_err(|report| *report.current_context())?;
    Ok(Connection { probe, version: 0 })
}

fn probe_error(failure: backend::Failure) -> ProbeError {
    match failure {
        backend::Failure::Refused => ProbeError::Refused,
        backend::Failure::Timeout | backend::Failure::Broken => ProbeError::Silent,
        backend::Failure::Rejected | backend::Failure::Malformed => ProbeError::Rejected,
    }
}

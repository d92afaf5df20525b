//! Questions to backend servers, on connections that stand.
//!
//! Each server has two lines: one for reports, which may wait at the server,
//! and one for orders, which never stand behind a report.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use backend::Probe as _;
use backend::{Outside, Promotion, sql};
use base::prelude::*;
use control::leader::STATUS_WAIT;
use control::{Ask, Event, ProbeError};
use tokio::sync::mpsc;

use crate::host::Scope;
use crate::input::{Input, Sender};

/// Questions that may wait on one line.
const QUEUE: usize = 16;

/// Time without a question after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A line to a server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Target {
    server: Name,
    address: SocketAddr,
    order: bool,
}

#[derive(Debug)]
struct Request {
    group: Name,
    ask: Ask,
}

/// All lines.
#[derive(Debug)]
pub(crate) struct Probes {
    core: Sender,
    scope: Scope,
    /// This member's name, as the holder of promotions.
    own: Name,
    outside: Option<Arc<dyn Outside>>,
    queues: HashMap<Target, mpsc::Sender<Request>>,
}

impl Probes {
    pub(crate) fn new(
        core: Sender,
        scope: Scope,
        own: Name,
        outside: Option<Arc<dyn Outside>>,
    ) -> Self {
        Self { core, scope, own, outside, queues: HashMap::new() }
    }

    /// Asks a server; the answer reaches the core. A question that can't be
    /// put comes back at once, as unanswered.
    pub(crate) fn ask(
        &mut self,
        group: Name,
        server: Name,
        address: SocketAddr,
        ask: Ask,
        unfenced: bool,
    ) -> Option<Event> {
        let target = Target { server, address, order: ask != Ask::Status };
        self.queues.retain(|_, queue| !queue.is_closed());
        if !self.queues.contains_key(&target) {
            let (queue, due) = mpsc::channel(QUEUE);
            match self.outside.clone().filter(|_| unfenced) {
                Some(outside) => {
                    let external =
                        External { group: group.clone(), own: self.own.clone(), outside };
                    self.scope.spawn(run_outside(target.clone(), external, due, self.core.clone()));
                }
                None => self.scope.spawn(run(target.clone(), due, self.core.clone())),
            }
            self.queues.insert(target.clone(), queue);
        }
        let put = self.queues.get(&target)?.try_send(Request { group, ask });
        let (mpsc::error::TrySendError::Full(request) | mpsc::error::TrySendError::Closed(request)) =
            put.err()?;
        Some(probed(request.group, target.server, request.ask, Err(ProbeError::Silent)))
    }
}

fn probed(group: Name, server: Name, ask: Ask, result: Result<Status, ProbeError>) -> Event {
    Event::Probed { group, server, ask, result }
}

async fn run(target: Target, mut due: mpsc::Receiver<Request>, core: Sender) {
    let mut connection = None;
    while let Ok(Some(request)) = tokio::time::timeout(IDLE_TIMEOUT, due.recv()).await {
        let answer = answer(&mut connection, target.address, request.ask).await;
        let event = probed(request.group, target.server.clone(), request.ask, answer);
        if core.send(Input::Probed(event)).await.is_err() {
            return;
        }
    }
}

/// A server that takes orders from outside.
#[derive(Debug)]
struct External {
    group: Name,
    own: Name,
    outside: Arc<dyn Outside>,
}

async fn run_outside(
    target: Target,
    external: External,
    mut due: mpsc::Receiver<Request>,
    core: Sender,
) {
    let External { group, own, outside } = external;
    let mut connection = outside.line(&group, &target.server, target.address);
    while let Ok(Some(request)) = tokio::time::timeout(IDLE_TIMEOUT, due.recv()).await {
        let status = match request.ask {
            Ask::Designate { token } => {
                let (group, server, holder) = (group.clone(), target.server.clone(), own.clone());
                let promotion = Promotion { group, server, holder, token };
                match outside.promote(promotion).await {
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

/// A connection and the version of the last report on it.
#[derive(Debug)]
struct Connection {
    probe: sql::Probe,
    version: u64,
}

/// Asks on the standing connection; if that broke, once more on a new one.
/// All questions are repeatable.
async fn answer(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    ask: Ask,
) -> Result<Status, ProbeError> {
    let reused = connection.is_some();
    match try_answer(connection, address, ask).await {
        Err(backend::Failure::Broken) if reused => try_answer(connection, address, ask).await,
        answer => answer,
    }
    .map_err(probe_error)
}

async fn try_answer(
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

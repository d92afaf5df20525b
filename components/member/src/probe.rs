//! Questions to backend servers, on connections that stand.
//!
//! Each server has two lines: one for reports, which may wait at the server,
//! and one for orders, which never stand behind a report.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use backend::Probe as _;
use backend::{Adapter, Promotion, sql};
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
struct Line {
    server: Name,
    address: SocketAddr,
    order: bool,
}

#[derive(Debug)]
struct Question {
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
    outside: Option<Arc<dyn Adapter>>,
    lines: HashMap<Line, mpsc::Sender<Question>>,
}

impl Probes {
    pub(crate) fn new(
        core: Sender,
        scope: Scope,
        own: Name,
        outside: Option<Arc<dyn Adapter>>,
    ) -> Self {
        Self { core, scope, own, outside, lines: HashMap::new() }
    }

    /// Asks a server; the answer reaches the core. A question that can't be
    /// put comes back at once, as unanswered.
    pub(crate) fn ask(
        &mut self,
        group: Name,
        server: Name,
        address: SocketAddr,
        ask: Ask,
        solo: bool,
    ) -> Option<Event> {
        let line = Line { server, address, order: ask != Ask::Status };
        self.lines.retain(|_, queue| !queue.is_closed());
        if !self.lines.contains_key(&line) {
            let (queue, due) = mpsc::channel(QUEUE);
            match self.outside.clone().filter(|_| solo) {
                Some(outside) => {
                    let target = Target { group: group.clone(), own: self.own.clone(), outside };
                    self.scope.spawn(run_outside(line.clone(), target, due, self.core.clone()));
                }
                None => self.scope.spawn(run(line.clone(), due, self.core.clone())),
            }
            self.lines.insert(line.clone(), queue);
        }
        let put = self.lines.get(&line)?.try_send(Question { group, ask });
        let (mpsc::error::TrySendError::Full(question)
        | mpsc::error::TrySendError::Closed(question)) = put.err()?;
        Some(probed(question.group, line.server, question.ask, Err(ProbeError::Silent)))
    }
}

fn probed(group: Name, server: Name, ask: Ask, result: Result<Status, ProbeError>) -> Event {
    Event::Probed { group, server, ask, result }
}

async fn run(line: Line, mut due: mpsc::Receiver<Question>, core: Sender) {
    let mut open = None;
    while let Ok(Some(question)) = tokio::time::timeout(IDLE_TIMEOUT, due.recv()).await {
        let answer = answer(&mut open, line.address, question.ask).await;
        let event = probed(question.group, line.server.clone(), question.ask, answer);
        if core.send(Input::Probed(event)).await.is_err() {
            return;
        }
    }
}

/// A server that takes orders from outside.
#[derive(Debug)]
struct Target {
    group: Name,
    own: Name,
    outside: Arc<dyn Adapter>,
}

async fn run_outside(line: Line, target: Target, mut due: mpsc::Receiver<Question>, core: Sender) {
    let Target { group, own, outside } = target;
    let mut open = outside.connection(&group, &line.server, line.address);
    while let Ok(Some(question)) = tokio::time::timeout(IDLE_TIMEOUT, due.recv()).await {
        let status = match question.ask {
            Ask::Designate { token } => {
                let (group, server, holder) = (group.clone(), line.server.clone(), own.clone());
                let promotion = Promotion { group, server, holder, token };
                match outside.promote(promotion).await {
                    Ok(()) => open.status().await,
                    Err(report) => Err(report),
                }
            }
            Ask::Status => open.status().await,
            Ask::Fence(_) | Ask::Promote(_) | Ask::Follow { .. } => {
                Err(Report::new(backend::Failure::Rejected))
            }
        };
        let answer = status.map_err(|report| unreached(*report.current_context()));
        let event = probed(question.group, line.server.clone(), question.ask, answer);
        if core.send(Input::Probed(event)).await.is_err() {
            return;
        }
    }
}

/// A connection and the version of the last report on it.
#[derive(Debug)]
struct Open {
    probe: sql::Probe,
    version: u64,
}

/// Asks on the standing connection; if that broke, once more on a new one.
/// All questions are repeatable.
async fn answer(
    open: &mut Option<Open>,
    address: SocketAddr,
    ask: Ask,
) -> Result<Status, ProbeError> {
    let stood = open.is_some();
    match try_answer(open, address, ask).await {
        Err(backend::Failure::Broken) if stood => try_answer(open, address, ask).await,
        answer => answer,
    }
    .map_err(unreached)
}

async fn try_answer(
    open: &mut Option<Open>,
    address: SocketAddr,
    ask: Ask,
) -> Result<Status, backend::Failure> {
    let mut current = match open.take() {
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
    *open = Some(current);
    Ok(status)
}

async fn connect(address: SocketAddr) -> Result<Open, backend::Failure> {
    let connected = sql::Probe::connect(address, sql::TIMEOUT).await;
    let probe = connected.map_err(|report| *report.current_context())?;
    Ok(Open { probe, version: 0 })
}

fn unreached(failure: backend::Failure) -> ProbeError {
    match failure {
        backend::Failure::Refused => ProbeError::Refused,
        backend::Failure::Timeout | backend::Failure::Broken => ProbeError::Silent,
        backend::Failure::Rejected | backend::Failure::Malformed => ProbeError::Rejected,
    }
}

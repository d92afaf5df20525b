//! One cycle at a keeper.
//!
//! A request is tried again only when it is proved that it was not run, or
//! when it is declared to read only, and never after a part of an answer was
//! passed on.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use config::model::Class;
use pg::answer::Status;
use pg::prepared::Plan;
use pg::{Filter, Problem};
use smallvec::SmallVec;
use wire::data::{End, Leave, Outcome, Reason, Run, ask};

use super::admit::{self, Admission};
use super::caller::Caller;
use super::choose::{self, Keeper};
use super::conn::{FLUSH_BYTES, Gone};
use super::link::{Event, Link, Request};
use super::session::Transaction;
use super::verdict::{self, Attempt};

/// Time within which a lease is expected to move from one keeper to another.
const LEASE_MOVE: Duration = Duration::from_secs(1);

/// Shortest wait before the keepers are asked again.
const PAUSE_LEAST: Duration = Duration::from_millis(10);

/// Longest random addition to that wait.
const PAUSE_SPREAD: Duration = Duration::from_millis(30);

/// Time beyond its deadline after which a request is given up.
const GRACE: Duration = Duration::from_secs(1);

/// Bytes of an answer that are passed on before credit is given.
const CREDIT_BYTES: u64 = 64 << 10;

/// A cycle to run.
#[derive(Debug)]
pub struct Work {
    /// The messages and what is due.
    pub plan: Plan,
    /// How it is to be run.
    pub admission: Admission,
    /// Whether it may commit a transaction.
    pub commits: bool,
}

impl Caller {
    /// Runs a cycle and writes its whole answer.
    pub(super) async fn run(&mut self, work: Work) -> Result<(), Report<Gone>> {
        let started = self.front.clock.now();
        let result = match &self.session.transaction {
            Transaction::Open { link, .. } => {
                let link = Arc::clone(link);
                let attempt = self.attempt(&link, &work, started, true).await;
                attempt.map(|attempt| (attempt, Some(link)))
            }
            Transaction::None | Transaction::Lost => self.search(&work, started).await,
        };
        let running = self.session.cancel.set(None);
        match result {
            Ok((attempt, link)) => {
                self.record(&work, &attempt, started);
                self.settle(&work, attempt, link).await;
                Ok(())
            }
            Err(report) => {
                // the caller is gone, and what it ran must not stay
                self.session.transaction = Transaction::None;
                if let Some((link, _)) = running {
                    self.leave(&link).await;
                }
                Err(report)
            }
        }
    }

    /// Tries the keepers of the group until one runs it.
    async fn search(
        &mut self,
        work: &Work,
        started: Instant,
    ) -> Result<(Attempt, Option<Arc<Link>>), Report<Gone>> {
        let until = started + LEASE_MOVE.min(work.admission.deadline);
        let mut last = verdict::not_run(Reason::Unavailable);
        let mut changes = self.front.view.changes();
        loop {
            if !self.front.view.leased(self.front.clock.now()) {
                let lease = verdict::not_run(Reason::Lease);
                return Ok((Attempt::last(verdict::worse(last, lease)), None));
            }
            let keepers = self.keepers();
            if keepers.is_empty() {
                last = verdict::worse(last, verdict::not_run(Reason::WrongKeeper));
            }
            for keeper in keepers {
                let Ok(link) = self.front.keepers.link(&keeper).await else {
                    continue;
                };
                let attempt = self.attempt(&link, work, started, false).await?;
                match verdict::passes_on(&attempt, work.admission.rule.class) {
                    Some(end) => last = verdict::worse(last, end),
                    None => return Ok((verdict::stands(last, attempt), Some(link))),
                }
                if matches!(attempt, Attempt::Broken { .. }) {
                    self.session.number = self.front.number();
                }
            }
            if self.front.clock.now() >= until {
                return Ok((Attempt::last(last), None));
            }
            let pause = PAUSE_LEAST + PAUSE_SPREAD.mul_f64(rand::random());
            drop(tokio::time::timeout(pause, changes.changed()).await);
        }
    }

    /// Keepers of the group, the best first; those that are stopping last.
    fn keepers(&self) -> SmallVec<[Keeper; 2]> {
        let (front, session) = (&self.front, &self.session);
        let mut keepers = front.view.read(|state| {
            let group = session.group.as_str();
            choose::keepers(state, group, &front.name, &front.zone, session.number)
        });
        keepers.sort_by_key(|keeper| front.keepers.is_closing(keeper));
        keepers
    }

    /// Asks one keeper and passes its answer on.
    async fn attempt(
        &mut self,
        link: &Arc<Link>,
        work: &Work,
        started: Instant,
        within: bool,
    ) -> Result<Attempt, Report<Gone>> {
        let now = self.front.clock.now();
        let left = work.admission.deadline.saturating_sub(now.since(started));
        let Ok(mut request) = link.run(self.message(work, left, within)).await else {
            return Ok(Attempt::NotLeft);
        };
        self.session.cancel.set(Some((Arc::clone(link), request.number)));
        let mut filter = Filter::new(&work.plan.due);
        let (mut passed, mut owed) = (false, 0);
        loop {
            let Some(event) = self.event(&mut request, left + GRACE).await? else {
                return Ok(Attempt::Broken { passed, own: filter.own() });
            };
            match event {
                Event::Part(part) => {
                    let Ok(pieces) = filter.feed(&part) else {
                        return Ok(Attempt::Broken { passed, own: filter.own() });
                    };
                    passed |= !pieces.is_empty();
                    self.pass(&pieces).await?;
                    owed += part.len() as u64;
                    if owed >= CREDIT_BYTES {
                        request.credit(std::mem::take(&mut owed)).await;
                    }
                }
                Event::End(end) => return Ok(Attempt::Ended { end, passed, own: filter.own() }),
                Event::Broken { left: false } => return Ok(Attempt::NotLeft),
                Event::Broken { left: true } => {
                    return Ok(Attempt::Broken { passed, own: filter.own() });
                }
            }
        }
    }

    /// What becomes of a request next, or `None` when it takes too long.
    async fn event(
        &mut self,
        request: &mut Request,
        limit: Duration,
    ) -> Result<Option<Event>, Report<Gone>> {
        if let Some(event) = request.ready() {
            return Ok(Some(event));
        }
        self.conn.flush().await?;
        Ok(tokio::time::timeout(limit, request.next()).await.ok())
    }

    async fn pass(&mut self, pieces: &[Bytes]) -> Result<(), Report<Gone>> {
        for piece in pieces {
            if piece.len() >= FLUSH_BYTES {
                self.conn.flush().await?;
                self.conn.write(piece).await?;
            } else {
                self.conn.output.raw(piece);
            }
        }
        if self.conn.output.len() >= FLUSH_BYTES {
            self.conn.flush().await?;
        }
        Ok(())
    }

    fn message(&self, work: &Work, left: Duration, within: bool) -> Run {
        let (session, rule) = (&self.session, &work.admission.rule);
        let floor = session.floors.get(session.group.as_str());
        // within a transaction the class of one statement says nothing
        let class = if within { Class::Write } else { rule.class };
        Run {
            request: 0,
            caller: session.number,
            service: session.service.as_str().to_owned(),
            group: session.group.as_str().to_owned(),
            class: admit::class(class) as i32,
            within,
            floor: floor.map(Into::into),
            fresh: floor.is_none() || (class == Class::Read && rule.age.is_zero()),
            age_ms: millis(rule.age),
            patience_ms: millis(rule.patience),
            deadline_ms: millis(left),
            payload: work.plan.payload.clone(),
            window: 0,
            version: work.admission.version,
            trace: format!("{}/{}.{}", self.front.name, session.number, session.cycles),
            commits: work.commits,
        }
    }

    /// Takes the end of the last attempt and ends the answer.
    async fn settle(&mut self, work: &Work, attempt: Attempt, link: Option<Arc<Link>>) {
        let within = self.session.transaction.is_open();
        self.keep(work, attempt.own());
        if let Attempt::Ended { end, .. } = &attempt {
            self.front.metrics.cycle(end);
        }
        match verdict::problem(&attempt, within, work.commits) {
            None => self.done(work, &attempt, link, within),
            Some(problem) => {
                let held = link.filter(|_| verdict::holds(&attempt, within));
                self.lose(work, &problem, held, within).await;
            }
        }
        self.ready();
    }

    /// Counts the request against the objectives of its service.
    fn record(&self, work: &Work, attempt: &Attempt, started: Instant) {
        let now = self.front.clock.now();
        let rule = &work.admission.rule;
        let read = rule.class == Class::Read;
        let is_done = |end: &End| end.outcome() == Outcome::Done;
        let done = matches!(attempt, Attempt::Ended { end, .. } if is_done(end));
        // a read that accepts an age saw one within it, any other a fresh state
        let age = (read && done).then_some(rule.age);
        let event = burn::Event { latency: now.since(started), done, write: !read, age };
        let service = &self.session.service;
        if let Some(declared) = work.admission.declarations.services.get(service) {
            let caller = self.session.number;
            self.front.counts.record(now, caller, service, &declared.objectives, event);
        }
    }

    fn keep(&mut self, work: &Work, own: usize) {
        for change in &work.plan.changes[..own.min(work.plan.changes.len())] {
            self.session.prepared.apply(change);
        }
    }

    /// Takes what an end that is done says of the session.
    fn done(&mut self, work: &Work, attempt: &Attempt, link: Option<Arc<Link>>, within: bool) {
        let Attempt::Ended { end, .. } = attempt else {
            return;
        };
        if let Some(mark) = end.mark {
            let rose = self.session.floors.raise(&self.session.group, mark.into());
            let wrote = work.admission.rule.class != Class::Read || within;
            if rose && wrote && !end.replica {
                self.report();
            }
        }
        let status = u8::try_from(end.status).ok().and_then(Status::from_byte);
        self.session.transaction = match (status, link) {
            (Some(Status::Open), Some(link)) => Transaction::Open { link, failed: false },
            (Some(Status::Failed), Some(link)) => Transaction::Open { link, failed: true },
            _ => Transaction::None,
        };
    }

    /// Tells of a request that did not end well, and forgets its transaction.
    ///
    /// A transaction that is not over for the caller stays failed until the
    /// caller ends it, so that no later statement of it runs by itself.
    async fn lose(
        &mut self,
        work: &Work,
        problem: &Problem,
        link: Option<Arc<Link>>,
        within: bool,
    ) {
        self.conn.output.error(problem);
        if let Some(link) = link {
            self.leave(&link).await;
        }
        self.session.transaction =
            if within && !work.commits { Transaction::Lost } else { Transaction::None };
    }

    /// Makes a keeper forget the session; it goes on under another number.
    pub(super) async fn leave(&mut self, link: &Link) {
        let caller = self.session.number;
        link.tell(ask::Body::Leave(Leave { caller })).await;
        self.session.number = self.front.number();
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

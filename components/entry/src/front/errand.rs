//! One request at the keepers of its group, whatever protocol its caller speaks.
//!
//! A request is tried again only when it is proved that it was not run, or
//! when it is declared to read only, and never after a part of an answer was
//! passed on.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use config::model::Class;
use smallvec::SmallVec;
use wire::data::{Reason, Run};

use super::Front;
use super::choose::{self, Keeper};
use super::conn::Gone;
use super::link::{Event, Link, Request};
use super::verdict::{self, Attempt};

/// Shortest wait before the keepers are asked again.
const PAUSE_LEAST: Duration = Duration::from_millis(10);

/// Longest random addition to that wait.
const PAUSE_SPREAD: Duration = Duration::from_millis(30);

/// Time after a lease ran out in which it is expected again soon.
const LEASE_GAP: Duration = Duration::from_millis(300);

/// Time between two looks at the lease.
const LEASE_STEP: Duration = Duration::from_millis(50);

/// Time between two looks at whether a keeper is silent.
const SILENCE_STEP: Duration = Duration::from_millis(100);

/// Time beyond its deadline after which a request is given up.
const GRACE: Duration = Duration::from_secs(1);

/// Bytes of an answer that are passed on before credit is given.
const CREDIT_BYTES: u64 = 64 << 10;

/// Where an answer goes.
pub(super) trait Sink {
    /// Notes where the request runs.
    fn start(&mut self, link: &Arc<Link>, number: u64);

    /// Takes a part; whether anything of it was passed on, or `None` when the
    /// answer is out of order.
    async fn feed(&mut self, part: &Bytes) -> Result<Option<bool>, Report<Gone>>;

    /// Passes on all that waits.
    async fn flush(&mut self) -> Result<(), Report<Gone>>;

    /// Number of own answers that were passed on.
    fn own(&self) -> usize;
}

/// One request.
pub(super) struct Errand<'a, S> {
    pub(super) front: &'a Front,
    /// Number of the session towards keepers; another one after a keeper was
    /// lost, so that nothing of it is taken up again.
    pub(super) number: &'a mut u64,
    pub(super) class: Class,
    pub(super) started: Instant,
    /// Time that it may take in all.
    pub(super) deadline: Duration,
    /// Time for which the keepers are asked again.
    pub(super) patience: Duration,
    /// The request; its number and deadline are set for each attempt.
    pub(super) run: Run,
    pub(super) sink: S,
}

impl<S: Sink> Errand<'_, S> {
    /// Tries the keepers of the group until one runs it.
    pub(super) async fn search(&mut self) -> Result<(Attempt, Option<Arc<Link>>), Report<Gone>> {
        let until = self.started + self.patience.min(self.deadline);
        let mut last = verdict::not_run(Reason::Unavailable);
        let mut changes = self.front.view.changes();
        loop {
            let now = self.front.clock.now();
            if !self.front.view.has_lease(now) {
                if now < until && expects_lease(self.front, now) {
                    self.front.view.wait_for_extension(LEASE_STEP).await;
                    continue;
                }
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
                let attempt = self.attempt(&link).await?;
                match verdict::passes_on(&attempt, self.class) {
                    Some(end) => last = verdict::worse(last, end),
                    None => return Ok((verdict::stands(last, attempt), Some(link))),
                }
                if matches!(attempt, Attempt::Broken { .. }) {
                    *self.number = self.front.number();
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
        let front = self.front;
        let mut keepers = front.view.read(|state| {
            choose::keepers(state, &self.run.group, &front.name, &front.zone, *self.number)
        });
        let now = front.clock.now();
        keepers.sort_by_key(|keeper| {
            (front.keepers.is_silent(keeper, now), front.keepers.is_closing(keeper))
        });
        keepers
    }

    /// Asks one keeper and passes its answer on.
    pub(super) async fn attempt(&mut self, link: &Arc<Link>) -> Result<Attempt, Report<Gone>> {
        let now = self.front.clock.now();
        let left = self.deadline.saturating_sub(now.since(self.started));
        let run = Run { caller: *self.number, deadline_ms: millis(left), ..self.run.clone() };
        let Ok(mut request) = link.run(run).await else {
            return Ok(Attempt::NotLeft);
        };
        self.sink.start(link, request.number);
        let (mut passed, mut owed) = (false, 0);
        loop {
            let Some(event) = self.event(link, &mut request, left + GRACE).await? else {
                return Ok(Attempt::Broken { passed, own: self.sink.own() });
            };
            match event {
                Event::Part(part) => {
                    let Some(more) = self.sink.feed(&part).await? else {
                        return Ok(Attempt::Broken { passed, own: self.sink.own() });
                    };
                    passed |= more;
                    owed += part.len() as u64;
                    if owed >= CREDIT_BYTES {
                        request.credit(std::mem::take(&mut owed)).await;
                    }
                }
                Event::End(end) => {
                    return Ok(Attempt::Ended { end, passed, own: self.sink.own() });
                }
                Event::Broken { left: false } => return Ok(Attempt::NotLeft),
                Event::Broken { left: true } => {
                    return Ok(Attempt::Broken { passed, own: self.sink.own() });
                }
            }
        }
    }

    /// What becomes of a request next, or `None` when it takes too long, or when
    /// it may run elsewhere and its keeper is silent.
    async fn event(
        &mut self,
        link: &Link,
        request: &mut Request,
        limit: Duration,
    ) -> Result<Option<Event>, Report<Gone>> {
        if let Some(event) = request.ready() {
            return Ok(Some(event));
        }
        self.sink.flush().await?;
        let until = self.front.clock.now() + limit;
        let movable = self.class == Class::Read && !self.run.within;
        loop {
            let now = self.front.clock.now();
            let step = until.since(now).min(SILENCE_STEP);
            if let Ok(event) = tokio::time::timeout(step, request.next()).await {
                return Ok(Some(event));
            }
            let now = self.front.clock.now();
            if now >= until || (movable && link.is_silent(now)) {
                return Ok(None);
            }
            link.ping(now).await;
        }
    }
}

/// Whether an entry without a lease is likely to have one soon, so that a
/// request had better wait than be refused.
pub(super) fn expects_lease(front: &Front, now: Instant) -> bool {
    now.since(front.view.lease_until()) < LEASE_GAP
}

/// A duration as messages carry it.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

//! Sends one request to the keepers of its group, for callers of all protocols.
//!
//! A request is retried only if it is proved not to have run or is declared as a
//! read, and never after a part of an answer was forwarded to the caller.

use std::sync::{Arc, PoisonError};

use base::mechanism::Mechanism;
use base::prelude::*;
use bytes::Bytes;
use config::model::Class;
use smallvec::SmallVec;
use wire::data::{Reason, Run};

use super::Front;
use super::attempt::{self, Attempt};
use super::choose::{self, Caller, Keeper, TEAM_AFFINITY};
use super::conn::Disconnect;
use super::link::{Event, Link, Request};
use super::patience::Patience;

/// Shortest delay before the keepers are tried again.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(10);

/// Longest random addition to [`RETRY_DELAY_MIN`].
const RETRY_JITTER: Duration = Duration::from_millis(30);

/// Time after the expiry of the lease in which it is still expected to be renewed.
const LEASE_RENEWAL_GRACE: Duration = Duration::from_millis(300);

/// Longest wait for a renewed lease before the deadline is checked again.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the deadline of a request at which its attempt is abandoned.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);

/// Bytes of an answer that are received before the keeper is granted new credit.
const CREDIT_STEP_BYTES: u64 = 64 << 10;

/// Receiver of an answer.
pub(super) trait Sink {
    /// Starts a new attempt: the request was sent on `link` under `number`.
    fn start(&mut self, link: &Arc<Link>, number: u64);

    /// Takes a part of the answer. Returns whether any of it was forwarded to the
    /// caller, or `None` if the part can't be an answer to this request.
    async fn feed(&mut self, part: &Bytes) -> Result<Option<bool>, Report<Disconnect>>;

    /// Sends buffered output to the caller.
    async fn flush(&mut self) -> Result<(), Report<Disconnect>>;

    /// Number of answers to the caller's own Parse and Close messages that were
    /// forwarded.
    fn own_answers(&self) -> usize;
}

/// A request and the state of its attempts.
pub(super) struct Dispatch<'a, S> {
    pub(super) front: &'a Front,
    /// Number of the session at keepers. The session gets a new number when a keeper
    /// is lost, so that no later request continues a session that the keeper may still
    /// hold under the old number.
    pub(super) number: &'a mut u64,
    pub(super) class: Class,
    pub(super) started: Instant,
    /// Time limit for all attempts together.
    pub(super) deadline: Duration,
    /// Time since `started` in which the request may be retried.
    pub(super) retry_window: Duration,
    pub(super) patience: Patience,
    /// The request as a message; each attempt sets its caller number and deadline.
    pub(super) run: Run,
    pub(super) sink: S,
}

impl<S: Sink> Dispatch<'_, S> {
    /// Tries the keepers of the group until one runs the request. Returns the link of
    /// that keeper with the result.
    pub(super) async fn try_keepers(
        &mut self,
    ) -> Result<(Attempt, Option<Arc<Link>>), Report<Disconnect>> {
        let until = self.started + self.retry_window.min(self.deadline);
        self.front.early.lock().unwrap_or_else(PoisonError::into_inner).deposit();
        let mut last = attempt::not_run(Reason::Unavailable);
        let mut changes = self.front.view.changes();
        loop {
            let now = self.front.clock.now();
            if !self.front.view.has_lease(now) {
                if now < until && expects_lease(self.front, now) {
                    self.front.view.wait_for_extension(LEASE_CHECK_INTERVAL).await;
                    continue;
                }
                let lease = attempt::not_run(Reason::Lease);
                return Ok((Attempt::ended(attempt::combine(last, lease)), None));
            }
            let keepers = self.keepers();
            if keepers.is_empty() {
                last = attempt::combine(last, attempt::not_run(Reason::WrongKeeper));
            }
            if self.is_cut_off(&keepers, now) {
                let refused = attempt::not_run(Reason::Unavailable);
                return Ok((Attempt::ended(attempt::combine(last, refused)), None));
            }
            for keeper in keepers {
                let Ok(link) = self.front.keepers.link(&keeper).await else {
                    continue;
                };
                let attempt = self.attempt(&link).await?;
                match attempt::retryable_end(&attempt, self.class) {
                    Some(end) => last = attempt::combine(last, end),
                    None => return Ok((attempt::with_earlier(last, attempt), Some(link))),
                }
                if matches!(attempt, Attempt::Broken { .. }) {
                    self.run.repeats = true;
                    *self.number = self.front.next_session_number();
                }
            }
            if self.front.clock.now() >= until {
                return Ok((Attempt::ended(last), None));
            }
            let delay = RETRY_DELAY_MIN + RETRY_JITTER.mul_f64(rand::random());
            drop(tokio::time::timeout(delay, changes.changed()).await);
        }
    }

    /// Keepers of the group in the order in which they are tried: those that are
    /// stopping come late, and those that don't respond last.
    fn keepers(&self) -> SmallVec<[Keeper; 2]> {
        let front = self.front;
        let (number, team) = (*self.number, self.run.team.as_str());
        let caller = Caller { number, team, affinity: TEAM_AFFINITY };
        let mut keepers = front.view.read(|state| {
            choose::rank_keepers(state, &self.run.group, &front.name, &front.zone, caller)
        });
        let now = front.clock.now();
        keepers.sort_by_key(|keeper| {
            (
                front.keepers.is_unresponsive(keeper, self.patience, now),
                front.keepers.is_closing(keeper),
            )
        });
        keepers
    }

    /// Whether this entry is probably cut off from control and from all keepers of the
    /// group. The caller is then refused at once, since other entries can serve it.
    fn is_cut_off(&self, keepers: &[Keeper], now: Instant) -> bool {
        let front = self.front;
        if front.without.has(Mechanism::CutOffRefusal) {
            return false;
        }
        let silent = |keeper: &Keeper| {
            keeper.name != front.name && front.keepers.is_silent(keeper, self.patience, now)
        };
        !front.view.is_confirmed(now) && !keepers.is_empty() && keepers.iter().all(silent)
    }

    /// Sends the request to one keeper and feeds its answer to the sink.
    pub(super) async fn attempt(
        &mut self,
        link: &Arc<Link>,
    ) -> Result<Attempt, Report<Disconnect>> {
        let now = self.front.clock.now();
        let remaining = self.deadline.saturating_sub(now.since(self.started));
        let run = Run { caller: *self.number, deadline_ms: millis(remaining), ..self.run.clone() };
        let Ok(mut request) = link.run(run).await else {
            return Ok(Attempt::NotSent);
        };
        self.sink.start(link, request.number);
        let (mut forwarded, mut uncredited) = (false, 0);
        loop {
            let Some(event) =
                self.next_event(link, &mut request, remaining + DEADLINE_GRACE).await?
            else {
                return Ok(Attempt::Broken { forwarded, own_answers: self.sink.own_answers() });
            };
            match event {
                Event::Part(part) => {
                    let Some(output) = self.sink.feed(&part).await? else {
                        return Ok(Attempt::Broken {
                            forwarded,
                            own_answers: self.sink.own_answers(),
                        });
                    };
                    forwarded |= output;
                    uncredited += part.len() as u64;
                    if uncredited >= CREDIT_STEP_BYTES {
                        request.grant_credit(std::mem::take(&mut uncredited)).await;
                    }
                }
                Event::End(end) => {
                    return Ok(Attempt::Ended {
                        end,
                        forwarded,
                        own_answers: self.sink.own_answers(),
                    });
                }
                Event::Broken { sent: false } => return Ok(Attempt::NotSent),
                Event::Broken { sent: true } => {
                    return Ok(Attempt::Broken { forwarded, own_answers: self.sink.own_answers() });
                }
            }
        }
    }

    /// Waits for the next event of a request. Returns `None` after `limit`, or earlier
    /// if the keeper does not respond and the request may be retried at another keeper.
    async fn next_event(
        &mut self,
        link: &Link,
        request: &mut Request,
        limit: Duration,
    ) -> Result<Option<Event>, Report<Disconnect>> {
        if let Some(event) = request.try_next() {
            return Ok(Some(event));
        }
        self.sink.flush().await?;
        let until = self.front.clock.now() + limit;
        let retryable = self.class == Class::Read && !self.run.in_transaction;
        loop {
            let now = self.front.clock.now();
            let step = until.since(now).min(self.patience.ping_after());
            if let Ok(event) = tokio::time::timeout(step, request.next()).await {
                return Ok(Some(event));
            }
            let now = self.front.clock.now();
            if now >= until || (retryable && self.leaves(link, now)) {
                return Ok(None);
            }
            link.ping(now, self.patience.ping_after()).await;
        }
    }
}

impl<S> Dispatch<'_, S> {
    /// Whether the request leaves a keeper because of its silence.
    fn leaves(&self, link: &Link, now: Instant) -> bool {
        let mut early = self.front.early.lock().unwrap_or_else(PoisonError::into_inner);
        let patience = if self.front.without.has(Mechanism::EarlyMove) {
            Patience::new(Duration::ZERO)
        } else {
            self.patience
        };
        patience.leaves(link.silence(now), &mut early)
    }
}

/// Whether the lease expired so recently that it is likely to be renewed soon, so
/// that a request should wait instead of being refused.
pub(super) fn expects_lease(front: &Front, now: Instant) -> bool {
    now.since(front.view.lease_until()) < LEASE_RENEWAL_GRACE
}

/// Converts a duration to whole milliseconds, as messages carry it.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

//! Limits of teams: counts operations before they are passed to a shard.
//!
//! One ledger serves all groups of the entry. An operation that waits for a loan is
//! kept here and is not known to a shard, so it takes no slot and no connection.
//!
//! - `queue`: the ledger and the operations that wait.

mod queue;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use base::prelude::*;
use control::lease::LEASE_DURATION;
use keeper::Front;
use quota::{Bounds, Ledger, Request, Settings, Token};
use slog::info;
use tokio::sync::Notify;
use wire::data::{Borrow, BorrowItem, End, Loan, Outcome, Reason, Run, answer};

use super::front::{Link, Open};
use super::shard::Shard;
use super::{Host, lock};
use crate::front::choose::Keeper;
use crate::front::keepers::{Keepers, Loans};
use crate::front::link::Lent;
use queue::{Inner, Verdict, Waiting};

/// Time beyond the duration of a lease after which a change of the control state is in
/// force at all hosts: a host updates its limits somewhat later than its state.
const APPLY_MARGIN: Duration = Duration::from_millis(100);

/// Longest wait of an operation for a loan.
const WAIT_MAX: Duration = Duration::from_millis(50);

/// Share of its objective for which an operation waits for a loan; a later refusal
/// counts as late.
const WAIT_SHARE: f64 = 0.2;

/// Time between two checks of waiting operations.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which requests for tokens are collected into one message.
const BATCH_DELAY: Duration = Duration::from_millis(2);

/// Time between two checks for teams that are within their limits again.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of all teams at one entry.
#[derive(Debug)]
pub(super) struct Quotas {
    inner: Mutex<Inner>,
    /// Notified when requests for tokens are to be sent or an operation waits.
    changed: Notify,
    window: Duration,
}

impl Quotas {
    pub(super) fn new(now: Instant, own: Name, bounds: Bounds, seed: u64) -> Self {
        let lease = LEASE_DURATION + APPLY_MARGIN;
        let settings = Settings { own, bounds, lease, seed, flaw: quota::Flaw::None };
        let inner = Inner::new(Ledger::new(now, settings));
        Self { inner: Mutex::new(inner), changed: Notify::new(), window: bounds.window }
    }

    /// Follows the control state.
    pub(super) fn refresh(&self, host: &Host) {
        let now = host.clock.now();
        host.view.read(|state| lock(&self.inner).follow(now, state));
        self.wake();
    }

    /// Counts an operation, and runs or refuses it now or later.
    pub(super) fn admit(
        &self,
        host: &Host,
        (front, link): (Front, &Arc<Link>),
        shard: &Arc<Shard>,
        run: Run,
    ) {
        let now = host.clock.now();
        let until = now + wait_limit(host, &run);
        let (link, shard) = (Arc::clone(link), Arc::clone(shard));
        let waiting = Waiting { front, link, shard, run, since: now, until };
        let verdict = host.view.read(|state| {
            let mut inner = lock(&self.inner);
            inner.follow(now, state);
            inner.take(now, waiting)
        });
        if let Some(verdict) = verdict {
            self.execute(host, now, verdict);
        }
        self.wake();
    }

    /// Ends a waiting operation that the caller cancels.
    pub(super) fn cancel(&self, host: &Host, front: Front, request: u64) {
        let found = lock(&self.inner)
            .remove(|waiting| waiting.front == front && waiting.run.request == request);
        for waiting in found {
            self.execute(host, host.clock.now(), Verdict::Cancel(waiting));
        }
    }

    /// Drops the waiting operations of a caller that has disconnected.
    pub(super) fn leave(&self, front: Front, caller: u64) {
        drop(
            lock(&self.inner)
                .remove(|waiting| waiting.front == front && waiting.run.caller == caller),
        );
    }

    /// Drops the waiting operations of a link that has ended.
    pub(super) fn disconnect(&self, front: Front) {
        drop(lock(&self.inner).remove(|waiting| waiting.front == front));
    }

    /// Settles the token of an operation that has ended, or returns it if nothing was sent to
    /// a server. Without an `end`, the operation may have run.
    pub(super) fn end(&self, host: &Host, open: &Open, end: Option<&End>) {
        let Some((team, token)) = &open.token else { return };
        let unsent = |end: &&End| end.outcome() == Outcome::NotRun && end.server.is_empty();
        let now = host.clock.now();
        let mut inner = lock(&self.inner);
        if end.as_ref().is_some_and(unsent) {
            inner.ledger.refund(now, team, *token);
        } else {
            inner.ledger.settle(now, team, *token);
        }
    }

    /// Lends tokens to another entry.
    pub(super) fn lend(&self, host: &Host, borrow: Borrow) -> Loan {
        let now = host.clock.now();
        let leased = host.view.has_lease(now);
        let loan = host.view.read(|state| {
            let mut inner = lock(&self.inner);
            inner.follow(now, state);
            if let Ok(entry) = Name::new(&borrow.entry) {
                inner.ledger.on_applied(now, &entry, borrow.applied);
            }
            let applied = if borrow.entry.is_empty() { 0 } else { state.index };
            let lend = |item: BorrowItem| {
                let team = inner.names.get(&item.team).cloned().flatten().filter(|_| leased)?;
                Some(inner.ledger.on_borrow(now, team.as_str(), item.more.saturating_add(1)))
            };
            let items = borrow.items.into_iter().map(lend);
            let items = items.map(|loan| loan.unwrap_or_default().into()).collect();
            Loan { items, applied }
        });
        self.wake();
        loan
    }

    fn on_loan(&self, host: &Host, lent: &Lent) {
        let now = host.clock.now();
        let mut inner = lock(&self.inner);
        if lent.loan.applied > 0 {
            inner.ledger.on_applied(now, &lent.lender, lent.loan.applied);
        }
        for (request, item) in lent.requests.iter().zip(&lent.loan.items) {
            inner.ledger.on_loan(now, request, (*item).into());
            let label = inner.label(request.team.as_str());
            host.metrics.borrowed(&label, item.tokens.into());
        }
    }

    /// Runs or refuses waiting operations as far as this can be decided now.
    fn pump(&self, host: &Host) {
        let now = host.clock.now();
        let verdicts = lock(&self.inner).pump(now);
        for verdict in verdicts {
            self.execute(host, now, verdict);
        }
        self.wake();
    }

    fn wake(&self) {
        let inner = lock(&self.inner);
        if inner.has_messages() || !inner.waiting.is_empty() {
            self.changed.notify_one();
        }
    }

    fn execute(&self, host: &Host, now: Instant, verdict: Verdict) {
        match verdict {
            Verdict::Run(waiting, token) => {
                let Waiting { front, link, shard, mut run, since, .. } = waiting;
                let waited = now.since(since).as_millis() as u64;
                run.deadline_ms = run.deadline_ms.saturating_sub(waited);
                let limited = token != Token::Unlimited;
                if limited {
                    host.metrics.granted(&lock(&self.inner).label(&run.team));
                }
                if !host.fronts.is_open(front) {
                    // the front disconnected after the verdict
                    return lock(&self.inner).ledger.refund(now, &run.team, token);
                }
                let token = limited.then(|| (run.team.clone(), token));
                link.open(run.request, Open { shard: Arc::clone(&shard), token });
                shard.feed(keeper::Event::Run { front, run });
            }
            Verdict::Refuse(waiting, retry_after) => {
                self.note_refusal(host, now, &waiting.run.team);
                let end = not_run(&waiting.run, Reason::Quota);
                // the time is a lower bound, so it is rounded up
                let retry_after_ms = retry_after.as_micros().div_ceil(1_000) as u64;
                finish(host, &waiting, End { retry_after_ms, ..end });
            }
            Verdict::Cancel(waiting) => {
                finish(host, &waiting, not_run(&waiting.run, Reason::Cancelled));
            }
        }
    }

    fn note_refusal(&self, host: &Host, now: Instant, team: &str) {
        let mut inner = lock(&self.inner);
        host.metrics.refused(&inner.label(team));
        if inner.exceeded.insert(team.to_owned(), now).is_none() {
            info!(host.log, "team exceeds its limit; operations are refused"; "team" => team);
        }
    }

    /// Logs and forgets teams without a refusal for the length of a window.
    fn check_exceeded(&self, host: &Host) {
        let now = host.clock.now();
        lock(&self.inner).exceeded.retain(|team, last| {
            let exceeded = now.since(*last) < self.window;
            if !exceeded {
                info!(host.log, "team is within its limit again"; "team" => team);
            }
            exceeded
        });
    }

    fn flush(&self, host: &Arc<Host>, links: &Arc<Keepers>) {
        let (requests, announced, index) = {
            let mut inner = lock(&self.inner);
            let requests = std::mem::take(&mut inner.requests);
            (requests, std::mem::take(&mut inner.announced), inner.index.unwrap_or_default())
        };
        let mut messages: BTreeMap<Name, Vec<Request>> = BTreeMap::new();
        for entry in &announced {
            messages.insert(entry.clone(), Vec::new());
        }
        for request in requests {
            messages.entry(request.lender.clone()).or_default().push(request);
        }
        for (lender, requests) in messages {
            let address =
                host.view.read(|state| state.entries.get(&lender).map(|entry| entry.address));
            let Some(address) = address else { continue };
            let links = Arc::clone(links);
            let own = if announced.contains(&lender) { host.name.as_str() } else { "" };
            let applied = (own.to_owned(), if own.is_empty() { 0 } else { index });
            tokio::spawn(async move {
                // an unanswered request times out in the ledger
                if let Ok(link) = links.link(&Keeper { name: lender, address }).await {
                    link.borrow(requests, applied).await;
                }
            });
        }
    }
}

/// Sends requests for tokens, takes loans and serves waiting operations until the task
/// is aborted.
pub(super) async fn run(host: Arc<Host>, links: Arc<Keepers>) {
    let Some(mut loans) = links.take_loans() else { return };
    let mut limit_checks = tokio::time::interval(LIMIT_CHECK_INTERVAL);
    loop {
        let waits = !lock(&host.quotas.inner).waiting.is_empty();
        tokio::select! {
            () = next_loan(&host, &mut loans) => host.quotas.pump(&host),
            () = host.quotas.changed.notified() => {}
            () = tokio::time::sleep(WAIT_CHECK_INTERVAL), if waits => host.quotas.pump(&host),
            _ = limit_checks.tick() => {
                host.quotas.refresh(&host);
                host.quotas.check_exceeded(&host);
            }
        }
        if lock(&host.quotas.inner).has_messages() {
            tokio::time::sleep(BATCH_DELAY).await;
            host.quotas.flush(&host, &links);
        }
    }
}

async fn next_loan(host: &Host, loans: &mut Loans) {
    match loans.recv().await {
        Some(lent) => host.quotas.on_loan(host, &lent),
        // the links are closed
        None => std::future::pending().await,
    }
}

fn wait_limit(host: &Host, run: &Run) -> Duration {
    let objective = host.view.read(|state| {
        let database = state.declarations.databases.get(run.service.as_str());
        database.map_or(0, |database| database.objective_ms)
    });
    if objective == 0 {
        return WAIT_MAX;
    }
    Duration::from_millis(objective).mul_f64(WAIT_SHARE).min(WAIT_MAX)
}

fn not_run(run: &Run, reason: Reason) -> End {
    End {
        request: run.request,
        outcome: Outcome::NotRun as i32,
        reason: reason as i32,
        status: u32::from(b'I'),
        ..End::default()
    }
}

fn finish(host: &Host, waiting: &Waiting, end: End) {
    host.metrics.end(&end);
    waiting.link.send(answer::Body::End(end));
}

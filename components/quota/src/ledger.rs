//! The buckets of one host, as a state machine.

use std::collections::HashMap;

use base::prelude::*;
use config::Quota;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bounds::Bounds;
use crate::bucket::Bucket;
use crate::flaw::Flaw;
use crate::holders::{Recent, rank};
use crate::team::{Loan, Team};

/// Largest random addition to a retry-after time, as a share of it.
const RETRY_JITTER: f64 = 0.5;

/// Settings of a ledger.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host.
    pub own: Name,
    /// How far a limit may be exceeded.
    pub bounds: Bounds,
    /// Time after which a host that has not applied a change of the control state runs
    /// nothing: the duration of the lease of an entry.
    pub lease: Duration,
    /// Seed of the jitter of retry-after times.
    pub seed: u64,
    /// Deliberate fault, for tests.
    pub flaw: Flaw,
}

/// The token of an operation, to be returned if the operation does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token {
    /// The team has no limit.
    Unlimited,
    /// A token of the host's own bucket, with its epoch.
    Own(u64),
    /// A borrowed token, with the time at which it expires.
    Borrowed(Instant),
}

/// Answer to an operation that asks for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The operation may run.
    Granted(Token),
    /// The operation waits, since a loan is expected: [`Ledger::resume`] asks again, and
    /// [`Ledger::leave`] gives up.
    Pending,
    /// The operation must not run.
    Refused {
        /// Time after which the team may have tokens again.
        retry_after: Duration,
    },
}

/// A request for tokens, to be sent to another holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Holder to ask.
    pub lender: Name,
    /// Team whose tokens are asked for.
    pub team: Name,
    /// Number of tokens.
    pub tokens: u32,
    /// Time of the request.
    pub sent: Instant,
}

/// The buckets of all teams at one host.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: Settings,
    teams: HashMap<Name, Team>,
    /// Hosts among which limits are divided, now and within the last duration of a lease.
    hosts: Recent<Vec<Name>>,
    /// Index of the control log up to which each other host has changed its shares.
    applied: HashMap<Name, u64>,
    /// Whether a share has changed since the last announcement.
    changed: bool,
    rng: ChaCha8Rng,
}

impl Ledger {
    /// Creates a ledger without hosts and teams.
    pub fn new(now: Instant, settings: Settings) -> Self {
        let hosts = Recent::new(now, Vec::new());
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let (teams, applied) = (HashMap::new(), HashMap::new());
        Self { settings, teams, hosts, applied, changed: false, rng }
    }

    /// Sets the hosts among which limits are divided, in any order, at an index of the
    /// control log.
    pub fn set_holders(&mut self, now: Instant, index: u64, mut hosts: Vec<Name>) {
        hosts.sort_unstable();
        hosts.dedup();
        if *self.hosts.last() == hosts {
            return;
        }
        self.hosts.trim(now, self.settings.lease);
        // this host may have skipped a state in which new hosts had joined and others had not
        // left yet, and which another host may still use
        let mut both = self.hosts.last().clone();
        both.extend(hosts.iter().cloned());
        both.sort_unstable();
        both.dedup();
        if self.settings.flaw == Flaw::ForgetSkipped {
            both.clone_from(&hosts);
        }
        for hosts in [both, hosts] {
            if *self.hosts.last() == hosts {
                continue;
            }
            self.hosts.push((now, index), hosts);
            for (name, team) in &mut self.teams {
                divide(&self.settings, &self.hosts, (now, index), name, team);
            }
        }
        self.changed = true;
        self.confirm(now);
    }

    /// Hosts to which the index of the control log is to be announced, if shares have
    /// changed since the last call; otherwise `None`.
    pub fn announce(&mut self) -> Option<Vec<Name>> {
        // without limits there are no shares, and no messages are sent
        let has_limits = self.teams.values().any(|team| team.quota.is_some());
        (has_limits && std::mem::take(&mut self.changed)).then(|| self.others())
    }

    /// Notes that another host has changed its shares up to an index of the control log.
    pub fn on_applied(&mut self, now: Instant, host: &Name, index: u64) {
        let known = self.applied.entry(host.clone()).or_default();
        *known = index.max(*known);
        self.confirm(now);
    }

    /// All other hosts that may still use a share.
    fn others(&self) -> Vec<Name> {
        let mut others: Vec<_> = self.hosts.values().flatten().cloned().collect();
        others.sort_unstable();
        others.dedup();
        others.retain(|host| *host != self.settings.own);
        others
    }

    fn confirm(&mut self, now: Instant) {
        let others = self.others();
        self.applied.retain(|host, _| others.contains(host));
        let applied = |host| self.applied.get(host).copied().unwrap_or_default();
        let index = others.iter().map(applied).min().unwrap_or(u64::MAX);
        self.hosts.confirm(index);
        for team in self.teams.values_mut() {
            team.bucket.confirm(now, index);
        }
    }

    /// Sets the limits of all teams, at an index of the control log. A team that is not
    /// named has no limit.
    pub fn set_limits<'a>(
        &mut self,
        now: Instant,
        index: u64,
        limits: impl Iterator<Item = (&'a Name, Option<Quota>)>,
    ) {
        let limits: HashMap<&Name, Quota> =
            limits.filter_map(|(name, quota)| quota.map(|quota| (name, quota))).collect();
        for (name, team) in &mut self.teams {
            if !limits.contains_key(name) {
                team.quota = None;
            }
        }
        self.hosts.trim(now, self.settings.lease);
        for (name, quota) in limits {
            if let Some(team) = self.teams.get_mut(name) {
                if team.quota != Some(quota) {
                    team.quota = Some(quota);
                    let at = (now, index);
                    self.changed |= divide(&self.settings, &self.hosts, at, name, team);
                }
                continue;
            }
            let shares = self.hosts.map(|hosts| share(&self.settings, hosts, name, quota));
            let bucket = Bucket::new(now, shares, self.settings.lease, self.settings.flaw);
            let mut team = Team::new(now, bucket);
            team.quota = Some(quota);
            divide(&self.settings, &self.hosts, (now, index), name, &mut team);
            self.teams.insert(name.clone(), team);
        }
        self.confirm(now);
    }

    /// Whether a team has a limit.
    pub fn limits(&self, team: &str) -> bool {
        self.teams.get(team).is_some_and(|team| team.quota.is_some())
    }

    /// Asks for a token for an operation that has arrived.
    pub fn take(&mut self, now: Instant, team: &str, out: &mut Vec<Request>) -> Decision {
        let Some((name, found)) = limited(&mut self.teams, team) else {
            return Decision::Granted(Token::Unlimited);
        };
        found.record(now);
        found.waiting += 1;
        let decision = decide(&self.settings, now, &name, found, out);
        self.finish(now, team, decision)
    }

    /// Asks again for an operation that is pending, after a loan or some time.
    pub fn resume(&mut self, now: Instant, team: &str, out: &mut Vec<Request>) -> Decision {
        let Some((name, found)) = limited(&mut self.teams, team) else {
            self.leave(team);
            return Decision::Granted(Token::Unlimited);
        };
        let decision = decide(&self.settings, now, &name, found, out);
        self.finish(now, team, decision)
    }

    fn finish(&mut self, now: Instant, team: &str, decision: Decision) -> Decision {
        if decision == Decision::Pending {
            return decision;
        }
        self.leave(team);
        match decision {
            Decision::Refused { .. } => self.refuse(now, team),
            decision => decision,
        }
    }

    /// Refuses an operation.
    fn refuse(&mut self, now: Instant, team: &str) -> Decision {
        let bounds = &self.settings.bounds;
        let after = self.teams.get_mut(team).map(|team| team.retry_after(now, bounds));
        let jitter = 1.0 + RETRY_JITTER * self.rng.random::<f64>();
        Decision::Refused { retry_after: after.unwrap_or_default().mul_f64(jitter) }
    }

    /// Refuses a pending operation that has waited too long.
    pub fn expire(&mut self, now: Instant, team: &str) -> Decision {
        self.leave(team);
        self.refuse(now, team)
    }

    /// Gives up a pending operation.
    pub fn leave(&mut self, team: &str) {
        if let Some(team) = self.teams.get_mut(team) {
            team.waiting = team.waiting.saturating_sub(1);
        }
    }

    /// Notes that an operation ran or may have run.
    pub fn settle(&mut self, now: Instant, team: &str, token: Token) {
        if let (Some(team), Token::Own(epoch)) = (self.teams.get_mut(team), token) {
            team.bucket.advance(now);
            team.bucket.settle(epoch);
        }
    }

    /// Returns the token of an operation that did not run.
    pub fn refund(&mut self, now: Instant, team: &str, token: Token) {
        let Some(team) = self.teams.get_mut(team) else { return };
        match token {
            Token::Own(epoch) => {
                team.bucket.advance(now);
                team.bucket.refund(epoch);
            }
            Token::Borrowed(expires) if now < expires => team.add_borrowed(1.0, expires),
            Token::Unlimited | Token::Borrowed(_) => {}
        }
    }

    /// Lends tokens to another host. A host without a lease must not lend.
    pub fn on_borrow(&mut self, now: Instant, team: &str, tokens: u32) -> Loan {
        let found = limited(&mut self.teams, team);
        found.map_or_else(Loan::default, |(_, team)| team.lend(now, tokens))
    }

    /// Takes the answer of a lender to a request.
    pub fn on_loan(&mut self, now: Instant, request: &Request, loan: Loan) {
        let Some((_, team)) = limited(&mut self.teams, request.team.as_str()) else { return };
        let sent = request.sent;
        let tokens = f64::from(loan.tokens);
        let life = self.settings.bounds.loan_life();
        if let Some(known) = team.lenders.iter_mut().find(|known| known.name == request.lender) {
            known.answer(now, sent, (tokens, loan.left));
        }
        // the lender took the tokens out after `sent`, so they don't expire too late
        let expires = sent + life;
        if loan.tokens > 0 && (now < expires || self.settings.flaw == Flaw::KeepLoans) {
            team.add_borrowed(tokens, expires);
        }
    }
}

fn limited<'a>(teams: &'a mut HashMap<Name, Team>, name: &str) -> Option<(Name, &'a mut Team)> {
    let known = teams.get_key_value(name).map(|(name, _)| name.clone())?;
    let team = teams.get_mut(name).filter(|team| team.quota.is_some())?;
    Some((known, team))
}

fn decide(
    settings: &Settings,
    now: Instant,
    name: &Name,
    team: &mut Team,
    out: &mut Vec<Request>,
) -> Decision {
    team.bucket.advance(now);
    let borrowed = team.take_borrowed(now, settings.flaw).map(Token::Borrowed);
    let token = borrowed.or_else(|| team.bucket.take().map(Token::Own));
    if token.is_some() {
        team.waiting -= 1;
    }
    if settings.flaw != Flaw::NeverBorrow {
        let request = |lender: &Name, tokens| Request {
            lender: lender.clone(),
            team: name.clone(),
            tokens,
            sent: now,
        };
        team.borrow(now, &settings.bounds, |lender, tokens| out.push(request(lender, tokens)));
    }
    if let Some(token) = token {
        team.waiting += 1;
        return Decision::Granted(token);
    }
    if team.covers_waiting(now, &settings.bounds) {
        return Decision::Pending;
    }
    Decision::Refused { retry_after: Duration::ZERO }
}

/// Share of this host in the limit of a team.
fn share(settings: &Settings, hosts: &[Name], team: &Name, quota: Quota) -> f64 {
    let holders = rank(team, hosts, settings.bounds.holders(quota, hosts.len()));
    if holders.contains(&settings.own) { 1.0 / holders.len() as f64 } else { 0.0 }
}

/// Sets the share of this host, and the other holders. Returns whether the share changed.
fn divide(
    settings: &Settings,
    hosts: &Recent<Vec<Name>>,
    (now, index): (Instant, u64),
    name: &Name,
    team: &mut Team,
) -> bool {
    let Some(quota) = team.quota else { return false };
    let hosts = hosts.last();
    let share = share(settings, hosts, name, quota);
    let limit = (quota.rate_per_s, settings.bounds.pool(quota));
    let is_changed = team.bucket.set((now, index), limit, share);
    let count = settings.bounds.holders(quota, hosts.len());
    let mut lenders = rank(name, hosts, count);
    lenders.retain(|lender| *lender != settings.own);
    // each host asks the lenders in another order, since full buckets look alike
    let lenders = rank(&settings.own, &lenders, count);
    team.set_lenders(now, lenders);
    is_changed
}

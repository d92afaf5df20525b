//! Hosts with ledgers, a control state that they apply with a delay, and a network that
//! delays and loses messages, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use base::prelude::*;
use config::Quota;
use quota::{Bounds, Decision, Flaw, Ledger, Loan, Request, Settings, Token, digest};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::Message as _;
use wire::data::{self, Answer, Ask, answer, ask};

/// Duration of the lease of an entry.
pub const LEASE: Duration = Duration::from_millis(1_600);

/// Time after which control removes an entry that is not heard from.
pub const REMOVAL: Duration = Duration::from_millis(1_900);

/// Longest wait for a loan.
const WAIT: Duration = Duration::from_millis(30);

/// Time between two checks of waiting operations.
const POLL: Duration = Duration::from_millis(5);

/// Time for which requests for tokens are collected into one message.
const BATCH: Duration = Duration::from_millis(2);

/// Length of the prefix of a frame on a link.
const FRAME_BYTES: usize = 4;

pub fn name(text: impl AsRef<str>) -> Name {
    Name::new(text.as_ref()).unwrap()
}

pub fn host_name(host: usize) -> Name {
    name(format!("host-{host}.10.0.0.{host}"))
}

fn host_index(name: &Name) -> usize {
    let number = name.as_str().rsplit('.').next();
    number.and_then(|number| number.parse().ok()).expect("the name of a host ends in its number")
}

/// A committed control state.
#[derive(Clone, Debug)]
pub struct Commit {
    pub at: Instant,
    pub hosts: Vec<Name>,
    pub limits: BTreeMap<Name, Quota>,
}

#[derive(Debug)]
struct Host {
    ledger: Ledger,
    /// Commits that the host has applied.
    applied: usize,
    /// Delay with which the host applies commits; `None` while it is cut off from
    /// control.
    lag: Option<Duration>,
    running: bool,
    frozen: bool,
    /// Events that arrived during a freeze.
    held: VecDeque<Event>,
    waiting: BTreeMap<Name, VecDeque<(usize, Instant)>>,
    outbox: Vec<Request>,
    polls: bool,
    incarnation: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive { team: Name, op: usize },
    Borrow { from: usize, requests: Vec<Request>, incarnation: u64 },
    Loan { requests: Vec<Request>, loan: data::Loan, incarnation: u64 },
    Applied { from: Name, index: u64, is_answer: bool },
    Poll,
    Flush,
    End { team: Name, op: usize, token: Token, ran: bool },
}

/// Event became of an operation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Waits,
    Granted(Instant),
    Refused(Duration),
    NotRun,
    Lost,
}

#[derive(Debug)]
pub struct Operation {
    pub team: Name,
    pub at: Instant,
    pub outcome: Outcome,
}

#[derive(Debug)]
pub struct World {
    pub now: Instant,
    pub bounds: Bounds,
    pub operations: Vec<Operation>,
    /// Bytes sent by each host.
    pub bytes: Vec<usize>,
    pub rng: ChaCha8Rng,
    /// Share of messages that are lost.
    pub loss: f64,
    /// One-way latency of messages.
    pub latency: Duration,
    /// Share of granted operations that don't run.
    pub unrun: f64,
    /// Time after which a granted operation ends.
    pub run_time: Duration,
    hosts: Vec<Host>,
    cut: Vec<(usize, usize)>,
    pub commits: Vec<Commit>,
    /// Names of teams by digest.
    names: BTreeMap<u32, Name>,
    events: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    payloads: BTreeMap<u64, Event>,
    next: u64,
    flaw: Flaw,
}

impl World {
    pub fn new(hosts: usize, seed: u64, flaw: Flaw) -> Self {
        Self::with_bounds(hosts, seed, flaw, Bounds::default())
    }

    pub fn with_bounds(hosts: usize, seed: u64, flaw: Flaw, bounds: Bounds) -> Self {
        let mut world = Self {
            now: Instant::ZERO,
            bounds,
            operations: Vec::new(),
            bytes: vec![0; hosts],
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            latency: Duration::from_micros(1_400),
            unrun: 0.0,
            run_time: Duration::from_millis(20),
            hosts: Vec::new(),
            cut: Vec::new(),
            commits: Vec::new(),
            names: BTreeMap::new(),
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            next: 0,
            flaw,
        };
        for host in 0..hosts {
            let ledger = world.ledger(host);
            let lag = Some(Duration::from_millis(20));
            world.hosts.push(Host {
                ledger,
                applied: 0,
                lag,
                running: true,
                frozen: false,
                held: VecDeque::new(),
                waiting: BTreeMap::new(),
                outbox: Vec::new(),
                polls: false,
                incarnation: 0,
            });
        }
        world
    }

    fn ledger(&mut self, host: usize) -> Ledger {
        let (own, bounds) = (host_name(host), self.bounds);
        let (lease, seed) = (LEASE, self.rng.random());
        Ledger::new(self.now, Settings { own, bounds, lease, seed, flaw: self.flaw })
    }

    /// Commits a control state with other keeper hosts or other limits.
    pub fn commit(&mut self, hosts: Option<Vec<usize>>, limits: Option<&[(&str, Quota)]>) {
        let last = self.commits.last();
        let hosts = hosts.map(|hosts| hosts.into_iter().map(host_name).collect());
        let limits = limits.map(|limits| {
            limits.iter().map(|(team, quota)| (name(team), *quota)).collect::<BTreeMap<_, _>>()
        });
        let hosts = hosts.unwrap_or_else(|| last.map_or(Vec::new(), |last| last.hosts.clone()));
        let limits =
            limits.unwrap_or_else(|| last.map_or_else(BTreeMap::new, |last| last.limits.clone()));
        for team in limits.keys() {
            self.names.insert(digest(team.as_str()), team.clone());
        }
        for host in 0..self.hosts.len() {
            // hosts apply the state also while no operations arrive
            let lag = self.hosts[host].lag.unwrap_or_default();
            self.schedule(self.now + lag, host, Event::Poll);
        }
        self.commits.push(Commit { at: self.now, hosts, limits });
    }

    /// Keeper hosts in the last committed state.
    pub fn keepers(&self) -> Vec<usize> {
        let committed = &self.commits.last().expect("a state was committed").hosts;
        (0..self.hosts.len()).filter(|&host| committed.contains(&host_name(host))).collect()
    }

    pub fn set_lag(&mut self, host: usize, lag: Option<Duration>) {
        self.hosts[host].lag = lag;
    }

    /// Cuts the network between two hosts, or mends it.
    pub fn set_cut(&mut self, one: usize, other: usize, cut: bool) {
        let pair = (one.min(other), one.max(other));
        self.cut.retain(|known| *known != pair);
        if cut {
            self.cut.push(pair);
        }
    }

    pub fn is_running(&self, host: usize) -> bool {
        self.hosts[host].running && !self.hosts[host].frozen
    }

    pub fn crash(&mut self, host: usize) {
        self.hosts[host].running = false;
        self.hosts[host].frozen = false;
        self.hosts[host].held.clear();
        for (_, queue) in std::mem::take(&mut self.hosts[host].waiting) {
            for (op, _) in queue {
                self.operations[op].outcome = Outcome::Lost;
            }
        }
    }

    pub fn restart(&mut self, host: usize) {
        let ledger = self.ledger(host);
        let host = &mut self.hosts[host];
        host.ledger = ledger;
        host.applied = 0;
        host.running = true;
        host.polls = false;
        host.incarnation += 1;
        host.outbox.clear();
    }

    pub fn freeze(&mut self, host: usize) {
        self.hosts[host].frozen = true;
    }

    pub fn thaw(&mut self, host: usize) {
        self.hosts[host].frozen = false;
        for what in std::mem::take(&mut self.hosts[host].held) {
            self.handle(host, what);
        }
    }

    /// Whether a host may run operations: it has applied all that was committed before
    /// its lease began.
    fn has_lease(&self, host: usize) -> bool {
        let next = self.commits.get(self.hosts[host].applied);
        self.hosts[host].applied > 0 && next.is_none_or(|next| self.now < next.at + LEASE)
    }

    fn apply(&mut self, host: usize) {
        let (now, known) = (self.now, &mut self.hosts[host]);
        let Some(lag) = known.lag else { return };
        while let Some(commit) = self.commits.get(known.applied).filter(|c| c.at + lag <= now) {
            known.applied += 1;
            // some hosts receive several states at once and see only the last
            let next = self.commits.get(known.applied);
            if host % 2 == 1 && next.is_some_and(|next| next.at + lag <= now) {
                continue;
            }
            let index = known.applied as u64;
            known.ledger.set_holders(now, index, commit.hosts.clone());
            let limits = commit.limits.iter().map(|(team, quota)| (team, Some(*quota)));
            known.ledger.set_limits(now, index, limits);
        }
        let (index, peers) = (known.applied as u64, known.ledger.announce());
        for peer in peers.into_iter().flatten() {
            let what = Event::Applied { from: host_name(host), index, is_answer: false };
            self.send(host, host_index(&peer), what);
        }
    }

    fn schedule(&mut self, at: Instant, host: usize, what: Event) {
        self.next += 1;
        self.payloads.insert(self.next, what);
        self.events.push(Reverse((at, self.next, host)));
    }

    /// Lets an operation of a team arrive at a host.
    pub fn arrive(&mut self, at: Instant, host: usize, team: &Name) {
        let op = self.operations.len();
        self.operations.push(Operation { team: team.clone(), at, outcome: Outcome::Waits });
        self.schedule(at, host, Event::Arrive { team: team.clone(), op });
    }

    /// Runs until the time `until`.
    pub fn run(&mut self, until: Instant) {
        while let Some(&Reverse((at, number, host))) = self.events.peek() {
            if at > until {
                break;
            }
            self.events.pop();
            let what = self.payloads.remove(&number).expect("each event has a payload");
            self.now = self.now.max(at);
            self.handle(host, what);
        }
        self.now = until;
    }

    fn handle(&mut self, host: usize, what: Event) {
        if !self.hosts[host].running {
            if let Event::Arrive { op, .. } = what {
                self.operations[op].outcome = Outcome::Lost;
            }
            return;
        }
        if self.hosts[host].frozen {
            self.hosts[host].held.push_back(what);
            return;
        }
        self.apply(host);
        match what {
            Event::Arrive { team, op } => self.on_arrival(host, &team, op),
            Event::Borrow { from, requests, incarnation } => {
                self.on_borrow(host, from, requests, incarnation);
            }
            Event::Loan { requests, loan, incarnation } => {
                if self.hosts[host].incarnation == incarnation {
                    self.on_loan(host, &requests, &loan);
                }
            }
            Event::Applied { from, index, is_answer } => {
                self.hosts[host].ledger.on_applied(self.now, &from, index);
                let index = self.hosts[host].applied as u64;
                if !is_answer {
                    let what = Event::Applied { from: host_name(host), index, is_answer: true };
                    self.send(host, host_index(&from), what);
                }
            }
            Event::Poll => {
                self.hosts[host].polls = false;
                self.pump(host);
            }
            Event::Flush => self.flush(host),
            Event::End { team, op, token, ran } => {
                let (now, ledger) = (self.now, &mut self.hosts[host].ledger);
                if ran {
                    ledger.settle(now, team.as_str(), token);
                } else {
                    ledger.refund(now, team.as_str(), token);
                    self.operations[op].outcome = Outcome::NotRun;
                }
            }
        }
        self.plan(host);
    }

    /// Schedules the next check of waiting operations and the next messages.
    fn plan(&mut self, host: usize) {
        let now = self.now;
        if !self.hosts[host].polls && !self.hosts[host].waiting.is_empty() {
            self.hosts[host].polls = true;
            self.schedule(now + POLL, host, Event::Poll);
        }
        if !self.hosts[host].outbox.is_empty() {
            self.schedule(now + BATCH, host, Event::Flush);
        }
    }

    fn on_arrival(&mut self, host: usize, team: &Name, op: usize) {
        if !self.has_lease(host) {
            self.operations[op].outcome = Outcome::Lost;
            return;
        }
        let now = self.now;
        let Host { ledger, outbox, waiting, .. } = &mut self.hosts[host];
        match ledger.take(now, team.as_str(), outbox) {
            Decision::Granted(token) => self.grant(host, team, op, token),
            Decision::Pending => {
                waiting.entry(team.clone()).or_default().push_back((op, now + WAIT));
            }
            Decision::Refused { retry_after } => {
                self.operations[op].outcome = Outcome::Refused(retry_after);
            }
        }
    }

    fn grant(&mut self, host: usize, team: &Name, op: usize, token: Token) {
        self.operations[op].outcome = Outcome::Granted(self.now);
        let ran = !self.rng.random_bool(self.unrun);
        let end = self.now + self.run_time;
        self.schedule(end, host, Event::End { team: team.clone(), op, token, ran });
    }

    fn pump(&mut self, host: usize) {
        let leased = self.has_lease(host);
        let now = self.now;
        let mut granted = Vec::new();
        let Host { ledger, outbox, waiting, .. } = &mut self.hosts[host];
        for (team, queue) in waiting.iter_mut() {
            while let Some(&(op, until)) = queue.front() {
                let mut decision = ledger.resume(now, team.as_str(), outbox);
                if decision == Decision::Pending && until <= now {
                    decision = ledger.expire(now, team.as_str());
                }
                match decision {
                    Decision::Granted(token) => granted.push((team.clone(), op, token)),
                    Decision::Pending => break,
                    Decision::Refused { retry_after } => {
                        self.operations[op].outcome = Outcome::Refused(retry_after);
                    }
                }
                queue.pop_front();
            }
        }
        waiting.retain(|_, queue| !queue.is_empty());
        for (team, op, token) in granted {
            if leased {
                self.grant(host, &team, op, token);
            } else {
                self.hosts[host].ledger.refund(now, team.as_str(), token);
                self.operations[op].outcome = Outcome::Lost;
            }
        }
    }

    fn on_borrow(&mut self, host: usize, from: usize, requests: Vec<Request>, incarnation: u64) {
        let leased = self.has_lease(host);
        let now = self.now;
        let (ledger, names) = (&mut self.hosts[host].ledger, &self.names);
        let lend = |request: &Request| {
            let item = data::BorrowItem::from(request);
            let team = names[&item.team].as_str();
            let loan = leased.then(|| ledger.on_borrow(now, team, item.more + 1));
            loan.unwrap_or_default().into()
        };
        let loan = data::Loan { items: requests.iter().map(lend).collect(), applied: 0 };
        let answer = Answer { body: Some(answer::Body::Loan(loan.clone())) };
        self.bytes[host] += answer.encoded_len() + FRAME_BYTES;
        self.send(host, from, Event::Loan { requests, loan, incarnation });
    }

    fn on_loan(&mut self, host: usize, requests: &[Request], loan: &data::Loan) {
        for (request, item) in requests.iter().zip(&loan.items) {
            self.hosts[host].ledger.on_loan(self.now, request, Loan::from(*item));
        }
        self.pump(host);
    }

    fn flush(&mut self, host: usize) {
        let mut batches: BTreeMap<Name, Vec<Request>> = BTreeMap::new();
        for request in std::mem::take(&mut self.hosts[host].outbox) {
            batches.entry(request.lender.clone()).or_default().push(request);
        }
        for (lender, requests) in batches {
            let items = requests.iter().map(Into::into).collect();
            let ask = Ask {
                body: Some(ask::Body::Borrow(data::Borrow { items, ..data::Borrow::default() })),
            };
            self.bytes[host] += ask.encoded_len() + FRAME_BYTES;
            let to = host_index(&lender);
            let incarnation = self.hosts[host].incarnation;
            self.send(host, to, Event::Borrow { from: host, requests, incarnation });
        }
    }

    fn send(&mut self, from: usize, to: usize, what: Event) {
        let is_cut = self.cut.contains(&(from.min(to), from.max(to)));
        if is_cut || self.rng.random_bool(self.loss) {
            return;
        }
        let at = self.now + self.latency.mul_f64(self.rng.random_range(0.5..1.5));
        self.schedule(at, to, what);
    }

    /// Lets operations arrive from now until `until` as a Poisson process.
    pub fn load(
        &mut self,
        until: Instant,
        team: &Name,
        rate: f64,
        mut host: impl FnMut(&mut ChaCha8Rng, Instant) -> usize,
    ) {
        let mut at = self.now;
        loop {
            let wait = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            at += Duration::from_secs_f64(wait);
            if at >= until {
                return;
            }
            let host = host(&mut self.rng, at);
            self.arrive(at, host, team);
        }
    }
}

//! A caller's session, which moves between entries.
//!
//! A caller connects to a randomly chosen entry every few requests, with or without
//! its session token, and checks the data that it reads against the writes that were
//! acknowledged to it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::client::{self, Answer, Connection};
use crate::scenario::{IDEMPOTENT_KIND, OWN_READ_KIND, Request};
use crate::shared::Shared;

const RETRY_DELAY: Duration = Duration::from_millis(20);
const ACCOUNTS: u64 = 16;

/// Significant decimal digits of latency histograms.
pub const LATENCY_DIGITS: u8 = 3;

/// A write that must run at most once, and its outcome.
#[derive(Clone, Debug)]
pub struct Record {
    /// Id of the request, unique in the run.
    pub id: String,
    /// Outcome that was reported to the caller.
    pub outcome: Outcome,
    /// Whether the write was a payment transaction.
    pub payment: bool,
}

/// The outcome of a write as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write was acknowledged.
    Acked,
    /// The write was not run.
    NotRun,
    /// The write may have run.
    Unknown,
}

/// The results that a caller collected during a run.
#[derive(Debug, Default)]
pub struct Journal {
    /// Index of the group that the caller used.
    pub group: usize,
    /// Number of the session.
    pub session: usize,
    /// Writes that must run at most once.
    pub records: Vec<Record>,
    /// Last acknowledged value of the session's counter.
    pub acked_counter: u64,
    /// Number of acknowledged counter updates.
    pub acked_updates: u64,
    /// Latencies of successful requests in microseconds, by request.
    pub latencies: BTreeMap<String, Histogram<u64>>,
    /// Number of reads that missed one of the session's own acknowledged writes.
    pub ryw_violations: u64,
    /// Number of answers that belong to another request or to none.
    pub mixed_answers: u64,
    /// Number of reads that returned data older than they accept.
    pub stale: u64,
    /// Number of requests with an unknown outcome.
    pub unknown: u64,
    /// Number of requests that were not run, by SQLSTATE.
    pub errors: BTreeMap<String, u64>,
    /// Number of failed attempts to connect.
    pub connects_failed: u64,
}

/// A session that sends requests until the run stops.
#[derive(Debug)]
pub struct Caller {
    shared: Arc<Shared>,
    rng: ChaCha8Rng,
    service: &'static str,
    group_name: String,
    token: Option<String>,
    sends_token: bool,
    think: Duration,
    requests: u64,
    // last value sent for the counter, whether acknowledged or not
    last_sent: u64,
    journal: Journal,
}

impl Caller {
    /// Creates the caller of a session, which determines its group, its service and
    /// whether it sends its token. `think` is the mean time between an answer and
    /// the next request.
    pub fn new(shared: &Arc<Shared>, session: usize, seed: u64, think: Duration) -> Self {
        let scenario = shared.scenario;
        let services = scenario.services();
        let group = session % crate::scenario::GROUPS;
        let rng = ChaCha8Rng::seed_from_u64(seed ^ ((session as u64) << 20));
        Self {
            shared: Arc::clone(shared),
            rng,
            service: services[(session / crate::scenario::GROUPS) % services.len()],
            group_name: scenario.group(group),
            token: None,
            sends_token: session.is_multiple_of(2),
            think,
            requests: 0,
            last_sent: 0,
            journal: Journal { group, session, ..Journal::default() },
        }
    }

    /// Sends requests until the run stops.
    pub async fn run(mut self) -> Journal {
        while !self.shared.is_stopped() {
            let entry = self.rng.random_range(0..usize::from(u16::MAX));
            let address = self.shared.address(self.journal.group, entry);
            let token = self.token.as_deref().filter(|_| self.sends_token);
            let connected = client::connect(address, self.service, &self.group_name, token).await;
            let Some(connection) = connected else {
                self.journal.connects_failed += 1;
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            self.use_connection(&connection).await;
            self.token = connection.token().or(self.token.take());
        }
        self.journal
    }

    async fn use_connection(&mut self, connection: &Connection) {
        for _ in 0..self.rng.random_range(2..8) {
            let micros = self.rng.random_range(0..=2 * self.think.as_micros() as u64);
            tokio::time::sleep(Duration::from_micros(micros)).await;
            if connection.is_closed() || self.shared.is_stopped() {
                return;
            }
            self.request(connection).await;
        }
    }

    async fn request(&mut self, connection: &Connection) {
        self.requests += 1;
        let request = self.shared.scenario.draw(&mut self.rng);
        let started = self.shared.clock.now();
        let is_done = match request {
            Request::Insert => self.insert(connection).await,
            Request::Payment => self.pay(connection).await,
            Request::CounterSet => self.set_counter(connection).await,
            Request::OwnStatus => self.read_own(connection).await,
            Request::SharedRead => self.read_shared(connection, started).await,
        };
        if !is_done {
            return;
        }
        self.shared.answered.fetch_add(1, Ordering::Relaxed);
        let elapsed = self.shared.clock.now().since(started).as_micros() as u64;
        let new_histogram =
            || Histogram::new(LATENCY_DIGITS).expect("the number of significant digits is valid");
        let histogram =
            self.journal.latencies.entry(request.to_string()).or_insert_with(new_histogram);
        // the histogram resizes itself to any value
        let _always_fits = histogram.record(elapsed);
    }

    fn request_id(&self) -> String {
        format!("{}-{}", self.journal.session, self.requests)
    }

    fn tag(&self, kind: &str) -> String {
        if self.shared.tags_reads { format!("/*kind='{kind}'*/ ") } else { String::new() }
    }

    // counts an answer other than success, and returns the outcome of the request
    fn count_answer(&mut self, answer: Answer) -> Outcome {
        match answer {
            Answer::Done(_) => Outcome::Acked,
            Answer::NotRun(code) => {
                *self.journal.errors.entry(code).or_default() += 1;
                Outcome::NotRun
            }
            Answer::Unknown => {
                self.journal.unknown += 1;
                Outcome::Unknown
            }
        }
    }

    fn record(&mut self, id: String, outcome: Outcome, payment: bool) -> bool {
        if outcome == Outcome::Acked {
            self.shared.record_ack(self.journal.group);
        }
        self.journal.records.push(Record { id, outcome, payment });
        outcome == Outcome::Acked
    }

    fn check_rows(&mut self, answer: &Answer, expected: &[&str]) {
        if let Answer::Done(rows) = answer
            && (rows.len() != 1 || rows[0] != expected)
        {
            self.journal.mixed_answers += 1;
        }
    }

    async fn insert(&mut self, connection: &Connection) -> bool {
        let (id, session) = (self.request_id(), self.journal.session);
        let query = format!(
            "INSERT INTO requests (id, session, marker) VALUES ('{id}', {session}, 'i{id}') \
             RETURNING id"
        );
        let answer = connection.query(&query).await;
        self.check_rows(&answer, &[&id]);
        let outcome = self.count_answer(answer);
        self.record(id, outcome, false)
    }

    async fn pay(&mut self, connection: &Connection) -> bool {
        let id = self.request_id();
        let outcome = match self.pay_before_commit(connection, &id).await {
            Ok(()) => {
                let answer = connection.query("COMMIT").await;
                self.count_answer(answer)
            }
            // a transaction whose COMMIT was never sent cannot have run
            Err(answer) => {
                if matches!(self.count_answer(answer), Outcome::NotRun) {
                    connection.query("ROLLBACK").await;
                }
                Outcome::NotRun
            }
        };
        self.record(id, outcome, true)
    }

    async fn pay_before_commit(&mut self, connection: &Connection, id: &str) -> Result<(), Answer> {
        let (session, account) = (self.journal.session, self.rng.random_range(0..ACCOUNTS));
        let begun = connection.query("BEGIN").await;
        expect_done(begun)?;
        let update = format!("UPDATE accounts SET paid = paid + 1 WHERE id = {account}");
        expect_done(connection.query(&update).await)?;
        let insert = format!(
            "INSERT INTO requests (id, session, marker) VALUES ('{id}', {session}, 'p{id}')"
        );
        expect_done(connection.query(&insert).await)?;
        let count = format!("SELECT count(*), '{id}' FROM requests WHERE marker = 'p{id}'");
        let answer = connection.query(&count).await;
        self.check_rows(&answer, &["1", id]);
        expect_done(answer)
    }

    async fn set_counter(&mut self, connection: &Connection) -> bool {
        self.last_sent += 1;
        let (value, session) = (self.last_sent, self.journal.session);
        let tag = format!("/*kind='{IDEMPOTENT_KIND}'*/");
        let query = format!("{tag} UPDATE counters SET value = {value} WHERE session = {session}");
        let answer = connection.query(&query).await;
        let acked = self.count_answer(answer) == Outcome::Acked;
        if acked {
            self.journal.acked_counter = value;
            self.journal.acked_updates += 1;
            self.shared.record_ack(self.journal.group);
        }
        acked
    }

    async fn read_own(&mut self, connection: &Connection) -> bool {
        let (id, session) = (self.request_id(), self.journal.session);
        let shared = self.shared.scenario.shared_kind();
        let kind = if self.rng.random() { OWN_READ_KIND } else { shared };
        let tag = self.tag(kind);
        let query = format!("{tag}SELECT value, '{id}' FROM counters WHERE session = {session}");
        let answer = connection.query(&query).await;
        let value = self.read_value(&answer, &id);
        if value.is_some_and(|value| value < self.journal.acked_counter) {
            self.journal.ryw_violations += 1;
        }
        self.count_answer(answer) == Outcome::Acked
    }

    async fn read_shared(&mut self, connection: &Connection, started: Instant) -> bool {
        let (scenario, id) = (self.shared.scenario, self.request_id());
        let tag = self.tag(scenario.shared_kind());
        let required =
            self.shared.required_value(self.journal.group, started, scenario.shared_age());
        let query = format!("{tag}SELECT value, '{id}' FROM pulse WHERE id = 1");
        let answer = connection.query(&query).await;
        if self.read_value(&answer, &id).is_some_and(|value| value < required) {
            self.journal.stale += 1;
        }
        self.count_answer(answer) == Outcome::Acked
    }

    // The value of a read. The row must carry the request's id; any other row counts
    // as the answer of another request.
    fn read_value(&mut self, answer: &Answer, id: &str) -> Option<u64> {
        let Answer::Done(rows) = answer else {
            return None;
        };
        match rows.as_slice() {
            [row] if row.len() == 2 && row[1] == id => row[0].parse().ok(),
            _ => {
                self.journal.mixed_answers += 1;
                None
            }
        }
    }
}

fn expect_done(answer: Answer) -> Result<(), Answer> {
    match answer {
        Answer::Done(_) => Ok(()),
        other => Err(other),
    }
}

/// Statements that create the tables and their first rows.
pub fn schema(callers: usize) -> Vec<String> {
    let sessions = (0..callers).map(|session| format!("({session}, 0)"));
    let accounts = (0..ACCOUNTS).map(|account| format!("({account}, 0)"));
    let rows = |rows: Vec<String>| rows.join(", ");
    vec![
        "CREATE TABLE IF NOT EXISTS requests (id text, session bigint, marker text)".to_owned(),
        "CREATE INDEX IF NOT EXISTS requests_marker ON requests (marker)".to_owned(),
        "CREATE TABLE IF NOT EXISTS counters (session bigint primary key, value bigint)".to_owned(),
        "CREATE TABLE IF NOT EXISTS accounts (id bigint primary key, paid bigint)".to_owned(),
        "CREATE TABLE IF NOT EXISTS pulse (id bigint primary key, value bigint)".to_owned(),
        "INSERT INTO pulse VALUES (1, 0) ON CONFLICT DO NOTHING".to_owned(),
        format!("INSERT INTO counters VALUES {} ON CONFLICT DO NOTHING", rows(sessions.collect())),
        format!("INSERT INTO accounts VALUES {} ON CONFLICT DO NOTHING", rows(accounts.collect())),
    ]
}

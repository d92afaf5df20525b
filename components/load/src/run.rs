//! The phases of a run: tables, traffic with faults, overload, check.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use hdrhistogram::Histogram;
use tokio::task::JoinSet;

use crate::bench::{Bench, Fault};
use crate::caller::{self, Caller, Journal, LATENCY_DIGITS};
use crate::client::{self, Answer};
use crate::failure::Failure;
use crate::scenario::{GROUPS, Scenario};
use crate::shared::Shared;
use crate::verdict::{Percentiles, Verdict};
use crate::{oracle, overload, writer};

const SCHEMA_TIMEOUT: Duration = Duration::from_secs(30);
const SCHEMA_RETRY: Duration = Duration::from_millis(100);
const WARM: Duration = Duration::from_secs(2);
const FAULT_LENGTH: Duration = Duration::from_secs(4);
const REST: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(250);
// the part of the traffic that is spent in overload
const OVERLOAD_SHARE: f64 = 0.15;

/// What the proxy is brought to, to be compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Baseline {
    /// Nothing: the proxy as it is.
    None,
    /// Reads are not declared, so that primaries serve all.
    PrimaryOnly,
}

/// Settings of a run.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The workload.
    pub scenario: Scenario,
    /// The fault.
    pub fault: Fault,
    /// The baseline.
    pub baseline: Baseline,
    /// Length of the traffic.
    pub length: Duration,
    /// Number of sessions.
    pub callers: usize,
    /// Mean time between an answer and the session's next request.
    pub think: Duration,
    /// Seed of the callers.
    pub seed: u64,
}

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Tables are made.
    Schema,
    /// Callers call.
    Traffic,
    /// More callers call than can be served.
    Overload,
    /// The groups come to rest and are read.
    Check,
}

/// Tells who watches a run how far it is: the phase, and its share done.
pub type Progress<'a> = &'a (dyn Fn(Phase, f64) + Sync);

/// Runs the load on a bench and checks the result. All faults are healed at
/// the end; the bench goes on.
///
/// # Errors
/// A failure of the bench; a broken promise is told by the verdict.
pub async fn run<B: Bench>(
    bench: &mut B,
    settings: &Settings,
    progress: Progress<'_>,
) -> Result<Verdict, Report<Failure>> {
    let tags_reads = settings.baseline != Baseline::PrimaryOnly;
    let shared = Arc::new(Shared::new(settings.scenario, tags_reads, GROUPS));
    refresh(bench, &shared).await;
    progress(Phase::Schema, 0.0);
    prepare(&shared, settings.callers).await?;
    let mut verdict = Verdict {
        scenario: settings.scenario.to_string(),
        fault: settings.fault.to_string(),
        baseline: settings.baseline.to_string(),
        seed: settings.seed,
        ..Verdict::default()
    };
    let before = reads(bench).await;
    let started = shared.clock.now();
    let mut callers = spawn(&shared, settings);
    let calm = settings.length.mul_f64(1.0 - OVERLOAD_SHARE);
    let pauses = traffic(bench, &shared, settings, calm, progress, &mut verdict).await?;
    verdict.seconds = shared.clock.now().since(started).as_secs_f64();
    let answered = shared.answered.load(Ordering::Relaxed);
    verdict.statements_per_s = answered as f64 / verdict.seconds;
    verdict.replica_read_share = share(before, reads(bench).await);
    verdict.failover_gap_ms = Percentiles::of(&pauses);
    progress(Phase::Overload, 0.0);
    verdict.overload = overload::run(&shared, settings.length.mul_f64(OVERLOAD_SHARE)).await;
    verdict.fairness = overload::jain_index(&verdict.overload);
    shared.stop();
    let mut journals = Vec::new();
    while let Some(journal) = callers.join_next().await {
        journals.extend(journal.ok().flatten());
    }
    progress(Phase::Check, 0.0);
    check(bench, &journals, &mut verdict).await?;
    Ok(verdict)
}

async fn refresh(bench: &impl Bench, shared: &Shared) {
    shared.set_addresses(bench.addresses().await);
}

fn spawn(shared: &Arc<Shared>, settings: &Settings) -> JoinSet<Option<Journal>> {
    let mut tasks = JoinSet::new();
    for session in 0..settings.callers {
        let caller = Caller::new(shared, session, settings.seed, settings.think);
        tasks.spawn(async { Some(caller.run().await) });
    }
    for group in 0..GROUPS {
        let writer = writer::run(Arc::clone(shared), group);
        tasks.spawn(async {
            writer.await;
            None
        });
    }
    tasks
}

/// Makes the tables in all groups, trying until they answer.
async fn prepare(shared: &Arc<Shared>, callers: usize) -> Result<(), Report<Failure>> {
    let groups = (0..GROUPS).map(|group| prepare_group(shared, group, callers));
    let made = futures::future::try_join_all(groups);
    tokio::time::timeout(SCHEMA_TIMEOUT, made).await.change_context(Failure::Schema)??;
    Ok(())
}

async fn prepare_group(
    shared: &Shared,
    group: usize,
    callers: usize,
) -> Result<(), Report<Failure>> {
    let name = shared.scenario.group(group);
    let service = shared.scenario.services()[0];
    let mut left = caller::schema(callers);
    left.reverse();
    let mut entry = 0;
    while !left.is_empty() {
        let address = shared.address(group, entry);
        entry += 1;
        if let Some(connection) = client::connect(address, service, &name, None).await {
            while let Some(statement) = left.last()
                && matches!(connection.query(statement).await, Answer::Done(_))
            {
                left.pop();
            }
        }
        if !left.is_empty() {
            tokio::time::sleep(SCHEMA_RETRY).await;
        }
    }
    Ok(())
}

/// Lets callers call for a time and puts the fault on the bench again and
/// again; gives the pauses of acknowledged writes in microseconds.
async fn traffic<B: Bench>(
    bench: &mut B,
    shared: &Shared,
    settings: &Settings,
    length: Duration,
    progress: Progress<'_>,
    verdict: &mut Verdict,
) -> Result<Histogram<u64>, Report<Failure>> {
    let mut pauses = Histogram::new(LATENCY_DIGITS).expect("the digits are in range");
    let end = shared.clock.now() + length;
    wait(shared, WARM, end, length, progress).await;
    let whole = FAULT_LENGTH + REST;
    while settings.fault != Fault::None && shared.clock.now() + whole <= end {
        let round = verdict.faults as usize;
        let group = round % GROUPS;
        let from = shared.clock.now();
        bench.inject(settings.fault, group, round).await?;
        refresh(bench, shared).await;
        verdict.faults += 1;
        wait(shared, FAULT_LENGTH, end, length, progress).await;
        bench.heal().await?;
        refresh(bench, shared).await;
        wait(shared, REST, end, length, progress).await;
        if settings.fault.causes_failover() {
            let pause = shared.timeline(group).longest_pause(from, shared.clock.now());
            verdict.failover_gaps_ms.push(pause.as_secs_f64() * 1_000.0);
            let _always_fits = pauses.record(pause.as_micros() as u64);
        }
    }
    wait(shared, length, end, length, progress).await;
    Ok(pauses)
}

// at most until the end of the traffic
async fn wait(
    shared: &Shared,
    pause: Duration,
    end: Instant,
    length: Duration,
    progress: Progress<'_>,
) {
    let until = (shared.clock.now() + pause).min(end);
    while shared.clock.now() < until {
        let left = until.since(shared.clock.now());
        tokio::time::sleep(left.min(TICK)).await;
        let done = 1.0 - end.since(shared.clock.now()).as_secs_f64() / length.as_secs_f64();
        progress(Phase::Traffic, done);
    }
}

async fn reads(bench: &impl Bench) -> (u64, u64) {
    let mut sum = (0, 0);
    for group in 0..GROUPS {
        for counts in bench.snapshot(group).await.counts {
            sum = (sum.0 + counts.reads_replica, sum.1 + counts.reads_primary);
        }
    }
    sum
}

fn share(before: (u64, u64), after: (u64, u64)) -> f64 {
    let (replica, primary) = (after.0 - before.0, after.1 - before.1);
    let all = replica + primary;
    if all == 0 { 0.0 } else { replica as f64 / all as f64 }
}

async fn check<B: Bench>(
    bench: &mut B,
    journals: &[Journal],
    verdict: &mut Verdict,
) -> Result<(), Report<Failure>> {
    bench.heal().await?;
    let mut latencies = BTreeMap::new();
    for group in 0..GROUPS {
        let snapshot = oracle::wait_convergence(bench, group).await?;
        let rows = oracle::read(&snapshot).await?;
        verdict.terms.extend(snapshot.statuses.iter().map(|status| status.term.0).max());
        let own = journals.iter().filter(|journal| journal.group == group);
        oracle::check(&rows, own, verdict);
        let beyond = snapshot.counts.iter().map(|counts| counts.refused + counts.queued);
        verdict.limit_exceeded += beyond.sum::<u64>();
    }
    for (kind, histogram) in journals.iter().flat_map(|journal| &journal.latencies) {
        let fresh = || Histogram::new(LATENCY_DIGITS).expect("the digits are in range");
        let whole: &mut Histogram<u64> = latencies.entry(kind.clone()).or_insert_with(fresh);
        // histograms of the same digits that resize always add up
        let _always_fits = whole.add(histogram);
    }
    verdict.latency_ms =
        latencies.iter().map(|(kind, whole)| (kind.clone(), Percentiles::of(whole))).collect();
    Ok(())
}

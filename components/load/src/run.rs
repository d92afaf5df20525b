//! The phases of a run: table creation, traffic with faults, overload and the
//! consistency check.

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
const WARMUP: Duration = Duration::from_secs(2);
const FAULT_LENGTH: Duration = Duration::from_secs(4);
const RECOVERY_LENGTH: Duration = Duration::from_secs(3);
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
// fraction of the run's length that the overload phase takes
const OVERLOAD_SHARE: f64 = 0.15;

/// Restriction of the proxy's features, for a comparison with the unrestricted proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Baseline {
    /// No restriction.
    None,
    /// Reads are not tagged with their kind, so that primaries serve all of them.
    PrimaryOnly,
}

/// Settings of a run.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Workload that callers run.
    pub scenario: Scenario,
    /// Fault that is injected repeatedly.
    pub fault: Fault,
    /// Restriction of the proxy.
    pub baseline: Baseline,
    /// Duration of the traffic phase and the overload phase together.
    pub length: Duration,
    /// Number of sessions.
    pub callers: usize,
    /// Mean time between an answer and the session's next request.
    pub think: Duration,
    /// Seed of the callers.
    pub seed: u64,
}

/// The phase that a run is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Tables are created.
    Schema,
    /// Callers send requests, and faults are injected.
    Traffic,
    /// More callers send requests than a group can serve.
    Overload,
    /// The groups converge, and their rows are checked.
    Check,
}

/// Callback that reports a run's phase and the fraction of the phase that is done.
pub type Progress<'a> = &'a (dyn Fn(Phase, f64) + Sync);

/// Runs a workload against a system and checks the result. All faults are removed
/// at the end, and the system keeps running.
///
/// # Errors
/// [`Failure`] when the run cannot be completed. A violated guarantee is not an
/// error; the verdict reports violations.
pub async fn run<B: Bench>(
    bench: &mut B,
    settings: &Settings,
    progress: Progress<'_>,
) -> Result<Verdict, Report<Failure>> {
    let tags_reads = settings.baseline != Baseline::PrimaryOnly;
    let shared = Arc::new(Shared::new(settings.scenario, tags_reads, GROUPS));
    refresh_addresses(bench, &shared).await;
    progress(Phase::Schema, 0.0);
    prepare(&shared, settings.callers).await?;
    let mut verdict = Verdict {
        scenario: settings.scenario.to_string(),
        fault: settings.fault.to_string(),
        baseline: settings.baseline.to_string(),
        seed: settings.seed,
        ..Verdict::default()
    };
    let before = count_reads(bench).await;
    let started = shared.clock.now();
    let mut callers = spawn(&shared, settings);
    let traffic_length = settings.length.mul_f64(1.0 - OVERLOAD_SHARE);
    let pauses =
        run_traffic(bench, &shared, settings, traffic_length, progress, &mut verdict).await?;
    verdict.seconds = shared.clock.now().since(started).as_secs_f64();
    let answered = shared.answered.load(Ordering::Relaxed);
    verdict.statements_per_s = answered as f64 / verdict.seconds;
    verdict.replica_read_share = replica_share(before, count_reads(bench).await);
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

async fn refresh_addresses(bench: &impl Bench, shared: &Shared) {
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

/// Creates the tables in all groups, with retries until each group answers or 30
/// seconds have passed.
async fn prepare(shared: &Arc<Shared>, callers: usize) -> Result<(), Report<Failure>> {
    let groups = (0..GROUPS).map(|group| prepare_group(shared, group, callers));
    let created = futures::future::try_join_all(groups);
    tokio::time::timeout(SCHEMA_TIMEOUT, created).await.change_context(Failure::Schema)??;
    Ok(())
}

async fn prepare_group(
    shared: &Shared,
    group: usize,
    callers: usize,
) -> Result<(), Report<Failure>> {
    let name = shared.scenario.group(group);
    let service = shared.scenario.services()[0];
    let mut statements = caller::schema(callers);
    statements.reverse();
    let mut entry = 0;
    while !statements.is_empty() {
        let address = shared.address(group, entry);
        entry += 1;
        if let Some(connection) = client::connect(address, service, &name, None).await {
            while let Some(statement) = statements.last()
                && matches!(connection.query(statement).await, Answer::Done(_))
            {
                statements.pop();
            }
        }
        if !statements.is_empty() {
            tokio::time::sleep(SCHEMA_RETRY).await;
        }
    }
    Ok(())
}

/// Runs the traffic phase for `length` and injects the fault repeatedly. Returns a
/// histogram, in microseconds, of the longest pause of acknowledged writes after each
/// fault that causes a failover.
async fn run_traffic<B: Bench>(
    bench: &mut B,
    shared: &Shared,
    settings: &Settings,
    length: Duration,
    progress: Progress<'_>,
    verdict: &mut Verdict,
) -> Result<Histogram<u64>, Report<Failure>> {
    let mut pauses =
        Histogram::new(LATENCY_DIGITS).expect("the number of significant digits is valid");
    let end = shared.clock.now() + length;
    wait(shared, WARMUP, end, length, progress).await;
    let cycle = FAULT_LENGTH + RECOVERY_LENGTH;
    while settings.fault != Fault::None && shared.clock.now() + cycle <= end {
        let round = verdict.faults as usize;
        let group = round % GROUPS;
        let from = shared.clock.now();
        bench.inject(settings.fault, group, round).await?;
        refresh_addresses(bench, shared).await;
        verdict.faults += 1;
        wait(shared, FAULT_LENGTH, end, length, progress).await;
        bench.heal().await?;
        refresh_addresses(bench, shared).await;
        wait(shared, RECOVERY_LENGTH, end, length, progress).await;
        if settings.fault.causes_failover() {
            let pause = shared.timeline(group).longest_pause(from, shared.clock.now());
            verdict.failover_gaps_ms.push(pause.as_secs_f64() * 1_000.0);
            let _always_fits = pauses.record(pause.as_micros() as u64);
        }
    }
    wait(shared, length, end, length, progress).await;
    Ok(pauses)
}

// Waits for `pause`, but not beyond the end of the traffic phase.
async fn wait(
    shared: &Shared,
    pause: Duration,
    end: Instant,
    length: Duration,
    progress: Progress<'_>,
) {
    let until = (shared.clock.now() + pause).min(end);
    while shared.clock.now() < until {
        let remaining = until.since(shared.clock.now());
        tokio::time::sleep(remaining.min(PROGRESS_INTERVAL)).await;
        let done = 1.0 - end.since(shared.clock.now()).as_secs_f64() / length.as_secs_f64();
        progress(Phase::Traffic, done);
    }
}

async fn count_reads(bench: &impl Bench) -> (u64, u64) {
    let mut sum = (0, 0);
    for group in 0..GROUPS {
        for counts in bench.snapshot(group).await.counts {
            sum = (sum.0 + counts.reads_replica, sum.1 + counts.reads_primary);
        }
    }
    sum
}

fn replica_share(before: (u64, u64), after: (u64, u64)) -> f64 {
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
        let of_group = journals.iter().filter(|journal| journal.group == group);
        oracle::check(&rows, of_group, verdict);
        let exceeded = snapshot.counts.iter().map(|counts| counts.refused + counts.queued);
        verdict.limit_exceeded += exceeded.sum::<u64>();
    }
    for (kind, histogram) in journals.iter().flat_map(|journal| &journal.latencies) {
        let new_histogram =
            || Histogram::new(LATENCY_DIGITS).expect("the number of significant digits is valid");
        let total: &mut Histogram<u64> =
            latencies.entry(kind.clone()).or_insert_with(new_histogram);
        // histograms with the same number of digits that resize themselves can
        // always be added
        let _always_fits = total.add(histogram);
    }
    verdict.latency_ms =
        latencies.iter().map(|(kind, total)| (kind.clone(), Percentiles::of(total))).collect();
    Ok(())
}

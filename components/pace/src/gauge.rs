//! Run times of the statements of one server, and failures of its reads.

use base::prelude::*;

use crate::recent::Recent;

/// Weights of a new median in the moving average: above the average, and below it. The
/// second is higher, so that a server that answers as usual again is soon used again.
const WEIGHT: (f64, f64) = (0.25, 0.5);

/// Upper limit of the moving average, as a multiple of the last median.
const MAX_EXCESS: f64 = 1.5;

/// Time in which the weight of counted answers halves.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Failures, weighted by age, below which a server is never put on probation.
pub const MIN_FAILURES: f64 = 2.5;

/// Excess of a server's failure rate over that of its best peer that is tolerated in
/// addition to twice the standard error of the difference.
const TOLERANCE: f64 = 0.05;

/// Time between two probes of a server on probation, after a success and at most.
const PROBE_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(400));

/// Shortest and longest time after which a server that is avoided as slow gets a probe.
const SLOW_PROBE_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(500));

/// Multiple of the last run time after which a slow server gets a probe, so that probes
/// keep it busy for a quarter of the time.
const PROBE_SPACING: u32 = 3;

/// Successful probes in a row that end a first probation. The number doubles with each
/// further probation, up to [`MAX_GOOD_PROBES`].
const GOOD_PROBES: u32 = 6;

/// Upper limit of the number of successful probes that end a probation.
const MAX_GOOD_PROBES: u32 = 24;

/// Time without probation after which earlier ones no longer count.
const PROBATION_MEMORY: Duration = Duration::from_secs(10);

/// Observed run times of the statements of one server, and failures of its reads.
#[derive(Clone, Debug)]
pub struct Gauge {
    recent: Recent,
    /// Moving average of the medians of `recent`.
    slowness: f64,
    last_run: Duration,
    /// Answers to reads including failures, weighted by age as of `counted_at`.
    answers: f64,
    /// Failures of reads, weighted likewise.
    failures: f64,
    counted_at: Instant,
    last_sent: Instant,
    probation: Option<Probation>,
    /// Number of recent probations.
    repeats: u32,
    /// When the last probation ended.
    ended_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Probation {
    /// Time between two probes.
    interval: Duration,
    /// Number of successful probes in a row.
    good: u32,
}

impl Default for Gauge {
    fn default() -> Self {
        Self {
            recent: Recent::default(),
            slowness: 1.0,
            last_run: Duration::ZERO,
            answers: 0.0,
            failures: 0.0,
            counted_at: Instant::ZERO,
            last_sent: Instant::ZERO,
            probation: None,
            repeats: 0,
            ended_at: Instant::ZERO,
        }
    }
}

impl Gauge {
    /// Records that a statement was sent.
    pub fn on_sent(&mut self, now: Instant) {
        self.last_sent = now;
    }

    /// Records an answered read: its run time, and that time as a multiple of the usual
    /// one. Returns whether the answer ends a probation.
    pub fn on_answered(&mut self, now: Instant, run: Duration, slowness: f64) -> bool {
        self.count(now, 0.0);
        self.observe(run, slowness);
        let Some(probation) = &mut self.probation else {
            return false;
        };
        probation.good += 1;
        probation.interval = PROBE_INTERVAL.0;
        let needed = (GOOD_PROBES << (self.repeats.max(1) - 1).min(8)).min(MAX_GOOD_PROBES);
        if probation.good < needed {
            return false;
        }
        self.probation = None;
        self.ended_at = now;
        (self.answers, self.failures) = (0.0, 0.0);
        true
    }

    /// Records the run time of a statement whose failure would say nothing about the
    /// server, such as a write.
    pub fn observe(&mut self, run: Duration, slowness: f64) {
        self.recent.push(slowness);
        self.last_run = run;
        let median = self.recent.median().unwrap_or(slowness);
        let weight = if median > self.slowness { WEIGHT.0 } else { WEIGHT.1 };
        self.slowness += (median - self.slowness) * weight;
        self.slowness = self.slowness.min(median.max(1.0) * MAX_EXCESS);
    }

    /// Records a read that failed, by an error or without an answer.
    pub fn on_failed(&mut self, now: Instant) {
        self.count(now, 1.0);
        if let Some(probation) = &mut self.probation {
            probation.good = 0;
            probation.interval = (probation.interval * 2).min(PROBE_INTERVAL.1);
        }
    }

    /// Puts the server on probation.
    pub fn eject(&mut self, now: Instant) {
        let known = self.repeats > 0 && now.since(self.ended_at) < PROBATION_MEMORY;
        self.repeats = if known { self.repeats + 1 } else { 1 };
        self.probation = Some(Probation { interval: PROBE_INTERVAL.0, good: 0 });
    }

    /// Whether the server is on probation.
    pub fn is_on_probation(&self) -> bool {
        self.probation.is_some()
    }

    /// Forgets what was observed of an earlier incarnation of the server.
    pub fn reset(&mut self) {
        *self = Self { last_sent: self.last_sent, ..Self::default() };
    }

    /// Moving average of the run times, as a multiple of the usual ones.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Time since a statement was last sent.
    pub fn unused(&self, now: Instant) -> Duration {
        now.since(self.last_sent)
    }

    /// Whether a server without open statements is due for a single read: on probation,
    /// or avoided because it was slow.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        let slow = self.last_run * PROBE_SPACING;
        let slow = slow.clamp(SLOW_PROBE_INTERVAL.0, SLOW_PROBE_INTERVAL.1);
        let interval = self.probation.map_or(slow, |probation| probation.interval);
        now.since(self.last_sent) >= interval
    }

    /// Whether the server fails significantly more of its reads than a peer. The rates
    /// are compared with each other only, since callers may cause errors themselves.
    pub fn fails_more_than(&self, now: Instant, peer: &Self) -> bool {
        let (answers, failures) = self.counts(now);
        let (peer_answers, peer_failures) = peer.counts(now);
        if failures < MIN_FAILURES || peer_answers < 1.0 {
            return false;
        }
        let pooled = (failures + peer_failures) / (answers + peer_answers);
        let variance = pooled * (1.0 - pooled) * (1.0 / answers + 1.0 / peer_answers);
        let excess = failures / answers - peer_failures / peer_answers;
        excess > TOLERANCE + 2.0 * variance.max(0.0).sqrt()
    }

    fn count(&mut self, now: Instant, failed: f64) {
        (self.answers, self.failures) = self.counts(now);
        self.counted_at = now;
        self.answers += 1.0;
        self.failures += failed;
    }

    /// Numbers of answers and of failures, weighted by their age.
    fn counts(&self, now: Instant) -> (f64, f64) {
        let age = now.since(self.counted_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let weight = (-age).exp2();
        (self.answers * weight, self.failures * weight)
    }
}

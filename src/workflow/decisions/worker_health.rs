//! Detects workers that fail the runs they start, or are much slower than others.
//!
//! Load pattern: a few workers fail or stall every run for seconds. They look idle, so that best
//! fit would keep sending them work. A worker that fails twice in a row is avoided for a time that
//! doubles with each further failure, and then receives a single run as a probe.

use std::time::{Duration, Instant};

use super::progress::STALLED_WORKER_AVOIDANCE;

/// Consecutive failures after which a worker is avoided; a healthy worker fails one run in 200.
const FAILURES_TO_AVOID: u32 = 2;
/// Time for which a worker is avoided at first.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(1_500);
/// Longest time for which a worker is avoided.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(6);
/// Time after the avoidance during which the next run is a probe. Later the worker counts as
/// healthy again, since there may be no run to probe it with.
const PROBE_PERIOD: Duration = Duration::from_secs(2);
/// Weight of the newest run in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// Difference of slowness below which workers count as equally fast.
const SLOWNESS_STEP: f64 = 0.5;

/// Health of a worker, derived from the results and the progress of its runs.
#[derive(Clone, Debug)]
pub struct WorkerHealth {
    consecutive_failures: u32,
    avoided_until: Option<Instant>,
    /// End of the avoidance because of stalled runs. The worker needs no probe then, since the
    /// progress of its runs shows when they continue.
    stalled_until: Option<Instant>,
    /// Moving average of the run time relative to the expected one; 1 for a healthy worker.
    slowness: f64,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self {
            consecutive_failures: 0,
            avoided_until: None,
            stalled_until: None,
            slowness: 1.0,
        }
    }
}

/// Restriction of new runs on a worker, from none to all of them.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Restriction {
    /// No restriction.
    #[default]
    None,
    /// The worker receives a single run as a probe.
    Probe,
    /// The worker is avoided.
    Avoided,
}

impl WorkerHealth {
    /// Records a successful run. A zero `expected` run time leaves the slowness as it is.
    pub fn record_success(&mut self, run_time: Duration, expected: Duration) {
        self.consecutive_failures = 0;
        self.avoided_until = None;
        if expected.is_zero() {
            return;
        }
        let ratio = run_time.as_secs_f64() / expected.as_secs_f64();
        self.slowness += (ratio.min(10.0) - self.slowness) * SLOWNESS_WEIGHT;
    }

    /// Records a failed run, a refused order or an order without an answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_TO_AVOID {
            return;
        }
        let doublings = (self.consecutive_failures - FAILURES_TO_AVOID).min(4);
        let avoidance = (FIRST_AVOIDANCE * 2_u32.pow(doublings)).min(LONGEST_AVOIDANCE);
        self.avoided_until = Some(now + avoidance);
    }

    /// Records that runs of the worker are stalled; returns whether the stall is new.
    pub fn record_stall(&mut self, now: Instant) -> bool {
        let is_new = self.stalled_until.is_none_or(|until| until < now);
        self.stalled_until = Some(now + STALLED_WORKER_AVOIDANCE);
        is_new
    }

    /// Whether new runs should be placed on other workers.
    pub fn is_avoided(&self, now: Instant) -> bool {
        let until = self.avoided_until.max(self.stalled_until);
        until.is_some_and(|until| now < until)
    }

    /// Restriction of new runs.
    pub fn restriction(&self, now: Instant) -> Restriction {
        match (self.is_avoided(now), self.needs_probe(now)) {
            (true, _) => Restriction::Avoided,
            (false, true) => Restriction::Probe,
            (false, false) => Restriction::None,
        }
    }

    /// Whether the next run is a probe after failures.
    pub fn needs_probe(&self, now: Instant) -> bool {
        self.avoided_until
            .is_some_and(|until| now < until + PROBE_PERIOD)
    }

    /// Expected run time relative to a healthy worker, at least 1, rounded to steps that hide small
    /// differences.
    pub fn slowness(&self) -> f64 {
        (self.slowness / SLOWNESS_STEP).round().max(2.0) * SLOWNESS_STEP
    }
}

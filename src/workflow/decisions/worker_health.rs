//! Workers that fail what they start, or are much slower than others.
//!
//! Load pattern: a few workers fail or stall every run for seconds. They look idle, so that best
//! fit would send them ever more work. A worker that fails twice in a row is left out for a time
//! that doubles with each further failure, then gets a single run as a probe.

use std::time::{Duration, Instant};

use super::progress::STILL_WORKER_AVOIDANCE;

/// Failures in a row after which a worker is left out; a sound worker fails one run in 200.
const FAILURES_TO_AVOID: u32 = 2;
/// First time for which a worker is left out.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(1_500);
/// Longest time for which a worker is left out.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(6);
/// Time after being left out in which the next run is a probe. Later the worker counts as sound
/// again, since nothing may be there to probe it with.
const PROBE_PERIOD: Duration = Duration::from_secs(2);
/// Weight of the newest run in the learned slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// Difference of slowness below which workers count as equally fast.
const SLOWNESS_STEP: f64 = 0.5;

/// What the ends of its runs say about a worker.
#[derive(Clone, Debug)]
pub struct WorkerHealth {
    failures_in_a_row: u32,
    avoided_until: Option<Instant>,
    /// Its runs stand still; it needs no probe, since their progress shows when it goes on.
    still_until: Option<Instant>,
    slowness: f64,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self {
            failures_in_a_row: 0,
            avoided_until: None,
            still_until: None,
            slowness: 1.0,
        }
    }
}

impl WorkerHealth {
    /// Takes a success that took `run_time` where `expected` is usual.
    pub fn record_success(&mut self, run_time: Duration, expected: Duration) {
        self.failures_in_a_row = 0;
        self.avoided_until = None;
        if expected.is_zero() {
            return;
        }
        let ratio = run_time.as_secs_f64() / expected.as_secs_f64();
        self.slowness += (ratio.min(10.0) - self.slowness) * SLOWNESS_WEIGHT;
    }

    /// Takes a failed run, a refused order or an order without an answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures_in_a_row += 1;
        if self.failures_in_a_row < FAILURES_TO_AVOID {
            return;
        }
        let doublings = (self.failures_in_a_row - FAILURES_TO_AVOID).min(4);
        let pause = (FIRST_AVOIDANCE * 2_u32.pow(doublings)).min(LONGEST_AVOIDANCE);
        self.avoided_until = Some(now + pause);
    }

    /// Takes note that its runs stand still; returns whether that is new.
    pub fn record_stall(&mut self, now: Instant) -> bool {
        let is_new = self.still_until.is_none_or(|until| until < now);
        self.still_until = Some(now + STILL_WORKER_AVOIDANCE);
        is_new
    }

    /// Whether new runs should go elsewhere.
    pub fn is_avoided(&self, now: Instant) -> bool {
        let until = self.avoided_until.max(self.still_until);
        until.is_some_and(|until| now < until)
    }

    /// Whether the next run is a probe after failures.
    pub fn needs_probe(&self, now: Instant) -> bool {
        self.avoided_until
            .is_some_and(|until| now < until + PROBE_PERIOD)
    }

    /// Expected run time relative to other workers, in steps that hide small differences.
    pub fn slowness(&self) -> f64 {
        (self.slowness / SLOWNESS_STEP).round().max(2.0) * SLOWNESS_STEP
    }
}

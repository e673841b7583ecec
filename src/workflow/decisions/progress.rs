//! Runs that stand still.
//!
//! Load pattern: all tasks on a few workers stand still for some seconds, while the workers answer
//! and look free. Short tasks placed there ended after three times their objective, and each gang
//! with a member there was late. A run without progress for a second shows such a worker: it gets
//! nothing new while that lasts, and short work is started again elsewhere.

use std::time::{Duration, Instant};

/// Time without progress after which a run stands still: one report of its worker without a change.
const STILL_AFTER: Duration = Duration::from_millis(1_000);
/// Part of its declared run time that a run may take for its next percent, as a divisor: reports
/// show whole percents, and estimates are wrong by a factor of two.
const STILL_DIVISOR: u32 = 20;
/// Time for which a worker with a run that stands still gets nothing new: until its next report.
pub const STILL_WORKER_AVOIDANCE: Duration = Duration::from_millis(1_500);
/// Longest declared run time of runs that are started again elsewhere: they take as long as the
/// detection, the stop and the new start, so that waiting for the worker is no better.
pub const RESTARTED_RUN_TIME: Duration = Duration::from_millis(3_000);

/// Progress of a run as its worker reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    percent: u8,
    advanced_at: Instant,
}

impl Progress {
    /// The first report.
    pub fn new(percent: u8, now: Instant) -> Self {
        Self {
            percent,
            advanced_at: now,
        }
    }

    /// Takes a report.
    pub fn note(&mut self, percent: u8, now: Instant) {
        if percent != self.percent {
            *self = Self::new(percent, now);
        }
    }

    /// Whether the run made no progress for longer than its declared run time explains.
    pub fn stands_still(&self, run_time: Duration, now: Instant) -> bool {
        let allowed = (run_time / STILL_DIVISOR).max(STILL_AFTER);
        self.percent < 100 && now >= self.advanced_at + allowed
    }
}

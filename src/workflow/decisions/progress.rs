//! Detects stalled runs.
//!
//! Load pattern: all tasks on a few workers stall for some seconds, while the workers answer and
//! look free. Short tasks placed there ended after three times their objective, and each gang with
//! a member there was late. A run without progress for a second identifies such a worker: no new
//! runs are placed on it while the stall lasts, and short runs are restarted elsewhere.

use std::time::{Duration, Instant};

/// Shortest time without progress after which a run counts as stalled: one report of its worker
/// without a change.
const STALLED_AFTER: Duration = Duration::from_millis(1_000);
/// Divisor of the declared run time that yields the time allowed for the next percent of progress:
/// reports show whole percents, and estimates are wrong by a factor of two.
const STALL_DIVISOR: u32 = 20;
/// Time for which no new runs are placed on a worker with a stalled run: until its next report.
pub const STALLED_WORKER_AVOIDANCE: Duration = Duration::from_millis(1_500);
/// Longest declared run time of stalled runs that are restarted elsewhere: such runs take about as
/// long as the detection, the stop and the new start, so that waiting for the worker is no better.
pub const RESTARTED_RUN_TIME: Duration = Duration::from_millis(3_000);

/// Progress of a run as its worker reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    percent: u8,
    advanced_at: Instant,
}

impl Progress {
    /// Progress at the first report of a run.
    pub fn new(percent: u8, now: Instant) -> Self {
        Self {
            percent,
            advanced_at: now,
        }
    }

    /// Records a report; only a changed percentage counts as progress.
    pub fn note(&mut self, percent: u8, now: Instant) {
        if percent != self.percent {
            *self = Self::new(percent, now);
        }
    }

    /// Latest reported progress, in percent.
    pub fn percent(&self) -> u8 {
        self.percent
    }

    /// Time of the report that first showed this progress.
    pub fn advanced_at(&self) -> Instant {
        self.advanced_at
    }

    /// Whether the run made no progress for longer than its declared run time explains.
    pub fn is_stalled(&self, run_time: Duration, now: Instant) -> bool {
        let allowed = (run_time / STALL_DIVISOR).max(STALLED_AFTER);
        self.percent < 100 && now >= self.advanced_at + allowed
    }
}

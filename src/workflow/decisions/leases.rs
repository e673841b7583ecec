//! When a worker's lease has certainly lapsed.
//!
//! Load pattern: workers that are cut off go on with their runs. A run may be started elsewhere
//! only after the lease of the former one has lapsed on the worker's own clock.

use std::time::{Duration, Instant};

/// Part by which the clock of a worker may be slow, in percent; the workers' contract states it.
const CLOCK_DRIFT_PERCENT: u32 = 2;
/// Allowance for a grant that is on its way and for the end of the runs.
const LAPSE_MARGIN: Duration = Duration::from_millis(150);

/// A reading of a worker's steady clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockReading {
    /// What the worker reported.
    pub clock_ms: u64,
    /// When the report arrived here; the clock showed at least `clock_ms` then.
    pub received_at: Instant,
}

impl ClockReading {
    /// What the worker's clock shows at least.
    pub fn at_least_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.received_at);
        let slow = elapsed * (100 - CLOCK_DRIFT_PERCENT) / 100;
        self.clock_ms + u64::try_from(slow.as_millis()).unwrap_or(u64::MAX / 2)
    }

    /// Time at which a lease that ends at `until_ms` of the worker's clock has lapsed.
    pub fn lapsed_at(&self, until_ms: u64) -> Instant {
        let remaining = Duration::from_millis(until_ms.saturating_sub(self.clock_ms));
        self.received_at + stretched(remaining)
    }
}

/// Time at which the lease of a worker has lapsed whose clock is not known, when no grant was
/// sent after `since`.
pub fn lapsed_without_reading(since: Instant, max_lease: Duration) -> Instant {
    since + stretched(max_lease)
}

fn stretched(duration: Duration) -> Duration {
    duration * 100 / (100 - CLOCK_DRIFT_PERCENT) + LAPSE_MARGIN
}

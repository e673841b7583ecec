//! Computes when the lease of a worker has certainly expired.
//!
//! Load pattern: workers that are cut off continue their runs. A task may be started elsewhere only
//! after the lease of its former run has expired on the clock of the worker that holds it.

use std::time::{Duration, Instant};

/// Rate by which the clock of a worker may be slow, in percent, as the contract with the workers
/// states it.
const CLOCK_DRIFT_PERCENT: u32 = 2;
/// Allowance for a grant in flight and for the worker to end its runs.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// Longest time between a reading of the clock and its arrival, in milliseconds: a relay waits 1.6 s
/// for an answer, and its report takes up to 0.45 s. Readings within it do not tell incarnations
/// apart.
const MAX_ANSWER_AGE_MS: u64 = 2_500;

/// A reading of a worker's monotonic clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockReading {
    /// Reading that the worker reported, in milliseconds.
    pub clock_ms: u64,
    /// Local time at which the report arrived; the worker's clock showed at least `clock_ms` then.
    pub received_at: Instant,
}

impl ClockReading {
    /// Whether the reading was certainly taken after a local time.
    pub fn taken_after(&self, at: Instant) -> bool {
        self.received_at > at + Duration::from_millis(MAX_ANSWER_AGE_MS)
    }

    /// Whether [`Self::agrees_with`] tells the incarnation from later ones, whose clocks start at zero:
    /// both readings may be old, and the clocks drift.
    pub fn tells_incarnations_apart(&self) -> bool {
        self.clock_ms > 3 * MAX_ANSWER_AGE_MS
    }

    /// Lower bound of the worker's clock at `now`, in milliseconds.
    pub fn at_least_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.received_at);
        let slowest = elapsed * (100 - CLOCK_DRIFT_PERCENT) / 100;
        let slowest_ms = u64::try_from(slowest.as_millis()).unwrap_or(u64::MAX);
        self.clock_ms.saturating_add(slowest_ms)
    }

    /// Whether a reading that arrives at `now` can be one of the same clock.
    pub fn agrees_with(&self, clock_ms: u64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.received_at);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let latest_ms = self.clock_ms.saturating_add(elapsed_ms);
        let is_behind = clock_ms.saturating_add(MAX_ANSWER_AGE_MS) < self.at_least_ms(now);
        !is_behind && clock_ms <= latest_ms.saturating_add(MAX_ANSWER_AGE_MS)
    }

    /// Whether a reading that arrives at `now` is certainly of the same clock, and not of that of a
    /// later incarnation.
    pub fn is_same_clock(&self, clock_ms: u64, now: Instant) -> bool {
        self.tells_incarnations_apart() && self.agrees_with(clock_ms, now)
    }

    /// Local time at which a lease that ends at `until_ms` of the worker's clock has expired.
    pub fn expires_at(&self, until_ms: u64) -> Instant {
        let remaining = Duration::from_millis(until_ms.saturating_sub(self.clock_ms));
        self.received_at + with_drift_and_margin(remaining)
    }
}

/// Time at which the lease of a worker with an unknown clock has expired, provided that no grant
/// was sent after `since`.
pub fn expires_without_reading(since: Instant, max_lease: Duration) -> Instant {
    since + with_drift_and_margin(max_lease)
}

fn with_drift_and_margin(duration: Duration) -> Duration {
    duration * 100 / (100 - CLOCK_DRIFT_PERCENT) + EXPIRY_MARGIN
}

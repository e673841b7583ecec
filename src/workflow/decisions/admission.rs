//! Whether a new job is accepted.
//!
//! Load pattern: a flood beyond the capacity of the cell for longer than jobs may wait. A job that
//! would end too late to count is refused at once, with the time after which the backlog before it
//! will have been worked off.

use std::time::Duration;

/// Shortest time to come back: below it, the answer would only repeat.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time to come back; the forecast is worthless beyond it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// What decides about a new job.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// Processor time that accepted jobs of the same or a higher rank still need, in milliseconds
    /// of one core.
    pub cpu_work_ms: u64,
    /// Processors of the workers that accept runs, in thousandths of a core.
    pub capacity_millis: u64,
}

/// The decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// The job is refused and did not run.
    Refuse {
        /// When the same job would be accepted.
        retry_after: Duration,
    },
}

/// Decides about a job that may wait for `allowed_wait` before it is too late to count.
pub fn decide(backlog: &Backlog, allowed_wait: Duration) -> Admission {
    if backlog.capacity_millis == 0 {
        return Admission::Accept;
    }
    let wait_ms = backlog.cpu_work_ms.saturating_mul(1_000) / backlog.capacity_millis;
    let wait = Duration::from_millis(wait_ms);
    if wait <= allowed_wait {
        return Admission::Accept;
    }
    let retry_after = (wait - allowed_wait).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Admission::Refuse { retry_after }
}

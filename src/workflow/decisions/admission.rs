//! Decides whether a new job is accepted.
//!
//! Load pattern: new jobs exceed the capacity of the cell for longer than jobs may wait. A job that
//! would end too late to count is refused at once, with the time after which the backlog ahead of
//! it will be short enough.

use std::time::Duration;

/// Shortest retry time in a refusal: an earlier retry would be refused again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest retry time in a refusal: the forecast of the backlog is not useful beyond it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Accepted work ahead of a new job, and the capacity that serves it.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// Processor time that accepted jobs of the same or a higher rank still need, in milliseconds
    /// of one core.
    pub cpu_work_ms: u64,
    /// Processors of the workers that accept runs, in thousandths of a core.
    pub capacity_millis: u64,
}

impl Backlog {
    /// Returns the time that the capacity needs for the work; `None` while no capacity is known.
    pub fn wait(&self) -> Option<Duration> {
        let work = self.cpu_work_ms.saturating_mul(1_000);
        work.checked_div(self.capacity_millis)
            .map(Duration::from_millis)
    }
}

/// Outcome of [`decide`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// The job is refused and did not run.
    Refuse {
        /// Time after which the same job is expected to be accepted.
        retry_after: Duration,
    },
}

/// Accepts or refuses a job that may wait for `allowed_wait` before its end is too late to count.
///
/// Accepts every job while no capacity is known.
pub fn decide(backlog: &Backlog, allowed_wait: Duration) -> Admission {
    match backlog.wait() {
        Some(wait) => decide_by_wait(wait, allowed_wait),
        None => Admission::Accept,
    }
}

/// Accepts or refuses a job with a forecast of its wait.
pub fn decide_by_wait(wait: Duration, allowed_wait: Duration) -> Admission {
    if wait <= allowed_wait {
        return Admission::Accept;
    }
    let retry_after = (wait - allowed_wait).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Admission::Refuse { retry_after }
}

//! Decides whether a new job is accepted.
//!
//! Load pattern: new jobs exceed the capacity of the cell for longer than jobs may wait. A job that
//! would end after its objective is refused at once, with the time after which the backlog ahead of
//! it will be short enough. Jobs that can only be late are not accepted in addition: newer ones that
//! can be in time overtake them, and most of them would become too late to count.

use std::time::{Duration, Instant};

/// Shortest retry time in a refusal: an earlier retry would be refused again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest retry time in a refusal: the forecast of the backlog is not useful beyond it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Shortest time between two decreases of the admitted wait: jobs that become too late in one storm
/// show the same wrong forecast.
const DECREASE_INTERVAL: Duration = Duration::from_millis(250);
/// Factor of a decrease of the admitted wait.
const DECREASE_FACTOR: f64 = 0.8;
/// Smallest share of the admitted wait: some jobs are accepted as long as almost none wait.
const MIN_ADMITTED_SHARE: f64 = 0.05;
/// Time in which the admitted wait doubles again while no accepted job becomes too late.
const DOUBLING_TIME: Duration = Duration::from_secs(4);

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

/// Share of the time that jobs may wait for which new ones are accepted. The forecast of the backlog is
/// wrong where declared run times are, and where the policy permits few workers; accepted jobs that
/// become too late show that it is too short.
#[derive(Clone, Copy, Debug)]
pub struct AdmittedWait {
    /// Share at `decreased_at`, at most 1.
    share: f64,
    /// Time of the last decrease; `None` before the first.
    decreased_at: Option<Instant>,
}

impl Default for AdmittedWait {
    fn default() -> Self {
        Self {
            share: 1.0,
            decreased_at: None,
        }
    }
}

impl AdmittedWait {
    /// Records that an accepted job became too late to count.
    pub fn record_too_late(&mut self, now: Instant) {
        let decreased_at = self.decreased_at;
        if decreased_at.is_some_and(|at| now < at + DECREASE_INTERVAL) {
            return;
        }
        self.share = (self.share(now) * DECREASE_FACTOR).max(MIN_ADMITTED_SHARE);
        self.decreased_at = Some(now);
    }

    /// Returns the share, above 0 and up to 1.
    pub fn share(&self, now: Instant) -> f64 {
        let Some(at) = self.decreased_at else {
            return self.share;
        };
        let elapsed = now.saturating_duration_since(at);
        let doublings = elapsed.as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        (self.share * doublings.exp2()).min(1.0)
    }
}

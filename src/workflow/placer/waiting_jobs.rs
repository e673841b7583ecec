//! Numbers of waiting jobs by queue, as queries return them.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::super::queues::QueueAddress;

/// Time for which counted numbers are returned again: a count looks at all runs and jobs, and each
/// host may be asked for each queue several times a second.
const COUNT_VALIDITY: Duration = Duration::from_millis(500);

/// Numbers of accepted jobs that have not begun, by queue; queues without such jobs may be missing.
pub(super) type WaitingJobs = IndexMap<QueueAddress, u64>;

/// The latest count and the time until which it is returned.
#[derive(Default)]
pub(super) struct JobCounts(Mutex<Option<(Instant, WaitingJobs)>>);

impl JobCounts {
    /// Returns the number of waiting jobs of a queue, at most [`COUNT_VALIDITY`] old. Counts all
    /// queues together if the latest count is older.
    pub(super) fn of_queue(
        &self,
        queue: &QueueAddress,
        now: Instant,
        count: impl FnOnce() -> WaitingJobs,
    ) -> u64 {
        let mut latest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if latest.as_ref().is_none_or(|(until, _)| now >= *until) {
            *latest = Some((now + COUNT_VALIDITY, count()));
        }
        let counts = latest.as_ref().map(|(_, counts)| counts);
        counts
            .and_then(|counts| counts.get(queue).copied())
            .unwrap_or(0)
    }
}

//! Calls and threads of this process's listeners for other hosts.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::protocol::peer::PeerRequest;
use crate::telemetry::processor_time::{self, Activity};

static IN_FLIGHT: AtomicU64 = AtomicU64::new(0);
static THREADS: AtomicU64 = AtomicU64::new(0);
/// Longest time from the arrival of a call to its start since the last report, in microseconds.
static LONGEST_WAIT_US: AtomicU64 = AtomicU64::new(0);
/// The same of calls that carry the replicated log.
static LONGEST_REPLICATION_WAIT_US: AtomicU64 = AtomicU64::new(0);

/// What the listeners of this process hold, and the waits since the last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallLoad {
    /// Calls that have arrived and are not answered.
    pub in_flight: u64,
    /// Threads that handle calls or wait for one.
    pub threads: u64,
    /// Longest time for which a call waited for a thread to handle it.
    pub longest_wait: Duration,
    /// Longest such time of a call that carries the replicated log.
    pub longest_replication_wait: Duration,
}

/// The present load; the longest waits begin anew.
pub fn take() -> CallLoad {
    let longest = |wait: &AtomicU64| Duration::from_micros(wait.swap(0, Ordering::Relaxed));
    CallLoad {
        in_flight: IN_FLIGHT.load(Ordering::Relaxed),
        threads: THREADS.load(Ordering::Relaxed),
        longest_wait: longest(&LONGEST_WAIT_US),
        longest_replication_wait: longest(&LONGEST_REPLICATION_WAIT_US),
    }
}

/// A call that counts until it is dropped.
pub struct CountedCall {
    arrived_at: Instant,
    activity: Activity,
}

impl CountedCall {
    /// Counts a call that has arrived.
    pub fn arrived(request: &PeerRequest) -> Self {
        IN_FLIGHT.fetch_add(1, Ordering::Relaxed);
        let activity = match request {
            PeerRequest::Replication { .. } => Activity::Replication,
            _ => Activity::Call,
        };
        Self {
            arrived_at: Instant::now(),
            activity,
        }
    }

    /// Notes that this thread begins to handle the call.
    pub fn begin(&self) {
        processor_time::begin(self.activity);
        let waited_us = u64::try_from(self.arrived_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        let longest = match self.activity {
            Activity::Replication => &LONGEST_REPLICATION_WAIT_US,
            _ => &LONGEST_WAIT_US,
        };
        longest.fetch_max(waited_us, Ordering::Relaxed);
    }
}

impl Drop for CountedCall {
    fn drop(&mut self) {
        IN_FLIGHT.fetch_sub(1, Ordering::Relaxed);
        processor_time::charge();
    }
}

/// A thread for calls that counts until it is dropped.
pub struct CountedThread(());

impl CountedThread {
    /// Counts this thread.
    pub fn begin() -> Self {
        THREADS.fetch_add(1, Ordering::Relaxed);
        Self(())
    }
}

impl Drop for CountedThread {
    fn drop(&mut self) {
        THREADS.fetch_sub(1, Ordering::Relaxed);
    }
}

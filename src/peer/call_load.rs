//! Counts of the calls from other hosts that this process is handling, and of their threads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::protocol::peer::PeerRequest;
use crate::telemetry::processor_time::{self, Activity};

static IN_FLIGHT: AtomicU64 = AtomicU64::new(0);
static THREADS: AtomicU64 = AtomicU64::new(0);
/// Longest time from the arrival of a call to the start of its handling since the last report, in
/// microseconds.
static LONGEST_WAIT_US: AtomicU64 = AtomicU64::new(0);
/// The same for calls that carry messages of replicated logs.
static LONGEST_REPLICATION_WAIT_US: AtomicU64 = AtomicU64::new(0);

/// Load of the peer listeners of this process, with the longest waits since the last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallLoad {
    /// Calls that have arrived and have no reply yet.
    pub in_flight: u64,
    /// Threads that handle calls or wait for one.
    pub threads: u64,
    /// Longest time for which a call other than a message of a replicated log waited for a thread.
    pub longest_wait: Duration,
    /// Longest time for which a message of a replicated log waited for a thread.
    pub longest_replication_wait: Duration,
}

/// Returns the present load and resets the longest waits.
pub fn take() -> CallLoad {
    let longest = |wait: &AtomicU64| Duration::from_micros(wait.swap(0, Ordering::Relaxed));
    CallLoad {
        in_flight: IN_FLIGHT.load(Ordering::Relaxed),
        threads: THREADS.load(Ordering::Relaxed),
        longest_wait: longest(&LONGEST_WAIT_US),
        longest_replication_wait: longest(&LONGEST_REPLICATION_WAIT_US),
    }
}

/// Guard of a call that is counted as in flight until the guard is dropped.
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

    /// Records the wait of the call, and charges the processor time of this thread to its activity
    /// from now on.
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

/// Guard of a thread for calls that is counted until the guard is dropped.
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

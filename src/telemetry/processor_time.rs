//! Accounting of the processor time of this process by activity.
//!
//! A thread sets its activity once and charges its processor time after each unit of work. The
//! threads that never charge, such as readers of connections, appear as the difference between the
//! charged time and the total time of the process.

use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Kind of work to which processor time is charged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Activity {
    /// Handling of calls from other hosts and clients; the default of threads that set no activity.
    Call,
    /// Scheduling passes.
    Pass,
    /// Time-driven steps of the placer, and takeovers by a new placer.
    Tick,
    /// Start and stop orders to workers.
    Order,
    /// Renewals of workers' leases, and reports of workers.
    Report,
    /// Queries to the placement policy.
    Policy,
    /// Effects of committed batches.
    Effects,
    /// Membership changes of the log.
    Membership,
    /// Sending, syncing and receiving of log entries.
    Replication,
}

impl Activity {
    /// All activities, in the order of their discriminants.
    pub const ALL: [Self; 9] = [
        Self::Call,
        Self::Pass,
        Self::Tick,
        Self::Order,
        Self::Report,
        Self::Policy,
        Self::Effects,
        Self::Membership,
        Self::Replication,
    ];

    /// Returns the value of the metric label for the activity.
    pub fn label(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Pass => "pass",
            Self::Tick => "tick",
            Self::Order => "order",
            Self::Report => "report",
            Self::Policy => "policy",
            Self::Effects => "effects",
            Self::Membership => "membership",
            Self::Replication => "replication",
        }
    }
}

thread_local! {
    static ACTIVITY: Cell<Activity> = const { Cell::new(Activity::Call) };
    /// Processor time of this thread that has been charged; `None` before the first reading.
    static CHARGED_NS: Cell<Option<u64>> = const { Cell::new(None) };
}

static USED_NS: [AtomicU64; Activity::ALL.len()] =
    [const { AtomicU64::new(0) }; Activity::ALL.len()];

/// Sets the activity of this thread. Processor time used before is charged to the previous
/// activity.
pub fn begin(activity: Activity) {
    charge();
    ACTIVITY.set(activity);
}

/// Returns the activity of this thread.
pub fn activity() -> Activity {
    ACTIVITY.get()
}

/// Charges the processor time that this thread has used since the previous charge to its activity,
/// and returns that time. The first charge of a thread is zero.
pub fn charge() -> Duration {
    let used_ns = read_ns(ClockId::ThreadCPUTime);
    let charged_ns = CHARGED_NS.replace(Some(used_ns));
    let uncharged_ns = charged_ns.map_or(0, |charged_ns| used_ns.saturating_sub(charged_ns));
    USED_NS[ACTIVITY.get() as usize].fetch_add(uncharged_ns, Ordering::Relaxed);
    Duration::from_nanos(uncharged_ns)
}

/// Returns the processor time charged to an activity since the process started.
pub fn used(activity: Activity) -> Duration {
    Duration::from_nanos(USED_NS[activity as usize].load(Ordering::Relaxed))
}

/// Returns the processor time of the whole process since it started.
pub fn used_by_process() -> Duration {
    Duration::from_nanos(read_ns(ClockId::ProcessCPUTime))
}

fn read_ns(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds * 1_000_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0)
}

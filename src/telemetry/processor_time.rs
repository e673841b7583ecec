//! Processor time of this process by activity.
//!
//! A thread names its activity once and charges what it has used whenever a unit of work is done.
//! The rest of the process, such as readers of connections, shows as the difference to the total.

use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// What a thread works on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Activity {
    /// Calls of other hosts and of clients; threads that name no activity.
    Call,
    /// Scheduling passes.
    Pass,
    /// Time-driven steps of the placer, and take-overs.
    Tick,
    /// Start and stop orders to workers.
    Order,
    /// Renewals of workers' leases and their reports.
    Report,
    /// Questions to the placement policy.
    Policy,
    /// Effects of committed batches.
    Effects,
    /// Changes of the members of the log.
    Membership,
    /// Sending, syncing and receiving the log.
    Replication,
}

impl Activity {
    /// All of them, in the order of their numbers.
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

    /// Name in labels of metrics.
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
    /// Processor time of this thread that is charged already; `None` before its first reading.
    static CHARGED_NS: Cell<Option<u64>> = const { Cell::new(None) };
}

static USED_NS: [AtomicU64; Activity::ALL.len()] =
    [const { AtomicU64::new(0) }; Activity::ALL.len()];

/// Names the activity of this thread; what it used before is charged to the former one.
pub fn begin(activity: Activity) {
    charge();
    ACTIVITY.set(activity);
}

/// Activity of this thread.
pub fn activity() -> Activity {
    ACTIVITY.get()
}

/// Charges what this thread has used since it last did so, and returns it.
pub fn charge() -> Duration {
    let used_ns = read_ns(ClockId::ThreadCPUTime);
    let charged_ns = CHARGED_NS.replace(Some(used_ns));
    let since_ns = charged_ns.map_or(0, |charged_ns| used_ns.saturating_sub(charged_ns));
    USED_NS[ACTIVITY.get() as usize].fetch_add(since_ns, Ordering::Relaxed);
    Duration::from_nanos(since_ns)
}

/// Processor time charged to an activity since the process began.
pub fn used(activity: Activity) -> Duration {
    Duration::from_nanos(USED_NS[activity as usize].load(Ordering::Relaxed))
}

/// Processor time of the whole process.
pub fn used_by_process() -> Duration {
    Duration::from_nanos(read_ns(ClockId::ProcessCPUTime))
}

fn read_ns(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds * 1_000_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0)
}

//! Services: replicas that run until the job is cancelled, spread over racks.

use std::time::Duration;

use crate::kernel::{Placing, Preemption, Queueing, Retry, RunTime, WorkloadKind, backoff};
use crate::scheduling::job::{JobSpec, TaskEnd};

inventory::submit! {
    WorkloadKind {
        name: "service",
        queueing: |_| Queueing::EachTask,
        placing: |_| Placing::SpreadOverRacks,
        retrying,
        preempting: |_| Preemption::Never,
        run_time: |_| RunTime::Endless,
    }
}

/// Replaces a replica that ended, whatever the reason.
fn retrying(_: &JobSpec, end: TaskEnd, attempt: u32) -> Retry {
    match end {
        TaskEnd::Succeeded | TaskEnd::Failed => Retry::After(backoff(attempt)),
        TaskEnd::Stopped | TaskEnd::NeverStarted | TaskEnd::Lost => Retry::After(Duration::ZERO),
    }
}

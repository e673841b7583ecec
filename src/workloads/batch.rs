//! Batch jobs: independent tasks that end by themselves.

use crate::kernel::{Placing, Preemption, Queueing, Retry, WorkloadKind, backoff, declared_run};
use crate::scheduling::job::{JobSpec, TaskEnd};

/// Number of attempts after which a failing task is not retried. Attempts that were stopped or lost
/// count as well, but do not end the retries.
const MAX_FAILED_ATTEMPTS: u32 = 4;

inventory::submit! {
    WorkloadKind {
        name: "batch",
        queueing: |_| Queueing::EachTask,
        placing: |_| Placing::Pack,
        retrying,
        preempting: |_| Preemption::CheckpointThenStop,
        run_time: declared_run,
    }
}

fn retrying(_: &JobSpec, end: TaskEnd, attempt: u32) -> Retry {
    match end {
        TaskEnd::Succeeded => Retry::Done,
        TaskEnd::Failed if attempt + 1 >= MAX_FAILED_ATTEMPTS => Retry::GiveUp(format!(
            "failed in attempt {} of {MAX_FAILED_ATTEMPTS}",
            attempt + 1
        )),
        TaskEnd::Failed => Retry::After(backoff(attempt)),
        TaskEnd::Stopped | TaskEnd::NeverStarted | TaskEnd::Lost => {
            Retry::After(std::time::Duration::ZERO)
        }
    }
}

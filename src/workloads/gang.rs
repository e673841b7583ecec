//! Gangs: tasks that depend on each other and therefore all run at the same time or not at all.

use crate::kernel::{Placing, Preemption, Queueing, Retry, WorkloadKind, backoff, declared_run};
use crate::scheduling::job::{JobSpec, TaskEnd};

/// Maximum number of attempts of a gang.
const MAX_ATTEMPTS: u32 = 4;

inventory::submit! {
    WorkloadKind {
        name: "gang",
        queueing: |_| Queueing::AllTasks,
        placing: |_| Placing::Pack,
        retrying,
        // Stopping one task would waste the work of the others.
        preempting: |_| Preemption::Never,
        run_time: declared_run,
    }
}

fn retrying(_: &JobSpec, end: TaskEnd, attempt: u32) -> Retry {
    match end {
        TaskEnd::Succeeded => Retry::Done,
        _ if attempt + 1 >= MAX_ATTEMPTS => {
            Retry::GiveUp(format!("a task was {end} in attempt {}", attempt + 1))
        }
        _ => Retry::After(backoff(attempt)),
    }
}

//! Workload kinds and their registry.
//!
//! A kind is a struct of functions, registered with `inventory` from its own file under
//! `src/workloads/`. The scheduler knows kinds only through these functions.

use std::time::Duration;

use crate::scheduling::job::{JobSpec, TaskEnd};

/// How the tasks of a job wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Queueing {
    /// Each task starts as soon as it has room.
    EachTask,
    /// All tasks start at once or none does.
    AllTasks,
}

/// Where tasks of a job go, relative to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placing {
    /// Wherever they strand the least capacity.
    Pack,
    /// In different racks as far as possible.
    SpreadOverRacks,
}

/// What follows the end of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Retry {
    /// The task is done.
    Done,
    /// Another attempt, not before this pause.
    After(Duration),
    /// No further attempt; the reason is recorded.
    GiveUp(String),
}

/// Whether a running task may give way to other work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Preemption {
    /// Never.
    Never,
    /// It is stopped and starts again.
    Stop,
    /// It writes a checkpoint first.
    CheckpointThenStop,
}

/// What a job says about the run time of its tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunTime {
    /// Tasks run until they are stopped.
    Endless,
    /// Tasks end by themselves at an unknown time.
    Unknown,
    /// Declared; often wrong.
    Declared(Duration),
}

/// A kind of workload.
#[derive(Clone, Copy, Debug)]
pub struct WorkloadKind {
    /// Name in job descriptions.
    pub name: &'static str,
    /// How its tasks wait.
    pub queueing: fn(&JobSpec) -> Queueing,
    /// Where its tasks go.
    pub placing: fn(&JobSpec) -> Placing,
    /// What follows the end of the given attempt (counted from 0). It is not asked when a second
    /// attempt could break the promise of a job that must run at most once.
    pub retrying: fn(&JobSpec, TaskEnd, u32) -> Retry,
    /// Whether its tasks may be preempted. It is not asked for jobs that must run at most once.
    pub preempting: fn(&JobSpec) -> Preemption,
    /// What is known of the run time before any task ran.
    pub run_time: fn(&JobSpec) -> RunTime,
}

inventory::collect!(WorkloadKind);

/// Kind with this name.
pub fn find(name: &str) -> Option<&'static WorkloadKind> {
    inventory::iter::<WorkloadKind>
        .into_iter()
        .find(|kind| kind.name == name)
}

/// Names of all registered kinds, sorted.
pub fn names() -> Vec<&'static str> {
    let kinds = inventory::iter::<WorkloadKind>.into_iter();
    let mut names: Vec<_> = kinds.map(|kind| kind.name).collect();
    names.sort_unstable();
    names
}

/// Run time of a job whose tasks end by themselves.
pub fn declared_run(spec: &JobSpec) -> RunTime {
    let declared = spec.expected_run_ms.map(Duration::from_millis);
    declared.map_or(RunTime::Unknown, RunTime::Declared)
}

/// Pause before another attempt: doubles with each attempt up to a minute.
pub fn backoff(attempt: u32) -> Duration {
    Duration::from_secs(1 << attempt.min(6)).min(Duration::from_secs(60))
}

//! Workload kinds and their registry.
//!
//! A kind is a struct of functions that is registered with `inventory` in its own file under
//! `src/workloads/`. The scheduler uses kinds only through these functions.

use std::time::Duration;

use crate::scheduling::job::{JobSpec, TaskEnd};

/// Whether the tasks of a job are queued individually or together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Queueing {
    /// Each task starts as soon as it fits on a worker.
    EachTask,
    /// All tasks start together, or none does.
    AllTasks,
}

/// How the tasks of a job are placed relative to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placing {
    /// On the workers on which they strand the least capacity.
    Pack,
    /// In different racks as far as possible.
    SpreadOverRacks,
}

/// Decision about a task that ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Retry {
    /// The task succeeded and is not started again.
    Done,
    /// The task is started again after at least this delay.
    After(Duration),
    /// The task failed and is not started again, for the given reason, which is recorded.
    GiveUp(String),
}

/// Whether and how a running task may be preempted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Preemption {
    /// The task must not be preempted.
    Never,
    /// The task is stopped and starts again from the beginning.
    Stop,
    /// The task writes a checkpoint before it is stopped.
    CheckpointThenStop,
}

/// Declared run time of the tasks of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunTime {
    /// Tasks run until they are stopped.
    Endless,
    /// Tasks end by themselves at an unknown time.
    Unknown,
    /// Tasks end by themselves after about this time. Declarations are often wrong.
    Declared(Duration),
}

/// A kind of workload: functions by which the scheduler treats its jobs.
#[derive(Clone, Copy, Debug)]
pub struct WorkloadKind {
    /// Name in job specifications.
    pub name: &'static str,
    /// Returns whether tasks are queued individually or together.
    pub queueing: fn(&JobSpec) -> Queueing,
    /// Returns how tasks are placed relative to each other.
    pub placing: fn(&JobSpec) -> Placing,
    /// Decides whether a task is retried after the given attempt, counted from zero. Not called if
    /// a retry could start a task of an at-most-once job a second time.
    pub retrying: fn(&JobSpec, TaskEnd, u32) -> Retry,
    /// Returns whether tasks may be preempted. Not called for at-most-once jobs, whose tasks are
    /// never preempted.
    pub preempting: fn(&JobSpec) -> Preemption,
    /// Returns the run time that is expected before any task has run.
    pub run_time: fn(&JobSpec) -> RunTime,
}

inventory::collect!(WorkloadKind);

/// Returns the registered kind with this name.
pub fn find(name: &str) -> Option<&'static WorkloadKind> {
    inventory::iter::<WorkloadKind>
        .into_iter()
        .find(|kind| kind.name == name)
}

/// Returns the names of all registered kinds in alphabetical order.
pub fn names() -> Vec<&'static str> {
    let kinds = inventory::iter::<WorkloadKind>.into_iter();
    let mut names: Vec<_> = kinds.map(|kind| kind.name).collect();
    names.sort_unstable();
    names
}

/// Returns the declared run time of a job whose tasks end by themselves.
pub fn declared_run(spec: &JobSpec) -> RunTime {
    let declared = spec.expected_run_ms.map(Duration::from_millis);
    declared.map_or(RunTime::Unknown, RunTime::Declared)
}

/// Returns the delay before the next attempt: one second after attempt 0, doubled with each attempt
/// up to a minute.
pub fn backoff(attempt: u32) -> Duration {
    Duration::from_secs(1 << attempt.min(6)).min(Duration::from_secs(60))
}

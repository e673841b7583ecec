//! Entries of the tables of jobs and running tasks.

use std::collections::VecDeque;
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use crate::ids::{JobId, TaskId};
use crate::kernel::{Queueing, WorkloadKind};
use crate::scheduling::fair_share::{LaneId, Shape};
use crate::scheduling::job::JobSpec;
use crate::scheduling::ledger::WorkerIndex;
use crate::scheduling::placement_index::RackIndex;

pub(super) struct Job {
    pub(super) spec: JobSpec,
    pub(super) kind: &'static WorkloadKind,
    /// Sequence number in order of arrival.
    pub(super) seq: u64,
    /// When the job arrived, or when a task was last queued again for a retry.
    pub(super) queued_since: Instant,
    /// Index of the first task that was never started.
    pub(super) next_unstarted: u32,
    /// Tasks that are queued for another attempt.
    pub(super) retry_queue: VecDeque<u32>,
    /// Number of the current or next attempt of each retried task; zero for other tasks.
    pub(super) attempts: IndexMap<u32, u32>,
    pub(super) running: IndexSet<TaskId>,
    pub(super) succeeded: u32,
    pub(super) failed: u32,
    /// Number of tasks that wait for the end of their backoff.
    pub(super) delayed: u32,
    /// Workers on which a task of the job failed recently.
    pub(super) avoid: Vec<WorkerIndex>,
    /// Number of running tasks by rack, for jobs that are spread over racks.
    pub(super) racks: IndexMap<RackIndex, u32>,
    pub(super) cancelled: bool,
    /// Lane that contains the job while it is queued.
    pub(super) lane: Option<LaneId>,
    /// Number of the current attempt of the whole gang.
    pub(super) gang_attempt: u32,
    /// Whether a task of the gang ended early, so that the others are stopped before the next
    /// attempt.
    pub(super) broken: bool,
    /// Whether the gang gets no further attempt.
    pub(super) given_up: bool,
    /// Why tasks are not retried; empty if none failed permanently.
    pub(super) reason: String,
    /// Feasibility generation for which the job was last found feasible.
    pub(super) checked_generation: u64,
}

impl Job {
    pub(super) fn has_pending(&self) -> bool {
        !self.retry_queue.is_empty() || self.next_unstarted < self.spec.tasks
    }

    pub(super) fn is_gang(&self) -> bool {
        (self.kind.queueing)(&self.spec) == Queueing::AllTasks
    }

    /// Properties that decide on which workers tasks of the job fit.
    pub(super) fn shape(&self) -> Shape {
        Shape {
            need: self.spec.resources,
            gang_size: if self.is_gang() { self.spec.tasks } else { 0 },
            preference: self.spec.preference.clone(),
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) job: JobId,
    pub(super) index: u32,
    pub(super) attempt: u32,
    pub(super) worker: WorkerIndex,
    /// Rack in which the task is counted; `None` if its job is not spread over racks.
    pub(super) rack: Option<RackIndex>,
    pub(super) started_at: Instant,
    /// `None` if the run time can't be estimated.
    pub(super) expected_end: Option<Instant>,
    /// When the decision to preempt the task was made.
    pub(super) stopping_since: Option<Instant>,
}

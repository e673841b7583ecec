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
    /// Order of arrival.
    pub(super) seq: u64,
    pub(super) queued_since: Instant,
    /// Tasks from here on were never started.
    pub(super) next_fresh: u32,
    /// Tasks that have to start again.
    pub(super) again: VecDeque<u32>,
    /// Attempts of tasks that were started more than once.
    pub(super) attempts: IndexMap<u32, u32>,
    pub(super) running: IndexSet<TaskId>,
    pub(super) succeeded: u32,
    pub(super) failed: u32,
    /// Tasks that wait for the end of a pause before another attempt.
    pub(super) paused: u32,
    /// Workers on which a task of the job failed lately.
    pub(super) avoid: Vec<WorkerIndex>,
    /// Running tasks by rack.
    pub(super) racks: IndexMap<RackIndex, u32>,
    pub(super) cancelled: bool,
    /// Lane in which it waits.
    pub(super) lane: Option<LaneId>,
    /// Attempts of the whole gang.
    pub(super) gang_attempt: u32,
    /// A task of the gang ended early; the others are stopped before the next attempt.
    pub(super) broken: bool,
    /// No further attempt of the gang follows.
    pub(super) given_up: bool,
    /// Why tasks are not tried again.
    pub(super) reason: String,
    /// Feasibility generation for which the job was last found feasible.
    pub(super) checked_generation: u64,
}

impl Job {
    pub(super) fn has_pending(&self) -> bool {
        !self.again.is_empty() || self.next_fresh < self.spec.tasks
    }

    pub(super) fn is_gang(&self) -> bool {
        (self.kind.queueing)(&self.spec) == Queueing::AllTasks
    }

    /// What decides where the next start of the job fits.
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
    /// Rack in which the task is counted, when tasks of its job are spread.
    pub(super) rack: Option<RackIndex>,
    pub(super) started_at: Instant,
    pub(super) expected_end: Option<Instant>,
    /// When it was asked to stop.
    pub(super) stopping_since: Option<Instant>,
}

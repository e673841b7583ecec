//! Records of jobs in the placement log and the state that they build.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Incarnation, JobId, TaskId, WorkerId};
use crate::scheduling::job::{JobSpec, TaskEnd};

/// Ended jobs whose outcome can be queried; the oldest are dropped first.
const MAX_ENDED_JOBS: usize = 20_000;

/// One entry of the placement log about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRecord {
    /// The job is accepted.
    Accepted {
        /// What was asked for.
        spec: JobSpec,
    },
    /// A task is about to be sent to a worker.
    TaskIntent {
        /// Job.
        job: JobId,
        /// Task.
        task: TaskId,
        /// Where and as which attempt.
        attempt: TaskAttempt,
    },
    /// The worker has confirmed that the task runs.
    TaskStarted {
        /// Job.
        job: JobId,
        /// Task.
        task: TaskId,
    },
    /// The task is certain not to run any longer.
    TaskEnded {
        /// Job.
        job: JobId,
        /// Task.
        task: TaskId,
        /// How it ended.
        end: TaskEnd,
        /// Present when no further attempt follows; tells whether it succeeded.
        settled: Option<bool>,
    },
    /// The caller has cancelled the job; its tasks are being stopped.
    CancelRequested {
        /// Job.
        job: JobId,
    },
    /// The job is over.
    JobEnded {
        /// Job.
        job: JobId,
        /// How.
        outcome: JobEnd,
    },
}

/// One attempt to run a task.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// Number of the task in the job.
    pub index: u32,
    /// Attempts before this one.
    pub number: u32,
    /// Worker.
    pub worker: WorkerId,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Epoch of the placer that decided it.
    pub epoch: Epoch,
    /// Whether the worker has confirmed the start.
    pub started: bool,
}

/// How a job ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobEnd {
    /// Tasks that succeeded.
    pub succeeded: u32,
    /// Tasks that were given up.
    pub failed: u32,
    /// Whether the caller cancelled it.
    pub cancelled: bool,
    /// Why tasks were given up or the job was refused; empty otherwise.
    pub reason: String,
}

/// A job that is not over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobEntry {
    /// What was asked for.
    pub spec: JobSpec,
    /// Attempts whose end is not known.
    pub running: IndexMap<TaskId, TaskAttempt>,
    /// Number of the next attempt of tasks that were tried before.
    pub attempts: IndexMap<u32, u32>,
    /// Tasks without a further attempt, and whether they succeeded.
    pub settled: IndexMap<u32, bool>,
    /// Whether the caller has cancelled it.
    pub cancel_requested: bool,
}

/// State built from the committed records; equal on all replicas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// Jobs that are not over, in the order in which they were accepted.
    pub jobs: IndexMap<JobId, JobEntry>,
    /// Outcomes of jobs that are over.
    pub ended: IndexMap<JobId, JobEnd>,
    ended_order: VecDeque<JobId>,
}

impl JobState {
    /// Applies the next record. Records of unknown jobs have no effect, so that applying one twice
    /// does no harm.
    pub fn apply(&mut self, record: JobRecord) {
        match record {
            JobRecord::Accepted { spec } => self.accept(spec),
            JobRecord::TaskIntent { job, task, attempt } => {
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.begin(task, attempt);
                }
            }
            JobRecord::TaskStarted { job, task } => {
                let entry = self.jobs.get_mut(&job);
                if let Some(attempt) = entry.and_then(|entry| entry.running.get_mut(&task)) {
                    attempt.started = true;
                }
            }
            JobRecord::TaskEnded {
                job, task, settled, ..
            } => {
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.end(&task, settled);
                }
            }
            JobRecord::CancelRequested { job } => {
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.cancel_requested = true;
                }
            }
            JobRecord::JobEnded { job, outcome } => self.end(job, outcome),
        }
    }

    fn accept(&mut self, spec: JobSpec) {
        if self.jobs.contains_key(&spec.id) || self.ended.contains_key(&spec.id) {
            return;
        }
        let entry = JobEntry {
            running: IndexMap::new(),
            attempts: IndexMap::new(),
            settled: IndexMap::new(),
            cancel_requested: false,
            spec,
        };
        self.jobs.insert(entry.spec.id.clone(), entry);
    }

    fn end(&mut self, job: JobId, outcome: JobEnd) {
        // The order of the others is the order in which a new placer queues them.
        if self.jobs.shift_remove(&job).is_none() {
            return;
        }
        self.ended.insert(job.clone(), outcome);
        self.ended_order.push_back(job);
        if self.ended_order.len() > MAX_ENDED_JOBS
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.swap_remove(&oldest);
        }
    }
}

impl JobEntry {
    fn begin(&mut self, task: TaskId, attempt: TaskAttempt) {
        // A further attempt of a gang repeats tasks that had succeeded.
        self.settled.swap_remove(&attempt.index);
        self.running.insert(task, attempt);
    }

    fn end(&mut self, task: &str, settled: Option<bool>) {
        let Some(attempt) = self.running.swap_remove(task) else {
            return;
        };
        self.attempts.insert(attempt.index, attempt.number + 1);
        if let Some(succeeded) = settled {
            self.settled.insert(attempt.index, succeeded);
        }
    }
}

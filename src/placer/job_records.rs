//! Records of jobs in the placement log, and the replicated state built from them.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::key;
use super::records::PlacementState;
use crate::ids::{Epoch, Incarnation, JobId, TaskId, WorkerId};
use crate::scheduling::job::{JobSpec, TaskEnd};

/// Maximum number of ended jobs whose outcome can be queried; the oldest are dropped first.
pub const MAX_ENDED_JOBS: usize = 20_000;

/// One entry of the placement log about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRecord {
    /// The job is accepted.
    Accepted {
        /// Description of the job as submitted.
        spec: JobSpec,
    },
    /// A task is about to be sent to a worker.
    TaskIntent {
        /// Job that the task belongs to.
        job: JobId,
        /// Id of the task, unique to the attempt.
        task: TaskId,
        /// Worker and number of the attempt.
        attempt: TaskAttempt,
    },
    /// The worker has confirmed that the task started.
    TaskStarted {
        /// Job that the task belongs to.
        job: JobId,
        /// Id of the started task.
        task: TaskId,
    },
    /// The task is certain not to be running any more.
    TaskEnded {
        /// Job that the task belongs to.
        job: JobId,
        /// Id of the ended task.
        task: TaskId,
        /// How the task ended.
        end: TaskEnd,
        /// Present when no further attempt follows: whether the task succeeded.
        settled: Option<bool>,
    },
    /// The caller has cancelled the job; its tasks are being stopped.
    CancelRequested {
        /// Job that is cancelled.
        job: JobId,
    },
    /// The job is over.
    JobEnded {
        /// Job that ended.
        job: JobId,
        /// Counts of its tasks and the reason of failures.
        outcome: JobEnd,
    },
}

/// One attempt to run a task.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// Number of the task in the job.
    pub index: u32,
    /// Number of attempts of the task before this one.
    pub number: u32,
    /// Worker that the task is sent to.
    pub worker: WorkerId,
    /// Incarnation of the worker for which the attempt was decided.
    pub incarnation: Incarnation,
    /// Epoch of the placer that decided the attempt.
    pub epoch: Epoch,
    /// Whether the worker has confirmed the start.
    pub started: bool,
}

/// How a job ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobEnd {
    /// Tasks that succeeded.
    pub succeeded: u32,
    /// Tasks that failed and had no further attempt.
    pub failed: u32,
    /// Whether the caller cancelled the job.
    pub cancelled: bool,
    /// Why tasks failed or the job was refused; empty otherwise.
    pub reason: String,
}

/// A job that is not over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobEntry {
    /// Description of the job as submitted.
    pub spec: JobSpec,
    /// Attempts whose end is not committed, by task id.
    pub running: IndexMap<TaskId, TaskAttempt>,
    /// Number of the next attempt, by task number; only of tasks with an ended attempt.
    pub attempts: IndexMap<u32, u32>,
    /// Tasks without a further attempt, by task number, and whether they succeeded.
    pub settled: IndexMap<u32, bool>,
    /// Whether the caller has cancelled the job.
    pub cancel_requested: bool,
}

/// State built from the committed records; equal on all replicas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// Jobs that are not over, in the order in which they were accepted.
    pub jobs: IndexMap<JobId, JobEntry>,
    /// Outcomes of the latest ended jobs.
    pub ended: IndexMap<JobId, JobEnd>,
    ended_order: VecDeque<JobId>,
    /// Jobs without a record whose ids were issued before this time are refused, since the outcome of
    /// a job of that age was dropped. [`encode_snapshot`] writes it after the rest of the state, so that
    /// snapshots of earlier versions, which lack it, stay readable.
    #[serde(skip)]
    pub id_floor_unix_seconds: u64,
}

impl JobState {
    /// Applies the next record of the log. Of the records of unknown jobs, only a cancellation has an
    /// effect, so that applying a record twice is harmless.
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
        // `shift_remove` preserves the order of the other jobs, in which a new placer queues them.
        let is_known = self.jobs.shift_remove(&job).is_some();
        // A job that was cancelled before it was submitted is over, too.
        if !is_known && (!outcome.cancelled || self.ended.contains_key(&job)) {
            return;
        }
        self.ended.insert(job.clone(), outcome);
        self.ended_order.push_back(job);
        if self.ended_order.len() > MAX_ENDED_JOBS
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.swap_remove(&oldest);
            let issued = key::issued_unix_seconds(&oldest).unwrap_or(0);
            let floor = issued.saturating_add(1);
            self.id_floor_unix_seconds = self.id_floor_unix_seconds.max(floor);
        }
    }
}

/// Encodes the state of a placement log.
pub fn encode_snapshot(requests: &PlacementState, jobs: &JobState) -> Vec<u8> {
    postcard::to_stdvec(&(requests, jobs, jobs.id_floor_unix_seconds))
        .expect("the state consists of types postcard can encode")
}

/// Decodes the state of a placement log. Snapshots of earlier versions end before the floor of ids.
///
/// # Errors
///
/// The error of postcard for a snapshot that is malformed.
pub fn decode_snapshot(bytes: &[u8]) -> Result<(PlacementState, JobState), postcard::Error> {
    let ((requests, mut jobs), rest) =
        postcard::take_from_bytes::<(PlacementState, JobState)>(bytes)?;
    if !rest.is_empty() {
        jobs.id_floor_unix_seconds = postcard::from_bytes(rest)?;
    }
    Ok((requests, jobs))
}

impl JobEntry {
    fn begin(&mut self, task: TaskId, attempt: TaskAttempt) {
        // A further attempt of a gang also repeats tasks that had succeeded.
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

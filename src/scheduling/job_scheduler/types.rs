//! Settings, decisions and errors of the job scheduler.

use std::time::{Duration, Instant};

use derive_more::Display;
use thiserror::Error;

use crate::ids::{Incarnation, JobId, TaskId, WorkerId};
use crate::scheduling::fair_share::QueuePolicy;
use crate::scheduling::feasibility::Infeasible;
use crate::scheduling::gangs::GangSettings;
use crate::scheduling::overuse::Measure;
use crate::scheduling::placement::PlacementPolicy;
use crate::verdict::{ErrorCode, RequestError};

/// Policies and limits of the job scheduler.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// Order of waiting jobs.
    pub queue: QueuePolicy,
    /// Policy for the choice of workers.
    pub placement: PlacementPolicy,
    /// Seed of the random number generator that samples workers.
    pub seed: u64,
    /// Waiting time after which a worker is reserved for the first job of a member below its share.
    pub starvation_after: Duration,
    /// Time between two searches for members that wait too long.
    pub starvation_interval: Duration,
    /// Time that a preempted task has to write a checkpoint and stop.
    pub stop_grace: Duration,
    /// Maximum number of workers that are reserved for single tasks at the same time.
    pub max_reserved_workers: usize,
    /// Time limits of gang reservations.
    pub gangs: GangSettings,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            queue: QueuePolicy::default(),
            placement: PlacementPolicy::default(),
            seed: 0,
            starvation_after: Duration::from_secs(2),
            starvation_interval: Duration::from_millis(100),
            stop_grace: Duration::from_secs(10),
            max_reserved_workers: 16,
            gangs: GangSettings::default(),
        }
    }
}

/// A scheduling decision. The caller carries out decisions in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start a task; its resources are allocated.
    Start(TaskStart),
    /// Reserve capacity for a job. The scheduler has done so; the caller only reports it.
    Reserve {
        /// Job that receives the capacity.
        job: JobId,
        /// Reserved worker, or `None` for a gang, whose holds may be on any worker.
        worker: Option<WorkerId>,
        /// When the reservation of a worker expires, or when preemption for a gang begins.
        deadline: Instant,
    },
    /// Preempt a running task. Its resources become free once it has ended.
    Preempt {
        /// Attempt to preempt.
        task: TaskId,
        /// Worker that runs the task.
        worker: WorkerId,
        /// Action that the worker is asked to take.
        measure: Measure,
        /// Reason that is recorded.
        reason: PreemptReason,
    },
    /// Refuse a job that was accepted but has become infeasible.
    Refuse {
        /// Refused job.
        job: JobId,
        /// Why the job can't run.
        reason: Infeasible,
    },
}

/// Start of one attempt of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskStart {
    /// Job of the task.
    pub job: JobId,
    /// Identifier of the attempt, see [`JobSpec::task_id`](crate::scheduling::job::JobSpec::task_id).
    pub task: TaskId,
    /// Index of the task in the job.
    pub index: u32,
    /// Number of attempts before this one.
    pub attempt: u32,
    /// Worker on which the task starts.
    pub worker: WorkerId,
    /// Incarnation of the worker at the time of the decision.
    pub incarnation: Incarnation,
}

/// Why a task is preempted.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PreemptReason {
    /// A member below its share waited too long.
    #[display("a member below its share waits")]
    BelowShare,
    /// The reservation of a gang passed its deadline.
    #[display("the reservation of a gang passed its deadline")]
    GangDeadline,
    /// The task runs in resources that a gang needs now.
    #[display("a backfilled task ran longer than estimated")]
    BackfillOverrun,
    /// The job was cancelled.
    #[display("the job was cancelled")]
    Cancelled,
    /// The worker announced less capacity than is allocated.
    #[display("the worker has less capacity than is allocated")]
    WorkerShrank,
    /// Another task of the gang ended before the gang was done.
    #[display("another task of the gang ended")]
    GangBroken,
}

/// Refusal of a job at submission.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum SubmitError {
    /// No workload kind has this name.
    #[error("workload kind {kind:?} is not known; known kinds: {known}")]
    UnknownKind {
        /// Kind that the job names.
        kind: String,
        /// Names of the registered kinds, separated by commas.
        known: String,
    },
    /// A job with this id exists.
    #[error("job {0} exists already")]
    Duplicate(JobId),
    /// The job can't run on the known workers.
    #[error(transparent)]
    Infeasible(#[from] Infeasible),
}

impl SubmitError {
    /// Converts the refusal into an error for the caller.
    pub fn to_error(&self) -> RequestError {
        match self {
            Self::Infeasible(infeasible) => infeasible.to_error(),
            Self::UnknownKind { .. } => {
                RequestError::did_not_run(ErrorCode::BadRequest, self.to_string())
            }
            Self::Duplicate(_) => {
                RequestError::did_not_run(ErrorCode::KeyConflict, self.to_string())
            }
        }
    }
}

/// Effect of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cancellation {
    /// No task was running, so the job was removed, or it was not submitted yet.
    Ended,
    /// The next round of decisions stops the running tasks.
    Stopping,
    /// The scheduler does not know the job; mostly it has ended.
    Unknown,
}

/// Progress of a job.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobProgress {
    /// Number of tasks that hold an allocation.
    pub running: u32,
    /// Number of tasks that succeeded.
    pub succeeded: u32,
    /// Number of tasks that failed and get no further attempt.
    pub failed: u32,
    /// Whether the job was cancelled and waits for its tasks to stop.
    pub cancelled: bool,
}

//! Settings, decisions and errors of the scheduler.

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

/// Policies and limits.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// Order of waiting jobs.
    pub queue: QueuePolicy,
    /// Choice of workers.
    pub placement: PlacementPolicy,
    /// Seed of the sampling.
    pub seed: u64,
    /// Wait of a member below its share after which a worker is reserved for its first job.
    pub starvation_after: Duration,
    /// Time between two searches for members that wait too long.
    pub starvation_interval: Duration,
    /// Time that a preempted task has to write a checkpoint and stop.
    pub stop_grace: Duration,
    /// Reservations of single workers in effect at once.
    pub max_reserved_workers: usize,
    /// Reservations of gangs.
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

/// One decision. The caller carries them out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start a task; its resources are allocated.
    Start(TaskStart),
    /// Capacity is held for a job from now on.
    Reserve {
        /// Job.
        job: JobId,
        /// The worker, or `None` for a gang, whose holds are on any worker.
        worker: Option<WorkerId>,
        /// When other measures follow.
        deadline: Instant,
    },
    /// A running task has to give way. Its resources are free once it has ended.
    Preempt {
        /// Task.
        task: TaskId,
        /// Its worker.
        worker: WorkerId,
        /// What the worker is asked to do.
        measure: Measure,
        /// Why, for the record.
        reason: PreemptReason,
    },
    /// The job will not run.
    Refuse {
        /// Job.
        job: JobId,
        /// Why.
        reason: Infeasible,
    },
}

/// Start of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskStart {
    /// Job.
    pub job: JobId,
    /// Task.
    pub task: TaskId,
    /// Number of the task in the job.
    pub index: u32,
    /// Attempts before this one.
    pub attempt: u32,
    /// Worker.
    pub worker: WorkerId,
    /// Incarnation of the worker that was decided for.
    pub incarnation: Incarnation,
}

/// Why a task has to give way.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PreemptReason {
    /// A member below its share waited too long.
    #[display("a member below its share waits")]
    BelowShare,
    /// The reservation of a gang passed its deadline.
    #[display("the reservation of a gang passed its deadline")]
    GangDeadline,
    /// The task borrowed a place that a gang needs now.
    #[display("a backfilled task ran longer than estimated")]
    BackfillOverrun,
    /// The job was cancelled.
    #[display("the job was cancelled")]
    Cancelled,
    /// The worker has less than before.
    #[display("the worker has less capacity than is allocated")]
    WorkerShrank,
    /// Another task of the gang ended.
    #[display("another task of the gang ended")]
    GangBroken,
}

/// Refusal of a job at submission.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum SubmitError {
    /// No workload kind has this name.
    #[error("workload kind {kind:?} is not known; known kinds: {known}")]
    UnknownKind {
        /// Kind of the job.
        kind: String,
        /// Registered kinds.
        known: String,
    },
    /// A job with this id exists.
    #[error("job {0} exists already")]
    Duplicate(JobId),
    /// It can never run.
    #[error(transparent)]
    Infeasible(#[from] Infeasible),
}

impl SubmitError {
    /// Error for the caller.
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
    /// No task was running; the job is over.
    Ended,
    /// The running tasks are stopped by the next decisions.
    Stopping,
    /// No such job.
    Unknown,
}

/// How far a job is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobProgress {
    /// Tasks that hold an allocation.
    pub running: u32,
    /// Tasks that succeeded.
    pub succeeded: u32,
    /// Tasks that will not be tried again.
    pub failed: u32,
    /// Whether it was cancelled and waits for its tasks to stop.
    pub cancelled: bool,
}

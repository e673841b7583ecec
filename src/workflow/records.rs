//! Defines the records of the workflow log.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::customers::CustomerConfiguration;
use super::queues::{Queue, QueueConfiguration};
use super::spec::{StageKey, TaskIndex, TaskKey, WorkflowSpec};
use super::workers::WorkerRecord;
use crate::ids::{CustomerName, Epoch, Incarnation, JobId, WorkerId};

/// Number of a run of a task, starting at 1. All members of a gang have the same run number.
pub type RunNumber = u32;

/// Records that a leader appends as one entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Epoch of the leader that made the batch. Batches of earlier leaders have no effect after a
    /// take-over.
    pub epoch: Epoch,
    /// Number of the batch within the epoch; grows with each batch.
    pub sequence: u64,
    /// Changes in the order in which they are applied.
    pub records: Vec<Record>,
}

/// One change of the [`WorkflowState`](super::state::WorkflowState).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The leader of the batch takes over; the first record of its first batch.
    TakenOver,
    /// A configuration was replaced; it has no effect unless its version is higher than that of the
    /// one in force.
    QueuesReplaced(Box<QueueConfiguration>),
    /// A worker announced itself or a change of its record. Only in logs of versions that did not
    /// record the number of the heartbeat.
    WorkerSeen(Box<WorkerRecord>),
    /// A worker left for good.
    WorkerLeft {
        /// Identifier of the worker.
        worker: WorkerId,
        /// Incarnation that left; a later one stays.
        incarnation: Incarnation,
    },
    /// A job was accepted.
    JobAccepted {
        /// Identifier of the job, chosen by its caller.
        id: JobId,
        /// Queue as configured at the acceptance.
        queue: Box<Queue>,
        /// Workflow that the job runs.
        spec: Box<WorkflowSpec>,
        /// Time of the acceptance.
        at_unix_ms: u64,
    },
    /// A job was cancelled.
    JobCancelled {
        /// Identifier of the job.
        id: JobId,
        /// Time of the cancellation.
        at_unix_ms: u64,
    },
    /// Runs were assigned to workers. Former runs of the same tasks, if any, have certainly ended.
    RunsPlaced {
        /// Stage of the tasks.
        stage: StageKey,
        /// New runs of tasks of the stage.
        placements: Vec<Placement>,
    },
    /// The latest run of a task ended.
    RunEnded {
        /// Task of the run.
        task: TaskKey,
        /// Number of the run; ends of earlier runs have no effect.
        run: RunNumber,
        /// How the run ended.
        outcome: RunOutcome,
        /// Latest checkpoint of the run; empty for none.
        checkpoint: String,
        /// Time at which the placer learned of the end.
        at_unix_ms: u64,
    },
    /// Ended jobs, and cancellations of jobs that were not known, were removed because their retention
    /// is over.
    JobsForgotten(Vec<JobId>),
    /// A worker announced itself or a change of its record.
    WorkerAnnounced {
        /// Description of the worker from then on.
        worker: Box<WorkerRecord>,
        /// Sequence number of the heartbeat that contained it.
        heartbeat_sequence: u64,
    },
    /// The cell had no placer for so long that the record of any worker may be outdated.
    WorkersOutdated,
    /// A worker crashed while runs were on it that may have caused the crash.
    WorkerCrashed {
        /// Identifier of the worker.
        worker: WorkerId,
        /// Incarnation that crashed.
        incarnation: Incarnation,
        /// Time at which the placer learned of the crash.
        at_unix_ms: u64,
        /// Tasks that may have caused the crash; a gang is named by its first member.
        suspects: Vec<CrashSuspect>,
    },
    /// A run of a suspect went on without a crash.
    SuspectCleared(TaskKey),
    /// A task is not started again because it crashes its workers; its job fails.
    TaskAbandoned {
        /// The task, or the first member of a gang.
        task: TaskKey,
        /// Time of the decision.
        at_unix_ms: u64,
    },
    /// The customers were replaced; `None` if the configuration has no list of them. Follows the
    /// [`Self::QueuesReplaced`] of the same configuration in the same batch.
    CustomersReplaced(Option<Box<CustomerConfiguration>>),
    /// A job belongs to a customer. Follows the [`Self::JobAccepted`] of the job in the same batch.
    JobOwned {
        /// Identifier of the job.
        id: JobId,
        /// Customer whose key the submission had.
        customer: CustomerName,
    },
    /// A job that is not known was cancelled; a later submission of it has no effect.
    UnknownJobCancelled {
        /// Identifier of the job.
        id: JobId,
        /// Customer of the call; `None` if it had none.
        customer: Option<CustomerName>,
        /// Time of the cancellation.
        at_unix_ms: u64,
    },
}

/// Assignment of a run to a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// Position of the task in its stage.
    pub task: TaskIndex,
    /// Number of the new run.
    pub run: RunNumber,
    /// Worker that receives the run.
    pub worker: WorkerId,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
}

/// Task that may have caused the crash of a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// The task, or the first member of a gang.
    pub task: TaskKey,
    /// Run that was on the worker.
    pub run: RunNumber,
    /// Whether the crash is attributed to this task alone.
    pub blamed: bool,
    /// Time for which the worker had run the task, as far as it is known.
    pub run_ms: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The run completed its work.
    Succeeded,
    /// The run failed through a fault of the task or of its worker.
    Failed,
    /// The run was ordered to stop.
    Stopped,
    /// The lease of the run's worker expired, or the worker is gone.
    Lost,
    /// Another member of the run's gang ended.
    GangBroken,
    /// The other members of the run's gang did not start in time.
    GangIncomplete,
    /// The run never started and cannot start any more.
    NeverStarted,
}

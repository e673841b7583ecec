//! Commands of the workflow log.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::queues::{Queue, QueueConfiguration};
use super::spec::{StageKey, TaskIndex, TaskKey, WorkflowSpec};
use super::workers::WorkerRecord;
use crate::ids::{Epoch, Incarnation, JobId, WorkerId};

/// Number of a run of a task; the first is 1. All members of a gang share it.
pub type RunNumber = u32;

/// What a leader appends at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Leader that made it. Batches of earlier leaders have no effect after a take-over.
    pub epoch: Epoch,
    /// Number of the batch within the epoch.
    pub sequence: u64,
    /// Changes in order.
    pub records: Vec<Record>,
}

/// One change of the state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The leader of the batch takes over.
    TakenOver,
    /// A configuration with a higher version than the one in force.
    QueuesReplaced(Box<QueueConfiguration>),
    /// A worker announced itself or changed.
    WorkerSeen(Box<WorkerRecord>),
    /// A worker left for good.
    WorkerLeft {
        /// Worker.
        worker: WorkerId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A job was accepted.
    JobAccepted {
        /// Job, named by its caller.
        id: JobId,
        /// Queue as configured at that time.
        queue: Box<Queue>,
        /// What to run.
        spec: Box<WorkflowSpec>,
        /// Time of acceptance.
        at_unix_ms: u64,
    },
    /// A job was cancelled.
    JobCancelled {
        /// Job.
        id: JobId,
        /// Time of the cancellation.
        at_unix_ms: u64,
    },
    /// Runs were assigned to workers. Their former runs, if any, have certainly ended.
    RunsPlaced {
        /// Stage.
        stage: StageKey,
        /// The runs.
        placements: Vec<Placement>,
    },
    /// The latest run of a task ended.
    RunEnded {
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// How it ended.
        outcome: RunOutcome,
        /// Latest checkpoint; empty for none.
        checkpoint: String,
        /// Time at which the placer learned of it.
        at_unix_ms: u64,
    },
    /// Ended jobs whose retention is over.
    JobsForgotten(Vec<JobId>),
}

/// A run on a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// Task.
    pub task: TaskIndex,
    /// Run.
    pub run: RunNumber,
    /// Worker.
    pub worker: WorkerId,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
pub enum RunOutcome {
    /// It did its work.
    Succeeded,
    /// It failed, by its own or its worker's fault.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease lapsed, or its worker is gone.
    Lost,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start in time.
    GangIncomplete,
    /// It never started and cannot start any more.
    NeverStarted,
}

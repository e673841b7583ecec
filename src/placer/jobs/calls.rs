//! Calls of the job placer to workers.

use std::sync::Arc;

use thiserror::Error;

use crate::ids::{Epoch, Incarnation, JobId, TaskId, WorkerId};
use crate::protocol::worker::TaskState;
use crate::resources::Resources;
use crate::scheduling::overuse::Measure;

/// Operation that a worker is asked to perform. All operations are idempotent.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerRequest {
    /// Start the task unless the worker already knows its id.
    Start {
        /// Resources allocated to the task.
        resources: Resources,
        /// Payload of the job, opaque to the placer.
        payload: Vec<u8>,
    },
    /// Report the state of the task, without an effect on it.
    Query,
    /// Apply a measure to the task: throttle, checkpoint or stop.
    Apply(Measure),
    /// Stop the task. The worker records a tombstone for an unknown id, which can then never start.
    Cancel,
    /// Drop the record of an ended task.
    RemoveRecord,
}

/// One call to a worker about a task.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerCall {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Task that the call concerns.
    pub task: TaskId,
    /// Worker that the task was placed on.
    pub worker: WorkerId,
    /// Address that the worker last announced.
    pub address: String,
    /// Incarnation for which the task was decided.
    pub incarnation: Incarnation,
    /// Epoch of the placer that makes the call.
    pub epoch: Epoch,
    /// Operation to perform.
    pub request: WorkerRequest,
}

/// Reply of a worker to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerReply {
    /// State of the task after the call.
    State(TaskState),
    /// The worker refused the call; a refused start means that the task never started there.
    Refused,
}

/// Failure of a call that brought no reply.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum WorkerCallError {
    /// The worker may or may not have performed the operation.
    #[error("no answer from the worker: {0}")]
    NoAnswer(String),
}

/// Sends a call and waits for the reply for a bounded time.
pub type SendCall = Arc<dyn Fn(&WorkerCall) -> Result<WorkerReply, WorkerCallError> + Send + Sync>;

/// Client for calls to workers; tests replace it.
#[derive(Clone)]
pub struct WorkerClient {
    /// Sends a call and returns the reply.
    pub send: SendCall,
}

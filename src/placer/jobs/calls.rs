//! Calls to workers.

use std::sync::Arc;

use thiserror::Error;

use crate::ids::{Epoch, Incarnation, JobId, TaskId, WorkerId};
use crate::protocol::worker::TaskState;
use crate::resources::Resources;
use crate::scheduling::overuse::Measure;

/// What a worker is asked to do. All requests may be repeated.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerRequest {
    /// Create the task unless its id is known.
    Start {
        /// What it is allocated.
        resources: Resources,
        /// Opaque body.
        payload: Vec<u8>,
    },
    /// Throttle, checkpoint or stop the task.
    Apply(Measure),
    /// Stop the task; an unknown one becomes a tombstone and can never start.
    Cancel,
    /// Drop the record of an ended task.
    Forget,
}

/// One call.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerCall {
    /// Job.
    pub job: JobId,
    /// Task.
    pub task: TaskId,
    /// Worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: String,
    /// Incarnation for which the task was decided.
    pub incarnation: Incarnation,
    /// Epoch of the placer.
    pub epoch: Epoch,
    /// What to do.
    pub request: WorkerRequest,
}

/// Answer of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerReply {
    /// State of the task.
    State(TaskState),
    /// The worker refused the call and the task has never started there.
    Refused,
}

/// A call without an answer.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum WorkerCallError {
    /// The worker may or may not have carried it out.
    #[error("no answer from the worker: {0}")]
    NoAnswer(String),
}

/// Sends a call and waits for the answer, for a bounded time.
pub type SendCall = Arc<dyn Fn(&WorkerCall) -> Result<WorkerReply, WorkerCallError> + Send + Sync>;

/// Access to workers.
#[derive(Clone)]
pub struct WorkerClient {
    /// Sends a call.
    pub send: SendCall,
}

//! Messages about jobs between callers, entry hosts and placers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::caller::Urgency;
use crate::ids::JobId;
use crate::resources::Resources;
use crate::scheduling::job::{JobSpec, LocationPreference};

/// Body of `POST /v1/jobs`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmission {
    /// Idempotency key; the entry host makes one when it is absent.
    #[serde(default)]
    pub id: Option<JobId>,
    /// Workload kind.
    pub kind: String,
    /// Jobs with the same workload name are expected to behave alike; by default the kind.
    #[serde(default)]
    pub workload: Option<String>,
    /// Tasks; all of the same size.
    pub tasks: u32,
    /// What each task needs.
    pub resources: Resources,
    /// Declared run time.
    #[serde(default)]
    pub expected_run_ms: Option<u64>,
    /// Order within the member.
    #[serde(default)]
    pub urgency: Urgency,
    /// A task is never started a second time.
    #[serde(default)]
    pub at_most_once: bool,
    /// Preferred location.
    #[serde(default)]
    pub preference: LocationPreference,
    /// Body that each task gets.
    #[serde(default)]
    pub payload: String,
}

/// What a caller wants of the placer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobCall {
    /// Accept a job; the same job may be submitted again.
    Submit(Box<JobSpec>),
    /// Tell its state.
    Query(JobId),
    /// Cancel it.
    Cancel(JobId),
}

/// Progress of a job.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum JobPhase {
    /// No task has an allocation.
    Waiting,
    /// Some tasks have an allocation.
    Running,
    /// Cancelled; its tasks are being stopped.
    Stopping,
    /// Over.
    Ended,
    /// Over by a cancellation.
    Cancelled,
}

/// What a caller sees of its job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Identifier.
    pub id: JobId,
    /// Progress.
    pub phase: JobPhase,
    /// Tasks; absent once the job is over.
    pub tasks: Option<u32>,
    /// Tasks with an allocation.
    pub running: usize,
    /// Tasks that succeeded.
    pub succeeded: usize,
    /// Tasks that were given up.
    pub failed: usize,
    /// Why tasks were given up or the job was refused; empty otherwise.
    pub reason: String,
}

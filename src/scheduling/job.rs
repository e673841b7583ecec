//! Job specifications and the results of tasks.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{CallerId, DataCentreName, JobId, MemberId, RegionName, TaskId};
use crate::protocol::caller::Urgency;
use crate::resources::Resources;

/// Preferred or required location of the tasks of a job.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocationPreference {
    /// Data centre that holds the input of the job.
    #[serde(default)]
    pub data_centre: Option<DataCentreName>,
    /// Region of the input; bytes cross regions when a task runs elsewhere.
    #[serde(default)]
    pub region: Option<RegionName>,
    /// Number of input and output bytes of one task.
    #[serde(default)]
    pub transfer_bytes: u64,
    /// Whether `data_centre` is a requirement instead of a preference.
    #[serde(default)]
    pub required: bool,
}

/// A job as the caller described it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Identifier, unique in the data centre.
    pub id: JobId,
    /// Name of a registered workload kind.
    pub kind: String,
    /// Member whose share and quota the job counts against.
    pub member: MemberId,
    /// Caller within the member.
    pub caller: CallerId,
    /// Name under which estimates and failure rates are shared: the member's jobs with the same
    /// name are expected to behave alike.
    pub workload: String,
    /// Number of tasks, which all have the same size.
    pub tasks: u32,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Declared run time of a task, which is often wrong. Observed run times take precedence.
    #[serde(default)]
    pub expected_run_ms: Option<u64>,
    /// Priority among the jobs of the member.
    #[serde(default)]
    pub urgency: Urgency,
    /// Whether tasks of this job must never be started a second time.
    #[serde(default)]
    pub at_most_once: bool,
    /// Preferred or required location.
    #[serde(default)]
    pub preference: LocationPreference,
    /// Opaque data that is passed to the worker.
    #[serde(default)]
    pub payload: Vec<u8>,
}

impl JobSpec {
    /// Key under which estimates and failure rates are kept.
    pub fn workload_key(&self) -> String {
        format!("{}/{}", self.member, self.workload)
    }

    /// Returns the identifier of one attempt to run one task, `<job>-<index>-<attempt>`.
    pub fn task_id(&self, index: u32, attempt: u32) -> TaskId {
        format!("{}-{index}-{attempt}", self.id)
    }
}

/// Splits a task id into the job, the index of the task and the number of the attempt; returns
/// `None` if it doesn't have the form of [`JobSpec::task_id`].
pub fn parse_task_id(task: &str) -> Option<(&str, u32, u32)> {
    let (rest, attempt) = task.rsplit_once('-')?;
    let (job, index) = rest.rsplit_once('-')?;
    Some((job, index.parse().ok()?, attempt.parse().ok()?))
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum TaskEnd {
    /// The task finished its work.
    Succeeded,
    /// The task failed after it had started.
    Failed,
    /// The scheduler or the worker stopped the task.
    Stopped,
    /// The worker never started the task.
    NeverStarted,
    /// The worker restarted without the task, or was lost and its lease plus the margin expired.
    Lost,
}

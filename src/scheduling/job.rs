//! What a job asks for.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{CallerId, DataCentreName, JobId, MemberId, RegionName, TaskId};
use crate::protocol::caller::Urgency;
use crate::resources::Resources;

/// Where a job would like to run.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocationPreference {
    /// Data centre that holds its input.
    #[serde(default)]
    pub data_centre: Option<DataCentreName>,
    /// Region of its input; bytes cross regions when a task runs elsewhere.
    #[serde(default)]
    pub region: Option<RegionName>,
    /// Input and output bytes of one task.
    #[serde(default)]
    pub transfer_bytes: u64,
    /// Whether `data_centre` is a condition and not only a preference.
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
    /// Member that pays.
    pub member: MemberId,
    /// Caller within the member.
    pub caller: CallerId,
    /// Jobs with the same workload name are expected to behave alike.
    pub workload: String,
    /// Tasks; all of the same size.
    pub tasks: u32,
    /// What each task needs.
    pub resources: Resources,
    /// Declared run time; often wrong.
    #[serde(default)]
    pub expected_run_ms: Option<u64>,
    /// Order within the member.
    #[serde(default)]
    pub urgency: Urgency,
    /// A task of this job is never started a second time.
    #[serde(default)]
    pub at_most_once: bool,
    /// Preferred location.
    #[serde(default)]
    pub preference: LocationPreference,
    /// Opaque body for the worker.
    #[serde(default)]
    pub payload: Vec<u8>,
}

impl JobSpec {
    /// Key under which estimates and failure rates are kept.
    pub fn workload_key(&self) -> String {
        format!("{}/{}", self.member, self.workload)
    }

    /// Identifier of one attempt to run one task.
    pub fn task_id(&self, index: u32, attempt: u32) -> TaskId {
        format!("{}-{index}-{attempt}", self.id)
    }
}

/// Job, number of the task and number of the attempt in a task id; `None` for other ids.
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
    /// It finished its work.
    Succeeded,
    /// It failed after it had started.
    Failed,
    /// The scheduler or the worker stopped it.
    Stopped,
    /// The worker never started it.
    NeverStarted,
    /// Its worker was lost and the lease with its margin is over.
    Lost,
}

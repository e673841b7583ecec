//! Messages between placers and workers or runners.

use derive_more::{Display, FromStr};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, Epoch, Incarnation, ServiceName, TaskId, WorkerId};
use crate::resources::Resources;

/// State of a task on its worker.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum TaskState {
    /// Started and not ended.
    Running,
    /// Ended with an answer.
    Succeeded,
    /// Failed after it had started.
    Failed,
    /// Stopped before its end, by request or because its lease expired.
    Stopped,
    /// Never started: its create was refused, or a tombstone refuses any later create.
    NeverStarted,
    /// The worker has no record of the task. A create still in transit may start it.
    Unknown,
}

/// Whether a worker accepts new tasks.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum WorkerPhase {
    /// Accepts new tasks.
    Up,
    /// Finishes its running tasks and accepts no new ones.
    Leaving,
}

/// The part of an announcement that makes a worker a runner of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerCapacity {
    /// Service whose requests the runner executes.
    pub service: ServiceName,
    /// Maximum number of requests executed concurrently.
    pub slots: u32,
    /// Maximum number of open connections to the runner.
    pub connections: u32,
}

/// State of a worker, sent to any entry host at start, at intervals and on changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Identifier chosen by the worker.
    pub worker: WorkerId,
    /// Increases with each start of the worker.
    pub incarnation: Incarnation,
    /// Data centre of the worker.
    pub data_centre: DataCentreName,
    /// Rack within the data centre.
    pub rack: String,
    /// Address of the worker's HTTP interface, as IP address and port.
    pub address: String,
    /// Total resources of the worker.
    pub resources: Resources,
    /// Capacity for requests; present on runners only.
    pub runner: Option<RunnerCapacity>,
    /// Whether the worker accepts new tasks.
    pub phase: WorkerPhase,
    /// States of the tasks that the worker has on record.
    #[serde(default)]
    pub tasks: IndexMap<TaskId, TaskState>,
    /// Measured usage of running tasks; may be out of date.
    #[serde(default)]
    pub usage: IndexMap<TaskId, Resources>,
    /// Highest epoch that the worker has seen.
    #[serde(default)]
    pub highest_epoch: Epoch,
}

/// Reply to an announcement. It renews the leases of all tasks of the worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnouncementReply {
    /// Epoch of the data centre's placer.
    pub epoch: Epoch,
    /// New remaining lease of the worker's tasks, in milliseconds.
    pub lease_ms: u64,
    /// Time until the next announcement is due, in milliseconds.
    pub next_announcement_ms: u64,
    /// Tasks that the worker must stop because the placer does not know them.
    #[serde(default)]
    pub stop: Vec<TaskId>,
}

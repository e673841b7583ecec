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
    /// Ended with a failure after it had started.
    Failed,
    /// Stopped before its end, by request or because its lease lapsed.
    Stopped,
    /// Never started: a refused create, or a tombstone for which a later create is refused.
    NeverStarted,
    /// The worker has no record of the id. A create that is still on its way may start it.
    Unknown,
}

/// Whether a worker wants new work.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum WorkerPhase {
    /// Accepts new tasks.
    Up,
    /// Finishes its tasks and accepts no new ones.
    Leaving,
}

/// The part of an announcement that makes a worker a runner of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerCapacity {
    /// Service whose requests it executes.
    pub service: ServiceName,
    /// Requests that it executes at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
}

/// Sent by a worker to any entry host, at start, at intervals and when it changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Identifier chosen by the worker.
    pub worker: WorkerId,
    /// Grows with each start of the worker.
    pub incarnation: Incarnation,
    /// Data centre in which the worker is.
    pub data_centre: DataCentreName,
    /// Rack within the data centre.
    pub rack: String,
    /// Address of its HTTP interface, as IP number and port.
    pub address: String,
    /// What it has in all.
    pub resources: Resources,
    /// Present on runners.
    pub runner: Option<RunnerCapacity>,
    /// Whether it wants new work.
    pub phase: WorkerPhase,
    /// Tasks that it holds, with their states.
    #[serde(default)]
    pub tasks: IndexMap<TaskId, TaskState>,
    /// Measured usage of running tasks; lags behind.
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
    /// New remaining lease of the worker's tasks.
    pub lease_ms: u64,
    /// When to announce again.
    pub next_announcement_ms: u64,
    /// Tasks that the worker must stop since the placer does not know them.
    #[serde(default)]
    pub stop: Vec<TaskId>,
}

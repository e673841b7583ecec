//! Describes workers as they announce themselves in heartbeats.

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, Incarnation, ServiceName, WorkerId};
use crate::resources::Resources;

/// Description of a worker that is committed to the log; changes rarely.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Identifier; a later incarnation may use it again.
    pub id: WorkerId,
    /// Start of the worker in Unix milliseconds. A larger value means that no run of an
    /// earlier incarnation exists there.
    pub incarnation: Incarnation,
    /// IP address and port of the worker's listener.
    pub address: String,
    /// Service that the worker belongs to; it runs tasks of the queues of this service.
    pub service: ServiceName,
    /// Data centre of the worker.
    pub data_centre: DataCentreName,
    /// Resources for all runs together.
    pub capacity: Resources,
    /// Labels that stages can require; the last one is the rack.
    pub labels: Vec<String>,
    /// Whether the worker finishes its runs and must not receive new ones.
    pub draining: bool,
}

/// A heartbeat of a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Description of the worker at present.
    pub record: WorkerRecord,
    /// Grows with each heartbeat of an incarnation, so that a delayed one is recognised.
    pub sequence: u64,
}

impl WorkerRecord {
    /// Rack, which is the last label; empty if there are no labels.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }

    /// Whether the worker carries a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| own == label)
    }
}

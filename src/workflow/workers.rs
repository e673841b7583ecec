//! Workers as they announce themselves.

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, Incarnation, ServiceName, WorkerId};
use crate::resources::Resources;

/// What is recorded of a worker; changes rarely.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Identifier; may be used again by a later incarnation.
    pub id: WorkerId,
    /// Unix milliseconds of its start. A larger one means that nothing of before runs there.
    pub incarnation: Incarnation,
    /// IP address and port of its listener.
    pub address: String,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// What it has.
    pub capacity: Resources,
    /// Kind and rack.
    pub labels: Vec<String>,
    /// It finishes its runs and must get no new ones.
    pub draining: bool,
}

/// A heartbeat of a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// What it says of itself.
    pub record: WorkerRecord,
    /// Grows with each heartbeat of an incarnation, so that a late one can be told.
    pub sequence: u64,
}

impl WorkerRecord {
    /// Rack, which is the last label.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }

    /// Whether it carries a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| own == label)
    }
}

//! State that other parts of the host own and the administration interface reports.

use std::sync::Arc;

use serde::Serialize;

use super::replicas::ReplicaControl;
use crate::ids::{ConfigVersion, DataCentreName, HostId, MemberId, RegionName};
use crate::protocol::worker::Announcement;

/// Reads the current state of another part of the host.
pub type Source<T> = Arc<dyn Fn() -> T + Send + Sync>;

/// Closures that read the state of other parts of the entry host.
#[derive(Clone)]
pub struct AdminSources {
    /// Replicas of the configuration log; `None` when the cell has no configuration log.
    pub replicas: Option<ReplicaControl>,
    /// Whether the host accepts callers.
    pub ready: Source<bool>,
    /// Whether the host has applied what was committed when it started. Before, tokens that were
    /// revoked may still be in its configuration.
    pub configured: Source<bool>,
    /// Entry hosts of the cell.
    pub hosts: Source<Vec<HostStatus>>,
    /// Latest known applied version of each entry host.
    pub applied_versions: Source<Vec<AppliedVersion>>,
    /// Latest announcement of each known worker.
    pub fleet: Source<Vec<Announcement>>,
    /// Request queue of each known placer.
    pub queues: Source<Vec<QueueStatus>>,
    /// Members with waiting or running requests.
    pub members: Source<Vec<MemberWork>>,
}

/// An entry host of the cell, as reported to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostStatus {
    /// Identifier in the settings of the cell.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Region of the data centre.
    pub region: RegionName,
    /// Whether the host votes in the configuration log.
    pub votes: bool,
    /// Data centre for whose placement log the host is the witness.
    pub witness_for: Option<DataCentreName>,
    /// Whether the host is alive; `None` when this is not known.
    pub alive: Option<bool>,
}

/// Configuration version that an entry host has applied.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AppliedVersion {
    /// Identifier of the entry host.
    pub host: HostId,
    /// Data centre of the entry host.
    pub data_centre: DataCentreName,
    /// Version that the host has applied.
    pub version: ConfigVersion,
    /// Time since the host applied that version.
    pub applied_age_ms: u64,
    /// Time since the host's last report; zero for this host.
    pub reported_age_ms: u64,
}

/// State of the request queue of a placer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QueueStatus {
    /// Data centre of the placer.
    pub data_centre: DataCentreName,
    /// Whether this host is the placer; other hosts do not know the length of the queue.
    pub leading: bool,
    /// Number of requests that wait for a request slot.
    pub queued_requests: usize,
}

/// Numbers of waiting and running requests of a member.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberWork {
    /// Member that sent the requests.
    pub member: MemberId,
    /// Number of requests that wait for a request slot.
    pub queued_requests: u64,
    /// Number of requests that execute now.
    pub running_requests: u64,
}

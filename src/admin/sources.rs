//! State that the administration interface shows and that other parts of the host own.

use std::sync::Arc;

use serde::Serialize;

use super::replicas::ReplicaControl;
use crate::ids::{ConfigVersion, DataCentreName, HostId, MemberId, RegionName};
use crate::protocol::worker::Announcement;

/// Reads a state.
pub type Source<T> = Arc<dyn Fn() -> T + Send + Sync>;

/// Closures that read the state of other parts of the entry host.
#[derive(Clone)]
pub struct AdminSources {
    /// Replicas of the configuration log; `None` when the cell has none.
    pub replicas: Option<ReplicaControl>,
    /// Whether the host wants callers.
    pub ready: Source<bool>,
    /// Entry hosts of the cell.
    pub hosts: Source<Vec<HostStatus>>,
    /// Latest known applied version of each entry host.
    pub applied_versions: Source<Vec<AppliedVersion>>,
    /// Latest announcement of each known worker.
    pub fleet: Source<Vec<Announcement>>,
    /// Queue of each known placer.
    pub queues: Source<Vec<QueueStatus>>,
    /// Members with work.
    pub members: Source<Vec<MemberWork>>,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostStatus {
    /// Identifier.
    pub host: HostId,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Region.
    pub region: RegionName,
    /// Whether it votes in the configuration log.
    pub votes: bool,
    /// Data centre for whose placement log it is the witness.
    pub witness_for: Option<DataCentreName>,
    /// Whether it is alive; absent when not known.
    pub alive: Option<bool>,
}

/// Configuration that an entry host applies.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AppliedVersion {
    /// Entry host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Version that it applies.
    pub version: ConfigVersion,
    /// Time since it applied that version.
    pub applied_age_ms: u64,
    /// Time since it last reported; zero for this host.
    pub reported_age_ms: u64,
}

/// Queue of a placer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QueueStatus {
    /// Data centre of the placer.
    pub data_centre: DataCentreName,
    /// Whether this host is the placer; otherwise the queue is not known here.
    pub leading: bool,
    /// Requests that wait for a slot.
    pub queued_requests: usize,
}

/// Work of a member.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberWork {
    /// Member.
    pub member: MemberId,
    /// Requests that wait for a slot.
    pub queued_requests: u64,
    /// Requests executing now.
    pub running_requests: u64,
}

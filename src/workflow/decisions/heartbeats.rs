//! Which heartbeats of workers need no decision of the placer.

use super::super::workers::{WorkerHeartbeat, WorkerRecord};
use crate::ids::Incarnation;

/// Whether a heartbeat tells nothing beyond the committed record, so that each storage host may
/// acknowledge it. `latest` is the last heartbeat of the worker that this host acknowledged.
///
/// Heartbeats of draining workers are for the placer: a host that lags may hold the record of an
/// earlier drain that was ended since, and the acknowledgement means that the placer knows.
pub fn is_known(
    heartbeat: &WorkerHeartbeat,
    committed: Option<&WorkerRecord>,
    latest: Option<(Incarnation, u64)>,
) -> bool {
    let record = &heartbeat.record;
    if record.draining || committed != Some(record) {
        return false;
    }
    latest.is_none_or(|latest| latest < (record.incarnation, heartbeat.sequence))
}

//! Selects the worker heartbeats that storage hosts may acknowledge without the placer.

use super::super::workers::{WorkerHeartbeat, WorkerRecord};
use crate::ids::Incarnation;

/// Whether a heartbeat equals the committed record, so that any storage host may acknowledge it.
/// `latest` is the last heartbeat of the worker that this host acknowledged.
///
/// Heartbeats of draining workers always go to the placer: a host that lags may still hold the
/// record of an earlier drain that has ended since, and the acknowledgement has to mean that the
/// placer knows of the drain.
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

//! Selects the worker heartbeats that storage hosts may acknowledge without the placer, and decides
//! when the records of workers are outdated.

use std::time::{Duration, Instant};

use super::super::workers::{WorkerHeartbeat, WorkerRecord};
use crate::ids::Incarnation;

/// Longest time without a placer after which the next one relies on the recorded capacities. A
/// worker may shrink as soon as the former placer is gone, and its next heartbeat takes 1.5 s and
/// one repetition to arrive; together they have to be shorter than the 4 s within which a smaller
/// capacity must be known.
const MAX_TIME_WITHOUT_PLACER: Duration = Duration::from_millis(1_500);

/// Whether a new placer has to wait for the heartbeat of each worker before it relies on its
/// record. `leader_seen_at` is the time at which this host last led or heard of a leader.
pub fn may_be_outdated(leader_seen_at: Option<Instant>, now: Instant) -> bool {
    leader_seen_at.is_none_or(|seen_at| now > seen_at + MAX_TIME_WITHOUT_PLACER)
}

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

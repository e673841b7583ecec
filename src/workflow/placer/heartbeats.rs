//! Heartbeats that a storage host acknowledges without the placer.

use std::time::Duration;

use super::super::decisions::heartbeats::is_known;
use super::super::workers::WorkerHeartbeat;
use super::Placer;

/// Time since the leader was heard in which the committed state counts as current: ten heartbeats
/// of the log, and less than the interval of a worker's heartbeats.
const LEADER_FRESHNESS: Duration = Duration::from_secs(1);

impl Placer {
    /// Whether a heartbeat is to be acknowledged from the committed state of this host. With 350
    /// workers, calling the placer for each heartbeat takes processor time from the log.
    pub(super) fn knows(&self, heartbeat: &WorkerHeartbeat) -> bool {
        if !self.follows_leader() {
            return false;
        }
        let record = &heartbeat.record;
        let mut acknowledged = self.acknowledged_heartbeats.lock().unwrap();
        let state = self.committed.state.lock().unwrap();
        let latest = acknowledged.get(&record.id).copied();
        if !is_known(heartbeat, state.workers.get(&record.id), latest) {
            return false;
        }
        let position = (record.incarnation, heartbeat.sequence);
        acknowledged.insert(record.id.clone(), position);
        if acknowledged.len() > 2 * state.workers.len() {
            acknowledged.retain(|worker, _| state.workers.contains_key(worker));
        }
        true
    }

    /// Whether this host leads, or has heard of the leader lately.
    fn follows_leader(&self) -> bool {
        if self.replica.leadership().is_some() {
            return true;
        }
        let status = self.replica.status();
        // A replica that has just started takes the leader for heard without knowing one.
        let heard_at = status.heard_leader_at.filter(|_| status.leader.is_some());
        heard_at.is_some_and(|heard_at| self.clock.now() < heard_at + LEADER_FRESHNESS)
    }
}

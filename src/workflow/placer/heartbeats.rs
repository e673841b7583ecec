//! Heartbeats of workers that a storage host acknowledges without the placer.

use std::time::Duration;

use super::super::decisions::heartbeats::is_known;
use super::super::workers::WorkerHeartbeat;
use super::Placer;

/// Time since the last message of the leader for which the committed state counts as current: ten
/// heartbeats of the log, and less than the interval of a worker's heartbeats.
const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_secs(1);

impl Placer {
    /// Whether this host can acknowledge a heartbeat from its committed state, because the record
    /// of the worker in it is up to date. With 350 workers, calling the placer for each heartbeat
    /// would take processor time from the log.
    pub(super) fn is_recorded(&self, heartbeat: &WorkerHeartbeat) -> bool {
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

    /// Whether this host leads or has received a message of the leader recently.
    fn follows_leader(&self) -> bool {
        if self.replica.leadership().is_some() {
            return true;
        }
        let status = self.replica.status();
        // A replica that has just started reports a contact time although it knows no leader yet.
        let heard_at = status.heard_leader_at.filter(|_| status.leader.is_some());
        heard_at.is_some_and(|heard_at| self.clock.now() < heard_at + LEADER_CONTACT_TIMEOUT)
    }
}

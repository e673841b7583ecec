//! Heartbeats of workers that a storage host acknowledges without the placer, and workers whose
//! heartbeats a new placer has to wait for.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::super::decisions::heartbeats::{is_known, may_be_outdated};
use super::super::records::Record;
use super::super::workers::WorkerHeartbeat;
use super::term::Term;
use super::{Now, Placer};
use crate::ids::{HostId, Incarnation, WorkerId};
use crate::replication::ReplicaStatus;

/// Time since the last message of the leader for which the committed state counts as current: ten
/// heartbeats of the log, and less than the interval of a worker's heartbeats.
const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_secs(1);

/// Heartbeats and contacts that a storage host keeps in memory.
#[derive(Default)]
pub(super) struct HeartbeatRecords {
    /// Incarnation and sequence number of the latest heartbeat of each worker that this host
    /// acknowledged from the committed state.
    acknowledged: IndexMap<WorkerId, (Incarnation, u64)>,
    /// Latest time at which this host led or had heard of a leader; `None` if it never did.
    leader_seen_at: Option<Instant>,
}

impl Placer {
    /// Whether this host can acknowledge a heartbeat from its committed state, because the record
    /// of the worker in it is up to date. With 350 workers, calling the placer for each heartbeat
    /// would take processor time from the log.
    pub(super) fn is_recorded(&self, heartbeat: &WorkerHeartbeat) -> bool {
        if !self.follows_leader() {
            return false;
        }
        let record = &heartbeat.record;
        let mut heartbeats = self.heartbeats.lock().unwrap();
        let acknowledged = &mut heartbeats.acknowledged;
        let state = self.committed.state.lock().unwrap();
        let latest = acknowledged.get(&record.id).copied();
        if !is_known(heartbeat, state.current_worker(&record.id), latest) {
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
        let seen_at = self.leader_seen_at();
        seen_at.is_some_and(|seen_at| self.clock.now() < seen_at + LEADER_CONTACT_TIMEOUT)
    }

    /// Returns the current time while this host leads, and otherwise the time of the latest message
    /// of a leader that is known.
    fn leader_seen_at(&self) -> Option<Instant> {
        if self.replica.leadership().is_some() {
            return Some(self.clock.now());
        }
        heard_other_leader_at(&self.replica.status(), &self.settings.host)
    }

    /// Records whether this host leads or hears of a leader, also for the time after that.
    pub(super) fn record_leader_contact(&self) {
        if let Some(seen_at) = self.leader_seen_at() {
            self.heartbeats.lock().unwrap().leader_seen_at = Some(seen_at);
        }
    }

    /// Returns the latest recorded time at which this host led or heard of a leader.
    pub(super) fn recorded_leader_contact(&self) -> Option<Instant> {
        self.heartbeats.lock().unwrap().leader_seen_at
    }
}

/// Returns the time of the latest message of another host that leads. A replica that has just
/// started reports a contact time although it knows no leader yet, and an elected one names itself as
/// the leader before its first commit.
pub(super) fn heard_other_leader_at(status: &ReplicaStatus, host: &HostId) -> Option<Instant> {
    let other = status.leader.as_ref().filter(|leader| *leader != host);
    status.heard_leader_at.filter(|_| other.is_some())
}

impl Term {
    /// Marks the workers as outdated if the cell had no placer for long before this term.
    /// `leader_seen_at` is the time at which this host last led or heard of a leader before.
    pub(super) fn expect_heartbeats(&mut self, leader_seen_at: Option<Instant>, now: Now) {
        if self.workers.is_empty() || !may_be_outdated(leader_seen_at, now.at) {
            return;
        }
        let after_ms = leader_seen_at.map(|at| now.at.saturating_duration_since(at).as_millis());
        log::info!(
            epoch = self.epoch, workers = self.workers.len(), after_ms:? = after_ms;
            "workers receive no runs before their next heartbeat: there was no placer for long"
        );
        self.record(Record::WorkersOutdated);
    }
}

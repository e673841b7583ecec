//! Workers of a term: heartbeats, departures and lapsed leases.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use super::super::records::{Record, RunOutcome};
use super::super::spec::{StageKey, TaskKey};
use super::super::workers::{WorkerHeartbeat, WorkerRecord};
use super::Now;
use super::load::LOAD_REPORT_TICKS;
use super::relaying::GRANT_TICKS;
use super::term::{LiveWorker, RunPhase, Term};
use crate::ids::WorkerId;
use crate::scheduling::ledger::{WorkerDescription, WorkerStatus};

/// Time after which a stop order without effect is given again.
const STOP_AGAIN_AFTER: Duration = Duration::from_millis(700);
/// Time without an answer after which a worker with nothing on it is forgotten.
const FORGET_SILENT_AFTER: Duration = Duration::from_secs(60);
/// Interval of the look for jobs whose retention is over, in ticks.
const FORGET_JOBS_TICKS: u64 = 100;

impl Term {
    /// Takes note of a worker that is not known in this term.
    pub(super) fn add_worker(&mut self, record: WorkerRecord, now: Instant) {
        let index = self.ledger.announce(describe(&record));
        let pool = self.pool_of(&record.service);
        self.ledger.set_pool(index, pool);
        // It accepts runs once it has answered in this term.
        self.ledger.set_status(index, WorkerStatus::Lost);
        let worker = LiveWorker {
            index,
            heartbeat_sequence: 0,
            clock: None,
            granted_until_clock_ms: 0,
            reachable: false,
            silent_since: None,
            seen_ends: 0,
            recorded_ends: 0,
            runs: IndexSet::new(),
            health: Default::default(),
            leaving: false,
            relay: None,
            relayed_since: now,
            avoided_relay: None,
            record,
        };
        self.workers.insert(worker.record.id.clone(), worker);
    }

    pub(super) fn note_heartbeat(&mut self, heartbeat: WorkerHeartbeat, now: Now) {
        let WorkerHeartbeat { record, sequence } = heartbeat;
        let id = record.id.clone();
        let at_same_address = self
            .workers
            .values()
            .find(|other| other.record.address == record.address && other.record.id != id);
        if let Some(other) = at_same_address {
            if other.record.incarnation >= record.incarnation {
                log::info!(worker = id.as_str(), successor = other.record.id.as_str(); "late heartbeat of a former worker ignored");
                return;
            }
            let former = other.record.id.clone();
            self.remove_worker(&former, now);
        }
        if let Some(known) = self.workers.get_mut(&id) {
            let stale = record.incarnation < known.record.incarnation
                || (record.incarnation == known.record.incarnation
                    && sequence < known.heartbeat_sequence);
            if stale {
                log::info!(worker = id.as_str(), incarnation = record.incarnation, sequence; "late heartbeat ignored");
                return;
            }
            known.heartbeat_sequence = sequence;
            if known.record == record {
                return;
            }
            if known.record.incarnation < record.incarnation {
                self.end_runs_on(&id, RunOutcome::Lost, "the worker restarted", now);
                self.forget_permits(&id);
                self.workers.shift_remove(&id);
            }
        }
        let pool = self.pool_of(&record.service);
        log::info!(
            worker = id.as_str(), incarnation = record.incarnation, address = record.address.as_str(),
            draining = record.draining, capacity:% = record.capacity;
            "worker announced itself"
        );
        self.record(Record::WorkerSeen(Box::new(record.clone())));
        match self.workers.get_mut(&id) {
            Some(known) => {
                let reachable = known.reachable;
                known.record = record;
                self.ledger.announce(describe(&known.record));
                self.ledger.set_pool(known.index, pool);
                if !reachable {
                    self.ledger.set_status(known.index, WorkerStatus::Lost);
                }
            }
            None => self.add_worker(record, now.at),
        }
    }

    /// Takes note that a worker leaves. The call may be a late one of an earlier incarnation, so
    /// its runs end only when its port is found closed or its lease lapses.
    pub(super) fn note_leave(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.leaving = true;
        let index = worker.index;
        log::info!(worker = id.as_str(), runs = worker.runs.len(); "worker says that it leaves");
        self.ledger.set_status(index, WorkerStatus::Leaving);
    }

    /// Removes a worker that is gone for good.
    pub(super) fn remove_worker(&mut self, id: &WorkerId, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let (incarnation, index) = (worker.record.incarnation, worker.index);
        log::info!(worker = id.as_str(), incarnation; "worker left");
        self.end_runs_on(id, RunOutcome::Lost, "the worker left", now);
        self.forget_permits(id);
        self.workers.shift_remove(id);
        self.ledger.forget(index);
        self.record(Record::WorkerLeft {
            worker: id.clone(),
            incarnation,
        });
    }

    /// Drops what is known and held for stages on a worker: its next life may be of another kind.
    fn forget_permits(&mut self, id: &WorkerId) {
        let keys: Vec<StageKey> = self.stages.keys().cloned().collect();
        for key in keys {
            self.release_hold(&key, id);
            if let Some(stage) = self.stages.get_mut(&key) {
                stage.permits.forget(id);
            }
        }
    }

    fn end_runs_on(&mut self, id: &WorkerId, outcome: RunOutcome, reason: &str, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let runs: Vec<TaskKey> = worker.runs.iter().cloned().collect();
        if runs.is_empty() {
            return;
        }
        log::warn!(worker = id.as_str(), runs = runs.len(); "runs ended as {outcome}: {reason}");
        for task in runs {
            self.finish_run(&task, outcome, String::new(), now);
        }
    }

    /// Time-driven steps.
    pub(super) fn tick(&mut self, now: Now) {
        if !self.ready {
            return;
        }
        self.end_lapsed_runs(now);
        self.end_runs_without_worker(now);
        self.assign_relays(now.at);
        self.repeat_starts(now);
        self.repeat_stops(now.at);
        let tick = self.next_tick();
        if tick.is_multiple_of(FORGET_JOBS_TICKS) {
            self.forget_old_jobs(now.unix_ms);
        }
        if tick.is_multiple_of(LOAD_REPORT_TICKS) {
            self.report_load(now.at);
        }
        // Ranks, permits and avoided workers change with time.
        self.passes.changed = true;
        if tick.is_multiple_of(GRANT_TICKS) {
            self.due_grants.extend(self.workers.keys().cloned());
        }
        self.activate_due_occurrences(now);
    }

    fn next_tick(&mut self) -> u64 {
        self.ticks += 1;
        self.ticks
    }

    fn end_lapsed_runs(&mut self, now: Now) {
        let max_lease = self.settings.max_lease;
        let mut lapsed = Vec::new();
        let mut forgotten = Vec::new();
        for (id, worker) in &self.workers {
            let Some(silent_since) = worker.silent_since else {
                continue;
            };
            if now.at < worker.lapses_at(self.began_at, max_lease) {
                continue;
            }
            lapsed.push(id.clone());
            if now.at > silent_since + FORGET_SILENT_AFTER {
                forgotten.push(id.clone());
            }
        }
        for id in lapsed {
            self.end_runs_on(&id, RunOutcome::Lost, "the lease lapsed", now);
        }
        for id in forgotten {
            self.remove_worker(&id, now);
        }
    }

    /// Ends runs of earlier terms whose worker left or restarted meanwhile.
    fn end_runs_without_worker(&mut self, now: Now) {
        if self.adopted_checked {
            return;
        }
        self.adopted_checked = true;
        let mut orphans = Vec::new();
        for (task, run) in &self.runs {
            let known = self.workers.get(&run.worker);
            if !known.is_some_and(|worker| worker.runs.contains(task)) {
                orphans.push(task.clone());
            }
        }
        for task in orphans {
            log::warn!(task:% = task; "run ended as lost: its worker left or restarted");
            self.finish_run(&task, RunOutcome::Lost, String::new(), now);
        }
    }

    fn repeat_stops(&mut self, now: Instant) {
        let mut due = Vec::new();
        for (task, run) in &self.runs {
            let RunPhase::Stopping { ordered_at, .. } = run.phase else {
                continue;
            };
            let reachable = self
                .workers
                .get(&run.worker)
                .is_some_and(|worker| worker.reachable);
            if reachable && now >= ordered_at + STOP_AGAIN_AFTER {
                due.push(task.clone());
            }
        }
        for task in due {
            self.order_stop(&task, now);
        }
        self.stray_stops
            .retain(|_, at| now < *at + STOP_AGAIN_AFTER);
    }

    fn forget_old_jobs(&mut self, unix_ms: u64) {
        let retention_ms = u64::try_from(self.settings.retention.as_millis()).unwrap_or(u64::MAX);
        let is_old = |ended: Option<u64>| ended.is_some_and(|ended| ended + retention_ms < unix_ms);
        let jobs = self.state.jobs.iter();
        let old = jobs.filter(|(_, job)| is_old(job.ended_unix_ms));
        let old: Vec<_> = old.map(|(id, _)| id.clone()).collect();
        if !old.is_empty() {
            self.record(Record::JobsForgotten(old));
        }
    }

    fn activate_due_occurrences(&mut self, now: Now) {
        let jobs = self.state.jobs.iter();
        let repeated = jobs.filter(|(_, job)| job.is_open() && job.spec.repetition.is_some());
        let repeated: Vec<_> = repeated.map(|(id, _)| id.clone()).collect();
        for id in repeated {
            self.activate_stages(&id, now);
        }
    }
}

fn describe(record: &WorkerRecord) -> WorkerDescription {
    WorkerDescription {
        id: record.id.clone(),
        incarnation: record.incarnation,
        rack: record.rack().to_owned(),
        data_centre: record.data_centre.clone(),
        region: String::new(),
        capacity: record.capacity,
        leaving: record.draining,
    }
}

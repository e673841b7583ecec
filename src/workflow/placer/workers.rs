//! Workers of a term: heartbeats, departures and expired leases.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use super::super::records::{Record, RunOutcome};
use super::super::spec::{StageKey, TaskKey};
use super::super::state::Job;
use super::super::workers::{WorkerHeartbeat, WorkerRecord};
use super::Now;
use super::load::LOAD_REPORT_TICKS;
use super::relaying::GRANT_TICKS;
use super::term::{LiveWorker, RunPhase, Term};
use crate::ids::WorkerId;
use crate::scheduling::ledger::{WorkerDescription, WorkerStatus};

/// Time after which a stop order is repeated while its run has not ended.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Time within which a worker that announced its departure has ended.
const DEPARTURE_TIME: Duration = Duration::from_secs(5);
/// Interval at which jobs are removed whose retention time is over, in ticks of 100 ms.
const JOB_REMOVAL_TICKS: u64 = 100;

impl Term {
    /// Registers a worker that is not known in this term; the state already has its record.
    pub(super) fn add_worker(&mut self, record: WorkerRecord, now: Instant) {
        let index = self.ledger.announce(describe(&record));
        let pool = self.pool_of(&record.service);
        self.ledger.set_pool(index, pool);
        let heartbeat_sequence = self.state.heartbeat_sequences.get(&record.id);
        // The worker accepts runs once it has answered in this term.
        self.ledger.set_status(index, WorkerStatus::Lost);
        let generation = self.next_generations.get(&record.id);
        let worker = LiveWorker {
            index,
            generation: generation.copied().unwrap_or(0),
            heartbeat_sequence: heartbeat_sequence.copied().unwrap_or(0),
            clock: None,
            granted_until_clock_ms: 0,
            unknown_until_clock_ms: 0,
            known_since: now,
            reachable: false,
            unresponsive_since: None,
            seen_ends: 0,
            recorded_ends: 0,
            acknowledges_from: now,
            start_raises_token: false,
            ended_starts_open_until: None,
            runs: IndexSet::new(),
            health: Default::default(),
            speed: Default::default(),
            restriction: Default::default(),
            leaving_until: None,
            ended: false,
            claim: None,
            relay: None,
            relayed_since: now,
            steps_without_report: 0,
            failed_relays: IndexSet::new(),
            record,
        };
        self.workers.insert(worker.record.id.clone(), worker);
    }

    pub(super) fn handle_heartbeat(&mut self, heartbeat: WorkerHeartbeat, now: Now) {
        if self.is_from_former_worker(&heartbeat.record) {
            return;
        }
        let Some(inherited) = self.admit_heartbeat(&heartbeat, now) else {
            return;
        };
        let WorkerHeartbeat { record, sequence } = heartbeat;
        let id = record.id.clone();
        self.remove_predecessors(&record, now);
        if let Some(known) = self.workers.get_mut(&id) {
            known.heartbeat_sequence = sequence;
            if self.state.current_worker(&id) == Some(&record) {
                return;
            }
        }
        let pool = self.pool_of(&record.service);
        log::info!(
            worker = id.as_str(), incarnation = record.incarnation, address = record.address.as_str(),
            draining = record.draining, capacity:% = record.capacity;
            "worker announced itself"
        );
        self.record(Record::WorkerAnnounced {
            worker: Box::new(record.clone()),
            heartbeat_sequence: sequence,
        });
        match self.workers.get_mut(&id) {
            Some(known) => {
                let (reachable, leaving) = (known.reachable, known.leaving_until.is_some());
                let former = std::mem::replace(&mut known.record, record);
                let resized = known.record.capacity != former.capacity;
                if known.record.incarnation != former.incarnation {
                    known.speed = Default::default();
                }
                self.ledger.announce(describe(&known.record));
                self.ledger.set_pool(known.index, pool);
                if !reachable {
                    self.ledger.set_status(known.index, WorkerStatus::Lost);
                } else if leaving {
                    self.ledger.set_status(known.index, WorkerStatus::Leaving);
                }
                if resized {
                    self.handle_capacity_change(&id, former.capacity, now);
                }
            }
            None => {
                self.add_worker(record, now.at);
                self.inherit_runs(&id, inherited, now.at);
            }
        }
    }

    /// Handles a call with which a worker announces its departure. The call may be a late one of an
    /// earlier incarnation, so that the runs end only when the port of the worker is found closed
    /// or its lease expires, and the worker receives work again if it still answers later.
    pub(super) fn handle_departure(&mut self, id: &WorkerId, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.leaving_until = Some(now + DEPARTURE_TIME);
        let index = worker.index;
        log::info!(worker = id.as_str(), runs = worker.runs.len(); "worker announced its departure");
        self.ledger.set_status(index, WorkerStatus::Leaving);
    }

    /// Removes a worker that announced its departure and whose port is closed. While a later
    /// incarnation may carry out one of its start orders, the worker and that run stay.
    pub(super) fn remove_departed_worker(&mut self, id: &WorkerId, now: Now) {
        let ended = self.runs_without_late_start(id, now.at);
        self.end_runs_as_lost(id, ended, "the worker left", now);
        let worker = self.workers.get(id);
        if worker.is_some_and(|worker| worker.runs.is_empty()) {
            self.remove_worker(id, now);
        }
    }

    /// Removes a worker that will not return, and ends its runs as lost.
    pub(super) fn remove_worker(&mut self, id: &WorkerId, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let (incarnation, index) = (worker.record.incarnation, worker.index);
        let runs: Vec<TaskKey> = worker.runs.iter().cloned().collect();
        log::info!(worker = id.as_str(), incarnation; "worker left");
        self.end_runs_as_lost(id, runs, "the worker left", now);
        self.remove_permits(id);
        self.crash_watch.forget(id);
        self.drop_incarnation(id);
        self.ledger.remove_worker(index);
        self.record(Record::WorkerLeft {
            worker: id.clone(),
            incarnation,
        });
    }

    /// Drops the known incarnation of a worker; a later one receives a higher fencing token.
    pub(super) fn drop_incarnation(&mut self, id: &WorkerId) -> Option<LiveWorker> {
        let worker = self.workers.shift_remove(id)?;
        let next = worker.generation.saturating_add(1);
        self.next_generations.insert(id.clone(), next);
        Some(worker)
    }

    /// Drops the permits and reservations of all stages on a worker: its next incarnation may
    /// differ in labels or capacity.
    pub(super) fn remove_permits(&mut self, id: &WorkerId) {
        let keys: Vec<StageKey> = self.stages.keys().cloned().collect();
        for key in keys {
            self.release_reservation(&key, id);
            if let Some(stage) = self.stages.get_mut(&key) {
                stage.permits.remove(id);
                if stage.open_questions > 0 {
                    stage.restarted_workers.insert(id.clone());
                }
            }
        }
    }

    /// Ends runs on a worker that can no longer be at work there.
    pub(super) fn end_runs_as_lost(
        &mut self,
        id: &WorkerId,
        runs: Vec<TaskKey>,
        reason: &str,
        now: Now,
    ) {
        if runs.is_empty() {
            return;
        }
        log::warn!(worker = id.as_str(), runs = runs.len(); "runs ended as lost: {reason}");
        for task in runs {
            self.finish_run(&task, RunOutcome::Lost, String::new(), now);
        }
    }

    /// Runs the time-driven steps of the term.
    pub(super) fn tick(&mut self, now: Now) {
        if !self.ready {
            return;
        }
        self.judge_due_crashes(now);
        self.end_runs_with_expired_lease(now);
        self.end_runs_without_worker(now);
        self.assign_relays(now.at);
        self.repeat_starts(now);
        self.repeat_stops(now.at);
        let tick = self.next_tick();
        if tick.is_multiple_of(JOB_REMOVAL_TICKS) {
            self.remove_old_jobs(now.unix_ms);
        }
        if tick.is_multiple_of(LOAD_REPORT_TICKS) {
            self.report_load(now.at);
            self.report_idle_room(now);
            self.report_waiting_gangs(now);
            self.report_gang_sizes();
        }
        self.note_usable_workers(now.at);
        // The ranks of stages, the validity of permits and the avoided workers change with time.
        self.passes.changed = true;
        if tick.is_multiple_of(GRANT_TICKS) {
            self.due_grants.extend(self.workers.keys().cloned());
        }
        self.activate_due_occurrences(now);
    }

    /// Counts the room of workers as grown that may receive more runs than at the last tick.
    fn note_usable_workers(&mut self, now: Instant) {
        for worker in self.workers.values_mut() {
            let restriction = worker.health.restriction(now);
            let before = std::mem::replace(&mut worker.restriction, restriction);
            if restriction < before {
                self.ledger.note_growth(worker.index);
            }
        }
    }

    fn next_tick(&mut self) -> u64 {
        self.ticks += 1;
        self.ticks
    }

    /// Ends runs of earlier terms whose worker has left; done once in a term.
    fn end_runs_without_worker(&mut self, now: Now) {
        if self.adopted_runs_checked {
            return;
        }
        self.adopted_runs_checked = true;
        let mut orphans = Vec::new();
        for (task, run) in &self.runs {
            let known = self.workers.get(&run.worker);
            if !known.is_some_and(|worker| worker.runs.contains(task)) {
                orphans.push(task.clone());
            }
        }
        for task in orphans {
            log::warn!(task:% = task; "run ended as lost: its worker left");
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
            if reachable && now >= ordered_at + STOP_RETRY_INTERVAL {
                due.push(task.clone());
            }
        }
        for task in due {
            self.order_stop(&task, now);
        }
        self.unexpected_run_stops
            .retain(|_, at| now < *at + STOP_RETRY_INTERVAL);
    }

    fn remove_old_jobs(&mut self, unix_ms: u64) {
        let retention_ms = u64::try_from(self.settings.retention.as_millis()).unwrap_or(u64::MAX);
        let oldest_unix_ms = unix_ms.saturating_sub(retention_ms);
        let is_old = |ended: Option<u64>| ended.is_some_and(|ended| ended < oldest_unix_ms);
        let mut old = self.old_early_cancellations(oldest_unix_ms);
        let jobs = self.state.jobs.iter();
        let ended = jobs.filter(|(_, job)| is_old(job.ended_unix_ms));
        old.extend(ended.map(|(id, _)| id.clone()));
        if !old.is_empty() {
            self.record(Record::JobsForgotten(old.into_iter().collect()));
        }
    }

    fn activate_due_occurrences(&mut self, now: Now) {
        let jobs = &self.state.jobs;
        self.repeated_jobs
            .retain(|id| jobs.get(id).is_some_and(Job::is_open));
        let repeated: Vec<_> = self.repeated_jobs.iter().cloned().collect();
        for id in repeated {
            self.activate_stages(&id, now);
        }
    }
}

/// Returns the description of a worker for the ledger.
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

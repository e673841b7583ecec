//! Placement of gangs, and the reservation of the gang that is next.

use std::time::Instant;

use super::clearing::{MIN_SAMPLE, Victims};
use super::{Decision, JobScheduler, PreemptReason};
use crate::ids::{JobId, TaskId};
use crate::resources::Resources;
use crate::scheduling::gangs::{GangReservation, drain_time};
use crate::scheduling::job::parse_task_id;
use crate::scheduling::ledger::{Allocation, Purpose, WorkerIndex, add};
use crate::scheduling::overuse::Measure;

/// Waiting gangs that are tried in one round.
const MAX_GANGS_TRIED: usize = 4;
/// Workers that are sampled for each task of a gang that has no hold.
const SAMPLE_PER_TASK: usize = 4;

impl JobScheduler {
    /// Starts a gang if all of its tasks fit now, or adds it to the gangs that wait for the
    /// reservation; returns whether it started.
    pub(super) fn place_gang(
        &mut self,
        id: &JobId,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let (seq, tasks, need) = (job.seq, job.spec.tasks, job.spec.resources);
        let reserved = self
            .gangs
            .active
            .as_ref()
            .is_some_and(|active| active.job == *id);
        let total = need.checked_mul(u64::from(tasks));
        let may_fit = total.is_some_and(|total| self.ledger.free_total().covers(&total));
        if !reserved && may_fit {
            let held = self.hold_tasks(id, 0..tasks);
            if held.len() == tasks as usize {
                self.start_held(id, held, now, decisions);
                return true;
            }
            for (task, worker) in held {
                self.ledger.release(worker, &task);
                self.refresh(worker);
            }
        }
        self.gangs.add_waiting(seq, id);
        false
    }

    /// Holds resources for tasks of a gang until one fits on no worker.
    fn hold_tasks(
        &mut self,
        id: &JobId,
        indexes: impl Iterator<Item = u32>,
    ) -> Vec<(TaskId, WorkerIndex)> {
        let mut held = Vec::new();
        for index in indexes {
            let Some(worker) = self.choose_worker(id) else {
                break;
            };
            let Some(task) = self.hold_task(id, index, worker) else {
                break;
            };
            held.push((task, worker));
        }
        held
    }

    /// Holds resources on a worker for one task of a gang.
    fn hold_task(&mut self, id: &JobId, index: u32, worker: WorkerIndex) -> Option<TaskId> {
        let job = self.jobs.get(id)?;
        let task = job.spec.task_id(index, job.gang_attempt);
        let allocation = Allocation {
            amount: job.spec.resources,
            purpose: Purpose::Gang,
            urgency: job.spec.urgency,
        };
        self.ledger.allocate(worker, &task, allocation).ok()?;
        self.refresh(worker);
        Some(task)
    }

    /// Starts all tasks of a gang in their held resources.
    fn start_held(
        &mut self,
        id: &JobId,
        mut held: Vec<(TaskId, WorkerIndex)>,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.next_unstarted = job.spec.tasks;
        job.retry_queue.clear();
        let seq = job.seq;
        held.sort_by_key(|(task, _)| task_index(task));
        for (task, worker) in held {
            self.ledger.start_held(worker, &task);
            let index = task_index(&task);
            self.commit_start(id, task, index, worker, now, decisions);
        }
        self.gangs.remove(seq, id);
        self.dequeue_if_placed(id);
    }

    /// Tries to start waiting gangs without a reservation after resources became free.
    pub(super) fn place_gangs(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        if self.search_pending.is_empty() {
            return;
        }
        for id in self.gangs.first_waiting(MAX_GANGS_TRIED) {
            self.place_gang(&id, now, decisions);
        }
    }

    /// Advances the reservation of a gang.
    pub(super) fn advance_gang_reservation(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let idle = self.reserved_idle();
        self.gangs.record_idle(&idle, now);
        if self.gangs.active.is_none() {
            self.begin_gang_reservation(now, decisions);
        }
        let Some(active) = &self.gangs.active else {
            return;
        };
        let (id, abandon_at) = (active.job.clone(), active.abandon_at);
        if self.jobs.get(&id).is_none_or(|job| job.cancelled) {
            self.release_gang_reservation();
            return;
        }
        self.collect_holds(&id);
        let complete = self
            .gangs
            .active
            .as_ref()
            .is_some_and(GangReservation::is_complete);
        if complete {
            self.start_reserved_gang(&id, now, decisions);
            return;
        }
        if now >= abandon_at {
            self.abandon_gang(now);
            return;
        }
        self.drain_for_gang(&id, now);
        self.preempt_for_gang(&id, now, decisions);
    }

    /// Resources that reservations currently keep idle.
    pub fn reserved_idle(&self) -> Resources {
        let drained = self.reserved.keys().map(|&worker| self.ledger.free(worker));
        drained.fold(self.ledger.held(), |sum, free| add(&sum, &free))
    }

    /// Chooses the next waiting gang and begins its reservation. Gangs of members within their
    /// share, and gangs that waited too long, come first.
    fn begin_gang_reservation(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let weight = self.queue.active_weight();
        let (jobs, queue) = (&self.jobs, &self.queue);
        let starvation_after = self.gangs.settings.starvation_after;
        let next = self.gangs.next(now, |id| {
            let Some(job) = jobs.get(id) else {
                return true;
            };
            now.saturating_duration_since(job.queued_since) >= starvation_after
                || !queue.is_above_share(&job.spec.member, weight)
        });
        let Some(id) = next else {
            return;
        };
        let Some(job) = self.jobs.get(&id) else {
            self.gangs.remove_by_job(&id);
            return;
        };
        let (need, tasks) = (job.spec.resources, job.spec.tasks);
        let deadline = now + self.gangs.settings.reserve_for;
        self.gangs.reserve(id.clone(), need, tasks, now);
        self.capacity_freed = true;
        decisions.push(Decision::Reserve {
            job: id,
            worker: None,
            deadline,
        });
    }

    /// Holds resources that became free for tasks of the gang, first on draining workers.
    fn collect_holds(&mut self, id: &JobId) {
        let Some(active) = &self.gangs.active else {
            return;
        };
        let need = active.need;
        let drained: Vec<WorkerIndex> = self.reserved.keys().copied().collect();
        for worker in drained {
            while self.reserved.get(&worker).is_some_and(|drain| drain.gang)
                && self.ledger.free(worker).covers(&need)
            {
                let Some(index) = self.missing_index() else {
                    self.reserved.swap_remove(&worker);
                    self.refresh(worker);
                    break;
                };
                let Some(task) = self.hold_task(id, index, worker) else {
                    break;
                };
                self.record_hold(task, worker);
                self.consume_slot(worker);
            }
        }
        if !std::mem::take(&mut self.capacity_freed) {
            return;
        }
        while let Some(index) = self.missing_index() {
            let held = self.hold_tasks(id, index..index + 1);
            let Some((task, worker)) = held.into_iter().next() else {
                break;
            };
            self.record_hold(task, worker);
        }
    }

    fn record_hold(&mut self, task: TaskId, worker: WorkerIndex) {
        if let Some(active) = self.gangs.active.as_mut() {
            active.held.insert(task, worker);
        }
    }

    fn consume_slot(&mut self, worker: WorkerIndex) {
        let Some(drain) = self.reserved.get_mut(&worker) else {
            return;
        };
        drain.slots = drain.slots.saturating_sub(1);
        if drain.slots == 0 {
            self.reserved.swap_remove(&worker);
            self.refresh(worker);
        }
    }

    /// Index of the first task of the reserved gang that has no hold.
    fn missing_index(&self) -> Option<u32> {
        let active = self.gangs.active.as_ref()?;
        let job = self.jobs.get(&active.job)?;
        if active.missing() == 0 {
            return None;
        }
        let is_missing = |index: &u32| {
            !active
                .held
                .contains_key(&job.spec.task_id(*index, job.gang_attempt))
        };
        (0..active.tasks).find(is_missing)
    }

    fn start_reserved_gang(&mut self, id: &JobId, now: Instant, decisions: &mut Vec<Decision>) {
        let Some(active) = self.gangs.active.take() else {
            return;
        };
        self.end_drains_for_gang();
        self.start_held(id, active.held.into_iter().collect(), now, decisions);
    }

    /// Ends the reservation of a gang that was cancelled or whose job no longer exists.
    fn release_gang_reservation(&mut self) {
        let Some(active) = self.gangs.active.take() else {
            return;
        };
        self.gangs.remove_by_job(&active.job);
        self.release_holds(active.held.into_iter().collect());
        self.end_drains_for_gang();
    }

    /// Ends the reservation of a gang that could not be completed in time.
    fn abandon_gang(&mut self, now: Instant) {
        let Some(active) = self.gangs.abandon(now) else {
            return;
        };
        self.release_holds(active.held.into_iter().collect());
        self.end_drains_for_gang();
    }

    fn release_holds(&mut self, held: Vec<(TaskId, WorkerIndex)>) {
        for (task, worker) in held {
            self.ledger.release(worker, &task);
            self.refresh(worker);
        }
    }

    fn end_drains_for_gang(&mut self) {
        let drained = self.reserved.iter().filter(|(_, drain)| drain.gang);
        let drained: Vec<WorkerIndex> = drained.map(|(&worker, _)| worker).collect();
        for worker in drained {
            self.reserved.swap_remove(&worker);
            self.refresh(worker);
        }
    }

    /// Chooses workers to drain for tasks of the gang that neither have a hold nor are expected on
    /// a draining worker. Prefers workers that will have free resources soonest.
    fn drain_for_gang(&mut self, id: &JobId, now: Instant) {
        let Some(active) = &self.gangs.active else {
            return;
        };
        let (need, missing) = (active.need, active.missing());
        let gang_drains = self.reserved.values().filter(|drain| drain.gang);
        let prospective: u32 = gang_drains.map(|drain| drain.slots).sum();
        let Some(wanted) = missing
            .checked_sub(prospective)
            .filter(|wanted| *wanted > 0)
        else {
            return;
        };
        let sample = (wanted as usize * SAMPLE_PER_TASK).max(MIN_SAMPLE);
        let mut found = Vec::new();
        for worker in self.sample_workers(id, sample) {
            let free = self.ledger.free(worker);
            let ends = self.expected_ends(worker, now);
            if let Some((at, slots)) = drain_time(&free, ends, &need, now) {
                found.push((at, worker, slots));
            }
        }
        found.sort_by_key(|(at, worker, _)| (*at, *worker));
        let mut remaining = wanted;
        for (at, worker, slots) in found {
            if remaining == 0 {
                break;
            }
            let slots = slots.min(remaining);
            remaining -= slots;
            self.reserve_worker(worker, id, slots, true, now);
            if let Some(active) = self.gangs.active.as_mut() {
                active.planned_start = active.planned_start.max(at.min(active.deadline));
            }
        }
    }

    /// Preempts backfill tasks from the planned start on, and other tasks on draining workers from
    /// the deadline on.
    fn preempt_for_gang(&mut self, id: &JobId, now: Instant, decisions: &mut Vec<Decision>) {
        let Some(active) = &self.gangs.active else {
            return;
        };
        let past_deadline = now >= active.deadline;
        if now >= active.planned_start {
            let overrun: Vec<TaskId> = active.backfill.keys().cloned().collect();
            for task in overrun {
                self.preempt(
                    &task,
                    Measure::Stop,
                    PreemptReason::BackfillOverrun,
                    now,
                    decisions,
                );
            }
        }
        let Some(job) = self.jobs.get(id).filter(|_| past_deadline) else {
            return;
        };
        let (need, victims) = (job.spec.resources, Victims::UpTo(job.spec.urgency));
        let drained = self.reserved.iter().filter(|(_, drain)| drain.gang);
        let drained: Vec<WorkerIndex> = drained.map(|(&worker, _)| worker).collect();
        for worker in drained {
            let tasks = self.victims_on(worker, id, &need, victims);
            for (task, measure) in tasks.unwrap_or_default() {
                self.preempt(&task, measure, PreemptReason::GangDeadline, now, decisions);
            }
        }
    }

    /// Releases the holds and the reservation on a worker.
    pub(super) fn release_holds_on(&mut self, index: WorkerIndex) {
        self.reserved.swap_remove(&index);
        let Some(active) = self.gangs.active.as_mut() else {
            return;
        };
        let on_worker = active.held.iter().filter(|(_, worker)| **worker == index);
        let dropped: Vec<TaskId> = on_worker.map(|(task, _)| task.clone()).collect();
        for task in &dropped {
            active.held.swap_remove(task);
            self.ledger.release(index, task);
        }
        active.backfill.retain(|_, lent| lent.worker != index);
    }
}

/// Index of a task in its job.
fn task_index(task: &str) -> u32 {
    parse_task_id(task).map_or(0, |(_, index, _)| index)
}

//! Reserves and clears workers for one job: for a member that waited too long below its share, or
//! for a gang.
//!
//! The wait of a member below its share is bounded by `starvation_after` plus, for each group of
//! `max_reserved_workers` members that wait at the same time, `starvation_interval`, the time that
//! preempted tasks take to stop, and two rounds of decisions. The bound holds if, on one of the
//! [`MIN_SAMPLE`] sampled workers, the preemptible tasks of members above their share together
//! with the free resources cover the need. Otherwise the wait lasts until enough tasks end by
//! themselves, for which there is no bound.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::{Decision, JobScheduler, PreemptReason};
use crate::ids::{JobId, TaskId};
use crate::kernel::Preemption;
use crate::protocol::caller::Urgency;
use crate::resources::Resources;
use crate::scheduling::ledger::{Purpose, WorkerIndex, WorkerStatus, add, subtract};
use crate::scheduling::overuse::Measure;

/// Minimum number of workers that are sampled to choose one to clear or drain.
pub(super) const MIN_SAMPLE: usize = 64;
/// Failed searches for a worker to clear after which a round ends. Each search examines all tasks
/// of the sampled workers.
const MAX_FAILED_CLEARINGS: usize = 2;
/// Assumed remaining run time of a task that exceeded its estimate.
const ASSUMED_OVERRUN: Duration = Duration::from_secs(1);

/// Reservation of a worker, which accepts no tasks of other jobs until the tasks of this job fit.
#[derive(Clone, Debug)]
pub(in crate::scheduling) struct Drain {
    pub(super) job: JobId,
    /// Tasks of the job that the worker is still expected to receive.
    pub(super) slots: u32,
    /// When the reservation ends even if no task fits. Ignored for gangs, whose reservation has
    /// its own deadline.
    pub(super) deadline: Instant,
    /// Whether the worker drains for a gang rather than for one task.
    pub(super) gang: bool,
}

/// Which tasks may be preempted.
#[derive(Clone, Copy)]
pub(super) enum Victims {
    /// Tasks of members above their share; holds the sum of the active weights.
    AboveShare(u64),
    /// Tasks that are at most this urgent.
    UpTo(Urgency),
}

impl JobScheduler {
    /// Returns the tasks to preempt on a worker so that `need` fits, or `None` if preempting all
    /// eligible tasks does not suffice. Tasks that are already stopping count as free.
    pub(super) fn victims_on(
        &self,
        worker: WorkerIndex,
        id: &JobId,
        need: &Resources,
        victims: Victims,
    ) -> Option<Vec<(TaskId, Measure)>> {
        let entry = self.ledger.worker(worker)?;
        let mut room = entry.free();
        let mut eligible = Vec::new();
        for (task_id, allocation) in entry.allocations() {
            let Some(task) = self.tasks.get(task_id) else {
                continue;
            };
            if task.stopping_since.is_some() {
                room = add(&room, &allocation.amount);
            } else if let Some(measure) = self.victim_measure(&task.job, id, victims) {
                let order = (allocation.urgency, std::cmp::Reverse(task.started_at));
                eligible.push((order, task_id, allocation.amount, measure));
            }
        }
        eligible.sort_by_key(|(order, _, _, _)| *order);
        let mut chosen = Vec::new();
        for (_, task, amount, measure) in eligible {
            if room.covers(need) {
                break;
            }
            // Preempting a task that frees nothing of the lacking resources would not help.
            let lacking = subtract(need, &room);
            if subtract(&lacking, &amount) == lacking {
                continue;
            }
            room = add(&room, &amount);
            chosen.push((task.clone(), measure));
        }
        room.covers(need).then_some(chosen)
    }

    /// Returns how a task of job `owner` may be preempted for another job, or `None` if it must
    /// not be preempted.
    pub(super) fn victim_measure(
        &self,
        owner: &JobId,
        for_job: &JobId,
        victims: Victims,
    ) -> Option<Measure> {
        let owner_job = self.jobs.get(owner)?;
        let spec = &owner_job.spec;
        if owner == for_job || spec.at_most_once {
            return None;
        }
        let permitted = match victims {
            Victims::AboveShare(weight) => self.queue.is_above_share(&spec.member, weight),
            Victims::UpTo(urgency) => spec.urgency <= urgency,
        };
        match (owner_job.kind.preempting)(spec) {
            _ if !permitted => None,
            Preemption::Never => None,
            Preemption::Stop => Some(Measure::Stop),
            Preemption::CheckpointThenStop => Some(Measure::Checkpoint),
        }
    }

    /// Starts tasks on workers that have been cleared for them, and ends expired reservations.
    pub(super) fn advance_drains(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let drained: Vec<WorkerIndex> = self.reserved.keys().copied().collect();
        for worker in drained {
            let Some(drain) = self.reserved.get(&worker).filter(|drain| !drain.gang) else {
                continue;
            };
            let (id, deadline) = (drain.job.clone(), drain.deadline);
            let pending = self
                .jobs
                .get(&id)
                .filter(|job| !job.cancelled && job.has_pending());
            let need = pending.map(|job| job.spec.resources);
            let ready = need.is_some_and(|need| self.ledger.free(worker).covers(&need));
            if !ready && need.is_some() && now < deadline {
                continue;
            }
            self.reserved.swap_remove(&worker);
            if ready {
                self.start_next(&id, worker, Purpose::Task, now, decisions);
                self.dequeue_if_placed(&id);
            }
            self.refresh(worker);
        }
    }

    /// Reserves workers for members below their share whose first job waited too long.
    pub(super) fn reserve_for_starving(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let interval = self.settings.starvation_interval;
        let checked = self.starvation_checked_at;
        if checked.is_some_and(|at| now.saturating_duration_since(at) < interval) {
            return;
        }
        self.starvation_checked_at = Some(now);
        let Some(arrived_by) = now.checked_sub(self.settings.starvation_after) else {
            return;
        };
        let weight = self.queue.active_weight();
        let mut starving = self.queue.starving(arrived_by, weight);
        // Members for whom no worker could be cleared must not block the members behind them.
        let first = self.starvation_offset % starving.len().max(1);
        starving.rotate_left(first);
        let mut failures = 0;
        for starving in starving {
            let Some(job) = self.jobs.get(&starving.job) else {
                self.queue.pop(starving.lane);
                continue;
            };
            if job.cancelled || !job.has_pending() {
                continue;
            }
            let served = self
                .reserved
                .values()
                .any(|drain| drain.job == starving.job);
            let single = self.reserved.values().filter(|drain| !drain.gang).count();
            if job.is_gang() || served {
                continue;
            }
            if single >= self.settings.max_reserved_workers || failures >= MAX_FAILED_CLEARINGS {
                break;
            }
            let cleared = self.clear_worker(&starving.job, weight, now, decisions);
            failures += usize::from(!cleared);
        }
        self.starvation_offset = if failures > 0 { first + failures } else { 0 };
    }

    /// Reserves the sampled worker on which the fewest tasks have to be preempted for a task of the
    /// job, and preempts them; returns whether there was one.
    pub(super) fn clear_worker(
        &mut self,
        id: &JobId,
        weight: u64,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let need = job.spec.resources;
        let mut best = None;
        for worker in self.sample_workers(id, MIN_SAMPLE) {
            let Some(tasks) = self.victims_on(worker, id, &need, Victims::AboveShare(weight))
            else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|(_, least): &(_, Vec<_>)| tasks.len() < least.len())
            {
                best = Some((worker, tasks));
            }
            if best.as_ref().is_some_and(|(_, tasks)| tasks.len() <= 1) {
                break;
            }
        }
        let Some((worker, tasks)) = best else {
            return false;
        };
        let deadline = self.reserve_worker(worker, id, 1, false, now);
        decisions.push(Decision::Reserve {
            job: id.clone(),
            worker: self
                .ledger
                .worker(worker)
                .map(|entry| entry.description.id.clone()),
            deadline,
        });
        for (task, measure) in tasks {
            self.preempt(&task, measure, PreemptReason::BelowShare, now, decisions);
        }
        true
    }

    /// Samples up to `count` workers and returns those that may run the job and are not reserved.
    pub(super) fn sample_workers(&mut self, id: &JobId, count: usize) -> Vec<WorkerIndex> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let bound = self.ledger.index_bound();
        if bound == 0 {
            return Vec::new();
        }
        let start = self.placement.random().random_range(0..bound);
        // A stride that is coprime with the bound visits each worker at most once.
        let stride = stride_for(bound);
        let candidates = (0..bound.min(count)).map(|step| (start + step * stride) % bound);
        let usable = candidates.filter(|&worker| {
            let Some(entry) = self.ledger.worker(worker) else {
                return false;
            };
            entry.status == WorkerStatus::Up
                && entry.description.capacity.covers(&job.spec.resources)
                && !self.reserved.contains_key(&worker)
                && self.quarantine.accepts_tasks(worker)
                && self.placement.permits(worker, &job.spec.preference)
        });
        usable.collect()
    }

    /// Reserves a worker for a job; returns the deadline of the reservation.
    pub(super) fn reserve_worker(
        &mut self,
        worker: WorkerIndex,
        id: &JobId,
        slots: u32,
        gang: bool,
        now: Instant,
    ) -> Instant {
        let deadline = now + self.settings.stop_grace * 3;
        let drain = Drain {
            job: id.clone(),
            slots,
            deadline,
            gang,
        };
        self.reserved.insert(worker, drain);
        self.refresh(worker);
        deadline
    }

    /// Expected ends of the tasks on a worker, with their resources; tasks without an estimate are
    /// omitted.
    pub(super) fn expected_ends(
        &self,
        worker: WorkerIndex,
        now: Instant,
    ) -> Vec<(Instant, Resources)> {
        let Some(worker) = self.ledger.worker(worker) else {
            return Vec::new();
        };
        let ends = worker.allocations().iter().filter_map(|(id, allocation)| {
            let task = self.tasks.get(id)?;
            let end = task.expected_end?.max(now + ASSUMED_OVERRUN);
            Some((end, allocation.amount))
        });
        ends.collect()
    }
}

fn stride_for(bound: usize) -> usize {
    const PRIMES: [usize; 4] = [7_919, 104_729, 1_299_709, 15_485_863];
    PRIMES
        .into_iter()
        .find(|prime| !bound.is_multiple_of(*prime))
        .unwrap_or(1)
}

//! A round of scheduling decisions.

use std::time::{Duration, Instant};

use super::{Decision, JobScheduler, PreemptReason, TaskStart};
use crate::ids::{JobId, TaskId};
use crate::kernel::Placing;
use crate::scheduling::fair_share::{Head, Offer, Parked, QueuePolicy};
use crate::scheduling::feasibility::Infeasible;
use crate::scheduling::ledger::{Allocation, Purpose, WorkerIndex};
use crate::scheduling::overuse::Measure;
use crate::scheduling::placement::PlacementRequest;
use crate::scheduling::quarantine::HealthState;

/// Placement attempts in one round, as a multiple of the limit of decisions. Bounds the duration
/// of a round in which nothing fits.
const ATTEMPTS_PER_DECISION: usize = 4;
/// Time between two rounds with full searches of the parked jobs.
const FULL_SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Workers for which a round searches all parked jobs.
const MAX_FULL_SEARCHES: usize = 4;

impl JobScheduler {
    /// Returns the decisions that are due now. `limit` bounds their number approximately: the
    /// tasks of a gang are all started in one round, even beyond the limit.
    pub fn decide(&mut self, now: Instant, limit: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.stop_tasks(now, &mut decisions);
        self.begin_probes(now);
        self.resume_delayed(now);
        if self.queue.policy() == QueuePolicy::FairShare {
            self.advance_gang_reservation(now, &mut decisions);
            self.advance_drains(now, &mut decisions);
        }
        self.recheck_parked();
        self.resume_searches(now);
        self.place_gangs(now, &mut decisions);
        let mut attempts = limit.saturating_mul(ATTEMPTS_PER_DECISION);
        while decisions.len() < limit && attempts > 0 {
            attempts -= 1;
            if !self.place_one(now, &mut decisions) {
                break;
            }
        }
        if self.queue.policy() == QueuePolicy::FairShare {
            self.backfill_parked(now, &mut decisions);
            self.reserve_for_starving(now, &mut decisions);
        }
        decisions
    }

    /// Places a task of the next job: a ready job, or a parked job that fits on a worker with new
    /// free resources, whichever has the member that comes first. Returns whether the round should
    /// continue.
    fn place_one(&mut self, now: Instant, decisions: &mut Vec<Decision>) -> bool {
        let ready = self.queue.peek();
        while let Some(&worker) = self.search_pending.first() {
            let all = self.full_search_pending.swap_remove(&worker);
            match self.find_parked(worker, all) {
                Parked::Fits(key, head) => {
                    if ready.as_ref().is_some_and(|(first, _)| key > *first) {
                        break;
                    }
                    if self.place_task(&head.job, now, decisions) {
                        self.dequeue_if_placed(&head.job);
                    } else {
                        self.search_pending.swap_remove_index(0);
                    }
                    return true;
                }
                Parked::Stale(head) => self.remove_head(&head),
                Parked::Truncated => {
                    self.search_pending.swap_remove_index(0);
                    self.full_search_pending.insert(worker);
                }
                Parked::None => {
                    self.search_pending.swap_remove_index(0);
                }
            }
        }
        ready.is_some_and(|(_, head)| self.place_head(&head, now, decisions))
    }

    /// Schedules full searches for workers whose bounded search did not examine all parked jobs, a
    /// few at a time.
    fn resume_searches(&mut self, now: Instant) {
        let checked = self.full_search_at;
        if self.full_search_pending.is_empty()
            || checked.is_some_and(|at| now < at + FULL_SEARCH_INTERVAL)
        {
            return;
        }
        self.full_search_at = Some(now);
        let workers: Vec<WorkerIndex> = self
            .full_search_pending
            .iter()
            .copied()
            .take(MAX_FULL_SEARCHES)
            .collect();
        self.search_pending.extend(workers);
    }

    /// Searches the parked jobs for one that fits on a worker.
    fn find_parked(&self, worker: WorkerIndex, all: bool) -> Parked {
        if !self.placement.index.offers(worker) {
            return Parked::None;
        }
        let room = self.ledger.free(worker);
        let probing = matches!(
            self.quarantine.health_state(worker),
            HealthState::Probing { .. }
        );
        self.queue.find_parked(&room, all, |id| {
            let Some(job) = self.jobs.get(id) else {
                return Offer::Stale;
            };
            if job.cancelled || !job.has_pending() {
                return Offer::Stale;
            }
            let once = job.spec.at_most_once;
            let unfit = job.is_gang()
                || (once && (probing || job.avoid.contains(&worker)))
                || !self.placement.permits(worker, &job.spec.preference);
            if unfit { Offer::Pass } else { Offer::Take }
        })
    }

    /// Places the first job of a ready lane, refuses it if it became infeasible, or parks the
    /// lane. Returns whether the round should continue.
    fn place_head(&mut self, head: &Head, now: Instant, decisions: &mut Vec<Decision>) -> bool {
        let Some(job) = self.jobs.get(&head.job) else {
            self.queue.pop(head.lane);
            return true;
        };
        if job.cancelled || !job.has_pending() {
            self.remove_head(head);
            return true;
        }
        let placed = if job.is_gang() {
            self.place_gang(&head.job, now, decisions)
        } else {
            self.place_task(&head.job, now, decisions)
        };
        if placed {
            self.dequeue_if_placed(&head.job);
            return true;
        }
        if self.refuse_if_infeasible(&head.job, decisions) {
            self.queue.pop(head.lane);
            return true;
        }
        self.queue.park(head.lane);
        self.queue.policy() != QueuePolicy::FirstCome
    }

    /// Removes the first job of a lane, which is no longer waiting.
    pub(super) fn remove_head(&mut self, head: &Head) {
        if let Some(job) = self.jobs.get_mut(&head.job) {
            job.lane = None;
        }
        self.queue.pop(head.lane);
    }

    /// Removes a job from its lane if none of its tasks is waiting.
    pub(super) fn dequeue_if_placed(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.has_pending()) else {
            return;
        };
        if let Some(lane) = job.lane.take() {
            self.queue.remove(lane, job.seq);
        }
    }

    /// Makes parked jobs ready after the fleet shrank, so that infeasible jobs are refused.
    fn recheck_parked(&mut self) {
        let generation = self.feasibility.generation();
        if std::mem::replace(&mut self.checked_generation, generation) != generation {
            self.queue.unpark_all();
        }
    }

    /// Starts the next task of a job, in free resources or as backfill; returns whether it started.
    fn place_task(&mut self, id: &JobId, now: Instant, decisions: &mut Vec<Decision>) -> bool {
        if let Some(worker) = self.choose_worker(id) {
            self.start_next(id, worker, Purpose::Task, now, decisions);
            return true;
        }
        self.backfill(id, now, decisions)
    }

    /// Chooses a worker with enough free resources for a task of the job.
    pub(super) fn choose_worker(&mut self, id: &JobId) -> Option<WorkerIndex> {
        let job = self.jobs.get(id)?;
        let spread = (job.kind.placing)(&job.spec) == Placing::SpreadOverRacks;
        let mut avoid = job.avoid.clone();
        if job.spec.at_most_once {
            // A worker that is being probed may fail the task, which has only one attempt.
            avoid.extend(self.quarantine.probing());
        }
        let mut request = PlacementRequest {
            need: job.spec.resources,
            preference: &job.spec.preference,
            spread: spread.then_some(&job.racks),
            avoid: &avoid,
        };
        let chosen = self.placement.choose(&request);
        if chosen.is_some() || job.avoid.is_empty() || job.spec.at_most_once {
            return chosen;
        }
        // If no other worker fits, a worker on which the job failed is better than none.
        request.avoid = &[];
        self.placement.choose(&request)
    }

    /// Allocates and starts the next pending task of a job on a worker.
    pub(super) fn start_next(
        &mut self,
        id: &JobId,
        worker: WorkerIndex,
        purpose: Purpose,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) -> Option<TaskId> {
        let job = self.jobs.get_mut(id)?;
        let index = job
            .retry_queue
            .front()
            .copied()
            .unwrap_or(job.next_unstarted);
        let attempt = if job.is_gang() {
            job.gang_attempt
        } else {
            job.attempts.get(&index).copied().unwrap_or(0)
        };
        let task = job.spec.task_id(index, attempt);
        let allocation = Allocation {
            amount: job.spec.resources,
            purpose,
            urgency: job.spec.urgency,
        };
        if let Err(error) = self.ledger.allocate(worker, &task, allocation) {
            log::error!("task {task} was not placed: {error}");
            return None;
        }
        if job.retry_queue.pop_front().is_none() {
            job.next_unstarted += 1;
        }
        self.commit_start(id, task.clone(), index, worker, now, decisions);
        Some(task)
    }

    /// Charges, records and starts a task whose resources are already allocated.
    pub(super) fn commit_start(
        &mut self,
        id: &JobId,
        task: TaskId,
        index: u32,
        worker: WorkerIndex,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let spec = &job.spec;
        self.queue
            .charge(&spec.member, &spec.caller, &spec.resources);
        self.record_running(id, task.clone(), index, worker, now);
        self.refresh(worker);
        let description = self.ledger.worker(worker).map(|worker| &worker.description);
        let attempt = self.tasks.get(&task).map_or(0, |task| task.attempt);
        decisions.push(Decision::Start(TaskStart {
            job: id.clone(),
            task,
            index,
            attempt,
            worker: description
                .map(|worker| worker.id.clone())
                .unwrap_or_default(),
            incarnation: description.map_or(0, |worker| worker.incarnation),
        }));
    }

    /// Refuses a waiting job that has become infeasible. A job of which a task has started is kept,
    /// since the fleet was large enough for it before.
    fn refuse_if_infeasible(&mut self, id: &JobId, decisions: &mut Vec<Decision>) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let generation = self.feasibility.generation();
        if job.checked_generation == generation || job.next_unstarted > 0 {
            return false;
        }
        job.checked_generation = generation;
        let at_once = job.is_gang();
        let Err(reason) = self.feasibility.check(&job.spec, at_once) else {
            return false;
        };
        if matches!(reason, Infeasible::Unreachable(_) | Infeasible::NoWorkers) {
            return false;
        }
        let seq = job.seq;
        self.gangs.remove(seq, id);
        self.jobs.swap_remove(id);
        decisions.push(Decision::Refuse {
            job: id.clone(),
            reason,
        });
        true
    }

    fn stop_tasks(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        while let Some((id, reason)) = self.to_stop.pop_front() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let tasks: Vec<TaskId> = job.running.iter().cloned().collect();
            for task in tasks {
                self.preempt(&task, Measure::Stop, reason, now, decisions);
            }
        }
    }

    /// Decides to preempt a task, unless it is already stopping.
    pub(super) fn preempt(
        &mut self,
        id: &TaskId,
        measure: Measure,
        reason: PreemptReason,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        if task.stopping_since.is_some() {
            return;
        }
        task.stopping_since = Some(now);
        let worker = self.ledger.worker(task.worker);
        decisions.push(Decision::Preempt {
            task: id.clone(),
            worker: worker
                .map(|worker| worker.description.id.clone())
                .unwrap_or_default(),
            measure,
            reason,
        });
    }

    /// Makes workers available for one probe task when their quarantine ends.
    fn begin_probes(&mut self, now: Instant) {
        for worker in self.quarantine.begin_probes(now) {
            self.refresh(worker);
        }
    }

    /// Queues the tasks whose backoff has ended.
    fn resume_delayed(&mut self, now: Instant) {
        while let Some((due, _, _)) = self.delayed_retries.first() {
            if *due > now {
                return;
            }
            let Some((_, id, index)) = self.delayed_retries.pop_first() else {
                return;
            };
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.delayed = job.delayed.saturating_sub(1);
            job.queued_since = now;
            if !job.is_gang() {
                job.retry_queue.push_back(index);
            }
            self.enqueue(&id);
        }
    }
}

//! Ends of tasks, usage reports, and jobs that are restored from an earlier placer's records.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{Job, JobScheduler, PreemptReason, SubmitError, Task};
use crate::ids::{Incarnation, JobId, TaskId, WorkerId};
use crate::kernel::{self, Placing, Retry, RunTime};
use crate::protocol::worker::TaskState;
use crate::resources::Resources;
use crate::scheduling::job::{JobSpec, TaskEnd};
use crate::scheduling::ledger::{Allocation, LedgerWorker, Purpose, WorkerIndex};
use crate::scheduling::overuse::OveruseAction;

/// Maximum number of workers that a job avoids because its tasks failed there.
const MAX_AVOIDED: usize = 4;
/// Quantile of the observed run times that is used as the expected run time.
pub(super) const RUN_QUANTILE: f64 = 0.9;

/// Result of a job that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobOutcome {
    /// Job that ended.
    pub job: JobId,
    /// Number of tasks that succeeded.
    pub succeeded: u32,
    /// Number of tasks that failed and got no further attempt.
    pub failed: u32,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Why tasks were not retried; empty if none failed.
    pub reason: String,
}

/// Consequences of the end of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FollowUp {
    /// Whether the task succeeded; `None` unless this result of the task is final.
    pub settled: Option<bool>,
    /// Result of the job if the end of the task ended it.
    pub job: Option<JobOutcome>,
}

/// A task that an earlier placer started and whose end is not known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RestoredTask {
    /// Identifier of the attempt.
    pub task: TaskId,
    /// Index of the task in the job.
    pub index: u32,
    /// Number of attempts before this one.
    pub attempt: u32,
    /// Worker on which the task was started.
    pub worker: WorkerId,
    /// Incarnation of the worker at the time of the decision.
    pub incarnation: Incarnation,
}

impl JobScheduler {
    /// Records the end of a task and decides whether it is retried. Ends of unknown tasks are
    /// ignored, so that repeated reports have no effect.
    pub fn task_ended(&mut self, task: &str, end: TaskEnd, now: Instant) -> FollowUp {
        let Some(entry) = self.tasks.swap_remove(task) else {
            return FollowUp::default();
        };
        let Some(job) = self.jobs.get_mut(&entry.job) else {
            return FollowUp::default();
        };
        job.running.swap_remove(task);
        if let Some(rack) = entry.rack
            && let Some(count) = job.racks.get_mut(&rack)
        {
            *count -= 1;
            if *count == 0 {
                job.racks.swap_remove(&rack);
            }
        }
        if matches!(end, TaskEnd::Failed | TaskEnd::NeverStarted) {
            job.avoid.retain(|&worker| worker != entry.worker);
            job.avoid.push(entry.worker);
            if job.avoid.len() > MAX_AVOIDED {
                job.avoid.remove(0);
            }
        }
        let (member, caller) = (job.spec.member.clone(), job.spec.caller.clone());
        let (workload, amount) = (job.spec.workload_key(), job.spec.resources);
        self.ledger.release(entry.worker, task);
        self.queue.refund(&member, &caller, &amount);
        self.overuse.ended(task);
        self.return_backfill(task);
        self.record_outcome(&entry, &workload, end, now);
        let settled = self.settle_task(&entry, end, now);
        self.refresh(entry.worker);
        FollowUp {
            settled,
            job: self.take_finished(&entry.job),
        }
    }

    /// Records the measured usage of the tasks on a worker and returns measures against overuse.
    pub fn usage_reported(
        &mut self,
        worker: &str,
        usage: &IndexMap<TaskId, Resources>,
        now: Instant,
    ) -> Vec<OveruseAction> {
        for (task, used) in usage {
            let job = self
                .tasks
                .get(task)
                .and_then(|task| self.jobs.get(&task.job));
            if let Some(job) = job {
                self.estimates
                    .record_usage(&job.spec.workload_key(), used, now);
            }
        }
        let index = self.ledger.index_of(worker);
        let Some(worker) = index.and_then(|index| self.ledger.worker(index)) else {
            return Vec::new();
        };
        self.overuse.assess(worker, usage, now)
    }

    /// Restores a job from the committed records of an earlier placer. `ended` contains the tasks
    /// that need no further attempt and whether they succeeded; `attempts` contains how often each
    /// other task was started before; `running` contains the tasks whose end is not known.
    ///
    /// # Errors
    ///
    /// [`SubmitError::UnknownKind`] or [`SubmitError::Duplicate`].
    pub fn restore_job(
        &mut self,
        spec: JobSpec,
        ended: &IndexMap<u32, bool>,
        attempts: &IndexMap<u32, u32>,
        running: &[RestoredTask],
        now: Instant,
    ) -> Result<(), SubmitError> {
        let id = spec.id.clone();
        let Some(kind) = kernel::find(&spec.kind) else {
            return Err(SubmitError::UnknownKind {
                kind: spec.kind,
                known: kernel::names().join(", "),
            });
        };
        if self.jobs.contains_key(&id) {
            return Err(SubmitError::Duplicate(id));
        }
        self.insert_job(spec, kind, now);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.next_unstarted = job.spec.tasks;
            job.succeeded = ended.values().filter(|&&succeeded| succeeded).count() as u32;
            job.failed = ended.len() as u32 - job.succeeded;
            job.attempts.clone_from(attempts);
            let running_attempts = running.iter().map(|task| task.attempt);
            let highest = attempts.values().copied().chain(running_attempts).max();
            job.gang_attempt = highest.unwrap_or(0);
            let is_running = |index: &u32| running.iter().any(|task| task.index == *index);
            let pending = (0..job.spec.tasks).filter(|index| !ended.contains_key(index));
            job.retry_queue = pending.filter(|index| !is_running(index)).collect();
        }
        for task in running {
            self.restore_task(&id, task, now);
        }
        self.requeue_restored(&id);
        Ok(())
    }

    /// Queues the pending tasks of a restored job. A gang is queued as a whole; if some of its
    /// tasks still run, they are stopped first.
    fn requeue_restored(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.has_pending() {
            return;
        }
        if job.is_gang() {
            job.retry_queue.clear();
            job.succeeded = 0;
            if job.running.is_empty() {
                job.next_unstarted = 0;
            } else {
                job.broken = true;
                self.to_stop
                    .push_back((id.clone(), PreemptReason::GangBroken));
                return;
            }
        }
        self.enqueue(id);
    }

    /// Restores the allocation and the entry of a task that may still be running.
    fn restore_task(&mut self, id: &JobId, restored: &RestoredTask, now: Instant) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let spec = job.spec.clone();
        let worker = self.ledger.index_of(&restored.worker).unwrap_or_else(|| {
            self.ledger
                .expect_worker(&restored.worker, restored.incarnation)
        });
        self.ledger
            .adopt(worker, &restored.task, spec.resources, spec.urgency);
        self.queue
            .charge(&spec.member, &spec.caller, &spec.resources);
        self.record_running(id, restored.task.clone(), restored.index, worker, now);
        if let Some(task) = self.tasks.get_mut(&restored.task) {
            task.attempt = restored.attempt;
        }
        self.refresh(worker);
    }

    /// Adds a task whose resources are already allocated to the tables of tasks and jobs.
    pub(super) fn record_running(
        &mut self,
        id: &JobId,
        task: TaskId,
        index: u32,
        worker: WorkerIndex,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let expected_end = self
            .expected_run(job, now)
            .and_then(|run| now.checked_add(run));
        let attempt = if job.is_gang() {
            job.gang_attempt
        } else {
            job.attempts.get(&index).copied().unwrap_or(0)
        };
        let spread = (job.kind.placing)(&job.spec) == Placing::SpreadOverRacks;
        let view = self.placement.index.view(worker).filter(|_| spread);
        let rack = view.map(|view| view.rack);
        let entry = Task {
            job: id.clone(),
            index,
            attempt,
            worker,
            rack,
            started_at: now,
            expected_end,
            stopping_since: None,
        };
        self.tasks.insert(task.clone(), entry);
        if let Some(job) = self.jobs.get_mut(id) {
            job.running.insert(task);
            if let Some(rack) = rack {
                *job.racks.entry(rack).or_default() += 1;
            }
        }
        self.quarantine.record_start(worker);
    }

    /// Returns the estimated run time of the workload at [`RUN_QUANTILE`], or the declared run
    /// time if there is no estimate. `None` if neither exists or if tasks have no end.
    pub(super) fn expected_run(&self, job: &Job, now: Instant) -> Option<Duration> {
        let declared = match (job.kind.run_time)(&job.spec) {
            RunTime::Endless => return None,
            RunTime::Unknown => None,
            RunTime::Declared(run) => Some(run),
        };
        let workload = job.spec.workload_key();
        let estimate = self.estimates.run_time(&workload, RUN_QUANTILE, now);
        estimate.or(declared)
    }

    /// Allocates the tasks that a worker reports as running, and returns those that it has to stop
    /// because the scheduler has no entry for them on this worker.
    pub(super) fn adopt_running(
        &mut self,
        index: WorkerIndex,
        worker: &str,
        tasks: &IndexMap<TaskId, TaskState>,
    ) -> Vec<(TaskId, String)> {
        let mut stop = Vec::new();
        for (task, state) in tasks {
            if *state != TaskState::Running {
                continue;
            }
            let entry = self.tasks.get(task).filter(|entry| entry.worker == index);
            let Some(job) = entry.and_then(|entry| self.jobs.get(&entry.job)) else {
                let reason = format!("worker {worker} has no allocation for this task");
                stop.push((task.clone(), reason));
                continue;
            };
            let present = self.ledger.worker(index);
            if present.is_none_or(|worker| !worker.allocations().contains_key(task)) {
                let (amount, urgency) = (job.spec.resources, job.spec.urgency);
                self.ledger.adopt(index, task, amount, urgency);
            }
        }
        stop
    }

    /// Ends the tasks of a worker's former incarnation that its new incarnation does not report.
    pub(super) fn end_missing_tasks(
        &mut self,
        index: WorkerIndex,
        present: &IndexMap<TaskId, TaskState>,
        now: Instant,
    ) {
        let Some(worker) = self.ledger.worker(index) else {
            return;
        };
        let gone = worker
            .allocations()
            .keys()
            .filter(|task| !present.contains_key(*task));
        let gone: Vec<TaskId> = gone.cloned().collect();
        for task in gone {
            let ended = self.task_ended(&task, TaskEnd::Lost, now);
            self.ended.extend(ended.job);
        }
    }

    /// Returns the jobs that ended since the last call for another reason than a reported end of a
    /// task.
    pub fn take_ended(&mut self) -> Vec<JobOutcome> {
        std::mem::take(&mut self.ended)
    }

    /// Releases the holds on a worker whose allocations exceed its capacity, and returns the tasks
    /// that it still has to stop, with the reason.
    pub(super) fn release_excess(&mut self, index: WorkerIndex) -> Vec<(TaskId, String)> {
        let Some(worker) = self.ledger.worker(index) else {
            return Vec::new();
        };
        if !worker.is_over_allocated() {
            return Vec::new();
        }
        let reason = format!(
            "worker {} has {} left for {} allocated",
            worker.description.id,
            worker.description.capacity,
            worker.allocated()
        );
        let is_hold = |allocation: &Allocation| allocation.purpose != Purpose::Task;
        if worker.allocations().values().any(is_hold) {
            self.release_holds_on(index);
        }
        let excess = self.ledger.worker(index).map(LedgerWorker::excess);
        let excess = excess.unwrap_or_default().into_iter();
        excess.map(|task| (task, reason.clone())).collect()
    }

    /// Records the end of a task for estimates and for the quarantine.
    fn record_outcome(&mut self, entry: &Task, workload: &str, end: TaskEnd, now: Instant) {
        let run = now.saturating_duration_since(entry.started_at);
        if end == TaskEnd::Succeeded {
            self.estimates.record_run(workload, run, now);
        }
        let fleet = self.ledger.len();
        match end {
            TaskEnd::Succeeded | TaskEnd::Failed => {
                let failed = end == TaskEnd::Failed;
                self.quarantine
                    .record(entry.worker, workload, failed, fleet, now);
            }
            _ => self.quarantine.record_inconclusive(entry.worker),
        }
    }

    /// Decides whether a task is retried. Returns whether it succeeded if its result is final.
    fn settle_task(&mut self, entry: &Task, end: TaskEnd, now: Instant) -> Option<bool> {
        let job = self.jobs.get_mut(&entry.job)?;
        if job.cancelled {
            return None;
        }
        let may_repeat = !job.spec.at_most_once || end == TaskEnd::NeverStarted;
        let retry = match (may_repeat, end) {
            (true, _) => (job.kind.retrying)(&job.spec, end, entry.attempt),
            (false, TaskEnd::Succeeded) => Retry::Done,
            (false, _) => Retry::GiveUp(format!("{end}, and must run at most once")),
        };
        if job.is_gang() && (job.broken || retry != Retry::Done) {
            self.break_gang(&entry.job, retry, now);
            return None;
        }
        match retry {
            Retry::Done => {
                job.succeeded += 1;
                Some(true)
            }
            Retry::GiveUp(reason) => {
                job.failed += 1;
                job.reason = reason;
                Some(false)
            }
            Retry::After(pause) => {
                *job.attempts.entry(entry.index).or_default() = entry.attempt + 1;
                if !pause.is_zero() {
                    job.delayed += 1;
                    let due = (now + pause, entry.job.clone(), entry.index);
                    self.delayed_retries.insert(due);
                    return None;
                }
                job.retry_queue.push_back(entry.index);
                job.queued_since = now;
                self.enqueue(&entry.job);
                None
            }
        }
    }

    /// Stops the other tasks of a gang of which a task ended early. Once all have stopped, schedules
    /// the next attempt of the whole gang or marks it as failed.
    fn break_gang(&mut self, id: &JobId, retry: Retry, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Retry::GiveUp(reason) = retry
            && job.reason.is_empty()
        {
            job.reason = reason;
            job.given_up = true;
        }
        if !job.broken {
            job.broken = true;
            self.to_stop
                .push_back((id.clone(), PreemptReason::GangBroken));
        }
        if !job.running.is_empty() {
            return;
        }
        job.broken = false;
        job.succeeded = 0;
        if job.given_up {
            job.failed = job.spec.tasks;
            return;
        }
        job.gang_attempt += 1;
        job.next_unstarted = 0;
        job.delayed = 1;
        let pause = kernel::backoff(job.gang_attempt - 1);
        self.delayed_retries.insert((now + pause, id.clone(), 0));
    }

    /// Marks a restored job as cancelled; the next round of decisions stops its running tasks.
    pub fn mark_cancelled(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancelled = true;
            self.to_stop
                .push_back((id.clone(), PreemptReason::Cancelled));
        }
    }

    /// Removes a job that has ended or was cancelled and has no running tasks; returns its result.
    pub fn take_finished(&mut self, id: &JobId) -> Option<JobOutcome> {
        let job = self.jobs.get(id)?;
        let done = job.succeeded + job.failed >= job.spec.tasks;
        if !job.running.is_empty() || !(job.cancelled || done) {
            return None;
        }
        let job = self.jobs.swap_remove(id)?;
        self.gangs.remove(job.seq, id);
        Some(JobOutcome {
            job: id.clone(),
            succeeded: job.succeeded,
            failed: job.failed,
            cancelled: job.cancelled,
            reason: job.reason,
        })
    }
}

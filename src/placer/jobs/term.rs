//! State of the job placer during one epoch.

pub(super) mod late_starts;
mod replies;

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::calls::{WorkerCall, WorkerRequest};
use super::leases::{Leases, StartRate, WorkerLease};
use super::live::LiveTasks;
use super::{JobPlacerOptions, TeamSource};
use crate::ids::{Epoch, JobId, MemberId, TaskId};
use crate::placer::job_records::{JobEnd, JobEntry, JobRecord, JobState, TaskAttempt};
use crate::protocol::worker::{Announcement, TaskState, WorkerPhase};
use crate::scheduling::fair_share::TeamShare;
use crate::scheduling::job::{TaskEnd, parse_task_id};
use crate::scheduling::job_scheduler::{
    Decision, JobOutcome, JobScheduler, RestoredTask, TaskStart,
};
use crate::scheduling::ledger::WorkerDescription;
use late_starts::SharedLateStarts;
use replies::task_end;

/// Interval at which a call is repeated until it has an effect.
const REPEAT_AFTER: Duration = Duration::from_secs(1);

/// Scheduler, leases and outstanding calls of the job placer in one epoch.
pub(super) struct Term {
    pub(super) epoch: Epoch,
    pub(super) scheduler: JobScheduler,
    /// Members whose shares are set in the scheduler.
    teams: IndexSet<MemberId>,
    leases: Leases,
    tasks: LiveTasks,
    start_rate: StartRate,
    /// Time until which workers may not have announced themselves to this placer yet.
    announcement_grace_until: Option<Instant>,
    late_starts: SharedLateStarts,
    records: Vec<JobRecord>,
    calls: Vec<WorkerCall>,
}

impl Term {
    /// Recovers the committed jobs. Tasks without a known end keep their resources, and their workers
    /// have the duration of one lease to announce themselves.
    pub(super) fn recover(
        options: &JobPlacerOptions,
        state: &JobState,
        late_starts: &SharedLateStarts,
        epoch: Epoch,
        now: Instant,
    ) -> Self {
        late_starts.lock().unwrap().begin_epoch(epoch);
        let mut term = Self {
            epoch,
            scheduler: JobScheduler::new(options.scheduler),
            teams: IndexSet::new(),
            leases: Leases::default(),
            tasks: LiveTasks::default(),
            start_rate: StartRate::new(options.max_starts_per_s, now),
            announcement_grace_until: Some(now + options.lease),
            late_starts: Arc::clone(late_starts),
            records: Vec::new(),
            calls: Vec::new(),
        };
        term.set_teams(&options.teams);
        term.scheduler.set_reachable(&options.data_centre, false);
        for (id, entry) in &state.jobs {
            term.recover_job(options, id, entry, now);
        }
        term
    }

    /// Sets the shares of the current teams, and the default share of members that are no longer
    /// teams.
    pub(super) fn set_teams(&mut self, source: &TeamSource) {
        let present: IndexMap<MemberId, TeamShare> = source().into_iter().collect();
        for member in self
            .teams
            .iter()
            .filter(|member| !present.contains_key(*member))
        {
            self.scheduler.set_team(member, TeamShare::default());
        }
        for (member, share) in &present {
            self.scheduler.set_team(member, share.clone());
        }
        self.teams = present.into_keys().collect();
    }

    fn recover_job(
        &mut self,
        options: &JobPlacerOptions,
        id: &JobId,
        entry: &JobEntry,
        now: Instant,
    ) {
        let mut running = Vec::new();
        for (task, attempt) in &entry.running {
            running.push(RestoredTask {
                task: task.clone(),
                index: attempt.index,
                attempt: attempt.number,
                worker: attempt.worker.clone(),
                incarnation: attempt.incarnation,
            });
            let lease = WorkerLease {
                address: String::new(),
                incarnation: attempt.incarnation,
                leaving: false,
                ends_at: now + options.lease,
                expired: false,
                tasks_ended: false,
            };
            self.leases
                .workers
                .entry(attempt.worker.clone())
                .or_insert(lease);
            self.tasks.insert(task.clone(), id.clone(), attempt.clone());
        }
        let spec = entry.spec.clone();
        let (settled, attempts) = (&entry.settled, &entry.attempts);
        if let Err(error) = self
            .scheduler
            .restore_job(spec, settled, attempts, &running, now)
        {
            log::error!("job {id} could not be recovered: {error}");
            return;
        }
        if entry.cancel_requested {
            self.scheduler.mark_cancelled(id);
        }
        // A former placer may have committed the end of the last task but not the end of the job.
        if let Some(outcome) = self.scheduler.take_finished(id) {
            self.record_job_end(outcome);
        }
    }

    /// Recovers jobs whose record was committed after the journal had reported an error. All other
    /// changes to the set of jobs are committed at this point, so equal numbers of jobs mean that
    /// there is nothing to recover.
    pub(super) fn recover_late_jobs(
        &mut self,
        options: &JobPlacerOptions,
        state: &JobState,
        now: Instant,
    ) {
        if state.jobs.len() == self.scheduler.job_count() {
            return;
        }
        for (id, entry) in &state.jobs {
            if self.scheduler.spec(id).is_none() {
                self.recover_job(options, id, entry, now);
            }
        }
    }

    pub(super) fn announce(
        &mut self,
        options: &JobPlacerOptions,
        announcement: &Announcement,
        now: Instant,
    ) -> Vec<TaskId> {
        let id = &announcement.worker;
        let known = self.leases.workers.get(id);
        if known.is_some_and(|lease| lease.incarnation > announcement.incarnation) {
            // The announcement also lists tasks of requests, which the runner manages itself.
            let tasks = announcement.tasks.keys();
            return tasks
                .filter(|task| parse_task_id(task).is_some())
                .cloned()
                .collect();
        }
        // Announcements may arrive out of order, and an incarnation that leaves never returns.
        let left = known
            .is_some_and(|lease| lease.incarnation == announcement.incarnation && lease.leaving);
        let leaving = left || announcement.phase == WorkerPhase::Leaving;
        let lease = WorkerLease {
            address: announcement.address.clone(),
            incarnation: announcement.incarnation,
            leaving,
            ends_at: now + options.lease,
            expired: false,
            tasks_ended: false,
        };
        self.leases.workers.insert(id.clone(), lease);
        self.end_former_incarnations(announcement, now);
        self.end_reported(announcement, now);
        self.resolve_missing(announcement, now);
        let description = worker_description(options, announcement, leaving);
        let job_tasks = announcement
            .tasks
            .iter()
            .filter(|(task, _)| parse_task_id(task).is_some());
        let job_tasks: IndexMap<TaskId, TaskState> = job_tasks
            .map(|(task, state)| (task.clone(), *state))
            .collect();
        let stop = self
            .scheduler
            .worker_announced(description, &job_tasks, now);
        self.apply_usage_limits(announcement, now);
        for (task, reason) in &stop {
            log::info!("worker {id} stops task {task}: {reason}");
        }
        stop.into_iter().map(|(task, _)| task).collect()
    }

    /// Records the ends and confirmed starts of tasks that the worker reports.
    fn end_reported(&mut self, announcement: &Announcement, now: Instant) {
        for (task, state) in &announcement.tasks {
            let on_worker = self.tasks.get(task);
            if on_worker.is_none_or(|live| live.attempt.worker != announcement.worker) {
                continue;
            }
            match task_end(*state) {
                Some(end) => self.end_task(task, end, now),
                None => self.confirm_start(task),
            }
        }
    }

    /// Asks the worker about tasks that this incarnation should have but does not list: their start
    /// was lost, or is still in transit from an earlier state, or the announcement was written before
    /// it arrived. Announcements may arrive late in any number, so only the answer of the worker
    /// proves that it does not have the task. A single one without the task is usual, and not asked
    /// about.
    fn resolve_missing(&mut self, announcement: &Announcement, now: Instant) {
        for task in self.tasks.on_worker(&announcement.worker) {
            let Some(live) = self.tasks.get_mut(&task) else {
                continue;
            };
            if announcement.tasks.contains_key(&task) {
                live.missed_announcements = 0;
                continue;
            }
            live.missed_announcements += 1;
            // A task without a call has started, or its start was sent by an earlier state.
            if live.missed_announcements > 1 && !self.tasks.has_call(&task) {
                self.tasks.set_call(&task, now, WorkerRequest::Query);
            }
        }
    }

    /// Ends the tasks of former incarnations of a worker, which its restart has ended.
    fn end_former_incarnations(&mut self, announcement: &Announcement, now: Instant) {
        for task in self.tasks.on_worker(&announcement.worker) {
            let former = self
                .tasks
                .get(&task)
                .is_some_and(|live| live.attempt.incarnation < announcement.incarnation);
            if former && !announcement.tasks.contains_key(&task) {
                self.end_task(&task, TaskEnd::Lost, now);
            }
        }
    }

    fn apply_usage_limits(&mut self, announcement: &Announcement, now: Instant) {
        let actions = self
            .scheduler
            .usage_reported(&announcement.worker, &announcement.usage, now);
        for action in actions {
            log::info!("{} task {}: {}", action.measure, action.task, action.reason);
            self.tasks
                .set_call(&action.task, now, WorkerRequest::Apply(action.measure));
        }
    }

    /// Stops placement on workers with expired leases, and records their tasks as lost after the
    /// clock margin.
    pub(super) fn expire_leases(&mut self, options: &JobPlacerOptions, now: Instant) {
        if self
            .announcement_grace_until
            .is_some_and(|until| until <= now)
        {
            self.announcement_grace_until = None;
            self.scheduler.set_reachable(&options.data_centre, true);
        }
        for worker in self.leases.newly_expired(now) {
            log::warn!("the lease of worker {worker} has expired");
            self.scheduler.worker_lost(&worker);
        }
        for worker in self.leases.certainly_stopped(options.clock_margin, now) {
            for task in self.tasks.on_worker(&worker) {
                self.record_late_start(&task);
                self.end_task(&task, TaskEnd::Lost, now);
            }
        }
        for worker in self.leases.remove_long_expired(now) {
            self.scheduler.worker_gone(&worker);
        }
    }

    /// Runs the scheduler and prepares the records and calls of its decisions.
    pub(super) fn decide(&mut self, limit: usize, now: Instant) {
        let permitted = self.start_rate.available(now).min(limit);
        let mut starts = 0;
        for decision in self.scheduler.decide(now, permitted) {
            match decision {
                Decision::Start(start) => {
                    starts += 1;
                    self.record_intent(&start, now);
                }
                Decision::Preempt {
                    task,
                    measure,
                    reason,
                    ..
                } => {
                    log::info!("{measure} task {task}: {reason}");
                    self.tasks
                        .set_call(&task, now, WorkerRequest::Apply(measure));
                }
                Decision::Refuse { job, reason } => {
                    let outcome = JobEnd {
                        succeeded: 0,
                        failed: 0,
                        cancelled: false,
                        reason: reason.to_string(),
                    };
                    self.records.push(JobRecord::JobEnded { job, outcome });
                }
                Decision::Reserve { job, worker, .. } => {
                    log::debug!("reserved {worker:?} for job {job}");
                }
            }
        }
        self.start_rate.consume(starts);
    }

    fn record_intent(&mut self, start: &TaskStart, now: Instant) {
        let attempt = TaskAttempt {
            index: start.index,
            number: start.attempt,
            worker: start.worker.clone(),
            incarnation: start.incarnation,
            epoch: self.epoch,
            started: false,
        };
        self.records.push(JobRecord::TaskIntent {
            job: start.job.clone(),
            task: start.task.clone(),
            attempt: attempt.clone(),
        });
        let Some(spec) = self.scheduler.spec(&start.job) else {
            return;
        };
        let request = WorkerRequest::Start {
            resources: spec.resources,
            payload: spec.payload.clone(),
        };
        self.tasks
            .insert(start.task.clone(), start.job.clone(), attempt);
        self.tasks.set_call(&start.task, now, request);
    }

    /// Prepares all due calls. Each is repeated until it has an effect.
    pub(super) fn prepare_due_calls(&mut self, now: Instant) {
        for (task, request) in self.tasks.take_due(now, now + REPEAT_AFTER) {
            self.call(&task, request);
        }
    }

    fn call(&mut self, task: &str, request: WorkerRequest) {
        let Some(live) = self.tasks.get_mut(task) else {
            return;
        };
        let Some(lease) = self.leases.workers.get(&live.attempt.worker) else {
            return;
        };
        if lease.expired || lease.address.is_empty() {
            return;
        }
        live.prepared_starts += u32::from(matches!(request, WorkerRequest::Start { .. }));
        self.calls.push(WorkerCall {
            job: live.job.clone(),
            task: task.to_owned(),
            worker: live.attempt.worker.clone(),
            address: lease.address.clone(),
            incarnation: live.attempt.incarnation,
            epoch: self.epoch,
            request,
        });
    }

    fn end_task(&mut self, task: &str, end: TaskEnd, now: Instant) {
        let ended = self.scheduler.task_ended(task, end, now);
        // Sent once, after the commit; a worker that does not receive it drops the record at its own
        // limit.
        self.call(task, WorkerRequest::RemoveRecord);
        if let Some(live) = self.tasks.remove(task) {
            self.records.push(JobRecord::TaskEnded {
                job: live.job,
                task: task.to_owned(),
                end,
                settled: ended.settled,
            });
        }
        if let Some(outcome) = ended.job {
            self.record_job_end(outcome);
        }
    }

    fn record_job_end(&mut self, outcome: JobOutcome) {
        self.records.push(JobRecord::JobEnded {
            job: outcome.job,
            outcome: JobEnd {
                succeeded: outcome.succeeded,
                failed: outcome.failed,
                cancelled: outcome.cancelled,
                reason: outcome.reason,
            },
        });
    }

    pub(super) fn take_records(&mut self) -> Vec<JobRecord> {
        std::mem::take(&mut self.records)
    }

    pub(super) fn take_calls(&mut self) -> Vec<WorkerCall> {
        std::mem::take(&mut self.calls)
    }
}

fn worker_description(
    options: &JobPlacerOptions,
    announcement: &Announcement,
    leaving: bool,
) -> WorkerDescription {
    WorkerDescription {
        id: announcement.worker.clone(),
        incarnation: announcement.incarnation,
        rack: announcement.rack.clone(),
        data_centre: announcement.data_centre.clone(),
        region: options.region.clone(),
        capacity: announcement.resources,
        leaving,
    }
}

//! State of the jobs during one epoch.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::calls::{WorkerCall, WorkerCallError, WorkerReply, WorkerRequest};
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
use crate::scheduling::overuse::Measure;

/// Time after which a call that had no effect is repeated.
const REPEAT_AFTER: Duration = Duration::from_secs(1);
/// Time between the request for a checkpoint and the stop.
const CHECKPOINT_TIME: Duration = Duration::from_secs(5);

/// Scheduler, leases and outstanding calls of one epoch.
pub(super) struct Term {
    pub(super) epoch: Epoch,
    pub(super) scheduler: JobScheduler,
    /// Members whose shares were set.
    teams: IndexSet<MemberId>,
    leases: Leases,
    tasks: LiveTasks,
    rate: StartRate,
    /// Until then workers may still have to announce themselves to this placer.
    gathering_until: Option<Instant>,
    records: Vec<JobRecord>,
    calls: Vec<WorkerCall>,
}

impl Term {
    /// Takes over the committed jobs. Tasks without a known end keep their resources, and their
    /// workers get one lease of time to announce themselves.
    pub(super) fn recover(
        options: &JobPlacerOptions,
        state: &JobState,
        epoch: Epoch,
        now: Instant,
    ) -> Self {
        let mut term = Self {
            epoch,
            scheduler: JobScheduler::new(options.scheduler),
            teams: IndexSet::new(),
            leases: Leases::default(),
            tasks: LiveTasks::default(),
            rate: StartRate::new(options.max_starts_per_s, now),
            gathering_until: Some(now + options.lease),
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

    /// Sets the shares of the present teams; a member that is no longer one gets the default.
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
                ends_at: now + options.lease,
                lapsed: false,
                emptied: false,
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
            log::error!("job {id} could not be taken over: {error}");
            return;
        }
        if entry.cancel_requested {
            self.scheduler.mark_cancelled(id);
        }
        // A former placer may have committed the last task of a job but not the end of the job.
        if let Some(outcome) = self.scheduler.take_finished(id) {
            self.record_job_end(outcome);
        }
    }

    /// Takes over jobs whose record was committed after the journal had reported an error. All
    /// other changes of the table of jobs are committed at this point, so equal numbers of jobs
    /// mean that there are none.
    pub(super) fn take_over_late(
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
            // Tasks of requests are listed too; their runner is responsible for them.
            let tasks = announcement.tasks.keys();
            return tasks
                .filter(|task| parse_task_id(task).is_some())
                .cloned()
                .collect();
        }
        let lease = WorkerLease {
            address: announcement.address.clone(),
            incarnation: announcement.incarnation,
            ends_at: now + options.lease,
            lapsed: false,
            emptied: false,
        };
        self.leases.workers.insert(id.clone(), lease);
        self.end_vanished(announcement, now);
        self.end_reported(announcement, now);
        self.resolve_missing(announcement, now);
        let description = describe(options, announcement);
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
        self.limit_usage(announcement, now);
        for (task, reason) in &stop {
            log::info!("worker {id} stops task {task}: {reason}");
        }
        stop.into_iter().map(|(task, _)| task).collect()
    }

    /// Ends that the worker reports.
    fn end_reported(&mut self, announcement: &Announcement, now: Instant) {
        for (task, state) in &announcement.tasks {
            let on_worker = self.tasks.get(task);
            if on_worker.is_none_or(|live| live.attempt.worker != announcement.worker) {
                continue;
            }
            match end_of(*state) {
                Some(end) => self.end_task(task, end, now),
                None => self.confirm_start(task),
            }
        }
    }

    /// Tasks that this incarnation of the worker should have but does not list: the start was
    /// lost, or is still under way from a former placer. A tombstone decides it. An announcement
    /// may have been written before a start arrived, so one is not enough.
    fn resolve_missing(&mut self, announcement: &Announcement, now: Instant) {
        for task in self.tasks.on_worker(&announcement.worker) {
            let Some(live) = self.tasks.get_mut(&task) else {
                continue;
            };
            if announcement.tasks.contains_key(&task) {
                live.missing = 0;
                continue;
            }
            live.missing += 1;
            let may_be_sent = live.attempt.started || live.attempt.epoch < self.epoch;
            if may_be_sent && live.missing > 1 {
                self.tasks.set_call(&task, now, WorkerRequest::Cancel);
            }
        }
    }

    /// Ends tasks of former incarnations of a worker, which its restart has ended.
    fn end_vanished(&mut self, announcement: &Announcement, now: Instant) {
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

    fn limit_usage(&mut self, announcement: &Announcement, now: Instant) {
        let actions = self
            .scheduler
            .usage_reported(&announcement.worker, &announcement.usage, now);
        for action in actions {
            log::info!("{} task {}: {}", action.measure, action.task, action.reason);
            self.tasks
                .set_call(&action.task, now, WorkerRequest::Apply(action.measure));
        }
    }

    /// Lapsed leases: nothing new goes there; after the margin the tasks count as lost.
    pub(super) fn expire_leases(&mut self, options: &JobPlacerOptions, now: Instant) {
        if self.gathering_until.is_some_and(|until| until <= now) {
            self.gathering_until = None;
            self.scheduler.set_reachable(&options.data_centre, true);
        }
        for worker in self.leases.newly_lapsed(now) {
            log::warn!("the lease of worker {worker} has lapsed");
            self.scheduler.worker_lost(&worker);
        }
        for worker in self.leases.certainly_stopped(options.clock_margin, now) {
            for task in self.tasks.on_worker(&worker) {
                self.end_task(&task, TaskEnd::Lost, now);
            }
        }
        for worker in self.leases.gone_for_good(now) {
            self.scheduler.worker_gone(&worker);
        }
    }

    /// Decides and prepares the records and calls that carry it out.
    pub(super) fn decide(&mut self, limit: usize, now: Instant) {
        let permitted = self.rate.available(now).min(limit);
        let mut starts = 0;
        for decision in self.scheduler.decide(now, permitted) {
            match decision {
                Decision::Start(start) => {
                    starts += 1;
                    self.intend(&start, now);
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
        self.rate.take(starts);
    }

    fn intend(&mut self, start: &TaskStart, now: Instant) {
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

    /// Turns everything that is due into calls; each stays due until it had an effect.
    pub(super) fn repeat_calls(&mut self, now: Instant) {
        for (task, request) in self.tasks.take_due(now, now + REPEAT_AFTER) {
            self.call(&task, request);
        }
    }

    fn call(&mut self, task: &str, request: WorkerRequest) {
        let Some(live) = self.tasks.get(task) else {
            return;
        };
        let Some(lease) = self.leases.workers.get(&live.attempt.worker) else {
            return;
        };
        if lease.lapsed || lease.address.is_empty() {
            return;
        }
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

    /// Takes note of the reply to a call.
    pub(super) fn replied(
        &mut self,
        call: &WorkerCall,
        reply: Result<WorkerReply, WorkerCallError>,
        now: Instant,
    ) {
        // Without an answer the call stays due; the worker ignores what it has done already.
        let Ok(reply) = reply else {
            return;
        };
        let state = match reply {
            WorkerReply::State(state) => state,
            // A refused measure leaves the task as it was.
            WorkerReply::Refused if !matches!(call.request, WorkerRequest::Start { .. }) => return,
            WorkerReply::Refused => TaskState::NeverStarted,
        };
        if let Some(end) = end_of(state) {
            self.end_task(&call.task, end, now);
            return;
        }
        match &call.request {
            WorkerRequest::Apply(Measure::Checkpoint) => {
                let stop = WorkerRequest::Apply(Measure::Stop);
                self.tasks.set_call(&call.task, now + CHECKPOINT_TIME, stop);
            }
            WorkerRequest::Apply(Measure::Throttle) => self.tasks.clear_call(&call.task),
            WorkerRequest::Start { .. } => self.confirm_start(&call.task),
            // Asked again until the end of the task is reported.
            WorkerRequest::Apply(Measure::Stop) | WorkerRequest::Cancel => {}
            WorkerRequest::Forget => {}
        }
    }

    fn confirm_start(&mut self, task: &str) {
        if self.tasks.is_starting(task) {
            self.tasks.clear_call(task);
        }
        let Some(live) = self
            .tasks
            .get_mut(task)
            .filter(|live| !live.attempt.started)
        else {
            return;
        };
        live.attempt.started = true;
        self.records.push(JobRecord::TaskStarted {
            job: live.job.clone(),
            task: task.to_owned(),
        });
    }

    fn end_task(&mut self, task: &str, end: TaskEnd, now: Instant) {
        let ended = self.scheduler.task_ended(task, end, now);
        // Sent once, after the commit; a worker that misses it drops the record by its own limit.
        self.call(task, WorkerRequest::Forget);
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

/// How a task ended; `None` while it runs.
fn end_of(state: TaskState) -> Option<TaskEnd> {
    match state {
        // A create that is on its way may still start an unknown task.
        TaskState::Running | TaskState::Unknown => None,
        TaskState::Succeeded => Some(TaskEnd::Succeeded),
        TaskState::Failed => Some(TaskEnd::Failed),
        TaskState::Stopped => Some(TaskEnd::Stopped),
        TaskState::NeverStarted => Some(TaskEnd::NeverStarted),
    }
}

fn describe(options: &JobPlacerOptions, announcement: &Announcement) -> WorkerDescription {
    WorkerDescription {
        id: announcement.worker.clone(),
        incarnation: announcement.incarnation,
        rack: announcement.rack.clone(),
        data_centre: announcement.data_centre.clone(),
        region: options.region.clone(),
        capacity: announcement.resources,
        leaving: announcement.phase == WorkerPhase::Leaving,
    }
}

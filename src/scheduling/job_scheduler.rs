//! Scheduler that decides which task of which job starts on which worker.
//!
//! All state is in memory and all inputs are arguments, including the time, so equal sequences of
//! calls result in equal decisions.

mod backfill;
mod clearing;
mod decide;
mod gang_reservation;
mod outcomes;
mod table;
mod types;

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

pub use outcomes::{FollowUp, JobOutcome, RestoredTask};
pub use types::{
    Cancellation, Decision, JobProgress, PreemptReason, SchedulerSettings, SubmitError, TaskStart,
};

use super::estimates::Estimates;
use super::fair_share::{FairShare, TeamShare};
use super::feasibility::Feasibility;
use super::gangs::{GangCounters, Gangs};
use super::job::JobSpec;
use super::ledger::{Ledger, WorkerDescription, WorkerIndex, WorkerStatus};
use super::overuse::Overuse;
use super::placement::Placement;
use super::quarantine::Quarantine;
use crate::ids::{JobId, TaskId};
use crate::kernel::{self, Queueing, WorkloadKind};
use crate::protocol::worker::TaskState;
use crate::resources::Resources;
use clearing::Drain;
use table::{Job, Task};

/// Combines the queue, placement, reservations, quarantine and ledger into scheduling decisions.
pub struct JobScheduler {
    settings: SchedulerSettings,
    ledger: Ledger,
    placement: Placement,
    queue: FairShare,
    gangs: Gangs,
    estimates: Estimates,
    overuse: Overuse,
    quarantine: Quarantine,
    feasibility: Feasibility,
    jobs: IndexMap<JobId, Job>,
    tasks: IndexMap<TaskId, Task>,
    /// Retries that wait for the end of their backoff: due time, job and index of the task.
    delayed_retries: BTreeSet<(Instant, JobId, u32)>,
    /// Cancelled jobs and broken gangs whose tasks have to stop.
    to_stop: VecDeque<(JobId, PreemptReason)>,
    /// Workers that accept only tasks of the job for which they are reserved.
    reserved: IndexMap<WorkerIndex, Drain>,
    /// Workers with more free resources than before, for which parked jobs have to be searched.
    search_pending: IndexSet<WorkerIndex>,
    /// Workers whose latest search did not examine all parked jobs.
    full_search_pending: IndexSet<WorkerIndex>,
    full_search_at: Option<Instant>,
    /// Feasibility generation for which parked jobs were last checked.
    checked_generation: u64,
    starvation_checked_at: Option<Instant>,
    /// Position in the list of starving members at which the next search for a worker begins.
    starvation_offset: usize,
    /// Whether free resources increased on a worker since the gang reservation last used them.
    capacity_freed: bool,
    /// Jobs that ended for another reason than a reported end of a task.
    ended: Vec<JobOutcome>,
    next_seq: u64,
}

impl JobScheduler {
    /// Creates a scheduler without workers and jobs.
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            ledger: Ledger::default(),
            placement: Placement::new(settings.placement, settings.seed),
            queue: FairShare::new(settings.queue),
            gangs: Gangs::new(settings.gangs),
            estimates: Estimates::default(),
            overuse: Overuse::default(),
            quarantine: Quarantine::default(),
            feasibility: Feasibility::default(),
            jobs: IndexMap::new(),
            tasks: IndexMap::new(),
            delayed_retries: BTreeSet::new(),
            to_stop: VecDeque::new(),
            reserved: IndexMap::new(),
            search_pending: IndexSet::new(),
            full_search_pending: IndexSet::new(),
            full_search_at: None,
            checked_generation: 0,
            starvation_checked_at: None,
            starvation_offset: 0,
            capacity_freed: false,
            ended: Vec::new(),
            next_seq: 0,
        }
    }

    /// Sets the weight and quota of a member.
    pub fn set_team(&mut self, member: &str, share: TeamShare) {
        self.queue.set_team(member, share);
    }

    /// Records whether a data centre can be reached, so that its workers are known.
    pub fn set_reachable(&mut self, data_centre: &str, reachable: bool) {
        self.feasibility.set_reachable(data_centre, reachable);
    }

    /// Records the announcement of a worker and adopts the known tasks that it runs. Returns the
    /// tasks that it has to stop, with the reason: unknown tasks and tasks that exceed its
    /// capacity. An announcement of an earlier incarnation is ignored.
    pub fn worker_announced(
        &mut self,
        description: WorkerDescription,
        tasks: &IndexMap<TaskId, TaskState>,
        now: Instant,
    ) -> Vec<(TaskId, String)> {
        let id = description.id.clone();
        self.feasibility
            .set_worker(&id, &description.data_centre, description.capacity);
        let former = self.ledger.index_of(&id);
        let former = former.and_then(|index| self.ledger.worker(index));
        let former = former.map(|worker| worker.description.clone());
        if former
            .as_ref()
            .is_some_and(|former| former.incarnation > description.incarnation)
        {
            return Vec::new();
        }
        let restarted = former
            .as_ref()
            .is_some_and(|former| former.incarnation < description.incarnation);
        let moved = former.as_ref().is_some_and(|former| {
            former.rack != description.rack || former.data_centre != description.data_centre
        });
        let index = self.ledger.announce(description);
        if moved {
            self.placement.index.remove(index);
        }
        if restarted {
            self.quarantine.remove_worker(index);
            self.end_missing_tasks(index, tasks, now);
        }
        let mut stop = self.adopt_running(index, &id, tasks);
        self.queue.set_capacity(self.ledger.capacity());
        self.refresh(index);
        stop.extend(self.release_excess(index));
        stop
    }

    /// Marks a worker whose lease expired as lost. Its tasks keep their allocations until their
    /// ends are reported with [`Self::task_ended`].
    pub fn worker_lost(&mut self, worker: &str) {
        let Some(index) = self.ledger.index_of(worker) else {
            return;
        };
        self.ledger.set_status(index, WorkerStatus::Lost);
        self.queue.set_capacity(self.ledger.capacity());
        self.release_holds_on(index);
        self.refresh(index);
    }

    /// Removes a worker that left permanently. Returns false, and keeps it as lost, while tasks
    /// are allocated to it.
    pub fn worker_gone(&mut self, worker: &str) -> bool {
        let Some(index) = self.ledger.index_of(worker) else {
            return true;
        };
        self.worker_lost(worker);
        if !self.ledger.remove_worker(index) {
            return false;
        }
        self.placement.index.remove(index);
        self.quarantine.remove_worker(index);
        self.feasibility.remove_worker(worker);
        true
    }

    /// Accepts a job and adds it to the queue.
    ///
    /// # Errors
    ///
    /// [`SubmitError`] if the job can't be accepted; nothing is stored then.
    pub fn submit(&mut self, spec: JobSpec, now: Instant) -> Result<(), SubmitError> {
        let kind = self.check(&spec)?;
        let id = spec.id.clone();
        self.insert_job(spec, kind, now);
        self.enqueue(&id);
        Ok(())
    }

    /// Checks whether a job would be accepted; returns its workload kind.
    ///
    /// # Errors
    ///
    /// [`SubmitError`] as for [`Self::submit`].
    pub fn check(&self, spec: &JobSpec) -> Result<&'static WorkloadKind, SubmitError> {
        let Some(kind) = kernel::find(&spec.kind) else {
            return Err(SubmitError::UnknownKind {
                kind: spec.kind.clone(),
                known: kernel::names().join(", "),
            });
        };
        if self.jobs.contains_key(&spec.id) {
            return Err(SubmitError::Duplicate(spec.id.clone()));
        }
        let all_at_once = (kind.queueing)(spec) == Queueing::AllTasks;
        self.feasibility.check(spec, all_at_once)?;
        Ok(kind)
    }

    /// Cancels a job in constant time: its queue entry is skipped when it reaches the head. Only
    /// the entries of gangs are removed immediately.
    pub fn cancel(&mut self, job: &str) -> Cancellation {
        let Some(entry) = self.jobs.get_mut(job) else {
            return Cancellation::Unknown;
        };
        entry.cancelled = true;
        let seq = entry.seq;
        if !entry.running.is_empty() {
            self.to_stop
                .push_back((job.to_owned(), PreemptReason::Cancelled));
            return Cancellation::Stopping;
        }
        self.gangs.remove(seq, &job.to_owned());
        let lane = entry.lane.filter(|_| entry.is_gang());
        if let Some(lane) = lane {
            self.queue.remove(lane, seq);
        }
        self.jobs.swap_remove(job);
        Cancellation::Ended
    }

    /// Capacity and allocations.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Health of workers.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Resources that the tasks of a member hold.
    pub fn usage_of(&self, member: &str) -> Resources {
        self.queue.usage(member)
    }

    /// Counters of gang reservations.
    pub fn gang_counters(&self) -> GangCounters {
        self.gangs.counters
    }

    /// Progress of a job; `None` if it has ended or is unknown.
    pub fn progress(&self, job: &str) -> Option<JobProgress> {
        let job = self.jobs.get(job)?;
        Some(JobProgress {
            running: job.running.len() as u32,
            succeeded: job.succeeded,
            failed: job.failed,
            cancelled: job.cancelled,
        })
    }

    /// Specification of a job; `None` if it has ended or is unknown.
    pub fn spec(&self, job: &str) -> Option<&JobSpec> {
        self.jobs.get(job).map(|job| &job.spec)
    }

    /// Number of jobs that are waiting or running.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Number of tasks that hold an allocation.
    pub fn running_tasks(&self) -> usize {
        self.tasks.len()
    }

    /// Number of workers that are reserved for a starving member or drained for a gang.
    pub fn reserved_workers(&self) -> usize {
        self.reserved.len()
    }

    pub(super) fn insert_job(&mut self, spec: JobSpec, kind: &'static WorkloadKind, now: Instant) {
        let job = Job {
            kind,
            seq: self.next_seq,
            queued_since: now,
            next_unstarted: 0,
            retry_queue: VecDeque::new(),
            attempts: IndexMap::new(),
            running: IndexSet::new(),
            succeeded: 0,
            failed: 0,
            delayed: 0,
            avoid: Vec::new(),
            racks: IndexMap::new(),
            cancelled: false,
            lane: None,
            gang_attempt: 0,
            broken: false,
            given_up: false,
            reason: String::new(),
            checked_generation: self.feasibility.generation(),
            spec,
        };
        self.next_seq += 1;
        self.jobs.insert(job.spec.id.clone(), job);
    }

    pub(super) fn enqueue(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.lane.is_some() {
            return;
        }
        let owner = (job.spec.member.as_str(), job.spec.caller.as_str());
        let arrival = (job.seq, job.queued_since);
        let (urgency, shape) = (job.spec.urgency, job.shape());
        job.lane = Some(self.queue.enqueue(id, owner, urgency, shape, arrival));
        if job.is_gang() && job.lane.is_some_and(|lane| self.queue.is_parked(lane)) {
            // Parked lanes of gangs are only tried again through the list of waiting gangs.
            self.gangs.add_waiting(job.seq, id);
        }
    }

    /// Updates the placement index from the ledger. If the free resources increased, schedules a
    /// search for parked jobs that fit now.
    pub(super) fn refresh(&mut self, index: WorkerIndex) {
        let Some(worker) = self.ledger.worker(index) else {
            return;
        };
        let usable = worker.status == WorkerStatus::Up
            && self.quarantine.accepts_tasks(index)
            && !self.reserved.contains_key(&index);
        let before = self.placement.index.view(index).map(|view| view.free);
        let was_offered = self.placement.index.offers(index);
        self.placement.index.update(index, worker, usable);
        let free = worker.free();
        let grew = !was_offered || before.is_none_or(|before| !before.covers(&free));
        if grew && self.placement.index.offers(index) {
            self.capacity_freed = true;
            self.search_pending.insert(index);
        }
    }
}

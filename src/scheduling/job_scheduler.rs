//! Joins the parts that decide which task of which job starts where.
//!
//! All state is in memory and all inputs are arguments, the time included, so equal sequences of
//! calls give equal decisions.

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

/// Decides which task of which job starts where.
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
    /// Tasks that may start again from this time on.
    paused: BTreeSet<(Instant, JobId, u32)>,
    /// Cancelled jobs and broken gangs whose tasks have to stop.
    to_stop: VecDeque<(JobId, PreemptReason)>,
    /// Workers that get only the job for which they are reserved.
    reserved: IndexMap<WorkerIndex, Drain>,
    /// Workers that got room for which no parked job has been looked for yet.
    with_room: IndexSet<WorkerIndex>,
    /// Workers with room for which not all parked jobs were looked through.
    rescan: IndexSet<WorkerIndex>,
    rescanned_at: Option<Instant>,
    /// Feasibility generation for which parked jobs were last checked.
    checked_generation: u64,
    starvation_checked_at: Option<Instant>,
    /// Position at which the next search for members below their share begins.
    clearing_offset: usize,
    /// Whether a worker got room since the gang reservation last looked for some.
    room_grew: bool,
    /// Jobs that ended without a reported task end.
    ended: Vec<JobOutcome>,
    next_seq: u64,
}

impl JobScheduler {
    /// A scheduler without workers and jobs.
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
            paused: BTreeSet::new(),
            to_stop: VecDeque::new(),
            reserved: IndexMap::new(),
            with_room: IndexSet::new(),
            rescan: IndexSet::new(),
            rescanned_at: None,
            checked_generation: 0,
            starvation_checked_at: None,
            clearing_offset: 0,
            room_grew: false,
            ended: Vec::new(),
            next_seq: 0,
        }
    }

    /// Sets the share of a member.
    pub fn set_team(&mut self, member: &str, share: TeamShare) {
        self.queue.set_team(member, share);
    }

    /// Takes note of whether the workers of a data centre are known.
    pub fn set_reachable(&mut self, data_centre: &str, reachable: bool) {
        self.feasibility.set_reachable(data_centre, reachable);
    }

    /// A worker announced itself. Known tasks that it runs are adopted; the result names those
    /// that it has to stop: unknown ones and what exceeds its capacity.
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
            self.quarantine.forget(index);
            self.end_vanished(index, tasks, now);
        }
        let mut stop = self.adopt_running(index, &id, tasks);
        self.queue.set_capacity(self.ledger.capacity());
        self.refresh(index);
        stop.extend(self.give_up_excess(index));
        stop
    }

    /// The lease of a worker lapsed. Its tasks keep their allocations until their ends are
    /// reported with [`Self::task_ended`].
    pub fn worker_lost(&mut self, worker: &str) {
        let Some(index) = self.ledger.index_of(worker) else {
            return;
        };
        self.ledger.set_status(index, WorkerStatus::Lost);
        self.queue.set_capacity(self.ledger.capacity());
        self.drop_holds(index);
        self.refresh(index);
    }

    /// Forgets a worker that left for good; returns whether no task was left on it.
    pub fn worker_gone(&mut self, worker: &str) -> bool {
        let Some(index) = self.ledger.index_of(worker) else {
            return true;
        };
        self.worker_lost(worker);
        if !self.ledger.forget(index) {
            return false;
        }
        self.placement.index.remove(index);
        self.quarantine.forget(index);
        self.feasibility.remove_worker(worker);
        true
    }

    /// Accepts a job, or tells why it can never run.
    ///
    /// # Errors
    ///
    /// [`SubmitError`]; the job is not kept.
    pub fn submit(&mut self, spec: JobSpec, now: Instant) -> Result<(), SubmitError> {
        let kind = self.check(&spec)?;
        let id = spec.id.clone();
        self.insert_job(spec, kind, now);
        self.enqueue(&id);
        Ok(())
    }

    /// Tells whether a job would be accepted.
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

    /// Cancels a job in constant time: its queue entry is skipped when it reaches the head.
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
        self.gangs.forget(seq, &job.to_owned());
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

    /// Standing of workers.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Use of a member.
    pub fn usage_of(&self, member: &str) -> Resources {
        self.queue.usage(member)
    }

    /// What gang reservations cost so far.
    pub fn gang_counters(&self) -> GangCounters {
        self.gangs.counters
    }

    /// Progress of a job; `None` when it is over or not known.
    pub fn progress(&self, job: &str) -> Option<JobProgress> {
        let job = self.jobs.get(job)?;
        Some(JobProgress {
            running: job.running.len() as u32,
            succeeded: job.succeeded,
            failed: job.failed,
            cancelled: job.cancelled,
        })
    }

    /// What a job that is not over asked for.
    pub fn spec(&self, job: &str) -> Option<&JobSpec> {
        self.jobs.get(job).map(|job| &job.spec)
    }

    /// Jobs that are waiting or running.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Tasks that hold an allocation.
    pub fn running_tasks(&self) -> usize {
        self.tasks.len()
    }

    /// Workers reserved for a member below its share.
    pub fn reserved_workers(&self) -> usize {
        self.reserved.len()
    }

    pub(super) fn insert_job(&mut self, spec: JobSpec, kind: &'static WorkloadKind, now: Instant) {
        let job = Job {
            kind,
            seq: self.next_seq,
            queued_since: now,
            next_fresh: 0,
            again: VecDeque::new(),
            attempts: IndexMap::new(),
            running: IndexSet::new(),
            succeeded: 0,
            failed: 0,
            paused: 0,
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
            // Only the list of gangs leads to another try of a parked lane of gangs.
            self.gangs.add_waiting(job.seq, id);
        }
    }

    /// Brings the index in step with the ledger, and makes jobs ready that may fit now.
    pub(super) fn refresh(&mut self, index: WorkerIndex) {
        let Some(worker) = self.ledger.worker(index) else {
            return;
        };
        let usable = worker.status == WorkerStatus::Up
            && self.quarantine.accepts(index)
            && !self.reserved.contains_key(&index);
        let before = self.placement.index.view(index).map(|view| view.free);
        let was_offered = self.placement.index.offers(index);
        self.placement.index.update(index, worker, usable);
        let free = worker.free();
        let grew = !was_offered || before.is_none_or(|before| !before.covers(&free));
        if grew && self.placement.index.offers(index) {
            self.room_grew = true;
            self.with_room.insert(index);
        }
    }
}

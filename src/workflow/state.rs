//! Implements the state machine of the workflow log.

use derive_more::Display;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::cancellations::EarlyCancellations;
use super::crashes::{CrashRecords, WorkerCrash};
use super::customers::CustomerRecords;
use super::queues::{Queue, QueueConfiguration};
use super::records::{Batch, Placement, Record, RunNumber, RunOutcome};
use super::spec::{Occurrence, StageIndex, StageKey, StageSpec, TaskKey, WorkflowSpec};
use super::workers::WorkerRecord;
use crate::ids::{Epoch, Incarnation, JobId, WorkerId};

/// State after all committed records. Equal logs yield equal states.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkflowState {
    /// Epoch of the leader that took over last; batches of other epochs have no effect.
    pub epoch: Epoch,
    /// Configuration in force; `None` before the first.
    pub configuration: Option<QueueConfiguration>,
    /// Workers that have not left for good, by identifier.
    pub workers: IndexMap<WorkerId, WorkerRecord>,
    /// Jobs by identifier, including ended ones until their retention is over.
    pub jobs: IndexMap<JobId, Job>,
    /// Sequence number of the heartbeat that announced the record of each worker, so that an earlier
    /// heartbeat is recognised by each placer. Invariant: only workers in `workers`.
    pub heartbeat_sequences: IndexMap<WorkerId, u64>,
    /// Workers that may have changed while the cell had no placer; they receive no new runs before
    /// the placer has their next heartbeat. Invariant: only workers in `workers`.
    pub outdated_workers: IndexSet<WorkerId>,
    /// Crashes of workers under tasks that may have caused them.
    pub crashes: CrashRecords,
    /// Customers, and the jobs that they own.
    pub customers: CustomerRecords,
    /// Cancellations of jobs that were not known, until their retention is over.
    pub early_cancellations: EarlyCancellations,
}

/// Progress of a job as its caller sees it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
pub enum JobPhase {
    /// No task has been placed.
    Queued,
    /// Some tasks have been placed.
    Running,
    /// All tasks succeeded.
    Completed,
    /// A task or gang used up its attempts, or crashed the workers that started it.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

/// An accepted job and its progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Queue as it was configured when the job was accepted.
    pub queue: Queue,
    /// Workflow that the job runs.
    pub spec: WorkflowSpec,
    /// Time of the acceptance, by the clock of the placer.
    pub accepted_unix_ms: u64,
    /// Progress as the caller sees it.
    pub phase: JobPhase,
    /// Time of the end, by the clock of the placer; `None` while the job is open.
    pub ended_unix_ms: Option<u64>,
    /// Stages of all occurrences: occurrence 0 first, each in the order of its stages.
    stages: Vec<Stage>,
}

/// Progress of a stage of one occurrence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Tasks of the stage, by index.
    pub tasks: Vec<Task>,
    /// Number of tasks that succeeded.
    pub succeeded: u32,
    /// Number of the latest failed run of a gang; zero for none. The members fail together, so that
    /// their failures of one run count once.
    pub failed_gang_run: RunNumber,
}

/// Progress of a task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Number of the latest run; zero before the first.
    pub run: RunNumber,
    /// Number of runs that failed.
    pub failures: u32,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
    /// State of the task.
    pub progress: TaskProgress,
}

/// State of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum TaskProgress {
    /// The task needs a run.
    #[default]
    Waiting,
    /// The latest run of the task may exist on a worker.
    Placed {
        /// Worker to which the run was assigned.
        worker: WorkerId,
        /// Incarnation of the worker at that time.
        incarnation: Incarnation,
    },
    /// The task succeeded and needs no further run.
    Succeeded,
}

impl WorkflowState {
    /// Applies a batch if the leader of the current epoch made it, and returns whether it did.
    pub fn apply(&mut self, batch: Batch) -> bool {
        let takes_over = batch.records.first() == Some(&Record::TakenOver);
        if takes_over {
            self.epoch = self.epoch.max(batch.epoch);
        }
        if batch.epoch != self.epoch {
            return false;
        }
        for record in batch.records {
            self.apply_record(record);
        }
        true
    }

    /// Applies one record of the leader of the current epoch.
    pub fn apply_record(&mut self, record: Record) {
        match record {
            Record::TakenOver => {}
            Record::QueuesReplaced(configuration) => self.replace_queues(*configuration),
            Record::WorkerSeen(worker) => {
                self.heartbeat_sequences.shift_remove(&worker.id);
                self.outdated_workers.swap_remove(&worker.id);
                self.workers.insert(worker.id.clone(), *worker);
            }
            Record::WorkerAnnounced {
                worker,
                heartbeat_sequence,
            } => {
                let id = worker.id.clone();
                self.outdated_workers.swap_remove(&id);
                self.heartbeat_sequences
                    .insert(id.clone(), heartbeat_sequence);
                self.workers.insert(id, *worker);
            }
            Record::WorkersOutdated => {
                self.outdated_workers = self.workers.keys().cloned().collect();
            }
            Record::WorkerLeft {
                worker,
                incarnation,
            } => {
                let known = self.workers.get(&worker);
                if known.is_some_and(|known| known.incarnation <= incarnation) {
                    self.workers.shift_remove(&worker);
                    self.heartbeat_sequences.shift_remove(&worker);
                    self.outdated_workers.swap_remove(&worker);
                }
            }
            Record::JobAccepted {
                id,
                queue,
                spec,
                at_unix_ms,
            } => {
                let job = Job::new(*queue, *spec, at_unix_ms);
                self.jobs.entry(id).or_insert(job);
            }
            Record::JobCancelled { id, at_unix_ms } => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.end(JobPhase::Cancelled, at_unix_ms);
                }
                self.crashes.suspects.shift_remove(&id);
            }
            Record::RunsPlaced { stage, placements } => {
                if let Some(job) = self.jobs.get_mut(&stage.job) {
                    job.place(&stage, placements);
                }
            }
            Record::RunEnded {
                task,
                run,
                outcome,
                checkpoint,
                at_unix_ms,
            } => {
                if let Some(job) = self.jobs.get_mut(&task.stage.job) {
                    job.end_run(&task, run, outcome, checkpoint, at_unix_ms);
                    if !job.is_open() {
                        self.crashes.suspects.shift_remove(&task.stage.job);
                    }
                }
            }
            Record::JobsForgotten(ids) => {
                let ids: IndexSet<JobId> = ids.into_iter().collect();
                self.jobs.retain(|id, _| !ids.contains(id));
                self.crashes.abandoned.retain(|id, _| !ids.contains(id));
                self.customers.forget(&ids);
                self.early_cancellations.forget(&ids);
            }
            Record::WorkerCrashed {
                worker,
                incarnation,
                at_unix_ms,
                suspects,
            } => {
                for suspect in suspects {
                    let job = self.jobs.get(&suspect.task.stage.job);
                    if !job.is_some_and(Job::is_open) {
                        continue;
                    }
                    let crash = WorkerCrash {
                        worker: worker.clone(),
                        incarnation,
                        run: suspect.run,
                        at_unix_ms,
                        blamed: suspect.blamed,
                        run_ms: suspect.run_ms,
                    };
                    self.crashes.add(suspect.task, crash);
                }
            }
            Record::SuspectCleared(task) => self.crashes.clear(&task),
            Record::CustomersReplaced(configuration) => {
                self.customers
                    .replace(configuration.map(|configuration| *configuration));
            }
            Record::JobOwned { id, customer } => {
                if self.jobs.contains_key(&id) {
                    self.customers.owners.entry(id).or_insert(customer);
                }
            }
            Record::UnknownJobCancelled {
                id,
                customer,
                at_unix_ms,
            } => self.early_cancellations.keep(id, customer, at_unix_ms),
            Record::TaskAbandoned { task, at_unix_ms } => {
                let job = self.jobs.get_mut(&task.stage.job);
                if let Some(job) = job.filter(|job| job.is_open()) {
                    job.end(JobPhase::Failed, at_unix_ms);
                    self.crashes.abandon(task);
                }
            }
        }
    }

    fn replace_queues(&mut self, configuration: QueueConfiguration) {
        if configuration.version > self.version() {
            self.configuration = Some(configuration);
        }
    }

    /// Encodes a snapshot. Versions without `early_cancellations` read it while there are none.
    pub fn encode(&self) -> Vec<u8> {
        let mut snapshot =
            postcard::to_stdvec(self).expect("postcard can encode all types of the state");
        if self.early_cancellations.is_empty() {
            // The encoding of no cancellations is one byte.
            snapshot.pop();
        }
        snapshot
    }

    /// Decodes a snapshot, which may be one of a version without the fields after `jobs`, after
    /// `crashes` or after `customers`.
    ///
    /// # Errors
    ///
    /// The snapshot is damaged.
    pub fn decode(snapshot: &[u8]) -> Result<Self, postcard::Error> {
        // The encoding of no cancellations, before it that of no customers, and before it that of no
        // heartbeats, no outdated workers and no crashes.
        const ADDED_FIELDS: [&[u8]; 3] = [&[0; 1], &[0; 4], &[0; 8]];
        let mut decoded = decode_whole(snapshot);
        for added in ADDED_FIELDS {
            if decoded.is_ok() {
                break;
            }
            decoded = decode_whole(&[snapshot, added].concat());
        }
        decoded
    }

    /// Version of the configuration in force; zero before the first.
    pub fn version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |current| current.version)
    }

    /// The record of a worker; `None` if it is not registered or its record may be outdated.
    pub fn current_worker(&self, id: &WorkerId) -> Option<&WorkerRecord> {
        let worker = self.workers.get(id);
        worker.filter(|_| !self.outdated_workers.contains(id))
    }

    /// The task that `key` identifies; `None` for an unknown job, stage or index.
    pub fn task(&self, key: &TaskKey) -> Option<&Task> {
        let stage = self.jobs.get(&key.stage.job)?.stage(&key.stage)?;
        stage.tasks.get(key.index as usize)
    }
}

fn decode_whole(bytes: &[u8]) -> Result<WorkflowState, postcard::Error> {
    match postcard::take_from_bytes(bytes)? {
        (state, []) => Ok(state),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}

impl Job {
    fn new(queue: Queue, spec: WorkflowSpec, accepted_unix_ms: u64) -> Self {
        let stages = (0..spec.occurrences()).flat_map(|_| spec.stages.iter().map(Stage::new));
        Self {
            stages: stages.collect(),
            queue,
            spec,
            accepted_unix_ms,
            phase: JobPhase::Queued,
            ended_unix_ms: None,
        }
    }

    /// Whether tasks may still be placed.
    pub fn is_open(&self) -> bool {
        self.ended_unix_ms.is_none()
    }

    /// Number of tasks that have a run or have succeeded; zero again after all runs were lost.
    pub fn begun_tasks(&self) -> usize {
        let tasks = self.stages.iter().flat_map(|stage| &stage.tasks);
        tasks
            .filter(|task| task.progress != TaskProgress::Waiting)
            .count()
    }

    fn position(&self, occurrence: Occurrence, stage: StageIndex) -> usize {
        occurrence as usize * self.spec.stages.len() + stage as usize
    }

    /// The stage that `key` identifies; the job in the key is not checked.
    pub fn stage(&self, key: &StageKey) -> Option<&Stage> {
        if key.stage as usize >= self.spec.stages.len() {
            return None;
        }
        self.stages.get(self.position(key.occurrence, key.stage))
    }

    fn stage_mut(&mut self, key: &StageKey) -> Option<&mut Stage> {
        let position = self.position(key.occurrence, key.stage);
        self.stages.get_mut(position)
    }

    /// Description of the stage at a position of the workflow.
    pub fn stage_spec(&self, stage: StageIndex) -> Option<&StageSpec> {
        self.spec.stages.get(stage as usize)
    }

    /// Whether all tasks on which a stage depends have succeeded.
    pub fn dependencies_met(&self, key: &StageKey) -> bool {
        let Some(spec) = self.stage_spec(key.stage) else {
            return false;
        };
        spec.depends_on.iter().all(|&other| {
            let stage = self.stages.get(self.position(key.occurrence, other));
            stage.is_some_and(Stage::is_complete)
        })
    }

    /// Keys of the stages of all occurrences, in order; `job` is the identifier of this job.
    pub fn stage_keys(&self, job: &JobId) -> Vec<StageKey> {
        let key = |occurrence, stage| StageKey {
            job: job.clone(),
            occurrence,
            stage,
        };
        let stages = self.spec.stages.len() as u32;
        let occurrences = 0..self.spec.occurrences();
        occurrences
            .flat_map(|occurrence| (0..stages).map(move |stage| (occurrence, stage)))
            .map(|(occurrence, stage)| key(occurrence, stage))
            .collect()
    }

    fn place(&mut self, key: &StageKey, placements: Vec<Placement>) {
        if !self.is_open() {
            return;
        }
        let Some(stage) = self.stage_mut(key) else {
            return;
        };
        for placement in placements {
            let Some(task) = stage.tasks.get_mut(placement.task as usize) else {
                continue;
            };
            task.run = placement.run;
            task.progress = TaskProgress::Placed {
                worker: placement.worker,
                incarnation: placement.incarnation,
            };
        }
        if self.phase == JobPhase::Queued {
            self.phase = JobPhase::Running;
        }
    }

    fn end_run(
        &mut self,
        key: &TaskKey,
        run: RunNumber,
        outcome: RunOutcome,
        checkpoint: String,
        at_unix_ms: u64,
    ) {
        let Some(spec) = self.stage_spec(key.stage.stage) else {
            return;
        };
        let (gang, lasting, max_attempts) = (spec.gang, spec.lasting, self.queue.max_attempts);
        let Some(stage) = self.stage_mut(&key.stage) else {
            return;
        };
        let Some(task) = stage.tasks.get_mut(key.index as usize) else {
            return;
        };
        if task.run != run || task.progress == TaskProgress::Succeeded {
            return;
        }
        task.progress = TaskProgress::Waiting;
        if !checkpoint.is_empty() {
            stage.record_checkpoint(key, gang, checkpoint);
        }
        if outcome == RunOutcome::Succeeded && !lasting {
            stage.record_success(key, gang);
        }
        let failed = outcome == RunOutcome::Failed && !lasting;
        if failed && stage.record_failure(key, run, gang) >= max_attempts {
            self.end(JobPhase::Failed, at_unix_ms);
        }
        if self.stages.iter().all(Stage::is_complete) {
            self.end(JobPhase::Completed, at_unix_ms);
        }
    }

    fn end(&mut self, phase: JobPhase, at_unix_ms: u64) {
        if self.is_open() {
            self.phase = phase;
            self.ended_unix_ms = Some(at_unix_ms);
        }
    }
}

impl Stage {
    fn new(spec: &StageSpec) -> Self {
        Self {
            tasks: vec![Task::default(); spec.task_count as usize],
            succeeded: 0,
            failed_gang_run: 0,
        }
    }

    /// Whether all tasks of the stage succeeded.
    pub fn is_complete(&self) -> bool {
        self.succeeded as usize == self.tasks.len()
    }

    /// Records a checkpoint of a task. In a gang, the checkpoint of any member is valid for all.
    fn record_checkpoint(&mut self, key: &TaskKey, gang: bool, checkpoint: String) {
        if gang {
            for task in &mut self.tasks {
                task.checkpoint.clone_from(&checkpoint);
            }
        } else if let Some(task) = self.tasks.get_mut(key.index as usize) {
            task.checkpoint = checkpoint;
        }
    }

    /// Records the success of a task. In a gang, the success of one member counts for all.
    fn record_success(&mut self, key: &TaskKey, gang: bool) {
        for (index, task) in self.tasks.iter_mut().enumerate() {
            if !gang && index != key.index as usize {
                continue;
            }
            if task.progress != TaskProgress::Succeeded {
                task.progress = TaskProgress::Succeeded;
                self.succeeded += 1;
            }
        }
    }

    /// Counts a failed run and returns the number of failed runs of the task or gang. A gang counts
    /// each run once.
    fn record_failure(&mut self, key: &TaskKey, run: RunNumber, gang: bool) -> u32 {
        if !gang {
            let Some(task) = self.tasks.get_mut(key.index as usize) else {
                return 0;
            };
            task.failures += 1;
            return task.failures;
        }
        if self.failed_gang_run < run {
            self.failed_gang_run = run;
            for task in &mut self.tasks {
                task.failures += 1;
            }
        }
        self.tasks.first().map_or(0, |task| task.failures)
    }
}

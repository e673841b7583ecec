//! Crashes of workers under tasks that may have caused them, as part of the workflow state.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::records::RunNumber;
use super::spec::TaskKey;
use crate::ids::{Incarnation, JobId, WorkerId};

/// A crash of a worker while a run of a suspected task was on it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerCrash {
    /// Worker that crashed.
    pub worker: WorkerId,
    /// Incarnation that crashed.
    pub incarnation: Incarnation,
    /// Run of the task that was on the worker.
    pub run: RunNumber,
    /// Time at which the placer learned of the crash.
    pub at_unix_ms: u64,
    /// Whether the crash is attributed to this task alone.
    pub blamed: bool,
    /// Time for which the worker had run the task, as far as it is known.
    pub run_ms: u64,
}

/// Crashes of one suspect, in the order in which they were recorded; never empty.
pub type CrashHistory = Vec<WorkerCrash>;

/// A task that is not started again because of the workers that crashed under it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AbandonedTask {
    /// The task, or the first member of a gang.
    pub task: TaskKey,
    /// Workers that crashed under it.
    pub crashes: CrashHistory,
}

/// Suspects of open jobs, and tasks that were given up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CrashRecords {
    /// Crashes by job and suspect. A gang is one suspect under the key of its first member.
    pub suspects: IndexMap<JobId, IndexMap<TaskKey, CrashHistory>>,
    /// Jobs that failed because of their crashes, until their retention is over.
    pub abandoned: IndexMap<JobId, AbandonedTask>,
}

impl CrashRecords {
    /// Crashes of a suspect; empty for a task that is not suspected.
    pub fn history(&self, suspect: &TaskKey) -> &[WorkerCrash] {
        let job = self.suspects.get(&suspect.stage.job);
        let history = job.and_then(|suspects| suspects.get(suspect));
        history.map_or(&[], Vec::as_slice)
    }

    /// Whether a crash made the task, or the first member of a gang, a suspect.
    pub fn is_suspect(&self, task: &TaskKey) -> bool {
        !self.history(task).is_empty()
    }

    pub(super) fn add(&mut self, suspect: TaskKey, crash: WorkerCrash) {
        let job = suspect.stage.job.clone();
        let history = self.suspects.entry(job).or_default();
        let history = history.entry(suspect).or_default();
        let is_known = |known: &WorkerCrash| {
            known.worker == crash.worker && known.incarnation == crash.incarnation
        };
        if !history.iter().any(is_known) {
            history.push(crash);
        }
    }

    pub(super) fn clear(&mut self, suspect: &TaskKey) {
        let job = &suspect.stage.job;
        let Some(suspects) = self.suspects.get_mut(job) else {
            return;
        };
        suspects.shift_remove(suspect);
        if suspects.is_empty() {
            self.suspects.shift_remove(job);
        }
    }

    pub(super) fn abandon(&mut self, task: TaskKey) {
        let job = task.stage.job.clone();
        let crashes = self.history(&task).to_vec();
        self.suspects.shift_remove(&job);
        self.abandoned.insert(job, AbandonedTask { task, crashes });
    }
}

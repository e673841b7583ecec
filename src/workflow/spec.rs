//! Describes a workflow as a caller submits it: stages of equal tasks that depend on each other.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::JobId;
use crate::resources::Resources;

/// Position of a stage within its workflow.
pub type StageIndex = u32;
/// Position of a task within its stage.
pub type TaskIndex = u32;
/// Number of an occurrence of a repeated workflow, from zero; zero for one that is not repeated.
pub type Occurrence = u32;

/// Largest number of tasks of a workflow, over all stages and occurrences.
pub const MAX_TASKS: u64 = 20_000;

/// A workflow as its caller describes it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkflowSpec {
    /// Opaque text that is passed to every run.
    pub payload: String,
    /// Stages in the order of their indexes; a stage may depend only on earlier ones.
    pub stages: Vec<StageSpec>,
    /// Due times when the stages run more than once; `None` for a single occurrence.
    pub repetition: Option<Repetition>,
}

/// Due times of a repeated workflow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Repetition {
    /// Number of occurrences; at least one.
    pub count: u32,
    /// Due time of the first occurrence, in Unix milliseconds.
    pub first_due_unix_ms: u64,
    /// Time between the due times of two consecutive occurrences.
    pub interval_ms: u64,
}

/// A stage: tasks of equal size that run the same way.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageSpec {
    /// Number of tasks in each occurrence; at least one.
    pub task_count: u32,
    /// Resources that each task needs on its worker.
    pub resources: Resources,
    /// Run time of a task as the caller declares it; may be far off.
    pub estimate_ms: u64,
    /// Stages whose tasks must all have succeeded before a task of this stage starts.
    pub depends_on: Vec<StageIndex>,
    /// Whether all tasks run at the same time and succeed or fail together.
    pub gang: bool,
    /// Whether the tasks are slowed down unless all run in one rack.
    pub prefers_one_rack: bool,
    /// Label that a worker must carry; `None` if any worker may run the tasks.
    pub required_label: Option<String>,
    /// Rack near the data; tasks on workers in other racks are slowed down.
    pub data_rack: Option<String>,
    /// Largest number of tasks of one occurrence on one worker; `None` for no limit.
    pub max_tasks_per_worker: Option<u32>,
    /// Whether several runs of a task may exist at once; the first success counts.
    pub allows_duplicates: bool,
    /// Whether the tasks run until the workflow is cancelled, and are restarted however they end.
    pub lasting: bool,
    /// Whether runs save checkpoints from which a later run can resume.
    pub saves_checkpoints: bool,
    /// Whether the tasks use processor time that others leave over, so that their processors are
    /// not counted against the capacity of the worker.
    pub uses_leftover_cpu: bool,
    /// Bound of the tail latency of a task that serves requests; `None` for other tasks.
    pub response_time_target_ms: Option<u64>,
}

impl StageSpec {
    /// Resources that a task occupies on its worker.
    pub fn ledger_amount(&self) -> Resources {
        let mut amount = self.resources;
        if self.uses_leftover_cpu {
            amount.cpu_millis = 0;
        }
        amount
    }
}

impl WorkflowSpec {
    /// Number of occurrences, at least one.
    pub fn occurrences(&self) -> u32 {
        self.repetition.as_ref().map_or(1, |repeat| repeat.count)
    }

    /// Declared length of the longest chain of dependent stages, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.stages.len());
        for stage in &self.stages {
            let before = stage
                .depends_on
                .iter()
                .filter_map(|&index| ends.get(index as usize));
            let start = before.max().copied().unwrap_or(0);
            ends.push(start.saturating_add(stage.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Checks that the workflow can be accepted.
    ///
    /// # Errors
    ///
    /// The first fault, as a sentence for the caller.
    pub fn validate(&self) -> Result<(), String> {
        if self.stages.is_empty() {
            return Err("a workflow needs at least one stage".to_owned());
        }
        let mut tasks = 0;
        for (index, stage) in self.stages.iter().enumerate() {
            if stage.task_count == 0 {
                return Err(format!("stage {index} has no tasks"));
            }
            if stage
                .depends_on
                .iter()
                .any(|&other| other as usize >= index)
            {
                return Err(format!(
                    "stage {index} depends on a stage that is not earlier"
                ));
            }
            tasks += u64::from(stage.task_count);
        }
        tasks = tasks.saturating_mul(u64::from(self.occurrences()));
        if tasks == 0 || tasks > MAX_TASKS {
            return Err(format!("{tasks} tasks; 1 to {MAX_TASKS} are allowed"));
        }
        Ok(())
    }
}

/// Identifies a stage of one occurrence of a job.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{job}.{occurrence}.{stage}")]
pub struct StageKey {
    /// Job that the stage belongs to.
    pub job: JobId,
    /// Occurrence of the job.
    pub occurrence: Occurrence,
    /// Position of the stage in the job's workflow.
    pub stage: StageIndex,
}

/// Identifies a task of a stage.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{stage}.{index}")]
pub struct TaskKey {
    /// Stage that the task belongs to.
    pub stage: StageKey,
    /// Position of the task in its stage.
    pub index: TaskIndex,
}

impl TaskKey {
    /// Parses the form that [`Display`](std::fmt::Display) writes.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(4, '.');
        let index = parts.next()?.parse().ok()?;
        let stage = parts.next()?.parse().ok()?;
        let occurrence = parts.next()?.parse().ok()?;
        let job = parts.next()?.to_owned();
        Some(Self {
            stage: StageKey {
                job,
                occurrence,
                stage,
            },
            index,
        })
    }
}

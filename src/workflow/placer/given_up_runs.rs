//! Runs that the placer took for over without a listed end. A worker that was cut off, or a list that
//! was late, may show afterwards that such a run has done its work.

use super::super::calls::ListedRun;
use super::super::records::{Record, RunNumber, RunOutcome};
use super::super::spec::TaskIndex;
use super::super::state::TaskProgress;
use super::Now;
use super::term::{LiveStage, Term};
use crate::ids::WorkerId;

/// Number of runs of a stage that are remembered after they were given up.
const MAX_GIVEN_UP_RUNS: usize = 256;

/// A run without a listed end that the placer took for over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GivenUpRun {
    /// Task of the run.
    pub task: TaskIndex,
    /// Number of the run.
    pub run: RunNumber,
    /// Worker on which it was placed. An end of an earlier job with the same name is of another run.
    pub worker: WorkerId,
}

impl LiveStage {
    /// Remembers a run that was given up, in place of the oldest one if there are too many.
    pub(super) fn note_given_up(&mut self, run: GivenUpRun) {
        if self.given_up.len() == MAX_GIVEN_UP_RUNS {
            self.given_up.pop_front();
        }
        self.given_up.push_back(run);
    }
}

impl Term {
    /// Records the success of a run that was given up, if its task waits for the next one, and returns
    /// whether it does. The end is acknowledged, and the task would run again after it.
    pub(super) fn finish_given_up_run(
        &mut self,
        worker: &WorkerId,
        ended: ListedRun,
        now: Now,
    ) -> bool {
        let given_up = GivenUpRun {
            task: ended.task.index,
            run: ended.run,
            worker: worker.clone(),
        };
        let task = ended.task;
        let latest = self.state.task(&task);
        let waiting = latest.filter(|latest| latest.progress == TaskProgress::Waiting);
        let Some(latest_run) = waiting.map(|latest| latest.run) else {
            return false;
        };
        let job = self.state.jobs.get(&task.stage.job);
        let spec = job.and_then(|job| job.stage_spec(task.stage.stage));
        let ends_task = spec.is_some_and(|spec| !spec.lasting);
        let Some(stage) = self.stages.get_mut(&task.stage) else {
            return false;
        };
        if !ends_task || !stage.given_up.contains(&given_up) {
            return false;
        }
        let before = stage.waiting.len();
        stage.waiting.retain(|index| *index != task.index);
        let left = stage.waiting.len();
        self.subtract_waiting_tasks(&task.stage, before - left);
        if left == 0 {
            self.place_waits.shift_remove(&task.stage);
        }
        self.record(Record::RunEnded {
            task: task.clone(),
            run: latest_run,
            outcome: RunOutcome::Succeeded,
            checkpoint: ended.checkpoint,
            at_unix_ms: now.unix_ms,
        });
        self.clear_suspect(&task);
        self.update_stage(&task, true, now);
        true
    }
}

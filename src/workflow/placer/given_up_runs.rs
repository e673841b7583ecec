//! Runs that the placer took for over without a listed end. A worker that was cut off, or a list that
//! was late, may show afterwards that such a run has done its work.

use super::super::calls::{ListedEnd, ListedRun};
use super::super::records::{Record, RunNumber, RunOutcome};
use super::super::spec::{TaskIndex, TaskKey};
use super::super::state::TaskProgress;
use super::Now;
use super::term::{LiveRun, LiveStage, Term};
use crate::ids::{Incarnation, WorkerId};

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
    /// Whether its worker has listed it as done; the latest run of the task then decides nothing more.
    pub has_succeeded: bool,
}

impl LiveStage {
    /// Whether a run of a task that was given up is known to have succeeded.
    pub(super) fn has_succeeded(&self, task: TaskIndex) -> bool {
        let mut runs = self.given_up.iter();
        runs.any(|run| run.task == task && run.has_succeeded)
    }

    /// Remembers a run that was given up, in place of the oldest one if there are too many.
    pub(super) fn note_given_up(&mut self, run: GivenUpRun) {
        if self.given_up.len() == MAX_GIVEN_UP_RUNS {
            self.given_up.pop_front();
        }
        self.given_up.push_back(run);
    }
}

impl Term {
    /// Handles the end of a run that is not the latest of its task on that worker.
    pub(super) fn handle_former_end(
        &mut self,
        worker: &WorkerId,
        incarnation: Incarnation,
        end: &ListedEnd,
        now: Now,
    ) {
        let has_succeeded = end.outcome == RunOutcome::Succeeded;
        if has_succeeded && self.finish_given_up_run(worker, end.run.clone(), now) {
            log::warn!(
                task:% = end.run.task, run = end.run.run, worker = worker.as_str(),
                incarnation, number = end.number;
                "a run that was given up has succeeded; its task does not wait for another run"
            );
            return;
        }
        let latest = self.runs.get(&end.run.task);
        log::info!(
            task:% = end.run.task, run = end.run.run, worker = worker.as_str(),
            incarnation, number = end.number, outcome:% = end.outcome,
            latest_run:? = latest.map(|latest| latest.run),
            latest_worker:? = latest.map(|latest| &latest.worker);
            "ignored the end of a run that is not the latest"
        );
    }

    /// Takes the success of a run that was given up for that of its task, unless a later run is placed;
    /// if that one is given up as well, the task has succeeded. The end is acknowledged, and the task
    /// would run again after it. Returns whether the run is known.
    fn finish_given_up_run(&mut self, worker: &WorkerId, ended: ListedRun, now: Now) -> bool {
        let task = ended.task;
        let job = self.state.jobs.get(&task.stage.job);
        let spec = job.and_then(|job| job.stage_spec(task.stage.stage));
        let ends_task = spec.is_some_and(|spec| !spec.lasting);
        let latest = self.state.task(&task);
        let waiting = latest.filter(|latest| latest.progress == TaskProgress::Waiting);
        let waiting_run = waiting.map(|latest| latest.run);
        let Some(stage) = self.stages.get_mut(&task.stage).filter(|_| ends_task) else {
            return false;
        };
        let mut runs = stage.given_up.iter_mut();
        let given_up = runs
            .find(|run| run.task == task.index && run.run == ended.run && run.worker == *worker);
        let Some(given_up) = given_up else {
            return false;
        };
        given_up.has_succeeded = true;
        let Some(latest_run) = waiting_run else {
            return true;
        };
        if self.remove_waiting_tasks(&task.stage, |index| index == task.index) == 0 {
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

    /// Returns how a run counts that ends with an outcome: as success, if an earlier one was given up
    /// and has succeeded. Otherwise remembers it if it is given up.
    pub(super) fn outcome_with_given_up_runs(
        &mut self,
        task: &TaskKey,
        run: &LiveRun,
        outcome: RunOutcome,
    ) -> RunOutcome {
        let Some(stage) = self.stages.get_mut(&task.stage) else {
            return outcome;
        };
        if stage.has_succeeded(task.index) {
            return RunOutcome::Succeeded;
        }
        if matches!(outcome, RunOutcome::Lost | RunOutcome::NeverStarted) {
            stage.note_given_up(GivenUpRun {
                task: task.index,
                run: run.run,
                worker: run.worker.clone(),
                has_succeeded: false,
            });
        }
        outcome
    }
}

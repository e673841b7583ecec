//! Ends of runs, and orders to stop them.

use std::time::Instant;

use indexmap::IndexSet;

use super::super::instruments::instruments;
use super::super::records::{Placement, Record, RunNumber, RunOutcome};
use super::super::spec::{StageKey, TaskIndex, TaskKey};
use super::super::state::TaskProgress;
use super::Now;
use super::gang_sizes::band;
use super::renewals::millis_since;
use super::term::{Effect, Order, OrderKind, RunPhase, Term};
use crate::ids::{Incarnation, JobId, WorkerId};

impl Term {
    /// Records which tasks of a stage were placed, and that they no longer wait.
    pub(super) fn record_placements(
        &mut self,
        key: &StageKey,
        placements: Vec<Placement>,
        now: Now,
    ) {
        let placed: IndexSet<TaskIndex> =
            placements.iter().map(|placement| placement.task).collect();
        let left = self.remove_waiting_tasks(key, |task| placed.contains(&task));
        if let Some(stage) = self.stages.get_mut(key) {
            if stage.needs.gang && !stage.too_late {
                self.size_shares.record_placed(band(&stage.needs));
            }
            let millis = |since: Option<Instant>| since.map_or(0, |at| millis_since(at, now.at));
            let gathered_ms = millis(stage.gathers_since.take());
            let whole_ms = millis(stage.room_whole_since.take());
            let renewals = std::mem::take(&mut stage.renewals);
            if stage.needs.gang {
                instruments().count_gang_start(renewals);
            }
            let waited = now.at.saturating_duration_since(stage.due_at);
            instruments().record_placement(placed.len(), waited);
            log::info!(
                stage:% = key, tasks = placed.len(), left,
                waited_ms = waited.as_millis() as u64,
                gathered_ms, whole_ms, renewals;
                "tasks placed"
            );
            self.note_place_start(key, &placements, left, now.at);
        }
        self.record(Record::RunsPlaced {
            stage: key.clone(),
            placements,
        });
    }

    /// Ends a run: records the outcome, releases its resources, and makes its task or the next
    /// stages schedulable.
    pub(super) fn finish_run(
        &mut self,
        task: &TaskKey,
        outcome: RunOutcome,
        checkpoint: String,
        now: Now,
    ) {
        let Some(run) = self.runs.swap_remove(task) else {
            return;
        };
        let outcome = self.outcome_with_given_up_runs(task, &run, outcome);
        self.discharge(&run);
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.runs.swap_remove(task);
            let open_until = run.unpermitted_start_arrives_by(self.settings.late_call_limit);
            worker.ended_starts_open_until = worker.ended_starts_open_until.max(open_until);
            let index = worker.index;
            self.ledger.release(index, &task.to_string());
        }
        log::info!(
            task:% = task, run = run.run, worker = run.worker.as_str(), outcome:% = outcome,
            placed_ms_ago = now.at.saturating_duration_since(run.placed_at).as_millis() as u64,
            started_ms_ago:? = run.confirmed_at().map(|at| now.at.saturating_duration_since(at).as_millis());
            "run ended"
        );
        instruments().count_run(&outcome.to_string());
        let was_open = self.is_open(&task.stage.job);
        self.record(Record::RunEnded {
            task: task.clone(),
            run: run.run,
            outcome,
            checkpoint,
            at_unix_ms: now.unix_ms,
        });
        self.update_stage(task, was_open, now);
        let gang = self.is_gang(&task.stage);
        if gang && outcome != RunOutcome::Succeeded {
            self.stop_gang(&task.stage, now.at);
        }
    }

    pub(super) fn is_gang(&self, key: &StageKey) -> bool {
        let job = self.state.jobs.get(&key.job);
        let spec = job.and_then(|job| job.stage_spec(key.stage));
        spec.is_some_and(|spec| spec.gang)
    }

    fn is_open(&self, job: &JobId) -> bool {
        let job = self.state.jobs.get(job);
        job.is_some_and(super::super::state::Job::is_open)
    }

    pub(super) fn update_stage(&mut self, task: &TaskKey, was_open: bool, now: Now) {
        let Some(job) = self.state.jobs.get(&task.stage.job) else {
            return;
        };
        let complete = job
            .stage(&task.stage)
            .is_some_and(super::super::state::Stage::is_complete);
        let open = job.is_open();
        let phase = job.phase;
        let accepted_ms_ago = now.unix_ms.saturating_sub(job.accepted_unix_ms);
        let waits = self
            .state
            .task(task)
            .is_some_and(|task| task.progress == TaskProgress::Waiting);
        if let Some(stage) = self.stages.get_mut(&task.stage)
            && waits
            && !stage.waiting.contains(&task.index)
        {
            stage.waiting.push(task.index);
            self.passes.changed = true;
            self.add_waiting_tasks(&task.stage, 1);
        }
        if complete {
            self.compare_workers(&task.stage);
        }
        if !open && !was_open {
            return;
        }
        if !open {
            log::info!(job = task.stage.job.as_str(), phase:% = phase, accepted_ms_ago; "job ended");
            instruments().count_job(&phase.to_string());
            let job = task.stage.job.clone();
            self.stop_job(&job, now.at);
            return;
        }
        if complete {
            self.remove_stage(&task.stage);
            self.activate_stages(&task.stage.job.clone(), now);
        }
    }

    /// Stops all runs of a job that has ended.
    pub(super) fn stop_job(&mut self, id: &JobId, now: Instant) {
        let keys = self.state.jobs.get(id).map(|job| job.stage_keys(id));
        for key in keys.unwrap_or_default() {
            self.remove_stage(&key);
            self.stop_stage(&key, now);
        }
    }

    /// Stops the remaining members of a gang, which cannot succeed without the others.
    pub(super) fn stop_gang(&mut self, key: &StageKey, now: Instant) {
        self.stop_stage(key, now);
    }

    /// Stops all runs of a stage. Looks up the tasks of the stage, which are far fewer than the
    /// runs of the cell.
    fn stop_stage(&mut self, key: &StageKey, now: Instant) {
        let job = self.state.jobs.get(&key.job);
        let tasks = job.and_then(|job| Some(job.stage(key)?.tasks.len()));
        for index in 0..tasks.unwrap_or(0) {
            let task = TaskKey {
                stage: key.clone(),
                index: index as TaskIndex,
            };
            self.stop_run(&task, now);
        }
    }

    /// Marks a run as stopping and issues a stop order, unless it is already stopping.
    pub(super) fn stop_run(&mut self, task: &TaskKey, now: Instant) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if matches!(run.phase, RunPhase::Stopping { .. }) {
            return;
        }
        run.phase = RunPhase::Stopping {
            confirmed_at: None,
            ordered_at: now,
        };
        self.order_stop(task, now);
    }

    pub(super) fn order_stop(&mut self, task: &TaskKey, now: Instant) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if let RunPhase::Stopping { ordered_at, .. } = &mut run.phase {
            *ordered_at = now;
        }
        let Some(worker) = self.workers.get(&run.worker) else {
            return;
        };
        let (run, target) = (run.run, (run.worker.clone(), worker.record.incarnation));
        self.push_order(task.clone(), run, target, OrderKind::Stop);
    }

    /// Issues an order to an incarnation of a worker once all earlier records are committed.
    pub(super) fn push_order(
        &mut self,
        task: TaskKey,
        run: RunNumber,
        (worker, incarnation): (WorkerId, Incarnation),
        kind: OrderKind,
    ) {
        self.effects.push(Effect::Order(Order {
            epoch: self.epoch,
            task,
            run,
            worker,
            incarnation,
            kind,
        }));
    }
}

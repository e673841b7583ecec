//! Handles the outcomes of start and stop orders.

use std::time::Instant;

use super::super::calls::{OrderAnswer, OrderOutcome};
use super::super::records::{RunNumber, RunOutcome};
use super::super::spec::TaskKey;
use super::Now;
use super::term::{RunPhase, Term};
use crate::ids::WorkerId;

/// The run that an order referred to.
pub(super) struct OrderedRun<'a> {
    /// Task of the run.
    pub task: &'a TaskKey,
    /// Number of the run among the runs of the task.
    pub run: RunNumber,
    /// Worker to which the order was sent.
    pub worker: &'a WorkerId,
}

impl Term {
    /// Handles the answer to a start order, and returns whether the known incarnation can have given
    /// it.
    pub(super) fn handle_start_answer(
        &mut self,
        order: &OrderedRun<'_>,
        answer: OrderAnswer,
        now: Now,
    ) -> bool {
        let (worker, clock_ms) = (order.worker, answer.clock_ms);
        let is_known = self.is_answer_of_known_incarnation(worker, clock_ms, now.at);
        if is_known {
            self.apply_start_answer(order, answer, now);
        } else {
            log::warn!(
                task:% = order.task, run = order.run, worker = worker.as_str(),
                outcome:? = answer.outcome;
                "the answer to a start order shows another incarnation, which may run the task"
            );
        }
        is_known
    }

    fn apply_start_answer(&mut self, order: &OrderedRun<'_>, answer: OrderAnswer, now: Now) {
        let Some(run) = self.runs.get_mut(order.task) else {
            return;
        };
        if run.run != order.run || run.phase != RunPhase::Starting {
            return;
        }
        if answer.outcome != OrderOutcome::Done {
            log::info!(
                task:% = order.task, run = order.run, worker = order.worker.as_str(),
                outcome:? = answer.outcome, starts_sent = run.starts_sent,
                placed_ms_ago = now.at.saturating_duration_since(run.placed_at).as_millis() as u64;
                "start order refused"
            );
        }
        // A change of the relay raises the token, which overtakes copies of the former relay.
        if answer.outcome == OrderOutcome::Fenced && run.starts_sent > 1 {
            return;
        }
        // A copy that another relay sent may still be executed after this refusal.
        if answer.outcome.is_refusal() && run.starts_sent > 1 {
            self.handle_unanswered_start(order, true, now);
            return;
        }
        match answer.outcome {
            OrderOutcome::Done => run.confirm(now.at),
            // The refusal is final: it came from the worker itself, from a new owner of its
            // address, or from a worker that follows a later placer. An earlier attempt of the
            // order may have started the run, which the reports of the worker or its expired lease
            // will show.
            OrderOutcome::Superseded | OrderOutcome::OtherIncarnation | OrderOutcome::Fenced => {
                run.phase = RunPhase::Stopping {
                    confirmed_at: Some(now.at),
                    ordered_at: now.at,
                };
            }
            OrderOutcome::PermitInvalid => {
                if let Some(stage) = self.stages.get_mut(&order.task.stage) {
                    stage.permits.remove(order.worker);
                }
                self.finish_run(order.task, RunOutcome::NeverStarted, String::new(), now);
            }
            OrderOutcome::Unhealthy | OrderOutcome::NoRoom | OrderOutcome::Refused => {
                if let Some(worker) = self.workers.get_mut(order.worker) {
                    worker.health.record_failure(now.at);
                    worker.health.record_failure(now.at);
                }
                self.finish_run(order.task, RunOutcome::NeverStarted, String::new(), now);
            }
            OrderOutcome::LeasePassed => {
                self.finish_run(order.task, RunOutcome::NeverStarted, String::new(), now);
            }
        }
    }

    /// Notes that a start order was answered with a clock that may be the one of the known incarnation. If
    /// it certainly is, the permit is for that incarnation or for an earlier one; without a permit, other
    /// copies of the order may be carried out later.
    pub(super) fn settle_start(
        &mut self,
        order: &OrderedRun<'_>,
        earlier_attempt_open: bool,
        now: Instant,
    ) {
        let reading = self.workers.get(order.worker).and_then(|live| live.clock);
        let is_certain = reading.is_some_and(|reading| reading.tells_incarnations_apart());
        let current = self.runs.get_mut(order.task);
        let Some(run) = current.filter(|current| current.run == order.run) else {
            return;
        };
        if run.has_permit {
            run.start_is_settled |= is_certain;
            return;
        }
        let is_only_copy = !earlier_attempt_open && run.starts_sent == 1;
        run.start_is_settled = is_only_copy && is_certain;
        run.start_answered_at = is_only_copy.then_some(now);
    }

    /// Handles a start order without an answer. If the order may have arrived, the run is stopped
    /// so that it cannot start later; otherwise the run has never started.
    pub(super) fn handle_unanswered_start(
        &mut self,
        order: &OrderedRun<'_>,
        may_have_arrived: bool,
        now: Now,
    ) {
        let current = self.runs.get(order.task);
        let starting =
            current.filter(|run| run.run == order.run && run.phase == RunPhase::Starting);
        let Some(run) = starting else {
            return;
        };
        // Another relay may still send its copy of the order.
        let may_have_arrived = may_have_arrived || run.starts_sent > 1;
        if let Some(worker) = self.workers.get_mut(order.worker) {
            worker.health.record_failure(now.at);
        }
        if may_have_arrived {
            self.stop_run(order.task, now.at);
            if self.is_gang(&order.task.stage) {
                self.stop_gang(&order.task.stage, now.at);
            }
        } else {
            self.finish_run(order.task, RunOutcome::NeverStarted, String::new(), now);
        }
    }

    pub(super) fn handle_stop_answer(
        &mut self,
        order: &OrderedRun<'_>,
        answer: OrderAnswer,
        now: Now,
    ) {
        if !self.is_answer_of_known_incarnation(order.worker, answer.clock_ms, now.at) {
            return;
        }
        if !matches!(
            answer.outcome,
            OrderOutcome::Done | OrderOutcome::Superseded
        ) {
            return;
        }
        let Some(run) = self.runs.get_mut(order.task) else {
            return;
        };
        if let RunPhase::Stopping { confirmed_at, .. } = &mut run.phase
            && run.run == order.run
        {
            confirmed_at.get_or_insert(now.at);
        }
    }
}

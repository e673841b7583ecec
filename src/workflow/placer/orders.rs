//! Start and stop orders to workers.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::Receiver;

use super::super::calls::{
    CallFailure, OrderAnswer, OrderOutcome, StartOrder, StopOrder, WorkerTarget,
};
use super::super::instruments::instruments;
use super::super::records::RunOutcome;
use super::reports::target;
use super::term::{Order, OrderKind, RunPhase, Term};
use super::{Now, Placer};

/// Time for the answer to an order: a round trip between regions and the worker's own delay.
const ORDER_TIMEOUT: Duration = Duration::from_millis(450);
/// Attempts to deliver an order. A start that stays unanswered is then stopped, well within the
/// time that the members of a gang wait for each other.
const ORDER_ATTEMPTS: u32 = 3;
/// Pause after an order that could not be sent.
const ORDER_PAUSE: Duration = Duration::from_millis(60);

/// A start order with its addressee, ready to be sent.
struct PreparedStart {
    target: WorkerTarget,
    order: StartOrder,
}

impl Placer {
    pub(super) fn run_orders(self: &Arc<Self>, queue: &Receiver<Order>) {
        for order in queue {
            match &order.kind {
                OrderKind::Start { permit } => self.send_start(&order, permit.as_ref()),
                OrderKind::Stop => self.send_stop(&order),
            }
        }
    }

    fn send_start(&self, order: &Order, permit: Option<&String>) {
        let mut may_have_arrived = false;
        for attempt in 1..=ORDER_ATTEMPTS {
            let prepared = self.with_term(Some(order.epoch), |term, now| {
                term.prepare_start(order, permit, now)
            });
            let Some(Some(PreparedStart {
                target,
                order: start,
            })) = prepared
            else {
                return;
            };
            let sent_at = self.clock.now();
            let result = (self.outside.start)(&target, &start, sent_at + ORDER_TIMEOUT);
            self.count_order("start", &result, sent_at);
            let failure = match result {
                Ok(answer) => {
                    self.with_term(Some(order.epoch), |term, now| {
                        term.note_start_answer(order, answer, now);
                    });
                    return;
                }
                Err(failure) => failure,
            };
            let sent = !matches!(failure, CallFailure::NotSent(_) | CallFailure::PortClosed);
            may_have_arrived |= sent;
            log::warn!(
                task:% = order.task, run = order.run, worker = order.worker.as_str(), attempt;
                "start order failed: {failure}"
            );
            if !sent {
                thread::sleep(ORDER_PAUSE);
            }
        }
        self.with_term(Some(order.epoch), |term, now| {
            term.note_start_unanswered(order, may_have_arrived, now);
        });
    }

    fn count_order(
        &self,
        kind: &'static str,
        result: &Result<OrderAnswer, CallFailure>,
        sent_at: Instant,
    ) {
        let latency = self.clock.now().saturating_duration_since(sent_at);
        match result {
            Ok(answer) => {
                let outcome = format!("{:?}", answer.outcome);
                instruments().record_order(kind, &outcome, latency);
            }
            Err(_) => instruments().record_order(kind, "unanswered", latency),
        }
    }

    fn send_stop(&self, order: &Order) {
        let prepared = self.with_term(Some(order.epoch), |term, _| {
            let worker = term.workers.get(&order.worker)?;
            (worker.record.incarnation == order.incarnation).then(|| target(worker))
        });
        let Some(Some(target)) = prepared else {
            return;
        };
        let stop = StopOrder {
            task: order.task.clone(),
            run: order.run,
            fence: order.epoch,
        };
        let sent_at = self.clock.now();
        let result = (self.outside.stop)(&target, &stop, sent_at + ORDER_TIMEOUT);
        self.count_order("stop", &result, sent_at);
        match result {
            Ok(answer) => {
                self.with_term(Some(order.epoch), |term, now| {
                    term.note_stop_answer(order, answer, now);
                });
            }
            Err(failure) => log::warn!(
                task:% = order.task, run = order.run, worker = order.worker.as_str();
                "stop order failed: {failure}"
            ),
        }
    }
}

impl Term {
    /// The start order as it is to be sent now; `None` when the run is no longer wanted.
    fn prepare_start(
        &mut self,
        order: &Order,
        permit: Option<&String>,
        now: Now,
    ) -> Option<PreparedStart> {
        let run = self.runs.get(&order.task)?;
        if run.run != order.run || run.phase != RunPhase::Starting {
            return None;
        }
        let lease_until_clock_ms = self.grant_lease(&order.worker, now.at);
        let worker = self.workers.get(&order.worker)?;
        if worker.record.incarnation != order.incarnation {
            return None;
        }
        let job = self.state.jobs.get(&order.task.stage.job)?;
        let checkpoint = self.state.task(&order.task)?.checkpoint.clone();
        Some(PreparedStart {
            target: target(worker),
            order: StartOrder {
                task: order.task.clone(),
                run: order.run,
                payload: job.spec.payload.clone(),
                fence: self.epoch,
                lease_until_clock_ms: lease_until_clock_ms?,
                checkpoint,
                permit: permit.cloned(),
            },
        })
    }

    pub(super) fn note_start_answer(&mut self, order: &Order, answer: OrderAnswer, now: Now) {
        self.note_clock(&order.worker, answer.clock_ms, now.at);
        let Some(run) = self.runs.get_mut(&order.task) else {
            return;
        };
        if run.run != order.run || run.phase != RunPhase::Starting {
            return;
        }
        log::info!(
            task:% = order.task, run = order.run, worker = order.worker.as_str(),
            outcome:? = answer.outcome,
            placed_ms_ago = now.at.saturating_duration_since(run.placed_at).as_millis() as u64;
            "start order answered"
        );
        match answer.outcome {
            OrderOutcome::Done => run.confirm(now.at),
            // The worker, a new owner of its address or a worker that follows a later placer
            // refused the run for good. An earlier attempt of the order may have started it: the
            // worker's lists or its lapsed lease will tell.
            OrderOutcome::Superseded | OrderOutcome::OtherIncarnation | OrderOutcome::Fenced => {
                run.phase = RunPhase::Stopping {
                    confirmed_at: Some(now.at),
                    ordered_at: now.at,
                };
            }
            OrderOutcome::PermitInvalid => {
                if let Some(stage) = self.stages.get_mut(&order.task.stage) {
                    stage.permits.forget(&order.worker);
                }
                self.finish_run(&order.task, RunOutcome::NeverStarted, String::new(), now);
            }
            OrderOutcome::Unhealthy | OrderOutcome::NoRoom | OrderOutcome::Refused => {
                if let Some(worker) = self.workers.get_mut(&order.worker) {
                    worker.health.record_failure(now.at);
                    worker.health.record_failure(now.at);
                }
                self.finish_run(&order.task, RunOutcome::NeverStarted, String::new(), now);
            }
            OrderOutcome::LeasePassed => {
                self.finish_run(&order.task, RunOutcome::NeverStarted, String::new(), now);
            }
        }
    }

    /// A start order got no answer: it must not take effect later, or never arrived.
    pub(super) fn note_start_unanswered(
        &mut self,
        order: &Order,
        may_have_arrived: bool,
        now: Now,
    ) {
        let current = self.runs.get(&order.task);
        let starting =
            current.is_some_and(|run| run.run == order.run && run.phase == RunPhase::Starting);
        if !starting {
            return;
        }
        if let Some(worker) = self.workers.get_mut(&order.worker) {
            worker.health.record_failure(now.at);
        }
        if may_have_arrived {
            self.stop_run(&order.task, now.at);
            if self.is_gang(&order.task.stage) {
                self.stop_gang(&order.task.stage, now.at);
            }
        } else {
            self.finish_run(&order.task, RunOutcome::NeverStarted, String::new(), now);
        }
    }

    pub(super) fn note_stop_answer(&mut self, order: &Order, answer: OrderAnswer, now: Now) {
        self.note_clock(&order.worker, answer.clock_ms, now.at);
        log::info!(
            task:% = order.task, run = order.run, worker = order.worker.as_str(),
            outcome:? = answer.outcome;
            "stop order answered"
        );
        if !matches!(
            answer.outcome,
            OrderOutcome::Done | OrderOutcome::Superseded
        ) {
            return;
        }
        let Some(run) = self.runs.get_mut(&order.task) else {
            return;
        };
        if let RunPhase::Stopping { confirmed_at, .. } = &mut run.phase
            && run.run == order.run
        {
            confirmed_at.get_or_insert(now.at);
        }
    }
}

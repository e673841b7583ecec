//! Delivers orders of the placer to workers.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::Receiver;

use super::super::calls::{CallFailure, OrderAnswer, StartOrder, StopOrder, WorkerTarget};
use super::super::decisions::open_calls::may_run_elsewhere;
use super::super::instruments::instruments;
use super::Relay;
use super::messages::{RelayEventKind, RelayedOrder, WorkerOrder};
use super::open_calls::OpenStart;

/// Time for the answer to an order: a round trip between regions and the processing delay of the
/// worker.
pub(in crate::workflow) const ORDER_TIMEOUT: Duration = Duration::from_millis(450);
/// Attempts to deliver a start order. A run whose start order stays unanswered is then stopped,
/// well within the time that the members of a gang wait for each other.
pub(in crate::workflow) const ORDER_ATTEMPTS: u32 = 3;
/// Time after which a start order that still waits in the queue is dropped: the placer repeats it
/// after 1.6 s.
pub(in crate::workflow) const START_VALIDITY: Duration = Duration::from_millis(1_400);
/// Pause after an order that could not be sent.
pub(in crate::workflow) const UNSENT_ORDER_PAUSE: Duration = Duration::from_millis(60);

impl Relay {
    /// Sends the orders of a queue, one at a time. Drops orders of earlier placers, and start
    /// orders that are too old or whose worker the relay does not serve or has lost contact with.
    pub(super) fn run_orders(self: &Arc<Self>, queue: &Receiver<(Instant, RelayedOrder)>) {
        for (received_at, RelayedOrder { target, order }) in queue {
            if !self.is_current(order.fence()) {
                continue;
            }
            let valid_until = received_at + START_VALIDITY;
            let order = match order {
                WorkerOrder::Start(order) => order,
                WorkerOrder::Stop(order) => {
                    self.send_stop(&target, order);
                    continue;
                }
            };
            let Some(open) = self.begin_start(&target, &order, valid_until) else {
                let late = Instant::now() >= valid_until;
                log::warn!(
                    task:% = order.task, run = order.run, worker = target.worker.as_str(),
                    incarnation = target.incarnation, late;
                    "start order dropped; the placer repeats it"
                );
                continue;
            };
            self.send_start(&target, &order, open, valid_until);
        }
    }

    /// Whether a start order may be sent now. Waits for an answer of the worker if the latest is not
    /// recent, as after a pause of this process: the worker may have restarted, and its new
    /// incarnation would start the run. Waits for the answer to an acknowledgement.
    fn begin_start<'a>(
        &'a self,
        target: &'a WorkerTarget,
        order: &StartOrder,
        valid_until: Instant,
    ) -> Option<OpenStart<'a>> {
        let link = self.link(target, order.fence)?;
        while link.await_confirmation(valid_until) {
            let open = self.open_calls.begin_start(target, order, valid_until)?;
            // The acknowledgement that the order waited for may have had no answer.
            if link.is_confirmed() {
                return Some(open);
            }
            open.settle();
        }
        None
    }

    /// Sends a start order, whose first attempt is `open`.
    fn send_start<'a>(
        &'a self,
        target: &'a WorkerTarget,
        order: &StartOrder,
        open: OpenStart<'a>,
        valid_until: Instant,
    ) {
        let mut may_have_arrived = false;
        let mut first = Some(open);
        for attempt in 1..=ORDER_ATTEMPTS {
            let open = first
                .take()
                .or_else(|| self.begin_start(target, order, valid_until));
            let Some(open) = open else {
                break;
            };
            let sent_at = Instant::now();
            let result = (self.outside.start)(target, order, sent_at + ORDER_TIMEOUT);
            let is_unanswered = result.as_ref().is_err_and(CallFailure::may_have_arrived);
            let known = self.link(target, order.fence).and_then(|link| link.clock());
            match &result {
                Ok(answer) if may_run_elsewhere(known, answer, Instant::now()) => {
                    open.note_unknown_answer();
                }
                Err(_) if is_unanswered => drop(open),
                Ok(_) | Err(_) => open.settle(),
            }
            count_order("start", &result, sent_at);
            let failure = match result {
                // The worker may still carry out an earlier attempt after this refusal.
                Ok(answer) if may_have_arrived && answer.outcome.is_refusal() => break,
                Ok(answer) => {
                    log::info!(
                        task:% = order.task, run = order.run, worker = target.worker.as_str(),
                        incarnation = target.incarnation, generation = target.generation,
                        epoch = order.fence, attempt, outcome:? = answer.outcome,
                        has_permit = order.permit.is_some(),
                        took_ms = sent_at.elapsed().as_millis() as u64;
                        "start order answered"
                    );
                    let event = RelayEventKind::StartAnswered {
                        task: order.task.clone(),
                        run: order.run,
                        answer,
                        earlier_attempt_open: may_have_arrived,
                    };
                    self.queue_event(order.fence, target, event);
                    return;
                }
                Err(failure) => failure,
            };
            may_have_arrived |= is_unanswered;
            log::warn!(
                task:% = order.task, run = order.run, worker = target.worker.as_str(),
                incarnation = target.incarnation, generation = target.generation, attempt;
                "start order failed: {failure}"
            );
            if !self.is_current(order.fence) {
                return;
            }
            if !is_unanswered {
                thread::sleep(UNSENT_ORDER_PAUSE);
            }
        }
        let event = RelayEventKind::StartUnanswered {
            task: order.task.clone(),
            run: order.run,
            may_have_arrived,
        };
        self.queue_event(order.fence, target, event);
    }

    /// Sends a stop order once; the placer repeats it until the run has ended.
    fn send_stop(&self, target: &WorkerTarget, order: StopOrder) {
        let sent_at = Instant::now();
        let result = (self.outside.stop)(target, &order, sent_at + ORDER_TIMEOUT);
        count_order("stop", &result, sent_at);
        match result {
            Ok(answer) => {
                log::info!(
                    task:% = order.task, run = order.run, worker = target.worker.as_str(),
                    incarnation = target.incarnation, epoch = order.fence,
                    outcome:? = answer.outcome;
                    "stop order answered"
                );
                let event = RelayEventKind::StopAnswered {
                    task: order.task,
                    run: order.run,
                    answer,
                };
                self.queue_event(order.fence, target, event);
            }
            Err(failure) => log::warn!(
                task:% = order.task, run = order.run, worker = target.worker.as_str();
                "stop order failed: {failure}"
            ),
        }
    }
}

fn count_order(kind: &'static str, result: &Result<OrderAnswer, CallFailure>, sent_at: Instant) {
    let latency = sent_at.elapsed();
    match result {
        Ok(answer) => {
            let outcome = format!("{:?}", answer.outcome);
            instruments().record_order(kind, &outcome, latency);
        }
        Err(_) => instruments().record_order(kind, "unanswered", latency),
    }
}

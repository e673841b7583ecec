//! Delivers orders of the placer to workers.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::Receiver;

use super::super::calls::{CallFailure, OrderAnswer, StartOrder, StopOrder, WorkerTarget};
use super::super::instruments::instruments;
use super::Relay;
use super::messages::{RelayEventKind, RelayedOrder, WorkerOrder};

/// Time for the answer to an order: a round trip between regions and the processing delay of the
/// worker.
const ORDER_TIMEOUT: Duration = Duration::from_millis(450);
/// Attempts to deliver a start order. A run whose start order stays unanswered is then stopped,
/// well within the time that the members of a gang wait for each other.
const ORDER_ATTEMPTS: u32 = 3;
/// Time after which a start order that still waits in the queue is dropped: the placer repeats it
/// after 1.6 s.
const START_VALIDITY: Duration = Duration::from_millis(1_400);
/// Pause after an order that could not be sent.
const UNSENT_ORDER_PAUSE: Duration = Duration::from_millis(60);

impl Relay {
    /// Sends the orders of a queue, one at a time. Drops orders of earlier placers, and start
    /// orders that are too old or whose worker the relay does not serve.
    pub(super) fn run_orders(self: &Arc<Self>, queue: &Receiver<(Instant, RelayedOrder)>) {
        for (received_at, RelayedOrder { target, order }) in queue {
            if !self.is_current(order.fence()) {
                continue;
            }
            let is_start = matches!(order, WorkerOrder::Start(_));
            let late = received_at.elapsed() >= START_VALIDITY;
            if is_start && (late || !self.serves(&target)) {
                let (task, run) = order.run();
                log::warn!(
                    task:% = task, run, worker = target.worker.as_str(), late;
                    "start order dropped; the placer repeats it"
                );
                continue;
            }
            match order {
                WorkerOrder::Start(order) => self.send_start(&target, order),
                WorkerOrder::Stop(order) => self.send_stop(&target, order),
            }
        }
    }

    fn send_start(&self, target: &WorkerTarget, order: StartOrder) {
        let mut may_have_arrived = false;
        for attempt in 1..=ORDER_ATTEMPTS {
            let sent_at = Instant::now();
            let result = (self.outside.start)(target, &order, sent_at + ORDER_TIMEOUT);
            count_order("start", &result, sent_at);
            let failure = match result {
                // The worker may still carry out an earlier attempt after this refusal.
                Ok(answer) if may_have_arrived && answer.outcome.is_refusal() => break,
                Ok(answer) => {
                    log::info!(
                        task:% = order.task, run = order.run, worker = target.worker.as_str(),
                        epoch = order.fence, attempt, outcome:? = answer.outcome,
                        took_ms = sent_at.elapsed().as_millis() as u64;
                        "start order answered"
                    );
                    let event = RelayEventKind::StartAnswered {
                        task: order.task,
                        run: order.run,
                        answer,
                    };
                    self.queue_event(order.fence, target, event);
                    return;
                }
                Err(failure) => failure,
            };
            let sent = !matches!(failure, CallFailure::NotSent(_) | CallFailure::PortClosed);
            may_have_arrived |= sent;
            log::warn!(
                task:% = order.task, run = order.run, worker = target.worker.as_str(), attempt;
                "start order failed: {failure}"
            );
            if !self.is_current(order.fence) {
                return;
            }
            // The worker may have restarted; its new incarnation would start the run.
            if !self.serves(target) {
                break;
            }
            if !sent {
                thread::sleep(UNSENT_ORDER_PAUSE);
            }
        }
        let event = RelayEventKind::StartUnanswered {
            task: order.task,
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
                    epoch = order.fence, outcome:? = answer.outcome;
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

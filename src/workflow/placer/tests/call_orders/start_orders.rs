//! Start orders of a relay as `relay/orders.rs` has them.

use std::time::{Duration, Instant};

use super::cell::{Answer, Cell, LATE_CALL_LIMIT};
use super::relay::POLL;
use super::worker::Request;
use crate::workflow::calls::{CallFailure, OrderAnswer, StartOrder, WorkerTarget};
use crate::workflow::decisions::fencing::fencing_token;
use crate::workflow::decisions::open_calls::may_run_elsewhere;
use crate::workflow::relay::messages::RelayEventKind;
use crate::workflow::relay::orders::{ORDER_ATTEMPTS, ORDER_TIMEOUT, UNSENT_ORDER_PAUSE};

/// A start order that is being sent.
#[derive(Clone)]
struct Start {
    link: usize,
    order: StartOrder,
    valid_until: Instant,
    attempt: u32,
    may_have_arrived: bool,
}

impl Cell {
    pub(super) fn accept_start(
        &mut self,
        relay: usize,
        target: &WorkerTarget,
        order: StartOrder,
        valid_until: Instant,
    ) {
        let link = self.relays[relay].links.get(&target.worker).copied();
        let link = link.filter(|link| {
            let link = &self.links[*link];
            link.epoch == order.fence && link.target == *target
        });
        let Some(link) = link.filter(|_| self.relays[relay].epoch == order.fence) else {
            return;
        };
        self.begin_start(Start {
            link,
            order,
            valid_until,
            attempt: 1,
            may_have_arrived: false,
        });
    }

    fn begin_start(&mut self, start: Start) {
        let now = self.now.at;
        let link = &self.links[start.link];
        if link.has_ended || now >= link.expires_at || now >= start.valid_until {
            self.drop_start(&start);
            return;
        }
        let mut may_start = false;
        if link.is_confirmed(now) {
            let token = (link.epoch, link.target.generation);
            let relay = &mut self.relays[link.relay];
            let Some(calls) = relay.calls_to(&link.target, link.epoch) else {
                self.drop_start(&start);
                return;
            };
            calls.takes_starts = true;
            may_start = calls.may_start(token);
            if !may_start && calls.needs_higher_token(token) {
                self.drop_start(&start);
                return;
            }
            calls.starts += usize::from(may_start);
        }
        if !may_start {
            self.after(POLL, move |cell| cell.begin_start(start));
            return;
        }
        let id = link.target.worker.clone();
        let token = fencing_token(start.order.fence, link.target.generation);
        let request = Request::Start(start.order.clone(), token, link.target.incarnation);
        let done = move |cell: &mut Cell, result: Result<Answer, CallFailure>| {
            let result = match result {
                Ok(Answer::Order(answer)) => Ok(answer),
                Ok(_) => return,
                Err(failure) => Err(failure),
            };
            cell.end_start(start, result);
        };
        self.call(&id, request, ORDER_TIMEOUT, Box::new(done));
    }

    fn end_start(&mut self, mut start: Start, result: Result<OrderAnswer, CallFailure>) {
        let now = self.now.at;
        let link = &self.links[start.link];
        let (relay, target) = (link.relay, link.target.clone());
        let has_permit = start.order.permit.is_some();
        let is_unanswered = result.as_ref().is_err_and(CallFailure::may_have_arrived);
        let answer = result.as_ref();
        let may_run_elsewhere =
            answer.is_ok_and(|answer| may_run_elsewhere(link.clock, answer, now));
        self.relays[relay].update(&target, |calls| {
            calls.starts = calls.starts.saturating_sub(1);
            if may_run_elsewhere {
                calls.note_unknown_answer(now);
            }
            if is_unanswered {
                calls.note_unanswered_start(has_permit, now, LATE_CALL_LIMIT);
            }
        });
        let fence = start.order.fence;
        match result {
            Ok(answer) if start.may_have_arrived && answer.outcome.is_refusal() => {
                self.give_up_start(&start);
                return;
            }
            Ok(answer) => {
                let kind = RelayEventKind::StartAnswered {
                    task: start.order.task.clone(),
                    run: start.order.run,
                    answer,
                    earlier_attempt_open: start.may_have_arrived,
                };
                self.queue_event(relay, fence, &target, kind);
                return;
            }
            Err(_) => {}
        }
        start.may_have_arrived |= is_unanswered;
        if self.relays[relay].epoch != fence {
            return;
        }
        if start.attempt == ORDER_ATTEMPTS {
            self.give_up_start(&start);
            return;
        }
        start.attempt += 1;
        let pause = if is_unanswered {
            Duration::ZERO
        } else {
            UNSENT_ORDER_PAUSE
        };
        self.after(pause, move |cell| cell.retry_start(start));
    }

    /// Each attempt looks up the link anew.
    fn retry_start(&mut self, mut start: Start) {
        let link = &self.links[start.link];
        let current = self.relays[link.relay].links.get(&link.target.worker);
        let serves = |number: &&usize| {
            let other = &self.links[**number];
            other.epoch == start.order.fence && other.target == link.target
        };
        match current.filter(serves) {
            Some(link) => {
                start.link = *link;
                self.begin_start(start);
            }
            None => self.give_up_start(&start),
        }
    }

    /// Drops an order that may not be sent; one whose first attempt was not sent has no outcome.
    fn drop_start(&mut self, start: &Start) {
        if start.attempt > 1 {
            self.give_up_start(start);
        }
    }

    fn give_up_start(&mut self, start: &Start) {
        let link = &self.links[start.link];
        let (relay, target) = (link.relay, link.target.clone());
        let kind = RelayEventKind::StartUnanswered {
            task: start.order.task.clone(),
            run: start.order.run,
            may_have_arrived: start.may_have_arrived,
        };
        self.queue_event(relay, start.order.fence, &target, kind);
    }
}

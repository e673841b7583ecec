//! Calls to workers over a network that delays and loses them and their answers.

use std::time::Duration;

use super::cell::{Answer, Cell, Done, LATE_CALL_LIMIT};
use super::plan::Target;
use super::worker::Request;
use crate::ids::WorkerId;
use crate::workflow::calls::CallFailure;

impl Cell {
    /// Calls a worker. The call is carried out at once, late or never, and answered likewise.
    pub(super) fn call(&mut self, id: &WorkerId, request: Request, timeout: Duration, done: Done) {
        self.next_id += 1;
        let call = self.next_id;
        self.pending.insert(call, done);
        self.after(timeout, move |cell| {
            cell.complete(call, Err(CallFailure::NoAnswer("time-out".to_owned())));
        });
        let mut delay = self.delay(300);
        if let Some(until) = self.cut_until(id) {
            if self.chance(50) {
                let failure = CallFailure::NotSent("cannot connect".to_owned());
                self.after(timeout - Duration::from_millis(1), move |cell| {
                    cell.complete(call, Err(failure));
                });
                return;
            }
            if self.chance(70) {
                return;
            }
            delay += until - self.now.at;
        } else if self.workers[id].life.is_none() && self.chance(80) {
            self.after(Duration::from_millis(1), move |cell| {
                cell.complete(call, Err(CallFailure::PortClosed));
            });
            return;
        } else if self.is_held(id, request.target()) && self.chance(70) {
            if self.chance(15) {
                return;
            }
            let limit_ms = if self.chance(50) { 1_500 } else { 12_000 };
            delay = self.ms(50..limit_ms);
        }
        let (id, sent_at) = (id.clone(), self.now.at);
        if delay <= LATE_CALL_LIMIT {
            self.after(delay, move |cell| cell.deliver(&id, call, request, sent_at));
        }
    }

    pub(super) fn answer(&mut self, id: &WorkerId, call: u64, answer: Answer) {
        if self.cut_until(id).is_some() {
            return;
        }
        let mut delay = self.delay(300);
        if self.is_held(id, Target::Answer) && self.chance(50) {
            if self.chance(50) {
                return;
            }
            delay = self.ms(100..3_000);
        }
        self.after(delay, move |cell| cell.complete(call, Ok(answer)));
    }

    /// Ends a call unless it has ended.
    pub(super) fn complete(&mut self, call: u64, result: Result<Answer, CallFailure>) {
        if let Some(done) = self.pending.swap_remove(&call) {
            done(self, result);
        }
    }
}

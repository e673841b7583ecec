//! Calls of the relay to workers that may be carried out late, by worker.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::super::calls::{StartOrder, WorkerTarget};
use super::super::decisions::open_calls::{AcknowledgementStep, OpenCalls};
use crate::ids::{Epoch, WorkerId};

/// Open calls to all workers of a relay. Entries outlive the links of the relay.
pub(super) struct OpenCallTable {
    late_call_limit: Duration,
    workers: Mutex<IndexMap<WorkerId, OpenCalls>>,
    changed: Condvar,
}

impl OpenCallTable {
    pub(super) fn new(late_call_limit: Duration) -> Self {
        Self {
            late_call_limit,
            workers: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Waits until a start order may be sent; `None` if it may not be sent before the deadline.
    pub(super) fn begin_start<'a>(
        &'a self,
        target: &'a WorkerTarget,
        order: &StartOrder,
        deadline: Instant,
    ) -> Option<OpenStart<'a>> {
        let (epoch, has_permit) = (order.fence, order.permit.is_some());
        let token = (epoch, target.generation);
        let mut workers = self.workers.lock().unwrap();
        loop {
            let calls = calls_to(&mut workers, target, epoch)?;
            calls.takes_starts = true;
            if calls.may_start(token) {
                calls.starts += 1;
                return Some(OpenStart {
                    table: self,
                    target,
                    has_permit,
                    end: StartEnd::Unanswered,
                });
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || calls.needs_higher_token(token) {
                return None;
            }
            workers = self.wait(workers, left);
        }
    }

    fn end_start(&self, start: &OpenStart<'_>) {
        self.update(start.target, |calls| {
            calls.starts = calls.starts.saturating_sub(1);
            let now = Instant::now();
            match start.end {
                StartEnd::Settled => {}
                StartEnd::AnsweredByUnknown => calls.note_unknown_answer(now),
                StartEnd::Unanswered => {
                    calls.note_unanswered_start(start.has_permit, now, self.late_call_limit);
                }
            }
        });
    }

    /// Notes that the incarnation of the target has answered a call that was sent at a time.
    pub(super) fn note_answer(&self, target: &WorkerTarget, sent_at: Instant) {
        let mut workers = self.workers.lock().unwrap();
        let calls = workers.get_mut(&target.worker);
        let current = calls.filter(|calls| calls.incarnation == target.incarnation);
        if current.is_some_and(|calls| calls.note_answer(sent_at)) {
            self.changed.notify_all();
        }
    }

    /// Waits until an acknowledgement may be sent, or until it cannot be sent before the deadline.
    pub(super) fn begin_acknowledgement<'a>(
        &'a self,
        target: &'a WorkerTarget,
        epoch: Epoch,
        deadline: Instant,
    ) -> BegunAcknowledgement<'a> {
        let mut workers = self.workers.lock().unwrap();
        loop {
            let now = Instant::now();
            let Some(calls) = calls_to(&mut workers, target, epoch) else {
                return BegunAcknowledgement::Refused;
            };
            match calls.begin_acknowledgement(now, deadline) {
                AcknowledgementStep::Begun => {
                    return BegunAcknowledgement::Open(OpenAcknowledgement {
                        table: self,
                        target,
                        epoch,
                        may_be_late: true,
                    });
                }
                AcknowledgementStep::NeedsLaterAnswer => {
                    return BegunAcknowledgement::NeedsLaterAnswer;
                }
                AcknowledgementStep::Refused => {
                    self.changed.notify_all();
                    return BegunAcknowledgement::Refused;
                }
                AcknowledgementStep::AwaitsAnswers => {
                    workers = self.wait(workers, deadline.saturating_duration_since(now));
                }
            }
        }
    }

    /// Start orders that wait for an acknowledgement since [`BegunAcknowledgement::NeedsLaterAnswer`].
    pub(super) fn held_starts<'a>(&'a self, target: &'a WorkerTarget) -> HeldStarts<'a> {
        HeldStarts {
            table: self,
            target,
        }
    }

    fn end_acknowledgement(&self, target: &WorkerTarget, epoch: Epoch, may_be_late: bool) {
        self.update(target, |calls| {
            calls.is_acknowledging = false;
            if may_be_late {
                let token = Some((epoch, target.generation));
                calls.unanswered_acknowledgement = calls.unanswered_acknowledgement.max(token);
            }
        });
    }

    /// Whether acknowledgements are sent in calls of their own, which the worker answers at once:
    /// start orders wait for the answer.
    pub(super) fn separates_acknowledgements(&self, target: &WorkerTarget) -> bool {
        let workers = self.workers.lock().unwrap();
        let calls = workers.get(&target.worker);
        calls.is_some_and(|calls| calls.takes_starts)
    }

    /// Whether start orders need a higher token than that of the target.
    pub(super) fn needs_higher_token(&self, target: &WorkerTarget, epoch: Epoch) -> bool {
        let workers = self.workers.lock().unwrap();
        let calls = workers.get(&target.worker);
        calls.is_some_and(|calls| calls.needs_higher_token((epoch, target.generation)))
    }

    /// Removes the entries of workers that the relay no longer serves and that have no open calls.
    pub(super) fn prune(&self, is_served: impl Fn(&WorkerId) -> bool) {
        let now = Instant::now();
        let mut workers = self.workers.lock().unwrap();
        workers.retain(|id, calls| is_served(id) || !calls.is_settled(now));
    }

    fn update(&self, target: &WorkerTarget, change: impl FnOnce(&mut OpenCalls)) {
        let mut workers = self.workers.lock().unwrap();
        let calls = workers.get_mut(&target.worker);
        let current = calls.filter(|calls| calls.incarnation == target.incarnation);
        if let Some(calls) = current {
            change(calls);
        }
        self.changed.notify_all();
    }

    fn wait<'a>(
        &'a self,
        workers: MutexGuard<'a, IndexMap<WorkerId, OpenCalls>>,
        timeout: Duration,
    ) -> MutexGuard<'a, IndexMap<WorkerId, OpenCalls>> {
        self.changed.wait_timeout(workers, timeout).unwrap().0
    }
}

/// What is known of a start order when its answer is no longer awaited.
#[derive(Clone, Copy)]
enum StartEnd {
    /// It was certainly not sent, or certainly no later incarnation carried it out.
    Settled,
    /// It was answered, perhaps by a later incarnation, which may run the task.
    AnsweredByUnknown,
    /// The worker may carry it out late.
    Unanswered,
}

/// A start order that is being sent. When it is dropped, the worker may carry it out late, unless its
/// end was noted.
pub(super) struct OpenStart<'a> {
    table: &'a OpenCallTable,
    target: &'a WorkerTarget,
    has_permit: bool,
    end: StartEnd,
}

impl OpenStart<'_> {
    /// Notes that certainly no later incarnation carries out the order.
    pub(super) fn settle(mut self) {
        self.end = StartEnd::Settled;
    }

    /// Notes that the order was answered, perhaps by a later incarnation of the worker.
    pub(super) fn note_unknown_answer(mut self) {
        self.end = StartEnd::AnsweredByUnknown;
    }
}

impl Drop for OpenStart<'_> {
    fn drop(&mut self) {
        self.table.end_start(self);
    }
}

/// How an acknowledgement begins.
pub(super) enum BegunAcknowledgement<'a> {
    /// It is sent now.
    Open(OpenAcknowledgement<'a>),
    /// The incarnation has to answer a later call first; start orders wait meanwhile.
    NeedsLaterAnswer,
    /// It may not be sent now.
    Refused,
}

/// Start orders to a worker wait for an acknowledgement until this is dropped.
pub(super) struct HeldStarts<'a> {
    table: &'a OpenCallTable,
    target: &'a WorkerTarget,
}

impl Drop for HeldStarts<'_> {
    fn drop(&mut self) {
        self.table
            .update(self.target, |calls| calls.acknowledgement_waits = false);
    }
}

/// An acknowledgement that is being sent, like [`OpenStart`].
pub(super) struct OpenAcknowledgement<'a> {
    table: &'a OpenCallTable,
    target: &'a WorkerTarget,
    epoch: Epoch,
    may_be_late: bool,
}

impl OpenAcknowledgement<'_> {
    /// Notes that the acknowledgement was answered or certainly not sent.
    pub(super) fn settle(mut self) {
        self.may_be_late = false;
    }
}

impl Drop for OpenAcknowledgement<'_> {
    fn drop(&mut self) {
        self.table
            .end_acknowledgement(self.target, self.epoch, self.may_be_late);
    }
}

/// Returns the open calls to an incarnation of a worker; `None` if a later incarnation is known, so that
/// the call is obsolete.
fn calls_to<'a>(
    workers: &'a mut IndexMap<WorkerId, OpenCalls>,
    target: &WorkerTarget,
    epoch: Epoch,
) -> Option<&'a mut OpenCalls> {
    let calls = workers.entry(target.worker.clone()).or_default();
    let is_due = calls.begin_call(target.incarnation, (epoch, target.generation));
    is_due.then_some(calls)
}

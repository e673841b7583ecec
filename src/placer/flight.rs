//! A request between its admission and its outcome, shared by all callers that wait for it.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Instant;

use super::Outcome;
use super::links::RunnerLink;
use super::records::RequestDigest;
use crate::clock::Clock;
use crate::ids::{Epoch, TaskId};

/// How a request in flight ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RequestEnd {
    /// Outcome for all callers that wait.
    Outcome(Outcome),
    /// The attempt ended without an owner that could make another attempt. Callers that still wait
    /// look up the record again, and one of them may make that attempt.
    RetryLookup,
}

/// A task that was sent, or is about to be sent, to a runner.
#[derive(Clone)]
pub(super) struct SentTask {
    pub task: TaskId,
    pub epoch: Epoch,
    pub link: Arc<RunnerLink>,
}

/// One request in flight.
pub(super) struct InFlightRequest {
    /// Identifies the request, so that a key is not used for two different ones.
    pub digest: RequestDigest,
    /// Set when a caller cancelled the request; no further attempt is made then.
    cancelled: AtomicBool,
    /// Set before the first exchange of each attempt, so that a cancellation reaches the runner.
    sent: Mutex<Option<SentTask>>,
    end: Mutex<Option<RequestEnd>>,
    ended: Condvar,
    waiters: AtomicUsize,
}

impl InFlightRequest {
    pub fn new(digest: RequestDigest) -> Arc<Self> {
        Arc::new(Self {
            digest,
            cancelled: AtomicBool::new(false),
            sent: Mutex::new(None),
            end: Mutex::new(None),
            ended: Condvar::new(),
            waiters: AtomicUsize::new(0),
        })
    }

    /// Records the task that is about to be sent. Returns false when the request was cancelled and
    /// the task must not be sent.
    pub fn begin_sending(&self, task: SentTask) -> bool {
        let mut sent = self.sent.lock().unwrap();
        *sent = Some(task);
        !self.is_cancelled()
    }

    /// Marks the request as cancelled and returns the task that may be on a runner.
    pub fn cancel(&self) -> Option<SentTask> {
        let sent = self.sent.lock().unwrap();
        self.cancelled.store(true, Ordering::Release);
        sent.clone()
    }

    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Whether callers wait besides the one whose submission was admitted.
    pub fn has_waiters(&self) -> bool {
        self.waiters.load(Ordering::Acquire) > 0
    }

    /// Ends the request and wakes its waiters; later calls have no effect.
    pub fn finish(&self, end: RequestEnd) {
        self.end.lock().unwrap().get_or_insert(end);
        self.ended.notify_all();
    }

    /// Waits for the end; `None` when the deadline passes first.
    pub fn wait(&self, deadline: Instant, clock: &Clock) -> Option<RequestEnd> {
        self.waiters.fetch_add(1, Ordering::AcqRel);
        let mut end = self.end.lock().unwrap();
        loop {
            let remaining = deadline.saturating_duration_since(clock.now());
            if end.is_some() || remaining.is_zero() {
                break;
            }
            end = self.ended.wait_timeout(end, remaining).unwrap().0;
        }
        self.waiters.fetch_sub(1, Ordering::AcqRel);
        end.clone()
    }
}

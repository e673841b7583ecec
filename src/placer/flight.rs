//! A request between its admission and its outcome, with everyone who waits for it.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Instant;

use super::Outcome;
use super::links::RunnerLink;
use super::records::RequestDigest;
use crate::clock::Clock;
use crate::ids::{Epoch, TaskId};

/// How a flight ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum FlightEnd {
    /// All who wait are told this.
    Outcome(Outcome),
    /// The attempt ended without an owner that could make another one; whoever still waits looks
    /// up the record again and may make that attempt.
    LookAgain,
}

/// A task that was sent, or is about to be sent, to a runner.
#[derive(Clone)]
pub(super) struct SentTask {
    pub task: TaskId,
    pub epoch: Epoch,
    pub link: Arc<RunnerLink>,
}

/// One request on its way.
pub(super) struct Flight {
    /// What the request is.
    pub digest: RequestDigest,
    /// Set when the caller cancelled it; no further attempt is made.
    cancelled: AtomicBool,
    /// Set before the first exchange of each attempt, so that a cancellation reaches the runner.
    sent: Mutex<Option<SentTask>>,
    end: Mutex<Option<FlightEnd>>,
    ended: Condvar,
    waiters: AtomicUsize,
}

impl Flight {
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

    /// Records the task that is about to be sent. Returns false when the request was cancelled, so
    /// that it must not be sent.
    pub fn begin_sending(&self, task: SentTask) -> bool {
        let mut sent = self.sent.lock().unwrap();
        *sent = Some(task);
        !self.is_cancelled()
    }

    /// Marks the flight as cancelled; returns the task that may be on a runner.
    pub fn cancel(&self) -> Option<SentTask> {
        let sent = self.sent.lock().unwrap();
        self.cancelled.store(true, Ordering::Release);
        sent.clone()
    }

    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Callers attached besides the one that began the flight.
    pub fn has_waiters(&self) -> bool {
        self.waiters.load(Ordering::Acquire) > 0
    }

    /// Ends the flight; later ends have no effect.
    pub fn finish(&self, end: FlightEnd) {
        self.end.lock().unwrap().get_or_insert(end);
        self.ended.notify_all();
    }

    /// Waits for the end; `None` when the deadline passes before.
    pub fn wait(&self, deadline: Instant, clock: &Clock) -> Option<FlightEnd> {
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

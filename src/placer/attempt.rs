//! Runs an admitted request until its outcome, on the thread of its first caller.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use crossbeam::channel::{Receiver, bounded};

use super::dispatch::{self, AttemptEnd};
use super::flight::{InFlightRequest, RequestEnd, SentTask};
use super::follow::{OccupiedSlot, OrphanedTask};
use super::journal::JournalError;
use super::records::{Intent, PlacementRecord};
use super::runners::RunnerSlot;
use super::runners::health::Execution;
use super::{Outcome, Placer, not_placer};
use crate::ids::TaskId;
use crate::protocol::caller::{Answer, Submission};
use crate::scheduling::request_queue::QueuedRequest;
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// Upper bound of the backoff before the first retry; doubles with each further retry.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);
/// Upper bound of any backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// An ended attempt that the next attempt replaces.
#[derive(Clone)]
pub(super) struct FormerAttempt {
    pub task: TaskId,
    /// Error for the caller when no other attempt begins.
    pub error: RequestError,
    /// Slot of the attempt while its outcome is not committed; absent afterwards.
    pub uncommitted_slot: Option<RunnerSlot>,
}

/// How the run of the owner ended.
enum RunEnd {
    /// The request has ended.
    Finished(RequestEnd),
    /// The task was left to a polling thread until its outcome is committed. The first caller
    /// receives this outcome.
    Orphaned(Outcome),
}

/// An admitted request. Dropping it before [`Self::run`] cancels the wait for a slot.
pub(super) struct AdmittedRequest {
    pub placer: Arc<Placer>,
    pub in_flight: Arc<InFlightRequest>,
    pub queued: QueuedRequest,
    pub assigned: Receiver<Result<RunnerSlot, RequestError>>,
    pub former: Option<FormerAttempt>,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Set when the request has ended or its task was left to a polling thread.
    pub finished: bool,
    /// Set before the first intent is appended; from then on an intent may be committed.
    pub intent_sent: bool,
}

impl AdmittedRequest {
    /// Runs the request until its outcome or deadline. `None` means that the caller must look up
    /// the key again.
    pub fn run(mut self, submission: &Submission) -> Option<Outcome> {
        match self.run_attempts(submission) {
            RunEnd::Orphaned(outcome) => Some(outcome),
            RunEnd::Finished(end) => {
                self.finish(end.clone());
                match end {
                    RequestEnd::Outcome(outcome) => Some(outcome),
                    RequestEnd::RetryLookup => None,
                }
            }
        }
    }

    fn run_attempts(&mut self, submission: &Submission) -> RunEnd {
        let mut retries = 0;
        loop {
            let slot = match self.wait_for_slot() {
                Ok(slot) => slot,
                Err(error) => return self.end_without_slot(error),
            };
            if let Err(run_end) = self.commit_intent(submission, &slot) {
                return run_end;
            }
            let end = if self.in_flight.begin_sending(SentTask::of(&slot)) {
                dispatch::run_task(&self.placer, submission, &self.in_flight, &slot)
            } else {
                AttemptEnd::never_started("cancelled before it was sent")
            };
            match end {
                AttemptEnd::Known {
                    outcome,
                    over,
                    may_remove,
                } => {
                    return self.complete(slot, outcome, over, may_remove);
                }
                AttemptEnd::Unresolved { acknowledged } => {
                    let message = "the deadline passed while the request may be running";
                    let error = RequestError::may_have_run(ErrorCode::DeadlineExceeded, message);
                    return self.orphan_with_slot(&slot, acknowledged, error);
                }
                AttemptEnd::Retryable { error, started } => {
                    self.release(&slot, Some(&Err::<(), _>(error.clone())));
                    let mut error = self.cancelled_error(error);
                    if self.earlier_may_have_run() {
                        error.verdict = Verdict::MayHaveRun;
                    }
                    if !self.prepare_retry(submission, &slot, started, retries) {
                        return self.commit(&slot, Err(error), true, false);
                    }
                    retries += 1;
                    log::info!(
                        key = submission.key.as_str(), member = submission.member.as_str(),
                        runner = slot.worker.as_str(), task = slot.task.as_str();
                        "another attempt follows: {error}"
                    );
                    self.former = Some(FormerAttempt {
                        task: slot.task.clone(),
                        error,
                        uncommitted_slot: Some(slot),
                    });
                    if let Err(error) = self.requeue() {
                        return self.end_without_slot(error);
                    }
                }
            }
        }
    }

    /// Commits the intent of the attempt. An error means that nothing may be sent for it.
    fn commit_intent(&mut self, submission: &Submission, slot: &RunnerSlot) -> Result<(), RunEnd> {
        let intent = self.intent(submission, slot);
        self.intent_sent = true;
        match (self.placer.options.journal.append)(PlacementRecord::Intent(intent)) {
            Ok(()) if self.placer.is_latest_attempt(&self.queued.key, slot) => {
                if self.former.is_none() {
                    self.placer
                        .record_in_retry_budget(&self.queued.member, &slot.worker);
                }
                Ok(())
            }
            // Another attempt was committed first.
            Ok(()) => {
                self.release(slot, None::<&Result<(), _>>);
                Err(RunEnd::Finished(RequestEnd::RetryLookup))
            }
            Err(error @ JournalError::NotLeader(_)) => {
                self.release(slot, None::<&Result<(), _>>);
                log::debug!("intent of {} refused: {error}", self.queued.key);
                Err(self.end_without_slot(not_placer()))
            }
            // The intent may still be committed, so its slot stays reserved until that is decided.
            Err(error @ JournalError::Unconfirmed(_)) => {
                log::warn!("intent of {} not confirmed: {error}", self.queued.key);
                Err(self.orphan_with_slot(slot, false, error.may_have_run()))
            }
        }
    }

    fn intent(&self, submission: &Submission, slot: &RunnerSlot) -> Intent {
        let clock = &self.placer.options.clock;
        let remaining = submission.deadline.saturating_duration_since(clock.now());
        let now_unix_ms = clock.unix_ms();
        Intent {
            key: submission.key.clone(),
            digest: self.in_flight.digest.clone(),
            idempotent: submission.idempotent,
            task: slot.task.clone(),
            former: self.former.as_ref().map(|former| former.task.clone()),
            former_may_have_run: self.earlier_may_have_run(),
            worker: slot.worker.clone(),
            incarnation: slot.incarnation,
            address: slot.link.address.clone(),
            epoch: slot.epoch,
            deadline_unix_ms: now_unix_ms.saturating_add(remaining.as_millis() as u64),
            now_unix_ms,
        }
    }

    /// Whether an ended attempt that this request replaces may have run.
    fn earlier_may_have_run(&self) -> bool {
        let former = self.former.as_ref();
        former.is_some_and(|former| former.error.verdict == Verdict::MayHaveRun)
    }

    fn wait_for_slot(&mut self) -> Result<RunnerSlot, RequestError> {
        if let Ok(assigned) = self.assigned.recv_deadline(self.queued.deadline) {
            return assigned;
        }
        if self.placer.leave_queue(&self.queued.key, &self.in_flight) {
            let message = "the deadline passed before a slot was free";
            return Err(RequestError::did_not_run(
                ErrorCode::DeadlineExceeded,
                message,
            ));
        }
        // The slot was assigned between the timeout and the lock.
        self.assigned.recv().unwrap_or_else(|_| Err(not_placer()))
    }

    /// Ends a request that was assigned no slot. When an earlier attempt may have run, its error is
    /// returned instead.
    fn end_without_slot(&mut self, error: RequestError) -> RunEnd {
        let Some(former) = self.former.take() else {
            return RunEnd::Finished(RequestEnd::Outcome(Err(error)));
        };
        let error = if former.error.verdict == Verdict::MayHaveRun {
            former.error
        } else {
            error
        };
        match former.uncommitted_slot {
            Some(slot) => self.commit(&slot, Err(error), true, false),
            None => RunEnd::Finished(RequestEnd::Outcome(Err(error))),
        }
    }

    /// Reports the stopped or refused task of a cancelled request as cancelled.
    fn cancelled_error(&self, error: RequestError) -> RequestError {
        if !self.in_flight.is_cancelled() {
            return error;
        }
        RequestError {
            code: ErrorCode::Cancelled,
            message: match error.verdict {
                Verdict::DidNotRun => "cancelled before it started".to_owned(),
                _ => "cancelled while it was running".to_owned(),
            },
            ..error
        }
    }

    /// Returns whether another attempt follows, after sleeping for its backoff.
    fn prepare_retry(
        &self,
        submission: &Submission,
        slot: &RunnerSlot,
        started: bool,
        retries: u32,
    ) -> bool {
        if (started && !submission.idempotent) || self.in_flight.is_cancelled() {
            return false;
        }
        let ceiling = FIRST_BACKOFF
            .saturating_mul(1 << retries.min(10))
            .min(MAX_BACKOFF);
        let backoff = ceiling.mul_f64(rand::random_range(0.5..1.0));
        if self.placer.options.clock.now() + backoff >= submission.deadline
            || !self
                .placer
                .take_retry_from_budget(&submission.member, &slot.worker)
        {
            return false;
        }
        std::thread::sleep(backoff);
        !self.in_flight.is_cancelled()
    }

    fn requeue(&mut self) -> Result<(), RequestError> {
        let (sender, receiver) = bounded(1);
        self.assigned = receiver;
        self.placer.requeue(&self.queued, &self.in_flight, sender)
    }

    /// Releases the slot, since the runner has ended the task, and commits the outcome.
    fn complete(
        &mut self,
        slot: RunnerSlot,
        outcome: Result<Vec<u8>, RequestError>,
        over: bool,
        may_remove: bool,
    ) -> RunEnd {
        self.release(&slot, Some(&outcome));
        let wait = slot
            .reserved_at
            .saturating_duration_since(self.queued.admitted_at);
        let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        let outcome = outcome
            .map(|body| Answer { body, wait_us })
            .map_err(|error| self.cancelled_error_unless_ran(error));
        self.commit(&slot, outcome, over, may_remove)
    }

    fn cancelled_error_unless_ran(&self, error: RequestError) -> RequestError {
        if error.verdict == Verdict::Ran {
            return error;
        }
        self.cancelled_error(error)
    }

    fn commit(
        &mut self,
        slot: &RunnerSlot,
        outcome: Outcome,
        over: bool,
        may_remove: bool,
    ) -> RunEnd {
        let key = &self.queued.key;
        let committed = self
            .placer
            .commit_completion(key, &slot.task, &outcome, over);
        let error = match committed {
            Ok(recorded) => {
                if may_remove {
                    self.placer.queue_removal(&slot.worker, &slot.task);
                }
                log_outcome(&self.queued, slot, &recorded);
                return RunEnd::Finished(RequestEnd::Outcome(recorded));
            }
            Err(error) => error,
        };
        log::warn!("completion of {key} not confirmed: {error}");
        // A report of the runner that the task ran holds whether or not the completion is
        // committed. That nothing ran holds only once no other placer can start another attempt.
        let reported = match &outcome {
            Err(known) if known.verdict != Verdict::Ran => Err(error.may_have_run()),
            _ => outcome.clone(),
        };
        self.orphan(slot, OccupiedSlot::Released, false, Some((outcome, over)));
        RunEnd::Orphaned(reported)
    }

    /// Releases the slot. `outcome` is the result on the runner; absent when the runner received
    /// nothing.
    fn release<T>(&self, slot: &RunnerSlot, outcome: Option<&Result<T, RequestError>>) {
        let now = self.placer.options.clock.now();
        let execution = outcome.map(|outcome| Execution::of(outcome, slot, now));
        self.placer.release(&self.queued, slot, execution);
    }

    fn orphan_with_slot(
        &mut self,
        slot: &RunnerSlot,
        acknowledged: bool,
        error: RequestError,
    ) -> RunEnd {
        let occupied_slot = OccupiedSlot::Reserved(Box::new((self.queued.clone(), slot.clone())));
        self.orphan(slot, occupied_slot, acknowledged, None);
        RunEnd::Orphaned(Err(error))
    }

    fn orphan(
        &mut self,
        slot: &RunnerSlot,
        occupied_slot: OccupiedSlot,
        acknowledged: bool,
        unconfirmed_outcome: Option<(Outcome, bool)>,
    ) {
        self.finished = true;
        let clock = &self.placer.options.clock;
        let remaining = self.queued.deadline.saturating_duration_since(clock.now());
        self.placer.track_orphan(OrphanedTask {
            key: self.queued.key.clone(),
            task: slot.task.clone(),
            worker: slot.worker.clone(),
            incarnation: slot.incarnation,
            epoch: slot.epoch,
            generation: slot.generation,
            deadline_unix_ms: clock.unix_ms() + remaining.as_millis() as u64,
            idempotent: self.idempotent,
            acknowledged,
            corrupted_answers: AtomicU32::new(0),
            in_flight: Arc::clone(&self.in_flight),
            occupied_slot,
            unconfirmed_outcome,
        });
    }

    fn finish(&mut self, end: RequestEnd) {
        self.finished = true;
        self.placer
            .end_in_flight(&self.queued.key, &self.in_flight, end);
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        if !self.placer.leave_queue(&self.queued.key, &self.in_flight)
            && let Ok(Ok(slot)) = self.assigned.try_recv()
        {
            self.release(&slot, None::<&Result<(), _>>);
        }
        let error = if self.intent_sent {
            RequestError::may_have_run(ErrorCode::Internal, "its attempt was abandoned")
        } else {
            RequestError::did_not_run(ErrorCode::Cancelled, "its caller left the queue")
        };
        self.finish(RequestEnd::Outcome(Err(error)));
    }
}

impl SentTask {
    fn of(slot: &RunnerSlot) -> Self {
        Self {
            task: slot.task.clone(),
            epoch: slot.epoch,
            link: Arc::clone(&slot.link),
        }
    }
}

fn log_outcome(queued: &QueuedRequest, slot: &RunnerSlot, outcome: &Outcome) {
    let verdict = outcome
        .as_ref()
        .map_or_else(|error| error.verdict, |_| Verdict::Ran);
    log::debug!(
        key = queued.key.as_str(), member = queued.member.as_str(),
        runner = slot.worker.as_str(), task = slot.task.as_str(),
        verdict = verdict.to_string().as_str();
        "request completed"
    );
}

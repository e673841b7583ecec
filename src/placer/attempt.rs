//! A request from its admission to its outcome, on the thread of its first caller.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use crossbeam::channel::{Receiver, bounded};

use super::dispatch::{self, End};
use super::flight::{Flight, FlightEnd, SentTask};
use super::follow::{Followed, Held};
use super::journal::JournalError;
use super::records::{Intent, PlacementRecord};
use super::runners::RunnerSlot;
use super::runners::health::Execution;
use super::{Outcome, Placer, not_placer};
use crate::ids::TaskId;
use crate::protocol::caller::{Answer, Submission};
use crate::scheduling::request_queue::QueuedRequest;
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// Backoff before the first retry; doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);
/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// An ended attempt that the next one replaces.
#[derive(Clone)]
pub(super) struct Former {
    pub task: TaskId,
    /// What the caller is told when no other attempt begins.
    pub error: RequestError,
    /// Slot that it had, while its record has no outcome yet.
    pub open: Option<RunnerSlot>,
}

/// How the owner leaves its flight.
enum Landing {
    /// The flight has ended.
    End(FlightEnd),
    /// The task is followed until its outcome is committed; meanwhile the first caller is told
    /// this.
    Followed(Outcome),
}

/// An admitted request. Its owner must run it; dropping it before cancels the wait.
pub(super) struct Ticket {
    pub placer: Arc<Placer>,
    pub flight: Arc<Flight>,
    pub queued: QueuedRequest,
    pub assigned: Receiver<Result<RunnerSlot, RequestError>>,
    pub former: Option<Former>,
    /// Whether the request may be repeated.
    pub idempotent: bool,
    /// Set when the flight has ended or has another owner.
    pub landed: bool,
    /// Set once an intent may have been committed.
    pub begun: bool,
}

impl Ticket {
    /// Runs the request until its outcome or deadline. `None` means that the key must be looked up
    /// again.
    pub fn run(mut self, submission: &Submission) -> Option<Outcome> {
        match self.attempts(submission) {
            Landing::Followed(outcome) => Some(outcome),
            Landing::End(end) => {
                self.land(end.clone());
                match end {
                    FlightEnd::Outcome(outcome) => Some(outcome),
                    FlightEnd::LookAgain => None,
                }
            }
        }
    }

    fn attempts(&mut self, submission: &Submission) -> Landing {
        let mut retries = 0;
        loop {
            let slot = match self.wait_for_slot() {
                Ok(slot) => slot,
                Err(error) => return self.refused(error),
            };
            if let Err(landing) = self.begin(submission, &slot) {
                return landing;
            }
            let end = if self.flight.begin_sending(SentTask::of(&slot)) {
                dispatch::drive(&self.placer, submission, &self.flight, &slot)
            } else {
                End::never_started("cancelled before it was sent")
            };
            match end {
                End::Known {
                    outcome,
                    over,
                    may_forget,
                } => {
                    return self.complete(slot, outcome, over, may_forget);
                }
                End::StillOpen { acknowledged } => {
                    let message = "the deadline passed while the request may be running";
                    let error = RequestError::may_have_run(ErrorCode::DeadlineExceeded, message);
                    return self.follow_held(&slot, acknowledged, error);
                }
                End::Again { error, started } => {
                    self.release(&slot, Some(&Err::<(), _>(error.clone())));
                    let mut error = self.cancelled_error(error);
                    if self.earlier_may_have_run() {
                        error.verdict = Verdict::MayHaveRun;
                    }
                    if !self.may_retry(submission, &slot, started, retries) {
                        return self.commit(&slot, Err(error), true, false);
                    }
                    retries += 1;
                    log::info!(
                        key = submission.key.as_str(), member = submission.member.as_str(),
                        runner = slot.worker.as_str(), task = slot.task.as_str();
                        "another attempt follows: {error}"
                    );
                    self.former = Some(Former {
                        task: slot.task.clone(),
                        error,
                        open: Some(slot),
                    });
                    if let Err(error) = self.requeue() {
                        return self.refused(error);
                    }
                }
            }
        }
    }

    /// Commits the intent.
    fn begin(&mut self, submission: &Submission, slot: &RunnerSlot) -> Result<(), Landing> {
        let intent = self.intent(submission, slot);
        self.begun = true;
        match (self.placer.options.journal.append)(PlacementRecord::Intent(intent)) {
            Ok(()) if self.placer.is_latest_attempt(&self.queued.key, slot) => {
                if self.former.is_none() {
                    self.placer.deposit(&self.queued.member, &slot.worker);
                }
                Ok(())
            }
            // The record of another attempt was committed first.
            Ok(()) => {
                self.release(slot, None::<&Result<(), _>>);
                Err(Landing::End(FlightEnd::LookAgain))
            }
            Err(error @ JournalError::NotLeader(_)) => {
                self.release(slot, None::<&Result<(), _>>);
                log::debug!("intent of {} refused: {error}", self.queued.key);
                Err(self.refused(not_placer()))
            }
            // The intent may be committed later, so its slot stays held until that is known.
            Err(error @ JournalError::Unconfirmed(_)) => {
                log::warn!("intent of {} not confirmed: {error}", self.queued.key);
                Err(self.follow_held(slot, false, error.may_have_run()))
            }
        }
    }

    fn intent(&self, submission: &Submission, slot: &RunnerSlot) -> Intent {
        let clock = &self.placer.options.clock;
        let remaining = submission.deadline.saturating_duration_since(clock.now());
        let now_unix_ms = clock.unix_ms();
        Intent {
            key: submission.key.clone(),
            digest: self.flight.digest.clone(),
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

    /// Whether an ended attempt of this owner may have run.
    fn earlier_may_have_run(&self) -> bool {
        let former = self.former.as_ref();
        former.is_some_and(|former| former.error.verdict == Verdict::MayHaveRun)
    }

    fn wait_for_slot(&mut self) -> Result<RunnerSlot, RequestError> {
        if let Ok(assigned) = self.assigned.recv_deadline(self.queued.deadline) {
            return assigned;
        }
        if self.placer.leave_queue(&self.queued.key, &self.flight) {
            let message = "the deadline passed before a slot was free";
            return Err(RequestError::did_not_run(
                ErrorCode::DeadlineExceeded,
                message,
            ));
        }
        // The slot was assigned between the timeout and the lock.
        self.assigned.recv().unwrap_or_else(|_| Err(not_placer()))
    }

    /// End of a request that got no slot. An earlier attempt decides the verdict.
    fn refused(&mut self, error: RequestError) -> Landing {
        let Some(former) = self.former.take() else {
            return Landing::End(FlightEnd::Outcome(Err(error)));
        };
        let error = if former.error.verdict == Verdict::MayHaveRun {
            former.error
        } else {
            error
        };
        match former.open {
            Some(slot) => self.commit(&slot, Err(error), true, false),
            None => Landing::End(FlightEnd::Outcome(Err(error))),
        }
    }

    /// A stopped or refused task of a cancelled request is reported as cancelled.
    fn cancelled_error(&self, error: RequestError) -> RequestError {
        if !self.flight.is_cancelled() {
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

    /// Decides on another attempt, and sleeps the backoff when there will be one.
    fn may_retry(
        &self,
        submission: &Submission,
        slot: &RunnerSlot,
        started: bool,
        retries: u32,
    ) -> bool {
        if (started && !submission.idempotent) || self.flight.is_cancelled() {
            return false;
        }
        let ceiling = FIRST_BACKOFF
            .saturating_mul(1 << retries.min(10))
            .min(MAX_BACKOFF);
        let backoff = ceiling.mul_f64(rand::random_range(0.5..1.0));
        if self.placer.options.clock.now() + backoff >= submission.deadline
            || !self.placer.withdraw(&submission.member, &slot.worker)
        {
            return false;
        }
        std::thread::sleep(backoff);
        !self.flight.is_cancelled()
    }

    fn requeue(&mut self) -> Result<(), RequestError> {
        let (sender, receiver) = bounded(1);
        self.assigned = receiver;
        self.placer.requeue(&self.queued, &self.flight, sender)
    }

    /// Commits the outcome; the slot is free already, since the runner has ended the task.
    fn complete(
        &mut self,
        slot: RunnerSlot,
        outcome: Result<Vec<u8>, RequestError>,
        over: bool,
        may_forget: bool,
    ) -> Landing {
        self.release(&slot, Some(&outcome));
        let wait = slot
            .reserved_at
            .saturating_duration_since(self.queued.admitted_at);
        let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        let outcome = outcome
            .map(|body| Answer { body, wait_us })
            .map_err(|error| self.cancelled_error_unless_ran(error));
        self.commit(&slot, outcome, over, may_forget)
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
        may_forget: bool,
    ) -> Landing {
        let key = &self.queued.key;
        let committed = self
            .placer
            .commit_completion(key, &slot.task, &outcome, over);
        let error = match committed {
            Ok(recorded) => {
                if may_forget {
                    self.placer.forget_later(&slot.worker, &slot.task);
                }
                log_outcome(&self.queued, slot, &recorded);
                return Landing::End(FlightEnd::Outcome(recorded));
            }
            Err(error) => error,
        };
        log::warn!("completion of {key} not confirmed: {error}");
        // What the runner reported is true whether the record of it is committed or not. That
        // nothing ran is only true once no other placer can start another attempt.
        let told = match &outcome {
            Err(known) if known.verdict != Verdict::Ran => Err(error.may_have_run()),
            _ => outcome.clone(),
        };
        self.hand_over(slot, Held::Nothing, false, Some((outcome, over)));
        Landing::Followed(told)
    }

    /// Frees the slot; `outcome` is what the runner made of the task, if it got one.
    fn release<T>(&self, slot: &RunnerSlot, outcome: Option<&Result<T, RequestError>>) {
        let now = self.placer.options.clock.now();
        let execution = outcome.map(|outcome| Execution::of(outcome, slot, now));
        self.placer.release(&self.queued, slot, execution);
    }

    fn follow_held(
        &mut self,
        slot: &RunnerSlot,
        acknowledged: bool,
        error: RequestError,
    ) -> Landing {
        let held = Held::Slot(Box::new((self.queued.clone(), slot.clone())));
        self.hand_over(slot, held, acknowledged, None);
        Landing::Followed(Err(error))
    }

    fn hand_over(
        &mut self,
        slot: &RunnerSlot,
        held: Held,
        acknowledged: bool,
        known: Option<(Outcome, bool)>,
    ) {
        self.landed = true;
        let clock = &self.placer.options.clock;
        let remaining = self.queued.deadline.saturating_duration_since(clock.now());
        self.placer.follow(Followed {
            key: self.queued.key.clone(),
            task: slot.task.clone(),
            worker: slot.worker.clone(),
            incarnation: slot.incarnation,
            epoch: slot.epoch,
            generation: slot.generation,
            deadline_unix_ms: clock.unix_ms() + remaining.as_millis() as u64,
            idempotent: self.idempotent,
            acknowledged,
            damaged_answers: AtomicU32::new(0),
            flight: Arc::clone(&self.flight),
            held,
            known,
        });
    }

    fn land(&mut self, end: FlightEnd) {
        self.landed = true;
        self.placer.land(&self.queued.key, &self.flight, end);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.landed {
            return;
        }
        if !self.placer.leave_queue(&self.queued.key, &self.flight)
            && let Ok(Ok(slot)) = self.assigned.try_recv()
        {
            self.release(&slot, None::<&Result<(), _>>);
        }
        let error = if self.begun {
            RequestError::may_have_run(ErrorCode::Internal, "its attempt was abandoned")
        } else {
            RequestError::did_not_run(ErrorCode::Cancelled, "its caller left the queue")
        };
        self.land(FlightEnd::Outcome(Err(error)));
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

//! Admission of requests: known keys, duplicates, and the way into the queue.

use std::sync::{Arc, MutexGuard};

use crossbeam::channel::{Sender, bounded};

use super::attempt::{Former, Ticket};
use super::flight::{Flight, FlightEnd};
use super::key;
use super::records::{KeyRecord, RequestDigest};
use super::runners::RunnerSlot;
use super::{Outcome, Placer, PlacerState, not_placer};
use crate::ids::Epoch;
use crate::protocol::caller::Submission;
use crate::scheduling::request_queue::QueuedRequest;
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// A submission after its first look at the records.
enum Start {
    Finished(Outcome),
    Attached(Arc<Flight>),
    Admitted(Box<Ticket>),
}

/// A request that was submitted and not waited for yet.
pub struct Pending<'a> {
    placer: &'a Arc<Placer>,
    submission: &'a Submission,
    start: Start,
}

impl Pending<'_> {
    /// Waits for the outcome, at most until the deadline of the submission.
    ///
    /// # Errors
    ///
    /// [`RequestError`] with the verdict.
    pub fn wait(self) -> Outcome {
        let Self {
            placer,
            submission,
            mut start,
        } = self;
        loop {
            let end = match start {
                Start::Finished(outcome) => return outcome,
                Start::Admitted(ticket) => ticket.run(submission),
                Start::Attached(flight) => {
                    match flight.wait(submission.deadline, &placer.options.clock) {
                        Some(FlightEnd::Outcome(outcome)) => Some(outcome),
                        Some(FlightEnd::LookAgain) => None,
                        None => {
                            let message = "the deadline passed while an earlier attempt was open";
                            let code = ErrorCode::DeadlineExceeded;
                            return Err(RequestError::may_have_run(code, message));
                        }
                    }
                }
            };
            if let Some(outcome) = end {
                return outcome;
            }
            // The key has a record of an attempt that this submission waited for, so a host that
            // is no longer the placer cannot tell that nothing ran.
            start = placer.begin(submission).map_err(|error| RequestError {
                verdict: Verdict::MayHaveRun,
                ..error
            })?;
        }
    }
}

impl Placer {
    /// Runs a request, or attaches to an earlier attempt with the same key. Blocks.
    ///
    /// # Errors
    ///
    /// [`RequestError`] with the verdict.
    pub fn submit(self: &Arc<Self>, submission: &Submission) -> Outcome {
        self.start(submission)?.wait()
    }

    /// Admits a request, or attaches to an earlier attempt with the same key. The request proceeds
    /// while the result is waited for; dropping the result cancels a request that was admitted.
    ///
    /// # Errors
    ///
    /// [`RequestError`] when it was refused.
    pub fn start<'a>(
        self: &'a Arc<Self>,
        submission: &'a Submission,
    ) -> Result<Pending<'a>, RequestError> {
        Ok(Pending {
            placer: self,
            submission,
            start: self.begin(submission)?,
        })
    }

    fn begin(self: &Arc<Self>, submission: &Submission) -> Result<Start, RequestError> {
        let digest = RequestDigest::of(submission);
        let epoch = self.lead()?;
        let mut state = self.state.lock().unwrap();
        if state.epoch != Some(epoch) {
            return Err(not_placer());
        }
        if let Some(flight) = state.flights.get(&submission.key) {
            check_conflict(&flight.digest, &digest)?;
            return Ok(Start::Attached(Arc::clone(flight)));
        }
        let former = match self.record_or_window(&submission.key) {
            Ok(record) => {
                check_conflict(&record.digest, &digest)?;
                match former_attempt(&record) {
                    Some(former) if submission.deadline > self.options.clock.now() => Some(former),
                    _ => {
                        let Some(outcome) = record.outcome.clone() else {
                            return Ok(self.attach_to_open(state, epoch, submission, record));
                        };
                        return Ok(Start::Finished(outcome));
                    }
                }
            }
            Err(window) => {
                key::check_age(submission, &self.options, window)?;
                None
            }
        };
        self.admit(&mut state, submission, digest, former)
            .map(|ticket| Start::Admitted(Box::new(ticket)))
    }

    /// The record of a key, or what its age is measured against.
    pub(super) fn record_or_window(&self, key: &str) -> Result<KeyRecord, key::KeyWindow> {
        let placement = self.options.journal.state.lock().unwrap();
        placement.keys.get(key).cloned().ok_or_else(|| {
            let recorded_seconds = placement.now_unix_ms / 1000;
            key::KeyWindow {
                now_seconds: self.options.clock.unix_seconds().max(recorded_seconds),
                floor_seconds: placement.key_floor_unix_seconds,
            }
        })
    }

    /// Follows an attempt whose completion was not confirmed.
    fn attach_to_open(
        self: &Arc<Self>,
        mut state: MutexGuard<'_, PlacerState>,
        epoch: Epoch,
        submission: &Submission,
        record: KeyRecord,
    ) -> Start {
        let (flight, followed) = self.adopt_one(&mut state, epoch, submission.key.clone(), record);
        drop(state);
        self.follow(followed);
        Start::Attached(flight)
    }

    fn admit(
        self: &Arc<Self>,
        state: &mut PlacerState,
        submission: &Submission,
        digest: RequestDigest,
        former: Option<Former>,
    ) -> Result<Ticket, RequestError> {
        let now = self.options.clock.now();
        let queued = QueuedRequest {
            key: submission.key.clone(),
            member: submission.member.clone(),
            caller: submission.caller.clone(),
            service: submission.service.clone(),
            urgency: submission.urgency,
            deadline: submission.deadline,
            admitted_at: now,
        };
        if let Err(error) = state.queue.admit(queued.clone(), now) {
            return Err(match former {
                Some(former) if former.error.verdict == Verdict::MayHaveRun => former.error,
                _ => error,
            });
        }
        let flight = Flight::new(digest);
        let (sender, assigned) = bounded(1);
        state
            .flights
            .insert(queued.key.clone(), Arc::clone(&flight));
        state.waiting.insert(queued.key.clone(), sender);
        self.assign_slots(state, &queued.service);
        Ok(Ticket {
            placer: Arc::clone(self),
            flight,
            queued,
            assigned,
            former,
            idempotent: submission.idempotent,
            landed: false,
            begun: false,
        })
    }

    /// Queues an admitted request for another attempt.
    pub(super) fn requeue(
        &self,
        queued: &QueuedRequest,
        flight: &Arc<Flight>,
        sender: Sender<Result<RunnerSlot, RequestError>>,
    ) -> Result<(), RequestError> {
        let mut state = self.state.lock().unwrap();
        if !state.owns(&queued.key, flight) {
            return Err(not_placer());
        }
        state
            .queue
            .admit(queued.clone(), self.options.clock.now())?;
        state.waiting.insert(queued.key.clone(), sender);
        self.assign_slots(&mut state, &queued.service);
        Ok(())
    }

    /// Takes a request out of the queue; returns whether it was waiting.
    pub(super) fn leave_queue(&self, key: &str, flight: &Arc<Flight>) -> bool {
        let mut state = self.state.lock().unwrap();
        if !state.owns(key, flight) || !state.queue.cancel(key) {
            return false;
        }
        state.waiting.swap_remove(key);
        true
    }
}

/// The ended attempt that a further submission of the key may replace.
fn former_attempt(record: &KeyRecord) -> Option<Former> {
    if !record.permits_another_attempt() {
        return None;
    }
    let Some(Err(error)) = record.outcome.clone() else {
        return None;
    };
    Some(Former {
        task: record.task.clone(),
        error,
        open: None,
    })
}

fn check_conflict(present: &RequestDigest, digest: &RequestDigest) -> Result<(), RequestError> {
    if present == digest {
        return Ok(());
    }
    let message = "the key was used before with another request";
    Err(RequestError::did_not_run(ErrorCode::KeyConflict, message))
}

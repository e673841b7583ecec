//! Admits requests: looks up their key, attaches duplicates to the first submission, and queues new
//! requests.

use std::sync::{Arc, MutexGuard};

use crossbeam::channel::{Sender, bounded};

use super::attempt::{AdmittedRequest, FormerAttempt};
use super::flight::{InFlightRequest, RequestEnd};
use super::key;
use super::records::{KeyRecord, RequestDigest};
use super::runners::RunnerSlot;
use super::{Outcome, Placer, PlacerState, not_placer};
use crate::ids::Epoch;
use crate::protocol::caller::Submission;
use crate::scheduling::request_queue::QueuedRequest;
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// Result of looking up the key of a submission.
enum Admission {
    /// The key has a recorded outcome.
    Finished(Outcome),
    /// The same request is in flight.
    Attached(Arc<InFlightRequest>),
    /// The request was queued and is owned by this submission.
    Admitted(Box<AdmittedRequest>),
}

/// A submitted request whose outcome has not been awaited yet.
pub struct Pending<'a> {
    placer: &'a Arc<Placer>,
    submission: &'a Submission,
    admission: Admission,
}

impl Pending<'_> {
    /// Waits for the outcome until the deadline of the submission.
    ///
    /// # Errors
    ///
    /// [`RequestError`] with the verdict.
    pub fn wait(self) -> Outcome {
        let Self {
            placer,
            submission,
            mut admission,
        } = self;
        loop {
            let end = match admission {
                Admission::Finished(outcome) => return outcome,
                Admission::Admitted(admitted) => admitted.run(submission),
                Admission::Attached(in_flight) => {
                    match in_flight.wait(submission.deadline, &placer.options.clock) {
                        Some(RequestEnd::Outcome(outcome)) => Some(outcome),
                        Some(RequestEnd::RetryLookup) => None,
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
            // This submission waited for an attempt that has a record, so a host that is no longer
            // the placer cannot claim that nothing ran.
            admission = placer
                .admit_or_attach(submission)
                .map_err(|error| RequestError {
                    verdict: Verdict::MayHaveRun,
                    ..error
                })?;
        }
    }
}

impl Placer {
    /// Runs a request, or attaches to an earlier submission of the same key. Blocks until the
    /// outcome or the deadline.
    ///
    /// # Errors
    ///
    /// [`RequestError`] with the verdict.
    pub fn submit(self: &Arc<Self>, submission: &Submission) -> Outcome {
        self.start(submission)?.wait()
    }

    /// Admits a request, or attaches to an earlier submission of the same key. An admitted request
    /// is run by [`Pending::wait`]; dropping the [`Pending`] cancels it.
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
            admission: self.admit_or_attach(submission)?,
        })
    }

    fn admit_or_attach(
        self: &Arc<Self>,
        submission: &Submission,
    ) -> Result<Admission, RequestError> {
        let digest = RequestDigest::of(submission);
        let epoch = self.ensure_leading()?;
        let mut state = self.state.lock().unwrap();
        if state.epoch != Some(epoch) {
            return Err(not_placer());
        }
        if let Some(in_flight) = state.in_flight_requests.get(&submission.key) {
            check_conflict(&in_flight.digest, &digest)?;
            return Ok(Admission::Attached(Arc::clone(in_flight)));
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
                        return Ok(Admission::Finished(outcome));
                    }
                }
            }
            Err(window) => {
                key::check_age(submission, &self.options, window)?;
                None
            }
        };
        self.admit(&mut state, submission, digest, former)
            .map(|admitted| Admission::Admitted(Box::new(admitted)))
    }

    /// Returns the record of a key, or the window of valid issue times when it has none.
    pub(super) fn record_or_window(&self, key: &str) -> Result<KeyRecord, key::KeyWindow> {
        let placement = self.options.journal.state.lock().unwrap();
        placement.keys.get(key).cloned().ok_or_else(|| {
            let recorded_seconds = placement.now_unix_ms / 1000;
            key::KeyWindow {
                now_seconds: self.options.clock.unix_seconds().max(recorded_seconds),
                floor_seconds: placement
                    .key_floor_unix_seconds
                    .max(self.options.journal.records_since_unix_seconds),
            }
        })
    }

    /// Attaches to an attempt without an outcome whose task has no owner, and polls its runner.
    fn attach_to_open(
        self: &Arc<Self>,
        mut state: MutexGuard<'_, PlacerState>,
        epoch: Epoch,
        submission: &Submission,
        record: KeyRecord,
    ) -> Admission {
        let (in_flight, followed) =
            self.adopt_open_record(&mut state, epoch, submission.key.clone(), record);
        drop(state);
        self.track_orphan(followed);
        Admission::Attached(in_flight)
    }

    fn admit(
        self: &Arc<Self>,
        state: &mut PlacerState,
        submission: &Submission,
        digest: RequestDigest,
        former: Option<FormerAttempt>,
    ) -> Result<AdmittedRequest, RequestError> {
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
        let in_flight = InFlightRequest::new(digest);
        let (sender, assigned) = bounded(1);
        state
            .in_flight_requests
            .insert(queued.key.clone(), Arc::clone(&in_flight));
        state.waiting.insert(queued.key.clone(), sender);
        self.assign_slots(state, &queued.service);
        Ok(AdmittedRequest {
            placer: Arc::clone(self),
            in_flight,
            queued,
            assigned,
            former,
            idempotent: submission.idempotent,
            finished: false,
            intent_sent: false,
        })
    }

    /// Queues an admitted request for another attempt.
    pub(super) fn requeue(
        &self,
        queued: &QueuedRequest,
        in_flight: &Arc<InFlightRequest>,
        sender: Sender<Result<RunnerSlot, RequestError>>,
    ) -> Result<(), RequestError> {
        let mut state = self.state.lock().unwrap();
        if !state.owns(&queued.key, in_flight) {
            return Err(not_placer());
        }
        state
            .queue
            .admit(queued.clone(), self.options.clock.now())?;
        state.waiting.insert(queued.key.clone(), sender);
        self.assign_slots(&mut state, &queued.service);
        Ok(())
    }

    /// Removes a request from the queue and returns whether it was waiting.
    pub(super) fn leave_queue(&self, key: &str, in_flight: &Arc<InFlightRequest>) -> bool {
        let mut state = self.state.lock().unwrap();
        if !state.owns(key, in_flight) || !state.queue.cancel(key) {
            return false;
        }
        state.waiting.swap_remove(key);
        true
    }
}

/// Returns the ended attempt of the key, if a further submission may replace it.
fn former_attempt(record: &KeyRecord) -> Option<FormerAttempt> {
    if !record.permits_another_attempt() {
        return None;
    }
    let Some(Err(error)) = record.outcome.clone() else {
        return None;
    };
    Some(FormerAttempt {
        task: record.task.clone(),
        error,
        uncommitted_slot: None,
    })
}

fn check_conflict(present: &RequestDigest, digest: &RequestDigest) -> Result<(), RequestError> {
    if present == digest {
        return Ok(());
    }
    let message = "the key was used before with another request";
    Err(RequestError::did_not_run(ErrorCode::KeyConflict, message))
}

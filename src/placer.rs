//! Decides for one data centre which request runs where, and guards at-most-once execution.

pub mod dispatch;
pub mod journal;
pub mod key;
pub mod records;
pub mod runners;

use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, bounded};
use indexmap::IndexMap;

use crate::clock::Clock;
use crate::http::Client;
use crate::ids::{DataCentreName, RequestKey};
use crate::options::settings::{LimitSettings, TimingSettings};
use crate::protocol::caller::{Answer, Submission};
use crate::protocol::worker::{Announcement, AnnouncementReply};
use crate::scheduling::request_queue::policy::{RequestPolicy, RequestPolicyName, same_policy};
use crate::scheduling::request_queue::{QueuedRequest, RequestQueue};
use crate::verdict::{ErrorCode, RequestError};
use journal::Journal;
use records::{KeyRecord, PlacementRecord, PlacementState, RequestDigest};
use runners::health::Execution;
use runners::{RunnerSlot, RunnerTable};

/// Outcome of a request.
pub type Outcome = Result<Answer, RequestError>;

/// Everything that a placer is made of.
pub struct PlacerOptions {
    /// Data centre for which it decides.
    pub data_centre: DataCentreName,
    /// Bounds.
    pub limits: LimitSettings,
    /// Leases and timeouts.
    pub timing: TimingSettings,
    /// Order of waiting requests.
    pub request_policy: RequestPolicyName,
    /// Time source.
    pub clock: Clock,
    /// Replicated records.
    pub journal: Journal,
    /// Client for calls to runners.
    pub client: Client,
}

/// The placer of one data centre.
pub struct Placer {
    options: PlacerOptions,
    state: Mutex<PlacerState>,
    /// Signalled when a record of `options.journal` was completed.
    completed: Condvar,
}

struct PlacerState {
    queue: RequestQueue,
    runners: RunnerTable,
    /// Threads of admitted requests that wait for a slot.
    waiting: IndexMap<RequestKey, Sender<Result<RunnerSlot, RequestError>>>,
}

impl Placer {
    /// A placer without runners.
    pub fn new(options: PlacerOptions) -> Arc<Self> {
        let state = PlacerState {
            queue: RequestQueue::with_policy(
                options.limits.max_queued_requests,
                options.request_policy,
                same_policy(RequestPolicy::default()),
            ),
            runners: RunnerTable::default(),
            waiting: IndexMap::new(),
        };
        Arc::new(Self {
            options,
            state: Mutex::new(state),
            completed: Condvar::new(),
        })
    }

    /// Data centre for which it decides.
    pub fn data_centre(&self) -> &str {
        &self.options.data_centre
    }

    /// Whether this host is the placer of its data centre now.
    pub fn is_leading(&self) -> bool {
        (self.options.journal.epoch)().is_some()
    }

    /// Runs a request, or attaches to an earlier attempt with the same key. Blocks.
    ///
    /// # Errors
    ///
    /// [`RequestError`] with the verdict.
    pub fn submit(&self, submission: &Submission) -> Outcome {
        let digest = RequestDigest::of(submission);
        if let Some(record) = self.record(&submission.key) {
            return self.join(submission, &digest, &record);
        }
        key::check_age(submission, &self.options)?;
        let queued = QueuedRequest {
            key: submission.key.clone(),
            member: submission.member.clone(),
            caller: submission.caller.clone(),
            service: submission.service.clone(),
            urgency: submission.urgency,
            deadline: submission.deadline,
            admitted_at: self.options.clock.now(),
        };
        let slot = match self.wait_for_slot(&queued)? {
            Admission::Slot(slot) => slot,
            Admission::Duplicate => return self.wait_for_completion(submission),
        };
        let outcome = self.run(submission, digest, &queued, &slot);
        self.release(&queued, &slot, &outcome);
        outcome
    }

    /// Outcome of a request that was submitted before.
    ///
    /// # Errors
    ///
    /// `NotFound` when no record exists, otherwise the error of the request.
    pub fn query(&self, key: &str) -> Outcome {
        match self.record(key) {
            Some(KeyRecord {
                outcome: Some(outcome),
                ..
            }) => outcome,
            Some(_) => Err(RequestError::may_have_run(
                ErrorCode::Unavailable,
                "still running",
            )),
            None if self.state.lock().unwrap().waiting.contains_key(key) => Err(
                RequestError::did_not_run(ErrorCode::Unavailable, "still waiting"),
            ),
            None => Err(RequestError::did_not_run(
                ErrorCode::NotFound,
                "no record of this key",
            )),
        }
    }

    /// Cancels a waiting request; returns whether it is certain not to run.
    pub fn cancel(&self, key: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if !state.queue.cancel(key) {
            return false;
        }
        if let Some(sender) = state.waiting.swap_remove(key) {
            let error = RequestError::did_not_run(ErrorCode::Cancelled, "cancelled while waiting");
            let _ = sender.send(Err(error));
        }
        true
    }

    /// Takes note of a worker and renews the leases of its tasks.
    ///
    /// # Errors
    ///
    /// `Unavailable` when this host is not the placer.
    pub fn announce(&self, announcement: Announcement) -> Result<AnnouncementReply, RequestError> {
        let epoch = self.epoch()?;
        let timing = &self.options.timing;
        let now = self.options.clock.now();
        let lease_ends_at = now + Duration::from_millis(timing.lease_ms);
        let mut state = self.state.lock().unwrap();
        state.runners.announce(announcement, lease_ends_at);
        self.assign_slots(&mut state);
        Ok(AnnouncementReply {
            epoch,
            lease_ms: timing.lease_ms,
            next_announcement_ms: timing.announcement_interval_ms,
            stop: Vec::new(),
        })
    }

    fn epoch(&self) -> Result<u64, RequestError> {
        (self.options.journal.epoch)().ok_or_else(|| {
            RequestError::did_not_run(ErrorCode::Unavailable, "this host is not the placer")
        })
    }

    fn record(&self, key: &str) -> Option<KeyRecord> {
        self.options
            .journal
            .state
            .lock()
            .unwrap()
            .keys
            .get(key)
            .cloned()
    }

    /// Waits for the outcome of an earlier attempt with the same key.
    fn join(&self, submission: &Submission, digest: &RequestDigest, record: &KeyRecord) -> Outcome {
        if record.digest != *digest {
            let message = "the key was used before with another request";
            return Err(RequestError::did_not_run(ErrorCode::KeyConflict, message));
        }
        self.wait_for_completion(submission)
    }

    fn wait_for_completion(&self, submission: &Submission) -> Outcome {
        let mut placement: std::sync::MutexGuard<'_, PlacementState> =
            self.options.journal.state.lock().unwrap();
        loop {
            let record = placement.keys.get(&submission.key);
            if let Some(KeyRecord {
                outcome: Some(outcome),
                ..
            }) = record
            {
                return outcome.clone();
            }
            let remaining = submission
                .deadline
                .saturating_duration_since(self.options.clock.now());
            if remaining.is_zero() {
                let message = "the deadline passed while an earlier attempt was running";
                return Err(RequestError::may_have_run(
                    ErrorCode::DeadlineExceeded,
                    message,
                ));
            }
            placement = self.completed.wait_timeout(placement, remaining).unwrap().0;
        }
    }

    fn wait_for_slot(&self, queued: &QueuedRequest) -> Result<Admission, RequestError> {
        let (sender, receiver) = bounded(1);
        {
            let mut state = self.state.lock().unwrap();
            if state.waiting.contains_key(&queued.key) {
                return Ok(Admission::Duplicate);
            }
            let now = self.options.clock.now();
            state.queue.admit(queued.clone(), now)?;
            state.waiting.insert(queued.key.clone(), sender);
            self.assign_slots(&mut state);
        }
        if let Ok(assigned) = receiver.recv_deadline(queued.deadline) {
            return assigned.map(Admission::Slot);
        }
        let mut state = self.state.lock().unwrap();
        if state.queue.cancel(&queued.key) {
            state.waiting.swap_remove(&queued.key);
            let message = "the deadline passed before a slot was free";
            return Err(RequestError::did_not_run(
                ErrorCode::DeadlineExceeded,
                message,
            ));
        }
        drop(state);
        // The slot was assigned between the timeout and the lock.
        receiver
            .recv()
            .unwrap_or_else(|_| Err(lost_assignment()))
            .map(Admission::Slot)
    }

    /// Hands free slots to waiting requests.
    fn assign_slots(&self, state: &mut PlacerState) {
        let now = self.options.clock.now();
        let dropped = state.queue.take_dropped();
        refuse_waiting(state, dropped, now);
        for service in state.runners.services() {
            let slots = state.runners.slots(&service, now);
            state.queue.set_slots(&service, slots);
            while let Some(slot) = state.runners.reserve(&service, now) {
                let selection = state.queue.next(&service, now);
                refuse_waiting(state, selection.refused, now);
                let sender = selection
                    .chosen
                    .and_then(|chosen| state.waiting.swap_remove(&chosen.key));
                let Some(sender) = sender else {
                    state.runners.release(&slot);
                    break;
                };
                let _ = sender.send(Ok(slot));
            }
        }
    }

    /// Commits the intent, dispatches, and commits the completion.
    fn run(
        &self,
        submission: &Submission,
        digest: RequestDigest,
        queued: &QueuedRequest,
        slot: &RunnerSlot,
    ) -> Outcome {
        let epoch = self.epoch()?;
        let intent = PlacementRecord::intent(submission, digest, slot, epoch);
        (self.options.journal.append)(intent).map_err(|error| error.before_dispatch())?;
        let wait = self
            .options
            .clock
            .now()
            .saturating_duration_since(queued.admitted_at);
        let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        let outcome = dispatch::run_task(&self.options, submission, slot, epoch)
            .map(|body| Answer { body, wait_us });
        let completion = PlacementRecord::Completion {
            key: submission.key.clone(),
            outcome: outcome.clone(),
        };
        let committed = (self.options.journal.append)(completion);
        self.completed.notify_all();
        committed.map_err(|error| error.after_dispatch())?;
        outcome
    }

    fn release(&self, queued: &QueuedRequest, slot: &RunnerSlot, outcome: &Outcome) {
        let now = self.options.clock.now();
        let mut state = self.state.lock().unwrap();
        let execution = Execution::of(outcome, slot, now);
        state.runners.record(slot, &queued.member, &execution, now);
        state.runners.release(slot);
        state.queue.finished(queued, slot.reserved_at, now);
        self.assign_slots(&mut state);
    }

    /// Requests that wait for a slot.
    pub fn queued_requests(&self) -> usize {
        self.state.lock().unwrap().queue.len()
    }

    /// Latest announcement of each runner.
    pub fn runner_announcements(&self) -> Vec<Announcement> {
        self.state.lock().unwrap().runners.announcements()
    }

    /// Waits until no request is queued or running, or the deadline passes.
    pub fn wait_until_idle(&self, deadline: Instant) -> bool {
        loop {
            let state = self.state.lock().unwrap();
            if state.queue.is_empty() && state.runners.busy_slots() == 0 {
                return true;
            }
            drop(state);
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Tells the threads of requests that left the queue without a slot.
fn refuse_waiting(state: &mut PlacerState, refused: Vec<(QueuedRequest, ErrorCode)>, now: Instant) {
    for (request, code) in refused {
        let Some(sender) = state.waiting.swap_remove(&request.key) else {
            continue;
        };
        let message = "refused before it got a slot";
        let retry_after_ms = state.queue.retry_after_ms(&request, now);
        let error = RequestError::did_not_run(code, message).retry_after_ms(retry_after_ms);
        let _ = sender.send(Err(error));
    }
}

enum Admission {
    Slot(RunnerSlot),
    Duplicate,
}

fn lost_assignment() -> RequestError {
    RequestError::did_not_run(
        ErrorCode::Internal,
        "the request lost its place in the queue",
    )
}

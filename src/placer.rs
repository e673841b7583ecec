//! Decides for one data centre which request runs where, and guards at-most-once execution.

mod admission;
mod attempt;
mod dispatch;
mod flight;
mod follow;
pub mod job_records;
pub mod jobs;
pub mod journal;
pub mod key;
pub mod links;
pub mod records;
pub mod runners;
mod takeover;
mod task_calls;

use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use crossbeam::channel::Sender;
use indexmap::IndexMap;

use crate::clock::Clock;
use crate::ids::{DataCentreName, Epoch, Incarnation, RequestKey, TaskId, WorkerId};
use crate::options::settings::{LimitSettings, TimingSettings};
use crate::protocol::caller::Answer;
use crate::protocol::worker::{Announcement, AnnouncementReply};
use crate::scheduling::request_queue::policy::{PolicySource, RequestPolicy, RequestPolicyName};
use crate::scheduling::request_queue::{QueuedRequest, RequestQueue};
use crate::scheduling::retry_budget::RetryBudget;
use crate::verdict::{ErrorCode, RequestError, Verdict};
pub use admission::Pending;
use flight::{Flight, FlightEnd, SentTask};
use follow::Followed;
use journal::{Journal, JournalError};
use links::Exchange;
use records::{Cancellation, Completion, PlacementRecord, RequestDigest};
use runners::health::Execution;
use runners::{Fate, RunnerSlot, RunnerTable};

/// Retry-after of requests that reached a host which is not the placer. Errors with this value,
/// code `Unavailable` and verdict `did_not_run` concern the host and not the request.
const NOT_PLACER_RETRY_MS: u64 = 1;
/// Time without new work for a runner that refused a task or took no connection.
const AVOID_FOR: Duration = Duration::from_millis(200);

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
    /// Exchanges with runners; [`links::http_exchange`] outside tests.
    pub exchange: Exchange,
}

/// Tells whether a worker is to get no new work.
pub type IsDrained = Box<dyn Fn(&str) -> bool + Send + Sync>;

/// The placer of one data centre.
pub struct Placer {
    options: PlacerOptions,
    /// Locked before `options.journal.state` where both are needed.
    state: Mutex<PlacerState>,
    /// Held during a takeover.
    takeover: Mutex<()>,
    /// Tells which workers operators have drained; no worker is drained before it is set.
    is_drained: OnceLock<IsDrained>,
    /// Source of policy figures; the queue reads it as well.
    policy: Arc<OnceLock<PolicySource>>,
}

struct PlacerState {
    /// Epoch in which this host is the placer, once it has taken over.
    epoch: Option<Epoch>,
    queue: RequestQueue,
    runners: RunnerTable,
    /// Threads of admitted requests that wait for a slot.
    waiting: IndexMap<RequestKey, Sender<Result<RunnerSlot, RequestError>>>,
    /// Requests between admission and outcome; every open record has one.
    flights: IndexMap<RequestKey, Arc<Flight>>,
    /// Tasks without an owner; a key is present while a thread follows the runner.
    followed: IndexMap<WorkerId, Vec<Followed>>,
    budget: RetryBudget,
    /// Tasks whose records the runners may drop.
    forget: IndexMap<WorkerId, Vec<TaskId>>,
}

impl Placer {
    /// A placer without runners.
    pub fn new(options: PlacerOptions) -> Arc<Self> {
        let policy = Arc::new(OnceLock::new());
        let state = PlacerState {
            epoch: None,
            queue: RequestQueue::with_policy(
                options.limits.max_queued_requests,
                options.request_policy,
                source_of(&policy),
            ),
            runners: RunnerTable::default(),
            waiting: IndexMap::new(),
            flights: IndexMap::new(),
            followed: IndexMap::new(),
            budget: RetryBudget::default(),
            forget: IndexMap::new(),
        };
        let placer = Arc::new(Self {
            options,
            state: Mutex::new(state),
            takeover: Mutex::new(()),
            is_drained: OnceLock::new(),
            policy,
        });
        placer.start_threads();
        placer
    }

    /// Sets the function that tells which workers get no new work. Only the first call has an
    /// effect.
    pub fn observe_drains(&self, is_drained: IsDrained) {
        let _ = self.is_drained.set(is_drained);
    }

    /// Sets the source of policy figures; until then the built-in ones are used. Only the first
    /// call has an effect.
    pub fn observe_policy(&self, source: PolicySource) {
        let _ = self.policy.set(source);
    }

    /// Data centre for which it decides.
    pub fn data_centre(&self) -> &str {
        &self.options.data_centre
    }

    /// Whether this host is the placer of its data centre now.
    pub fn is_leading(&self) -> bool {
        (self.options.journal.epoch)().is_some()
    }

    /// Outcome of a request that was submitted before.
    ///
    /// # Errors
    ///
    /// `NotFound` when no record exists, otherwise the error of the request.
    pub fn query(self: &Arc<Self>, key: &str) -> Outcome {
        self.lead()?;
        let in_flight = self.state.lock().unwrap().flights.contains_key(key);
        match self.record_or_window(key) {
            _ if in_flight => Err(still_open()),
            Ok(record) => record.outcome.unwrap_or_else(|| Err(still_open())),
            Err(_) => Err(RequestError::did_not_run(
                ErrorCode::NotFound,
                "no record of this key",
            )),
        }
    }

    /// Cancels a request; returns whether it is certain not to run. A request that was sent to a
    /// runner is stopped there.
    pub fn cancel(&self, key: &str) -> bool {
        let flight = {
            let mut state = self.state.lock().unwrap();
            let Some(flight) = state.flights.get(key).cloned() else {
                drop(state);
                return self.cancel_ended(key);
            };
            if let Some(sender) = state.waiting.swap_remove(key) {
                state.queue.cancel(key);
                flight.cancel();
                drop(state);
                // The flight stays registered until the cancellation is recorded, so that no copy
                // of the request is admitted in between.
                let recorded = self.record_cancellation(key, &flight.digest);
                let message = "cancelled while waiting";
                let error = RequestError::did_not_run(ErrorCode::Cancelled, message);
                let _ = sender.send(Err(error));
                return recorded;
            }
            flight
        };
        let deadline = self.options.clock.now() + self.options.timing.exchange_timeout();
        if let Some(SentTask { task, epoch, link }) = flight.cancel() {
            let wait = self.options.timing.exchange_wait();
            task_calls::cancel(&self.options, &link, &task, epoch, wait);
        }
        match flight.wait(deadline, &self.options.clock) {
            Some(FlightEnd::Outcome(Err(error))) if error.verdict == Verdict::DidNotRun => {
                self.record_cancellation(key, &flight.digest)
            }
            _ => false,
        }
    }

    /// Records that the key is cancelled, so that no copy of the request runs later. Returns
    /// whether that is committed and in effect.
    fn record_cancellation(&self, key: &str, digest: &RequestDigest) -> bool {
        let Some(epoch) = (self.options.journal.epoch)() else {
            return false;
        };
        let now_unix_ms = self.options.clock.unix_ms();
        let retention_ms = self.options.timing.key_retention_ms;
        let cancellation = Cancellation {
            key: key.to_owned(),
            digest: digest.clone(),
            epoch,
            now_unix_ms,
            keep_until_unix_ms: key::keep_until_unix_ms(key, now_unix_ms, retention_ms),
        };
        let appended = (self.options.journal.append)(PlacementRecord::Cancellation(cancellation));
        if let Err(error) = appended {
            log::debug!("cancellation of {key} not recorded: {error}");
            return false;
        }
        let placement = self.options.journal.state.lock().unwrap();
        let outcome = placement
            .keys
            .get(key)
            .and_then(|record| record.outcome.as_ref());
        matches!(outcome, Some(Err(error))
            if error.verdict == Verdict::DidNotRun && error.code == ErrorCode::Cancelled)
    }

    /// Cancels a key without a flight: certain when its latest attempt did not run.
    fn cancel_ended(&self, key: &str) -> bool {
        let Ok(record) = self.record_or_window(key) else {
            return false;
        };
        record.did_not_run() && self.record_cancellation(key, &record.digest)
    }

    /// Takes note of a worker and renews the leases of its tasks.
    ///
    /// # Errors
    ///
    /// `Unavailable` when this host is not the placer.
    pub fn announce(
        self: &Arc<Self>,
        announcement: Announcement,
    ) -> Result<AnnouncementReply, RequestError> {
        let epoch = self.lead()?;
        let timing = &self.options.timing;
        let now = self.options.clock.now();
        let lease_ends_at = now + Duration::from_millis(timing.lease_ms);
        let service = announcement
            .runner
            .as_ref()
            .map(|runner| runner.service.clone());
        let mut state = self.state.lock().unwrap();
        if state.epoch != Some(epoch) {
            return Err(not_placer());
        }
        if !state.runners.announce(announcement, lease_ends_at) {
            let message = "a later incarnation of this worker has announced itself";
            return Err(RequestError::did_not_run(ErrorCode::Forbidden, message));
        }
        if let Some(service) = service {
            self.assign_slots(&mut state, &service);
        }
        Ok(AnnouncementReply {
            epoch,
            lease_ms: timing.lease_ms,
            next_announcement_ms: timing.announcement_interval_ms,
            stop: Vec::new(),
        })
    }

    /// Hands free slots of the service to waiting requests.
    fn assign_slots(&self, state: &mut PlacerState, service: &str) {
        let now = self.options.clock.now();
        let dropped = state.queue.take_dropped();
        refuse_waiting(state, dropped, now);
        if state.queue.is_empty() {
            return;
        }
        let slots = state.runners.slots(service, now);
        state.queue.set_slots(service, slots);
        let is_drained = |worker: &str| self.is_drained.get().is_some_and(|check| check(worker));
        while let Some(slot) = state.runners.reserve(service, now, &is_drained) {
            let selection = state.queue.next(service, now);
            refuse_waiting(state, selection.refused, now);
            let sender = selection
                .chosen
                .and_then(|chosen| state.waiting.swap_remove(&chosen.key));
            let Some(sender) = sender else {
                state
                    .runners
                    .release(&slot.worker, slot.incarnation, slot.generation);
                return;
            };
            if let Err(unsent) = sender.send(Ok(slot))
                && let Ok(slot) = unsent.into_inner()
            {
                state
                    .runners
                    .release(&slot.worker, slot.incarnation, slot.generation);
            }
        }
    }

    fn assign_all(&self, state: &mut PlacerState) {
        if state.queue.is_empty() {
            return;
        }
        for service in state.runners.services() {
            self.assign_slots(state, &service);
        }
    }

    /// Whether the intent of the slot's task took effect.
    fn is_latest_attempt(&self, key: &str, slot: &RunnerSlot) -> bool {
        let placement = self.options.journal.state.lock().unwrap();
        let record = placement.keys.get(key);
        record.is_some_and(|record| record.task == slot.task)
    }

    /// Commits the outcome of an attempt, and returns that of the request over all its attempts.
    fn commit_completion(
        &self,
        key: &str,
        task: &str,
        outcome: &Outcome,
        over: bool,
    ) -> Result<Outcome, JournalError> {
        let now_unix_ms = self.options.clock.unix_ms();
        let retention_ms = self.options.timing.key_retention_ms;
        let completion = Completion {
            key: key.to_owned(),
            task: task.to_owned(),
            outcome: outcome.clone(),
            over,
            now_unix_ms,
            keep_until_unix_ms: key::keep_until_unix_ms(key, now_unix_ms, retention_ms),
            max_answer_bytes: self.options.limits.max_answer_bytes as u64,
        };
        (self.options.journal.append)(PlacementRecord::Completion(completion))?;
        let placement = self.options.journal.state.lock().unwrap();
        let record = placement.keys.get(key).filter(|record| record.task == task);
        let recorded = record.and_then(|record| record.outcome.clone());
        Ok(recorded.unwrap_or_else(|| outcome.clone()))
    }

    /// Ends a flight after its outcome was committed.
    fn land(&self, key: &str, flight: &Arc<Flight>, end: FlightEnd) {
        {
            let mut state = self.state.lock().unwrap();
            if state.owns(key, flight) {
                state.flights.swap_remove(key);
            }
        }
        flight.finish(end);
    }

    /// Frees the slot; `execution` tells how the runner did, unless it got nothing to do.
    fn release(&self, queued: &QueuedRequest, slot: &RunnerSlot, execution: Option<Execution>) {
        let now = self.options.clock.now();
        let mut state = self.state.lock().unwrap();
        if let Some(execution) = execution {
            state.runners.record(slot, &queued.member, &execution, now);
        }
        state
            .runners
            .release(&slot.worker, slot.incarnation, slot.generation);
        state.queue.finished(queued, slot.reserved_at, now);
        self.assign_slots(&mut state, &queued.service);
    }

    fn release_adopted(&self, followed: &Followed) {
        let mut state = self.state.lock().unwrap();
        state
            .runners
            .release(&followed.worker, followed.incarnation, followed.generation);
        self.assign_all(&mut state);
    }

    fn avoid(&self, slot: &RunnerSlot) {
        let until = self.options.clock.now() + AVOID_FOR;
        self.state
            .lock()
            .unwrap()
            .runners
            .avoid(&slot.worker, until);
    }

    /// What is known about the incarnation; `None` when the role of that time has ended here.
    fn fate(&self, worker: &str, incarnation: Incarnation, generation: u64) -> Option<Fate> {
        let state = self.state.lock().unwrap();
        if !state.is_in(generation) {
            return None;
        }
        let margin = Duration::from_millis(self.options.timing.clock_margin_ms);
        let now = self.options.clock.now();
        Some(state.runners.fate(worker, incarnation, margin, now))
    }

    fn deposit(&self, member: &str, worker: &str) {
        let mut state = self.state.lock().unwrap();
        state.budget.record_request(member, worker);
    }

    fn withdraw(&self, member: &str, worker: &str) -> bool {
        self.state.lock().unwrap().budget.try_retry(member, worker)
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
            if state.flights.is_empty() && state.runners.busy_slots() == 0 {
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

impl PlacerState {
    /// Whether this host has been the placer without a break since the table of that generation.
    fn is_in(&self, generation: u64) -> bool {
        self.epoch.is_some() && self.runners.generation() == generation
    }

    /// Whether the flight is the one registered for the key.
    fn owns(&self, key: &str, flight: &Arc<Flight>) -> bool {
        self.flights
            .get(key)
            .is_some_and(|present| Arc::ptr_eq(present, flight))
    }
}

/// Figures of the source once it is set.
fn source_of(policy: &Arc<OnceLock<PolicySource>>) -> PolicySource {
    let policy = Arc::clone(policy);
    Arc::new(move |member, caller, service| {
        let source = policy.get();
        source.map_or_else(RequestPolicy::default, |source| {
            source(member, caller, service)
        })
    })
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

/// Error of a request that reached a host which is not the placer.
fn not_placer() -> RequestError {
    RequestError::did_not_run(ErrorCode::Unavailable, "this host is not the placer")
        .retry_after_ms(NOT_PLACER_RETRY_MS)
}

/// Whether the error says that the host was not the placer, so that another host may be.
pub fn is_not_placer(error: &RequestError) -> bool {
    error.code == ErrorCode::Unavailable
        && error.verdict == Verdict::DidNotRun
        && error.retry_after_ms == Some(NOT_PLACER_RETRY_MS)
}

fn still_open() -> RequestError {
    RequestError::may_have_run(ErrorCode::Unavailable, "still waiting or running")
}

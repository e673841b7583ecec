//! Places the requests of one data centre on runners and enforces at-most-once execution.

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
use flight::{InFlightRequest, RequestEnd, SentTask};
use follow::OrphanedTask;
use journal::{Journal, JournalError};
use links::Exchange;
use records::{Cancellation, Completion, PlacementRecord, RequestDigest};
use runners::health::Execution;
use runners::{RunnerSlot, RunnerStatus, RunnerTable};

/// Retry-after value of errors from a host that is not the placer. An error with this value, code
/// `Unavailable` and verdict `did_not_run` concerns the host and not the request.
const NOT_PLACER_RETRY_MS: u64 = 1;
/// Time for which a runner receives no new work after it refused a task or a connection.
const AVOID_FOR: Duration = Duration::from_millis(200);

/// Answer of a request, or its error with the verdict on whether the request ran.
pub type Outcome = Result<Answer, RequestError>;

/// Settings and dependencies of a [`Placer`].
pub struct PlacerOptions {
    /// Data centre whose requests the placer schedules.
    pub data_centre: DataCentreName,
    /// Bounds of the queue, payloads and retained answers.
    pub limits: LimitSettings,
    /// Leases, timeouts and the retention of keys.
    pub timing: TimingSettings,
    /// Policy that orders the waiting requests.
    pub request_policy: RequestPolicyName,
    /// Source of monotonic and wall-clock time.
    pub clock: Clock,
    /// Placement log and the state built from it.
    pub journal: Journal,
    /// Performs exchanges with runners: [`links::http_exchange`] outside tests.
    pub exchange: Exchange,
}

/// Returns whether operators have drained the worker, so that it receives no new work.
pub type IsDrained = Box<dyn Fn(&str) -> bool + Send + Sync>;

/// Schedules the requests of one data centre while this host leads its placement log.
pub struct Placer {
    options: PlacerOptions,
    /// Lock order: before `options.journal.state`.
    state: Mutex<PlacerState>,
    /// Locked for the whole of a takeover, so that takeovers do not run concurrently.
    takeover: Mutex<()>,
    /// Returns whether a worker is drained. Until it is set, no worker counts as drained.
    is_drained: OnceLock<IsDrained>,
    /// Source of request policies; shared with the queue.
    policy: Arc<OnceLock<PolicySource>>,
}

struct PlacerState {
    /// Epoch in which this host is the placer; absent before the takeover and after the end of the
    /// role.
    epoch: Option<Epoch>,
    queue: RequestQueue,
    runners: RunnerTable,
    /// Channels to the threads of admitted requests that wait for a slot.
    waiting: IndexMap<RequestKey, Sender<Result<RunnerSlot, RequestError>>>,
    /// Requests between admission and outcome. Every record without an outcome has an entry.
    in_flight_requests: IndexMap<RequestKey, Arc<InFlightRequest>>,
    /// Tasks without an owner by runner. A key is present while a thread polls that runner.
    orphaned_tasks: IndexMap<WorkerId, Vec<OrphanedTask>>,
    budget: RetryBudget,
    /// Tasks whose records the runners may drop, until the next message to the runner.
    removable_tasks: IndexMap<WorkerId, Vec<TaskId>>,
}

impl Placer {
    /// Creates a placer without runners and starts its background threads.
    pub fn new(options: PlacerOptions) -> Arc<Self> {
        let policy = Arc::new(OnceLock::new());
        let state = PlacerState {
            epoch: None,
            queue: RequestQueue::with_policy(
                options.limits.max_queued_requests,
                options.request_policy,
                deferred_policy_source(&policy),
            ),
            runners: RunnerTable::default(),
            waiting: IndexMap::new(),
            in_flight_requests: IndexMap::new(),
            orphaned_tasks: IndexMap::new(),
            budget: RetryBudget::default(),
            removable_tasks: IndexMap::new(),
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

    /// Sets the function that returns whether a worker is drained. Only the first call has an
    /// effect.
    pub fn set_drain_check(&self, is_drained: IsDrained) {
        let _ = self.is_drained.set(is_drained);
    }

    /// Sets the source of request policies; until then the built-in policy applies. Only the first
    /// call has an effect.
    pub fn set_policy_source(&self, source: PolicySource) {
        let _ = self.policy.set(source);
    }

    /// Data centre whose requests this placer schedules.
    pub fn data_centre(&self) -> &str {
        &self.options.data_centre
    }

    /// Whether this host currently leads the placement log of the data centre.
    pub fn is_leading(&self) -> bool {
        (self.options.journal.epoch)().is_some()
    }

    /// Returns the recorded outcome of a request that was submitted earlier.
    ///
    /// # Errors
    ///
    /// `Unavailable` when this host is not the placer or the request has no outcome yet, `NotFound`
    /// when no record exists, otherwise the error of the request.
    pub fn query(self: &Arc<Self>, key: &str) -> Outcome {
        self.ensure_leading()?;
        let is_in_flight = self
            .state
            .lock()
            .unwrap()
            .in_flight_requests
            .contains_key(key);
        match self.record_or_window(key) {
            _ if is_in_flight => Err(still_open()),
            Ok(record) => record.outcome.unwrap_or_else(|| Err(still_open())),
            Err(_) => Err(RequestError::did_not_run(
                ErrorCode::NotFound,
                "no record of this key",
            )),
        }
    }

    /// Cancels a request and returns whether it is certain not to run. A request that was already
    /// sent to a runner is stopped on the runner.
    pub fn cancel(&self, key: &str) -> bool {
        let in_flight = {
            let mut state = self.state.lock().unwrap();
            let Some(in_flight) = state.in_flight_requests.get(key).cloned() else {
                drop(state);
                return self.cancel_ended(key);
            };
            if let Some(sender) = state.waiting.swap_remove(key) {
                state.queue.cancel(key);
                in_flight.cancel();
                drop(state);
                // The request stays registered until the cancellation is recorded, so that no copy
                // of it is admitted in between.
                let recorded = self.record_cancellation(key, &in_flight.digest);
                let message = "cancelled while waiting";
                let error = RequestError::did_not_run(ErrorCode::Cancelled, message);
                let _ = sender.send(Err(error));
                return recorded;
            }
            in_flight
        };
        let deadline = self.options.clock.now() + self.options.timing.exchange_timeout();
        if let Some(SentTask { task, epoch, link }) = in_flight.cancel() {
            let wait = self.options.timing.exchange_wait();
            task_calls::cancel(&self.options, &link, &task, epoch, wait);
        }
        match in_flight.wait(deadline, &self.options.clock) {
            Some(RequestEnd::Outcome(Err(error))) if error.verdict == Verdict::DidNotRun => {
                self.record_cancellation(key, &in_flight.digest)
            }
            _ => false,
        }
    }

    /// Commits the cancellation of the key, so that no copy of the request runs later. Returns
    /// whether the cancellation is committed and has taken effect.
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

    /// Cancels a key that has no request in flight. The result is certain only when the latest
    /// attempt did not run.
    fn cancel_ended(&self, key: &str) -> bool {
        let Ok(record) = self.record_or_window(key) else {
            return false;
        };
        record.did_not_run() && self.record_cancellation(key, &record.digest)
    }

    /// Records the announcement of a worker and renews the lease of its tasks.
    ///
    /// # Errors
    ///
    /// `Unavailable` when this host is not the placer, `Forbidden` when a later incarnation of the
    /// worker has announced itself.
    pub fn announce(
        self: &Arc<Self>,
        announcement: Announcement,
    ) -> Result<AnnouncementReply, RequestError> {
        let epoch = self.ensure_leading()?;
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

    /// Assigns free slots of the service to waiting requests in the order of the policy.
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

    /// Whether the intent of the slot's task took effect, that is, its task is the latest attempt.
    fn is_latest_attempt(&self, key: &str, slot: &RunnerSlot) -> bool {
        let placement = self.options.journal.state.lock().unwrap();
        let record = placement.keys.get(key);
        record.is_some_and(|record| record.task == slot.task)
    }

    /// Commits the outcome of an attempt and returns the outcome of the request over all its
    /// attempts.
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

    /// Unregisters a request that has ended and wakes its waiters. Its outcome, if it has a record,
    /// was committed before.
    fn end_in_flight(&self, key: &str, in_flight: &Arc<InFlightRequest>, end: RequestEnd) {
        {
            let mut state = self.state.lock().unwrap();
            if state.owns(key, in_flight) {
                state.in_flight_requests.swap_remove(key);
            }
        }
        in_flight.finish(end);
    }

    /// Releases the slot. `execution` is the result on the runner; absent when the runner received
    /// nothing.
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

    fn release_adopted(&self, orphan: &OrphanedTask) {
        let mut state = self.state.lock().unwrap();
        state
            .runners
            .release(&orphan.worker, orphan.incarnation, orphan.generation);
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

    /// Status of an incarnation of a runner; `None` when this host has lost its role since the given
    /// generation.
    fn runner_status(
        &self,
        worker: &str,
        incarnation: Incarnation,
        generation: u64,
    ) -> Option<RunnerStatus> {
        let state = self.state.lock().unwrap();
        if !state.is_current_generation(generation) {
            return None;
        }
        let margin = Duration::from_millis(self.options.timing.clock_margin_ms);
        let now = self.options.clock.now();
        Some(
            state
                .runners
                .runner_status(worker, incarnation, margin, now),
        )
    }

    fn record_in_retry_budget(&self, member: &str, worker: &str) {
        let mut state = self.state.lock().unwrap();
        state.budget.record_request(member, worker);
    }

    fn take_retry_from_budget(&self, member: &str, worker: &str) -> bool {
        self.state.lock().unwrap().budget.try_retry(member, worker)
    }

    /// Number of requests that wait for a slot.
    pub fn queued_requests(&self) -> usize {
        self.state.lock().unwrap().queue.len()
    }

    /// Returns the latest announcement of each runner.
    pub fn runner_announcements(&self) -> Vec<Announcement> {
        self.state.lock().unwrap().runners.announcements()
    }

    /// Waits until no request is queued or running and returns true, or false at the deadline.
    pub fn wait_until_idle(&self, deadline: Instant) -> bool {
        loop {
            let state = self.state.lock().unwrap();
            if state.in_flight_requests.is_empty() && state.runners.busy_slots() == 0 {
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
    /// Whether this host has been the placer without interruption since the runner table began the
    /// given generation.
    fn is_current_generation(&self, generation: u64) -> bool {
        self.epoch.is_some() && self.runners.generation() == generation
    }

    /// Whether `in_flight` is the request that is registered for the key.
    fn owns(&self, key: &str, in_flight: &Arc<InFlightRequest>) -> bool {
        self.in_flight_requests
            .get(key)
            .is_some_and(|present| Arc::ptr_eq(present, in_flight))
    }
}

/// Reads the policies from the source once it is set, and returns the built-in one until then.
fn deferred_policy_source(policy: &Arc<OnceLock<PolicySource>>) -> PolicySource {
    let policy = Arc::clone(policy);
    Arc::new(move |member, caller, service| {
        let source = policy.get();
        source.map_or_else(RequestPolicy::default, |source| {
            source(member, caller, service)
        })
    })
}

/// Sends an error to the threads of requests that left the queue without a slot.
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

/// Error for a request that reached a host which is not the placer.
fn not_placer() -> RequestError {
    RequestError::did_not_run(ErrorCode::Unavailable, "this host is not the placer")
        .retry_after_ms(NOT_PLACER_RETRY_MS)
}

/// Whether the error means that the host is not the placer, so that the caller may try another
/// host.
pub fn is_not_placer(error: &RequestError) -> bool {
    error.code == ErrorCode::Unavailable
        && error.verdict == Verdict::DidNotRun
        && error.retry_after_ms == Some(NOT_PLACER_RETRY_MS)
}

fn still_open() -> RequestError {
    RequestError::may_have_run(ErrorCode::Unavailable, "still waiting or running")
}

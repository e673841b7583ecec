//! Runs one task on a runner by a series of exchanges, each with a timeout.

use std::time::{Duration, Instant};

use hyper::Method;

use super::Placer;
use super::flight::InFlightRequest;
use super::runners::{RunnerSlot, RunnerStatus};
use super::task_calls::{self, MAX_CORRUPTED_ANSWERS, Reply};
use crate::http::client::ClientError;
use crate::protocol::caller::Submission;
use crate::verdict::{ErrorCode, RequestError};

/// Pause before the next exchange with a runner after a failed or inconclusive one.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Consecutive failed connections after which a task that was never sent is placed elsewhere.
const MAX_FAILED_CONNECTIONS: u32 = 2;
/// Time after the deadline for the reply of a runner that waited until the deadline.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// Result of an attempt as far as its owner observed it.
pub(super) enum AttemptEnd {
    /// The outcome is known. `over` means that the task is certain not to be running any more.
    Known {
        outcome: Result<Vec<u8>, RequestError>,
        over: bool,
        /// Whether no copy of the create call can still arrive, so that the runner may drop its
        /// record.
        may_remove: bool,
    },
    /// The task is certain to be over and has no outcome. `started` means that it may have started.
    Retryable { error: RequestError, started: bool },
    /// The deadline passed while the task may be running.
    Unresolved {
        /// Whether the runner confirmed that it has the task.
        acknowledged: bool,
    },
}

impl AttemptEnd {
    pub fn never_started(message: impl Into<String>) -> Self {
        Self::Retryable {
            error: RequestError::did_not_run(ErrorCode::Unavailable, message),
            started: false,
        }
    }

    fn lost(message: &str) -> Self {
        Self::Retryable {
            error: RequestError::may_have_run(ErrorCode::RunnerLost, message),
            started: true,
        }
    }
}

/// What the exchanges have shown about the creation of the task.
#[derive(Default)]
struct CreateState {
    /// The runner confirmed that it has the task.
    acknowledged: bool,
    /// A create call without an answer may have arrived or may still arrive.
    unanswered: bool,
    failed_connections: u32,
    corrupted_answers: u32,
    fresh_connection: bool,
}

impl CreateState {
    fn never_sent(&self) -> bool {
        !self.acknowledged && !self.unanswered
    }
}

/// Creates the task and polls it until its end or the deadline.
pub(super) fn run_task(
    placer: &Placer,
    submission: &Submission,
    in_flight: &InFlightRequest,
    slot: &RunnerSlot,
) -> AttemptEnd {
    let options = &placer.options;
    let mut create_state = CreateState::default();
    let mut first = true;
    loop {
        let now = options.clock.now();
        if now >= submission.deadline {
            return at_deadline(&create_state);
        }
        if !first && let Some(end) = end_by_runner_status(placer, slot, &create_state) {
            return end;
        }
        first = false;
        if !create_state.acknowledged && (slot.link.is_leaving() || in_flight.is_cancelled()) {
            if create_state.never_sent() {
                return AttemptEnd::never_started("the runner is leaving");
            }
            // A repeated create call could start the task, so the task is queried instead, and an
            // unknown one becomes a tombstone.
            if let Some(end) = query_or_tombstone(placer, slot, &mut create_state) {
                return end;
            }
            continue;
        }
        if let Some(end) = exchange(placer, submission, slot, &mut create_state) {
            return end;
        }
    }
}

/// Sends the create call, or queries the state once the runner has confirmed the task. Create calls
/// are repeated with the same task id, which runners execute at most once.
fn exchange(
    placer: &Placer,
    submission: &Submission,
    slot: &RunnerSlot,
    create_state: &mut CreateState,
) -> Option<AttemptEnd> {
    let options = &placer.options;
    let now = options.clock.now();
    let remaining = submission.deadline.saturating_duration_since(now);
    let wait = options.timing.exchange_wait().min(remaining);
    let deadline = exchange_deadline(now, options.timing.exchange_timeout(), submission.deadline);
    let target = task_calls::Target {
        link: &slot.link,
        task: &slot.task,
        epoch: slot.epoch,
        deadline,
        fresh_connection: create_state.fresh_connection,
    };
    let created = !create_state.acknowledged;
    let sent = if created {
        let lease_ms = options.timing.lease_ms;
        task_calls::create(options, &target, submission, wait, remaining, lease_ms)
    } else {
        task_calls::call(options, &target, Method::GET, "", wait)
    };
    match sent {
        Ok(Reply::NeverStarted(message)) if created && create_state.unanswered => {
            log::debug!(
                "task {} was refused after an unanswered create call: {message}",
                slot.task
            );
            // The refusal concerns this copy of the create call; the other may still arrive.
            query_or_tombstone(placer, slot, create_state)
        }
        Ok(Reply::NeverStarted(message)) => {
            placer.avoid(slot);
            Some(AttemptEnd::never_started(message))
        }
        Ok(reply) => {
            create_state.failed_connections = 0;
            create_state.fresh_connection = matches!(reply, Reply::Corrupted);
            if matches!(reply, Reply::Unrecognized(_)) {
                // The reply does not prove that the create call had no effect.
                create_state.unanswered |= created;
                std::thread::sleep(RECONNECT_PAUSE);
            }
            attempt_end(reply, create_state)
        }
        Err(ClientError::NotSent { reason, .. }) => {
            log::debug!("runner {} accepts no connection: {reason}", slot.worker);
            create_state.failed_connections += 1;
            create_state.fresh_connection = true;
            if create_state.never_sent()
                && create_state.failed_connections >= MAX_FAILED_CONNECTIONS
            {
                placer.avoid(slot);
                return Some(AttemptEnd::never_started("the runner takes no connections"));
            }
            std::thread::sleep(RECONNECT_PAUSE);
            None
        }
        Err(error) => {
            log::debug!("exchange with runner {} was lost: {error}", slot.worker);
            create_state.unanswered |= created;
            create_state.fresh_connection = true;
            None
        }
    }
}

/// Queries the state of the task, and creates a tombstone when the runner does not know it.
fn query_or_tombstone(
    placer: &Placer,
    slot: &RunnerSlot,
    create_state: &mut CreateState,
) -> Option<AttemptEnd> {
    let reply = task_calls::query_or_tombstone(&placer.options, &slot.link, &slot.task, slot.epoch);
    let end = reply.and_then(|reply| attempt_end(reply, create_state));
    if end.is_none() {
        std::thread::sleep(RECONNECT_PAUSE);
    }
    end
}

fn exchange_deadline(now: Instant, timeout: Duration, deadline: Instant) -> Instant {
    (now + timeout).min(deadline + DEADLINE_GRACE)
}

/// Returns the end of the attempt that a reply proves; `None` while the task may be running.
fn attempt_end(reply: Reply, create_state: &mut CreateState) -> Option<AttemptEnd> {
    let may_remove = !create_state.unanswered;
    let known = |outcome, over| {
        Some(AttemptEnd::Known {
            outcome,
            over,
            may_remove,
        })
    };
    match reply {
        Reply::Running => {
            create_state.acknowledged = true;
            None
        }
        Reply::Corrupted => {
            create_state.acknowledged = true;
            create_state.corrupted_answers += 1;
            if create_state.corrupted_answers < MAX_CORRUPTED_ANSWERS {
                return None;
            }
            let message = "the answer arrived damaged several times";
            known(Err(RequestError::ran(ErrorCode::TaskFailed, message)), true)
        }
        Reply::Succeeded(body) => known(Ok(body), true),
        Reply::Failed(message) => {
            known(Err(RequestError::ran(ErrorCode::TaskFailed, message)), true)
        }
        Reply::Stopped => Some(AttemptEnd::lost(
            "the runner stopped the task before its end",
        )),
        Reply::NeverStarted(message) => Some(AttemptEnd::never_started(message)),
        Reply::Unknown if create_state.acknowledged => {
            let message = "the runner lost the record of the task";
            let error = RequestError::may_have_run(ErrorCode::RunnerLost, message);
            known(Err(error), false)
        }
        Reply::Unknown => None,
        Reply::Unrecognized(status) => {
            log::warn!("unexpected reply of a runner, status {status}");
            None
        }
    }
}

fn at_deadline(create_state: &CreateState) -> AttemptEnd {
    if create_state.never_sent() {
        let message = "the deadline passed before the request was sent to a runner";
        return AttemptEnd::Known {
            outcome: Err(RequestError::did_not_run(
                ErrorCode::DeadlineExceeded,
                message,
            )),
            over: true,
            may_remove: false,
        };
    }
    AttemptEnd::Unresolved {
        acknowledged: create_state.acknowledged,
    }
}

fn end_by_runner_status(
    placer: &Placer,
    slot: &RunnerSlot,
    create_state: &CreateState,
) -> Option<AttemptEnd> {
    match placer.runner_status(&slot.worker, slot.incarnation, slot.generation)? {
        RunnerStatus::Alive(_) | RunnerStatus::Unknown => None,
        RunnerStatus::Restarted | RunnerStatus::LeaseExpired if create_state.never_sent() => {
            Some(AttemptEnd::never_started("the runner is gone"))
        }
        RunnerStatus::Restarted => Some(AttemptEnd::lost(
            "the runner restarted while it held the task",
        )),
        // A paused process may resume after its lease, so only a restart permits another attempt.
        RunnerStatus::LeaseExpired => Some(AttemptEnd::Known {
            outcome: Err(runner_lost()),
            over: false,
            may_remove: false,
        }),
    }
}

/// Error of a request whose runner sent no announcement for longer than its lease.
pub(super) fn runner_lost() -> RequestError {
    let message = "the runner was lost while it held the task";
    RequestError::may_have_run(ErrorCode::RunnerLost, message)
}

//! Drives one task on a runner by bounded exchanges.

use std::time::{Duration, Instant};

use hyper::Method;

use super::Placer;
use super::flight::Flight;
use super::runners::{Fate, RunnerSlot};
use super::task_calls::{self, MAX_DAMAGED_ANSWERS, Reply};
use crate::http::client::ClientError;
use crate::protocol::caller::Submission;
use crate::verdict::{ErrorCode, RequestError};

/// Pause before a runner that did not take an exchange is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Connections in succession that may fail before a task that was never sent goes elsewhere.
const MAX_FAILED_CONNECTIONS: u32 = 2;
/// Time beyond the deadline for the reply of a runner that waited until the deadline.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// How the owner's part of an attempt ended.
pub(super) enum End {
    /// The outcome is known. `over` tells that the task certainly is not running any more.
    Known {
        outcome: Result<Vec<u8>, RequestError>,
        over: bool,
        /// Whether no copy of the create can still arrive, so that the runner may drop its record.
        may_forget: bool,
    },
    /// The task is certainly over without an outcome; `started` tells whether it may have begun.
    Again { error: RequestError, started: bool },
    /// The deadline passed, or the log is undecided, while the task may be running.
    StillOpen {
        /// Whether the runner confirmed that it has the task.
        acknowledged: bool,
    },
}

impl End {
    pub fn never_started(message: impl Into<String>) -> Self {
        Self::Again {
            error: RequestError::did_not_run(ErrorCode::Unavailable, message),
            started: false,
        }
    }

    fn lost(message: &str) -> Self {
        Self::Again {
            error: RequestError::may_have_run(ErrorCode::RunnerLost, message),
            started: true,
        }
    }
}

/// What is known about the creation of the task.
#[derive(Default)]
struct Contact {
    /// The runner confirmed that it has the task.
    acknowledged: bool,
    /// A create may have arrived, or may still arrive, without an answer.
    unanswered: bool,
    failed_connections: u32,
    damaged_answers: u32,
    fresh_connection: bool,
}

impl Contact {
    fn never_sent(&self) -> bool {
        !self.acknowledged && !self.unanswered
    }
}

/// Creates the task and follows it until its end or the deadline.
pub(super) fn drive(
    placer: &Placer,
    submission: &Submission,
    flight: &Flight,
    slot: &RunnerSlot,
) -> End {
    let options = &placer.options;
    let mut contact = Contact::default();
    let mut first = true;
    loop {
        let now = options.clock.now();
        if now >= submission.deadline {
            return at_deadline(&contact);
        }
        if !first && let Some(end) = ended_by_fate(placer, slot, &contact) {
            return end;
        }
        first = false;
        if !contact.acknowledged && (slot.link.is_leaving() || flight.is_cancelled()) {
            if contact.never_sent() {
                return End::never_started("the runner is leaving");
            }
            // A repeated create could be new work for it, so the task is settled instead.
            if let Some(end) = settle(placer, slot, &mut contact) {
                return end;
            }
            continue;
        }
        if let Some(end) = exchange(placer, submission, slot, &mut contact) {
            return end;
        }
    }
}

/// Sends the create, or asks for the state once the create was confirmed. Creates are repeated
/// with the same task id, which runners execute at most once.
fn exchange(
    placer: &Placer,
    submission: &Submission,
    slot: &RunnerSlot,
    contact: &mut Contact,
) -> Option<End> {
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
        fresh_connection: contact.fresh_connection,
    };
    let created = !contact.acknowledged;
    let sent = if created {
        let lease_ms = options.timing.lease_ms;
        task_calls::create(options, &target, submission, wait, remaining, lease_ms)
    } else {
        task_calls::ask(options, &target, Method::GET, "", wait)
    };
    match sent {
        Ok(Reply::NeverStarted(message)) if created && contact.unanswered => {
            log::debug!(
                "task {} was refused after a lost create: {message}",
                slot.task
            );
            // The refusal concerns this copy of the create; the other one may still arrive.
            settle(placer, slot, contact)
        }
        Ok(Reply::NeverStarted(message)) => {
            placer.avoid(slot);
            Some(End::never_started(message))
        }
        Ok(reply) => {
            contact.failed_connections = 0;
            contact.fresh_connection = matches!(reply, Reply::Damaged);
            if matches!(reply, Reply::Unintelligible(_)) {
                // Nothing shows that the create had no effect.
                contact.unanswered |= created;
                std::thread::sleep(RECONNECT_PAUSE);
            }
            end_of(reply, contact)
        }
        Err(ClientError::NotSent { reason, .. }) => {
            log::debug!("runner {} takes no connection: {reason}", slot.worker);
            contact.failed_connections += 1;
            contact.fresh_connection = true;
            if contact.never_sent() && contact.failed_connections >= MAX_FAILED_CONNECTIONS {
                placer.avoid(slot);
                return Some(End::never_started("the runner takes no connections"));
            }
            std::thread::sleep(RECONNECT_PAUSE);
            None
        }
        Err(error) => {
            log::debug!("exchange with runner {} was lost: {error}", slot.worker);
            contact.unanswered |= created;
            contact.fresh_connection = true;
            None
        }
    }
}

/// Asks about the task and leaves a tombstone when the runner does not know it.
fn settle(placer: &Placer, slot: &RunnerSlot, contact: &mut Contact) -> Option<End> {
    let reply = task_calls::settle(&placer.options, &slot.link, &slot.task, slot.epoch);
    let end = reply.and_then(|reply| end_of(reply, contact));
    if end.is_none() {
        std::thread::sleep(RECONNECT_PAUSE);
    }
    end
}

fn exchange_deadline(now: Instant, timeout: Duration, deadline: Instant) -> Instant {
    (now + timeout).min(deadline + DEADLINE_GRACE)
}

/// The end that a reply proves; `None` when the task goes on.
fn end_of(reply: Reply, contact: &mut Contact) -> Option<End> {
    let may_forget = !contact.unanswered;
    let known = |outcome, over| {
        Some(End::Known {
            outcome,
            over,
            may_forget,
        })
    };
    match reply {
        Reply::Running => {
            contact.acknowledged = true;
            None
        }
        Reply::Damaged => {
            contact.acknowledged = true;
            contact.damaged_answers += 1;
            if contact.damaged_answers < MAX_DAMAGED_ANSWERS {
                return None;
            }
            let message = "the answer arrived damaged several times";
            known(Err(RequestError::ran(ErrorCode::TaskFailed, message)), true)
        }
        Reply::Succeeded(body) => known(Ok(body), true),
        Reply::Failed(message) => {
            known(Err(RequestError::ran(ErrorCode::TaskFailed, message)), true)
        }
        Reply::Stopped => Some(End::lost("the runner stopped the task before its end")),
        Reply::NeverStarted(message) => Some(End::never_started(message)),
        Reply::Unknown if contact.acknowledged => {
            let message = "the runner lost the record of the task";
            let error = RequestError::may_have_run(ErrorCode::RunnerLost, message);
            known(Err(error), false)
        }
        Reply::Unknown => None,
        Reply::Unintelligible(status) => {
            log::warn!("unexpected reply of a runner, status {status}");
            None
        }
    }
}

fn at_deadline(contact: &Contact) -> End {
    if contact.never_sent() {
        let message = "the deadline passed before the request was sent to a runner";
        return End::Known {
            outcome: Err(RequestError::did_not_run(
                ErrorCode::DeadlineExceeded,
                message,
            )),
            over: true,
            may_forget: false,
        };
    }
    End::StillOpen {
        acknowledged: contact.acknowledged,
    }
}

fn ended_by_fate(placer: &Placer, slot: &RunnerSlot, contact: &Contact) -> Option<End> {
    match placer.fate(&slot.worker, slot.incarnation, slot.generation)? {
        Fate::Present(_) | Fate::Silent => None,
        Fate::Restarted | Fate::Lapsed if contact.never_sent() => {
            Some(End::never_started("the runner is gone"))
        }
        Fate::Restarted => Some(End::lost("the runner restarted while it held the task")),
        // A paused process may go on after its lease, so only a restart permits another attempt.
        Fate::Lapsed => Some(End::Known {
            outcome: Err(lapsed()),
            over: false,
            may_forget: false,
        }),
    }
}

/// Error of a request whose runner fell silent for longer than its lease.
pub(super) fn lapsed() -> RequestError {
    let message = "the runner was lost while it held the task";
    RequestError::may_have_run(ErrorCode::RunnerLost, message)
}

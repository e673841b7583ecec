//! The calls of section 7.2 of the design page, as the placer makes them.

use std::time::{Duration, Instant};

use hyper::Method;

use super::PlacerOptions;
use super::links::RunnerLink;
use crate::http::client::{ClientError, ClientRequest, ClientResponse};
use crate::ids::{Epoch, TaskId};
use crate::protocol::caller::Submission;
use crate::protocol::headers;
use crate::protocol::worker::TaskState;

/// Answers of one task that may arrive damaged; after that its runner counts as unable to answer.
pub(super) const MAX_DAMAGED_ANSWERS: u32 = 5;

/// What a runner replied about a task.
#[derive(Debug)]
pub(super) enum Reply {
    Running,
    Succeeded(Vec<u8>),
    /// It succeeded, but the answer did not arrive whole.
    Damaged,
    Failed(String),
    Stopped,
    /// A refused create or a tombstone.
    NeverStarted(String),
    Unknown,
    /// Not a reply of the task interface, for example a refused connection; the HTTP status.
    Unintelligible(u16),
}

/// Task and exchange of one call.
pub(super) struct Target<'a> {
    pub link: &'a RunnerLink,
    pub task: &'a str,
    pub epoch: Epoch,
    pub deadline: Instant,
    pub fresh_connection: bool,
}

impl Target<'_> {
    fn request(&self, method: Method, suffix: &str, wait: Duration) -> ClientRequest {
        let url = format!(
            "http://{}/v1/tasks/{}{suffix}?wait_ms={}",
            self.link.address,
            self.task,
            wait.as_millis()
        );
        let mut request = ClientRequest::new(method, url, self.deadline)
            .header(headers::EPOCH, self.epoch.to_string())
            .header(headers::INCARNATION, self.link.incarnation.to_string());
        request.fresh_connection = self.fresh_connection;
        request
    }
}

/// Creates the task; repeating it with the same id starts nothing twice.
pub(super) fn create(
    options: &PlacerOptions,
    target: &Target<'_>,
    submission: &Submission,
    wait: Duration,
    remaining: Duration,
    lease_ms: u64,
) -> Result<Reply, ClientError> {
    let mut request = target
        .request(Method::PUT, "", wait)
        .header(headers::IDEMPOTENCY_KEY, &submission.key)
        .header(headers::LEASE_MS, lease_ms.to_string())
        .header(headers::TIMEOUT_MS, remaining.as_millis().to_string());
    request.body = submission.payload.clone();
    send(options, target.link, request)
}

/// Asks about the task, or with the suffix `/cancel` and method `POST` stops it.
pub(super) fn ask(
    options: &PlacerOptions,
    target: &Target<'_>,
    method: Method,
    suffix: &str,
    wait: Duration,
) -> Result<Reply, ClientError> {
    let request = target.request(method, suffix, wait);
    send(options, target.link, request)
}

fn send(
    options: &PlacerOptions,
    link: &RunnerLink,
    request: ClientRequest,
) -> Result<Reply, ClientError> {
    let limit = options.limits.max_payload_bytes;
    let too_large = || Reply::Failed(format!("the answer exceeds {limit} bytes"));
    match link.send(&options.exchange, request) {
        Ok(response) if response.body.len() > limit => Ok(too_large()),
        Ok(response) => Ok(interpret(response)),
        // Only the answer of an ended task can be large, and it would be as large the next time.
        Err(ClientError::TooLarge { .. }) => Ok(too_large()),
        Err(error) => Err(error),
    }
}

/// Stops the task. An id that the runner does not know becomes a tombstone.
pub(super) fn cancel(
    options: &PlacerOptions,
    link: &RunnerLink,
    task: &str,
    epoch: Epoch,
    wait: Duration,
) -> Option<Reply> {
    let target = fresh_target(options, link, task, epoch);
    ask(options, &target, Method::POST, "/cancel", wait).ok()
}

/// Asks for the state of the task and leaves a tombstone when the runner does not know it, so that
/// a create that is still on its way is refused. `None` when the runner does not answer.
pub(super) fn settle(
    options: &PlacerOptions,
    link: &RunnerLink,
    task: &str,
    epoch: Epoch,
) -> Option<Reply> {
    let target = fresh_target(options, link, task, epoch);
    match ask(options, &target, Method::GET, "", Duration::ZERO).ok()? {
        Reply::Unknown => cancel(options, link, task, epoch, Duration::ZERO),
        reply => Some(reply),
    }
}

fn fresh_target<'a>(
    options: &PlacerOptions,
    link: &'a RunnerLink,
    task: &'a str,
    epoch: Epoch,
) -> Target<'a> {
    Target {
        link,
        task,
        epoch,
        deadline: options.clock.now() + options.timing.exchange_timeout(),
        fresh_connection: true,
    }
}

/// Tells the runner that it may drop the records of tasks whose completions are committed.
/// Best effort: the runner bounds its records itself.
pub(super) fn forget(options: &PlacerOptions, link: &RunnerLink, tasks: &[TaskId]) {
    let url = format!("http://{}/v1/tasks/{}", link.address, tasks.join(","));
    let deadline = options.clock.now() + options.timing.exchange_timeout();
    let request = ClientRequest::new(Method::DELETE, url, deadline);
    if let Err(error) = link.send(&options.exchange, request) {
        log::debug!(
            "runner {} was not told to drop records: {error}",
            link.worker
        );
    }
}

fn interpret(response: ClientResponse) -> Reply {
    let state = response
        .header(headers::TASK_STATE)
        .and_then(|text| text.parse().ok());
    let message = |response: ClientResponse| String::from_utf8_lossy(&response.body).into_owned();
    match state {
        Some(TaskState::Running) => Reply::Running,
        Some(TaskState::Succeeded) => {
            let expected = response
                .header(headers::ANSWER_CRC32)
                .and_then(|text| text.parse().ok());
            if expected == Some(crc32fast::hash(&response.body)) {
                Reply::Succeeded(response.body)
            } else {
                Reply::Damaged
            }
        }
        Some(TaskState::Failed) => Reply::Failed(message(response)),
        Some(TaskState::Stopped) => Reply::Stopped,
        Some(TaskState::NeverStarted) => Reply::NeverStarted(message(response)),
        Some(TaskState::Unknown) => Reply::Unknown,
        None => Reply::Unintelligible(response.status),
    }
}

//! Client of the task interface of runners, which section 7.2 of `docs/design.md` specifies.

use std::time::{Duration, Instant};

use hyper::Method;

use super::PlacerOptions;
use super::links::RunnerLink;
use crate::http::client::{ClientError, ClientRequest, ClientResponse};
use crate::ids::{Epoch, TaskId};
use crate::protocol::caller::Submission;
use crate::protocol::headers;
use crate::protocol::worker::TaskState;

/// Corrupted answers of one task after which its runner counts as unable to deliver the answer.
pub(super) const MAX_CORRUPTED_ANSWERS: u32 = 5;

/// What a runner replied about a task.
#[derive(Debug)]
pub(super) enum Reply {
    Running,
    Succeeded(Vec<u8>),
    /// The task succeeded, but the answer does not match its checksum.
    Corrupted,
    Failed(String),
    Stopped,
    /// The runner refused the create call or holds a tombstone; the message says why.
    NeverStarted(String),
    Unknown,
    /// Not a reply of the task interface, for example a refused connection. Contains the HTTP status.
    Unrecognized(u16),
}

/// Task that a call concerns, and how the call is sent.
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

/// Creates the task. Repeated calls with the same id start it at most once.
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

/// Queries the task with method `GET`, or stops it with method `POST` and the suffix `/cancel`.
pub(super) fn call(
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
        // Only the answer of an ended task can be this large, and it would stay so on a retry.
        Err(ClientError::TooLarge { .. }) => Ok(too_large()),
        Err(error) => Err(error),
    }
}

/// Stops the task. A runner that does not know the id records a tombstone for it.
pub(super) fn cancel(
    options: &PlacerOptions,
    link: &RunnerLink,
    task: &str,
    epoch: Epoch,
    wait: Duration,
) -> Option<Reply> {
    let target = fresh_target(options, link, task, epoch);
    call(options, &target, Method::POST, "/cancel", wait).ok()
}

/// Queries the state of the task, and creates a tombstone when the runner does not know it, so that
/// a create call still in transit is refused. `None` when the runner does not answer.
pub(super) fn query_or_tombstone(
    options: &PlacerOptions,
    link: &RunnerLink,
    task: &str,
    epoch: Epoch,
) -> Option<Reply> {
    let target = fresh_target(options, link, task, epoch);
    match call(options, &target, Method::GET, "", Duration::ZERO).ok()? {
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

/// Tells the runner that it may drop the records of tasks whose completions are committed. Failures
/// are not retried, since the runner bounds its records itself.
pub(super) fn remove_records(options: &PlacerOptions, link: &RunnerLink, tasks: &[TaskId]) {
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
                Reply::Corrupted
            }
        }
        Some(TaskState::Failed) => Reply::Failed(message(response)),
        Some(TaskState::Stopped) => Reply::Stopped,
        Some(TaskState::NeverStarted) => Reply::NeverStarted(message(response)),
        Some(TaskState::Unknown) => Reply::Unknown,
        None => Reply::Unrecognized(response.status),
    }
}
